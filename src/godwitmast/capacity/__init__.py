"""Capacity planning: number and kind of backend servers per availability zone."""
