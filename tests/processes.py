"""Real processes for tests, which can pause and kill them; cleanup kills the rest."""

import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import godwitmast

SOURCE = str(Path(godwitmast.__file__).parents[1])
START_TIMEOUT_S = 30
LISTENING = re.compile(r"event=listening url=(\S+)")


@dataclass
class Process:
    """A running program and its log file."""

    popen: subprocess.Popen[bytes]
    log: Path

    @property
    def url(self) -> str:
        """Wait for the address that the program logs, and return it."""
        return self.urls(1)[0]

    @property
    def known_url(self) -> str | None:
        """Return the address if the program is listening already; do not wait."""
        found = LISTENING.findall(self.log.read_text())
        return found[0] if found else None

    def urls(self, count: int) -> list[str]:
        """Wait until the program listens on `count` addresses, and return them."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            found = LISTENING.findall(self.log.read_text())
            if len(found) >= count:
                return found
            assert self.popen.poll() is None, self.log.read_text()
            time.sleep(0.02)
        raise AssertionError(f"not listening in time: {self.log.read_text()}")

    def pause(self) -> None:
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        self.popen.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        self.popen.kill()
        self.popen.wait()

    def terminate(self) -> int:
        """Send SIGTERM, and return the exit code."""
        self.popen.terminate()
        return self.popen.wait(60)


class Processes:
    """The processes of one test."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.started: list[Process] = []

    def spawn(self, name: str, module: str, *args: str, settings: str = "") -> Process:
        """Start `python -m module args --settings FILE` with that TOML text."""
        path = self.folder / f"{name}.toml"
        path.write_text(settings)
        return self.spawn_plain(name, module, *args, "--settings", str(path))

    def spawn_platform(self, document: Mapping[str, Any]) -> Process:
        """Start the stand-in platform with a first configuration."""
        first = self.folder / "config.json"
        first.write_text(json.dumps(document))
        return self.spawn(
            "platform",
            "godwitmast.standins.cli",
            "platform",
            settings=f'config = "{first}"',
        )

    def spawn_plain(self, name: str, module: str, *args: str) -> Process:
        """Start `python -m module args`."""
        log = self.folder / f"{name}-{len(self.started)}.log"
        with log.open("wb") as output:
            popen = subprocess.Popen(
                [sys.executable, "-m", module, *args],
                stdout=output,
                stderr=output,
                env={**os.environ, "PYTHONPATH": SOURCE},
            )
        process = Process(popen, log)
        self.started.append(process)
        return process

    def close(self) -> None:
        for process in self.started:
            if process.popen.poll() is None:
                process.kill()


def free_port() -> int:
    """Return a port that is free at the moment."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def toml_of(value: Any) -> str:
    """Return a value of settings as TOML."""
    match value:
        case dict():
            fields = ", ".join(
                f"{key} = {toml_of(item)}" for key, item in value.items()
            )
            return f"{{{fields}}}"
        case list():
            return f"[{', '.join(toml_of(item) for item in value)}]"
        case str():
            return f'"{value}"'
        case _:
            return str(value).lower()
