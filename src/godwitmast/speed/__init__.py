"""How fast each server is, and placement by the time that this predicts."""
