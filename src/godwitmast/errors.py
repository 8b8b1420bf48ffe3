"""The exception hierarchy.

Expected outcomes are return values (see the `messages` module of each package). These
exceptions are for start-up, for calls to libraries that raise, and for broken
invariants.
"""


class GodwitError(Exception):
    """Base class of every exception that godwitmast raises."""


class SettingsError(GodwitError):
    """A settings file or override is not valid; the text lists every problem."""


class ConfigInvalid(GodwitError):
    """A configuration document is not valid; the text lists every problem."""


class PlatformError(GodwitError):
    """Base class of errors of calls to the platform."""


class PlatformUnavailable(PlatformError):
    """The platform was not reached, so nothing took effect."""


class PlatformThrottled(PlatformUnavailable):
    """A rate limit prevented the call, so nothing took effect."""


class LeaseLost(PlatformUnavailable):
    """The lease was lost before the call was written, so nothing took effect."""


class PlatformOutcomeUnknown(PlatformError):
    """The request was sent but not properly answered: it may have taken effect."""


class PeerError(GodwitError):
    """A peer sent invalid data, so its connection is closed."""


class Undecodable(GodwitError):
    """Bytes from another program are not a valid message."""


class InvariantBroken(GodwitError):
    """An internal invariant is broken; the process cannot continue."""
