"""A budget of the bytes that one entry VM holds, and who yields when it is short."""
