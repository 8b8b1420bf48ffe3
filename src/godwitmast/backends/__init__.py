"""Backend servers: which there are, what they report, and HTTP to them."""
