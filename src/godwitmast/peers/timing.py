"""Time constants of the peer machine, in seconds."""

from typing import NamedTuple


class Timing(NamedTuple):
    """The machine's time constants, in seconds."""

    beat: float = 1.0
    """A link on which nothing else went out carries a frame this often."""
    flush: float = 0.5
    """What is not urgent waits for this, so that many facts share a frame."""
    link_timeout: float = 3.5
    """Three beats can be lost or late before a link counts as dead."""
    suspicion: float = 4.0
    """A suspect has this long to refute: several times what news takes to cross."""
    dial_timeout: float = 2.0
    backoff: float = 5.0
    backoff_max: float = 160.0
    sync: float = 3.0
    """A link compares all it has at most this often."""
    differs: float = 1.5
    """Digests that differ for longer are no news on its way, but news lost."""
    surplus: float = 10.0
    pause: float = 2.0
    """Ticks further apart than this mean that this process was paused."""
    busy: float = 8.0
    silence: float = 5.0
    """Records that were not renewed in time are asked for at most this often."""
