"""The operators' command line."""
