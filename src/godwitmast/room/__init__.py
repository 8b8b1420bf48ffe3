"""The free capacity of the whole fleet: who takes it, who waits and who goes first."""
