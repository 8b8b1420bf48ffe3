"""Types that several packages share."""

from typing import Any, NamedTuple, NewType, TypeAlias

TeamName = NewType("TeamName", str)
ClassName = NewType("ClassName", str)
PoolName = NewType("PoolName", str)
"""The name of a model or a plain service that backend servers serve."""
BackendId = NewType("BackendId", str)
ZoneName = NewType("ZoneName", str)
NodeId = NewType("NodeId", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", int)

Json: TypeAlias = Any
"""A JSON value."""


class TokenCount(NamedTuple):
    """Prompt and output tokens of a request."""

    prompt: int = 0
    output: int = 0
