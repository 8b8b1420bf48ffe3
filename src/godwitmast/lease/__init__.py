"""Leases with fencing tokens in the platform's table, without trusted clocks."""
