"""An event loop in virtual time: its clock jumps to the next scheduled callback."""

import asyncio
import selectors
from collections.abc import Awaitable, Callable

import anyio


class JumpingSelector(selectors.DefaultSelector):  # type: ignore[misc, valid-type]
    """Advances the virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None):  # type: ignore[no-untyped-def]
        if timeout:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop for code without I/O; repeated runs take the same virtual time."""

    def __init__(self) -> None:
        self.jumping = JumpingSelector()
        super().__init__(self.jumping)

    def time(self) -> float:
        return self.jumping.now


def run_virtually(work: Callable[[], Awaitable[None]]) -> None:
    anyio.run(work, backend_options={"loop_factory": VirtualLoop})
