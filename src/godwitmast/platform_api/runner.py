"""The runner that executes the steps of a protocol on a platform."""

from typing import TypeVar

from godwitmast.errors import PlatformError, PlatformUnavailable
from godwitmast.platform_api.port import Table
from godwitmast.platform_api.steps import (
    Failure,
    GetObject,
    ObjectPut,
    ObjectRead,
    PutObject,
    Read,
    Result,
    Rows,
    Scan,
    Step,
    Steps,
    Transact,
)

T = TypeVar("T")


async def run_steps(platform: Table, steps: Steps[T]) -> T:
    """Run a protocol to its end and return its outcome."""
    try:
        step = next(steps)
        while True:
            step = steps.send(await take_step(platform, step))
    except StopIteration as stop:
        outcome: T = stop.value
        return outcome


async def take_step(platform: Table, step: Step) -> Result:
    """Execute one step; an error is returned as a Failure, not raised."""
    try:
        return await execute_step(platform, step)
    except PlatformUnavailable:
        return Failure.NOT_DONE
    except PlatformError:
        return Failure.UNKNOWN


async def execute_step(platform: Table, step: Step) -> Result:
    match step:
        case Read():
            return Rows(await platform.read(step.keys))
        case Scan():
            return Rows(await platform.scan(step.prefix, step.after))
        case Transact():
            return await platform.transact(step.checks, step.writes)
        case GetObject():
            return ObjectRead(await platform.get_object(step.name))
        case PutObject():
            await platform.put_object(step.name, step.content)
            return ObjectPut()
