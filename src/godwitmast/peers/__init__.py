"""Membership and spreading of state among entry VMs."""
