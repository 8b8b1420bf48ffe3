"""What entry VMs measure of backend servers, and how they share it."""
