"""Where admitted work goes, and what happens when it fails there."""
