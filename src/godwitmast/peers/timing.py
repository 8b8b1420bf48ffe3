"""Time constants of the peer state machine, in seconds."""

from typing import NamedTuple


class Timing(NamedTuple):
    """Intervals, timeouts and backoffs of `PeerMachine`."""

    heartbeat_s: float = 1.0
    """Longest time between two frames on a link."""
    flush_s: float = 0.5
    """Interval at which deferred records are sent, so that many share a frame."""
    link_timeout_s: float = 3.5
    """Three heartbeats can be lost or late before a link is closed."""
    suspicion_s: float = 4.0
    """Time for a suspect to refute: several times what a record takes to reach all."""
    dial_timeout_s: float = 2.0
    backoff_s: float = 5.0
    max_backoff_s: float = 160.0
    min_sync_interval_s: float = 3.0
    """Shortest time between two full comparisons on a link."""
    digest_mismatch_s: float = 1.5
    """A longer difference of digests means that a record was lost, not in flight."""
    unwanted_link_s: float = 10.0
    pause_threshold_s: float = 2.0
    """Ticks further apart than this mean that this process was paused."""
    send_timeout_s: float = 8.0
    graft_interval_s: float = 5.0
    """Shortest time between two requests for records that were not renewed in time."""
