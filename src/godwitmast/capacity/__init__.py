"""How many backend servers, of which kind, in which availability zone."""
