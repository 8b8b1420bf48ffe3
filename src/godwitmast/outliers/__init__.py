"""Servers that fail at once, as all entry VMs find them together."""
