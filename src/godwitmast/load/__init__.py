"""Load over HTTP, and scenarios played in virtual time."""
