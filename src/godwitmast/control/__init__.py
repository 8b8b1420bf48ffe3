"""The control daemon, which competes for leases and runs the duty of each that it holds."""
