"""Interface through which the peer state machine reads and adopts configurations."""

from typing import Protocol

from godwitmast.types import Json


class ConfigSource(Protocol):
    """The configuration as peers exchange it; a lower version is never adopted."""

    @property
    def version(self) -> int:
        """Return the version in force, or 0 if there is none."""

    def deltas(self, after: int) -> Json | None:
        """Return the deltas from `after` to `version`, or None if they are not kept."""

    def snapshot(self) -> Json | None:
        """Return the whole configuration in force."""

    def adopt_deltas(self, after: int, number: int, payload: Json) -> bool:
        """Apply deltas that start at or before `version`; return whether it rose."""

    def adopt_snapshot(self, number: int, payload: Json) -> bool:
        """Put a whole configuration in force; return whether `version` rose."""
