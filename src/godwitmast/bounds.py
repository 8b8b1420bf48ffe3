"""Bounded numbers and texts, for what other programs write.

JSON has integers of hundreds of digits, which no float can hold: sums and products with
one raise OverflowError.
"""

from typing import Annotated

from msgspec import Meta

WholeNumber = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Sum = Annotated[int, Meta(ge=-(2**62), le=2**62)]
Fence = Annotated[int, Meta(ge=0, le=2**62)]
VmCount = Annotated[int, Meta(ge=0, le=100_000)]
Count = Annotated[int, Meta(ge=0, le=2**31)]
Rank = Annotated[int, Meta(ge=-(2**31), le=2**31)]
RequestCount = Annotated[int, Meta(ge=0, le=1_000_000)]

UnixSeconds = Annotated[int, Meta(ge=-(10**11), le=10**11)]
"""Whole seconds since 1970, within some three thousand years."""

ClockSeconds = Annotated[float, Meta(ge=-1e11, le=1e11)]
"""Seconds of any clock, or between two of them."""

AgeSeconds = Annotated[float, Meta(ge=-1, le=1e9)]
"""Seconds that have passed; rounding may take them a little below 0."""

Seconds = Annotated[float, Meta(ge=0, le=1e9)]
Millis = Annotated[float, Meta(ge=0, le=1e12)]
Ratio = Annotated[float, Meta(ge=0, le=1e9)]

Name = Annotated[str, Meta(max_length=200)]
"""A key or name; the store's have 200 bytes at most."""
