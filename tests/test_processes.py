"""The programs as separate processes, started in the same way as by the Procfile."""

from pathlib import Path

import httpx
import pytest

from godwitmast.dev.document import MODEL, dev_document, dev_key
from processes import Processes

pytestmark = pytest.mark.anyio


async def test_each_entry_streams_from_separate_processes(
    processes: Processes, http: httpx.AsyncClient, tmp_path: Path
) -> None:
    engine = processes.spawn("engine", "godwitmast.standins.cli", "engine")
    service = processes.spawn("service", "godwitmast.standins.cli", "service")
    platform = processes.spawn_platform(dev_document([engine.url], service.url))
    daemons = {
        f"{program}-{zone}": processes.spawn(
            f"{program}-{zone}",
            f"godwitmast.{program}.cli",
            settings=f'node = "n-{zone}"\nzone = "{zone}"\n'
            f'platform.url = "{platform.url}"',
        )
        for program in ("entry", "control")
        for zone in "abc"
    }
    headers = {"Authorization": f"Bearer {dev_key('arima')}"}
    body = {
        "model": MODEL,
        "stream": True,
        "messages": [{"role": "user", "content": "length=7"}],
    }
    for name, daemon in daemons.items():
        ready = None
        while ready is None or ready.status_code != 200:
            ready = await http.get(f"{daemon.url}/readyz")
        if name.startswith("entry"):
            url = f"{daemon.url}/v1/chat/completions"
            answer = await http.post(url, headers=headers, json=body)
            assert answer.text.count('"content"') == 7
            assert answer.text.endswith("data: [DONE]\n\n")
    for daemon in daemons.values():
        assert daemon.terminate() == 0
