"""Types that more than one slice speaks of."""

from typing import Any, NamedTuple, NewType, TypeAlias

TeamName = NewType("TeamName", str)
ClassName = NewType("ClassName", str)
PoolName = NewType("PoolName", str)
"""A model or a plain service: what a backend server can serve."""
BackendId = NewType("BackendId", str)
ZoneName = NewType("ZoneName", str)
NodeId = NewType("NodeId", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", int)

Json: TypeAlias = Any
"""A value that came from, or goes into, JSON."""


class TokenCount(NamedTuple):
    """Tokens read and written for a request."""

    prompt: int = 0
    output: int = 0
