"""Small stand-ins of outside systems, for trials and tests, with faults on request."""
