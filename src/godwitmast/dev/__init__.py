"""The whole system in one process, to try it out."""
