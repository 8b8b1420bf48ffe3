"""Admission control: which requests are queued, in which order they start, and which
are refused or preempted."""
