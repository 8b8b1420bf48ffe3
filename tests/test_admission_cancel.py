"""Cancellation of an attempt before it starts."""

import pytest

from godwitmast.backends.client import BackendClient
from godwitmast.clock import ManualClock
from godwitmast.dispatch.messages import Cancel, CancelReason, RequestSpec, Start
from godwitmast.entry.driver import RouterDriver


class RecordingPolicy:
    """Returns, for a submitted request, a Start, its Cancel and a second Start."""

    def submit(self, request: RequestSpec, now: float) -> list[Start | Cancel]:
        request_id = request.request_id
        return [
            Start(request_id, 1, "b1"),
            Cancel(request_id, 1, CancelReason.PREEMPTED),
            Start(request_id, 2, "b2"),
        ]


@pytest.mark.anyio
async def test_attempt_that_was_preempted_before_it_began_does_not_begin() -> None:
    """The router may preempt a request whose Start is still in its mailbox.

    If the cancel were lost, that attempt would run beside the second one, and the place
    it was cancelled for would not become free.
    """
    client = BackendClient()
    driver = RouterDriver("a", ManualClock(), client)
    driver.router = RecordingPolicy()  # type: ignore[assignment]
    mailbox = driver.submit(RequestSpec("r1", "arima", "draft", "godwit-lm", 0.0))
    first, second = await mailbox.receive(), await mailbox.receive()
    assert driver.is_cancelled(first)
    assert not driver.is_cancelled(second)
    driver.forget("r1")
    assert not driver.cancelled_early
    mailbox.close()
    await client.close()
