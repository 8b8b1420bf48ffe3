"""The daemon that takes callers' requests on an entry VM."""
