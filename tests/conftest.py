"""Fixtures that more than one slice's tests share."""

from collections.abc import AsyncIterator, Iterator
from pathlib import Path

import httpx
import pytest

from godwitmast.dev.system import DevSystem
from processes import Processes

pytest_plugins = ["known_red"]


@pytest.fixture
def anyio_backend() -> str:
    """Hypercorn and websockets run on asyncio, so the tests do too."""
    return "asyncio"


@pytest.fixture
async def http() -> AsyncIterator[httpx.AsyncClient]:
    async with httpx.AsyncClient(timeout=20, trust_env=False) as client:
        yield client


@pytest.fixture
def system() -> DevSystem:
    """A system that is not started; a test enters `running(system)`."""
    return DevSystem()


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    """Real processes, which are ended after the test."""
    started = Processes(tmp_path)
    yield started
    started.close()
