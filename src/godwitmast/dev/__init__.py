"""Everything in one process, for a newcomer's first minute."""
