"""What is let in, what waits and for how long, and what is turned away."""
