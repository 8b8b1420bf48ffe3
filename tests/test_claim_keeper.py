"""The queue of settlements that could not be written at once."""

from typing import Any

import pytest

from godwitmast.claims.keeper import ClaimKeeper
from godwitmast.claims.machine import Answer, Call, ClaimGranted, Settlement
from godwitmast.clock import ManualClock
from godwitmast.errors import PlatformUnavailable
from godwitmast.platform_api.messages import Written

pytestmark = pytest.mark.anyio

CALLS = [Call("arima", f"k{number}", "hash", f"a{number}") for number in range(4)]


class FailingTable:
    """Accepts every write but those of one row."""

    def __init__(self, failing_key: str, error: Exception) -> None:
        self.failing_key = failing_key
        self.error = error
        self.written: list[str] = []

    def with_bulk_priority(self) -> "FailingTable":
        return self

    async def transact(self, checks: dict[str, int], writes: dict[str, Any]) -> Written:
        if self.failing_key in writes:
            raise self.error
        self.written += writes
        return Written(dict.fromkeys(writes, 2))


@pytest.mark.parametrize("error", [PlatformUnavailable("too long"), ValueError()])
async def test_settlement_that_cannot_be_written_holds_up_no_other(
    error: Exception,
) -> None:
    """Guards against charges whose outcome stays unknown, although their answers are
    there, behind one answer that the table never takes."""
    table = FailingTable(CALLS[0].row_key, error)
    keeper = ClaimKeeper(table, ManualClock(), "n1")  # type: ignore[arg-type]
    for call in CALLS:
        answer = Answer(200, [], b"paid")
        keeper.enqueue(Settlement(call, ClaimGranted(1), answer, ran=True))
    for _ in range(2):
        while keeper.pending and await keeper.settle_one():
            pass
    assert table.written == [call.row_key for call in CALLS[1:]]
    [left] = keeper.pending
    assert left.call == CALLS[0] and left.tries == 2
