"""Leases with fencing over the platform's table, without trusted clocks."""
