"""Admission control: which requests wait, start, are refused or are preempted."""
