"""How many backend servers to run, of which kind and where."""
