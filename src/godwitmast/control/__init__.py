"""The daemon that contends for leases and does the duties of a holder."""
