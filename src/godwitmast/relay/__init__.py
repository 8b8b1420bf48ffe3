"""One VM of an availability zone that writes to the platform for the others."""
