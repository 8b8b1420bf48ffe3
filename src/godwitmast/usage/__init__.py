"""Usage: metering, the journal, frozen windows and reports."""
