"""The daemon that serves callers' requests on an entry VM."""
