"""Gossip among entry VMs: membership, shared records and the configuration."""
