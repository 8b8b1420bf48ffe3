"""Fixtures that several test modules share."""

import gc
from collections.abc import AsyncIterator, Iterator
from pathlib import Path

import httpx
import pytest
from loguru import logger

from godwitmast import check_times
from godwitmast.dev.system import DevSystem
from processes import Processes

pytest_plugins = ["known_red"]

# Tests in virtual time are the same in each run.
check_times.PHASE_S = 0.0


def pytest_collection_finish() -> None:
    """Exempt all tests from garbage collections, which would delay event loops."""
    gc.collect()
    gc.freeze()


@pytest.fixture
def anyio_backend() -> str:
    """Run tests on asyncio, as Hypercorn and websockets do."""
    return "asyncio"


@pytest.fixture
async def http() -> AsyncIterator[httpx.AsyncClient]:
    async with httpx.AsyncClient(timeout=20, trust_env=False) as client:
        yield client


@pytest.fixture
def system() -> DevSystem:
    """Return a system that is not started; tests use `async with running(system)`."""
    return DevSystem()


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    """Yield a spawner of real processes, which are killed after the test."""
    started = Processes(tmp_path)
    yield started
    started.close()


@pytest.fixture
def log_lines() -> Iterator[list[str]]:
    """Collect the log lines."""
    lines: list[str] = []
    sink = logger.add(lines.append, format="{message}")
    yield lines
    logger.remove(sink)
