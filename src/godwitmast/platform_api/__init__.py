"""The platform's table, objects, orders and lists, as a client sees them."""
