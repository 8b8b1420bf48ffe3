"""HTTP client for backend servers, and the load that they report."""
