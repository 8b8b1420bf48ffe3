"""Stand-ins for the review's scripts: platform, replicas, clients and VM processes.

Only the standard library is used. The platform and the replicas follow PROTOCOL.md; a
script switches single faults on. Everything listens on loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "gifts.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
BOUNDS = dict(
    seedLagS=3, reuseAfterS=2, contactMs=3000, ackMs=4000, catchUpS=4, drainMs=2000,
    graceS=8, lossSlackMs=200, configDeadlineMs=2000, rollbackSlackMs=250,
    maxSkewMs=5000, strictRevoke=False, revokeMs=5000, retryBudgetRatio=0.2,
    budgetWindowS=10, budgetSlack=58, enforceFencing=False, leaseMs=3000, thawMs=300,
    windowS=5, usageOff=0.05, usageLateS=10, recoverS=12, passMs=120, againS=10,
)  # fmt: skip
"""The bounds of the sheet of pbp-tt."""


class CannotRun(Exception):
    """The case could not be run; the script exits with 2."""


class Record:
    """What was sent, answered and run, in `record.txt` beside the script."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# HTTP/1.1.


async def read_head(reader):
    """Return the start line and the headers; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial.strip():
            raise ConnectionError("ended within a head") from None
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        piece = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += piece[:-2]


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return await read_chunks(reader)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer_bytes(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, path, headers=(), body=b"", wait_s=5.0):
    """Make one request on a new connection; return status, headers and body.

    Raise ConnectionError or TimeoutError if there is no complete answer.
    """

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            return await exchange_on(reader, writer, method, path, headers, body)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), wait_s)
    except (asyncio.IncompleteReadError, OSError) as error:
        raise ConnectionError(repr(error)) from None


async def exchange_on(reader, writer, method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
    await writer.drain()
    head = await read_head(reader)
    if head is None:
        raise ConnectionError("closed without an answer")
    answer = await read_body(reader, head[1])
    return int(head[0].split()[1]), head[1], answer


# The platform: its store and the calls of duties.


class Platform:
    """The store and the intake of usage and orders, as PROTOCOL.md describes them."""

    def __init__(self, record, host="127.0.0.1"):
        self.record = record
        self.host = host
        self.rows = {}
        self.history = []
        self.objects = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.usage = []
        self.orders = []
        self.began = time.monotonic()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0, limit=2**22)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, table, key, content):
        """Write a row as the operator or a replica does; `content` None removes it."""
        self.commit([(table, "", key, content)])

    def commit(self, entries):
        self.version += 1
        for table, part, key, content in entries:
            place = (table, part, key)
            if content is None:
                self.rows.pop(place, None)
            else:
                self.rows[place] = (self.version, content)
            self.history.append((self.version, place, content))
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, place, version, content):
        row = {"table": place[0], "part": place[1], "key": place[2], "ver": version}
        if content is None:
            return {**row, "removed": True}
        return {**row, "value": base64.b64encode(content).decode()}

    def answer_rows(self, rows, truncated=False):
        now_ms = (time.monotonic() - self.began) * 1000 + 1e6
        fields = {"rows": rows, "truncated": truncated, "ver": self.version}
        return json.dumps({**fields, "nowMs": now_ms}).encode()

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                status, content = await self.answer(method, target, headers, body)
                kind = [("Content-Type", "application/json")]
                writer.write(answer_bytes(status, kind, content))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, headers, body):
        from urllib.parse import parse_qsl, unquote, urlsplit

        await asyncio.sleep(0.004)
        url = urlsplit(target)
        query = dict(parse_qsl(url.query))
        path = url.path
        if path == "/api/rows-tx":
            return self.transact(json.loads(body))
        if path == "/api/rows-get":
            return 200, self.get(query)
        if path == "/api/rows-feed":
            return await self.feed(query)
        if path.startswith("/api/blob-put/"):
            self.objects[unquote(path.removeprefix("/api/blob-put/"))] = body
            return 200, b"{}"
        if path.startswith("/api/blob-get/"):
            found = self.objects.get(unquote(path.removeprefix("/api/blob-get/")))
            return (404, b"") if found is None else (200, found)
        if path in ("/usage", "/scale"):
            call = (headers["duty-holder"], int(headers["fencing-token"]))
            kept = self.usage if path == "/usage" else self.orders
            kept.append((*call, json.loads(body)))
            return 200, b"{}"
        return 404, b"{}"

    def transact(self, call):
        def place(item):
            return item["table"], item.get("part", ""), item["key"]

        found = [self.rows.get(place(item)) for item in call["expected"]]
        versions = [row[0] if row else 0 for row in found]
        if versions != [item["ver"] for item in call["expected"]]:
            rows = [
                self.row(place(item), *row)
                for item, row in zip(call["expected"], found, strict=True)
                if row
            ]
            return 412, self.answer_rows(rows)
        entries = [
            (*place(item), base64.b64decode(item["value"])) for item in call["puts"]
        ]
        entries += [(*place(item), None) for item in call["remove"]]
        if any(item[0] in ("op", "servers") for item in entries):
            return 403, b"{}"
        self.commit(entries)
        return 200, self.answer_rows([])

    def get(self, query):
        start, end = query.get("from", ""), query.get("to")
        found = [
            self.row(place, *row)
            for place, row in sorted(self.rows.items())
            if place[:2] == (query["table"], query.get("part", ""))
            and place[2] >= start
            and (end is None or place[2] < end)
        ]
        limit = min(500, int(query.get("limit", "500")))
        return self.answer_rows(found[:limit], len(found) > limit)

    async def feed(self, query):
        after, table = int(query["afterRevision"]), query["table"]
        until = time.monotonic() + int(query["waitMs"]) / 1000

        def changes():
            last = {}
            for version, place, content in self.history:
                if version > after and place[0] == table:
                    last[place] = (version, content)
            ordered = sorted(last.items(), key=lambda item: item[1][0])
            return [self.row(place, *row) for place, row in ordered]

        while not (found := changes()) and (left := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass
        return 200, self.answer_rows(found)


# Replicas.


class Replica:
    """A replica of a plain service; subclasses add faults."""

    def __init__(self, platform, record, name, service="app", **options):
        self.platform = platform
        self.record = record
        self.name = name
        self.service = service
        self.zone = options.get("zone", "z1")
        self.slots = options.get("slots", 6)
        self.work_s = options.get("work_s", 0.02)
        self.host = options.get("host", "127.0.0.1")
        self.running = 0
        self.ran = []
        """The ids of the requests that it began to work on."""
        self.sequence = 0
        self.born = int(time.time() * 1000)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0, limit=2**23)
        self.port = self.server.sockets[0].getsockname()[1]
        self.publish()

    def entry(self, state="ready"):
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "1",
            "batchSlots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def publish(self, state="ready"):
        self.sequence += 1
        content = json.dumps(self.entry(state)).encode()
        self.platform.put("servers", self.name, content)

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                await self.answer(line, headers, body, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, line, headers, body, writer):
        attempt = headers.get("attempt-id", "")
        echo = [("Attempt-Id", attempt)]
        if line.split(" ")[1] == "/health":
            writer.write(answer_bytes(200, [("Instance-Id", self.name)]))
            return
        if headers.get("expect-instance", self.name) != self.name:
            self.record(f"{self.name} rejects {attempt}: 421")
            writer.write(answer_bytes(421, [*echo, ("Not-Executed", "1")]))
            return
        if self.running >= self.slots:
            self.record(f"{self.name} rejects {attempt}: full")
            writer.write(answer_bytes(503, [*echo, ("Not-Executed", "1")]))
            return
        self.running += 1
        self.ran.append(attempt)
        self.record(f"{self.name} runs {attempt}")
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        load = f"{self.running},0,{self.slots}"
        fields = [*echo, ("Server-Seal", f"{self.name}.{attempt}"), ("Server-Load", load)]
        await self.send(writer, answer_bytes(200, fields, b"done"))

    async def send(self, writer, answer):
        writer.write(answer)
        await writer.drain()


# Configuration, and the processes of VMs.


def route(name, prefix, kind, service, **more):
    fields = {"name": name, "host": HOST, "prefix": prefix, "kind": kind}
    fields |= {"service": service, "timeoutMs": 3000, "sloMs": 400, "priority": 2}
    return {**fields, "attempts": 1, **more}


def config(version=1, **more):
    return {
        "version": version,
        "routes": [
            route("pay", "/pay/", "non_idempotent", "app"),
            route("peek", "/peek/", "idempotent", "app", attempts=2),
        ],
        "services": [{"name": "app"}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
        **more,
    }


def request_headers(attempt, deadline_ms=3000, **more):
    fields = [("Host", HOST), ("Attempt-Id", attempt), ("Deadline-Ms", deadline_ms)]
    return [*fields, ("Authorization", f"Bearer {KEY}"), *more.items()]


def free_port(host):
    with socket.socket() as found:
        found.bind((host, 0))
        return found.getsockname()[1]


def loopback():
    """Return a loopback address of its own for a VM, whose metrics port is fixed."""
    while True:
        host = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.1"
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, 9464))
                return host
            except OSError:
                continue


class Vm:
    """The process of one VM, started with the command of the deploy file."""

    def __init__(self, platform, record, folder, name="front-1", **options):
        self.platform = platform
        self.record = record
        self.name = name
        self.zone = options.get("zone", "z1")
        self.memory_mb = options.get("memory_mb", 300)
        self.bootstrap = options.get("bootstrap", True)
        self.host = loopback()
        self.path = Path(folder) / f"{name}.toml"
        self.log = open(Path(folder) / f"{name}.log", "ab")
        self.process = None
        self.starts = 0
        self.front = (self.host, free_port(self.host))
        self.ready = (self.host, free_port(self.host))
        first = random.randint(20000, 30000)
        self.ports = [first, first + 15]

    def settings(self):
        def text(value):
            return json.dumps(value)

        bounds = "\n".join(f"{name} = {text(v)}" for name, v in BOUNDS.items())
        store = f"{self.platform.host}:{self.platform.port}"
        return f"""
node = "{self.name}"
role = "node"
machineClass = "front"
serves = ["front"]
ip = "{self.host}"
zone = "{self.zone}"
region = "r1"
portRange = [{self.ports[0]}, {self.ports[1]}]
bootstrap = {text(self.bootstrap)}
invariants = ["base","drain","config","cost","retry","recover","engine","stream","tenants","leader","platform"]
[listen]
front = "{self.front[0]}:{self.front[1]}"
ready = "{self.ready[0]}:{self.ready[1]}"
[limits]
memoryMb = {self.memory_mb}
maxFds = 4100
[bounds]
{bounds}
[platform]
address = "{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
[cloudApi]
address = "{store}"
duties = ["usage"]
dutyPerS = 20
"""

    async def start(self):
        self.path.write_text(self.settings())
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            "python3", "-S", "-m", "godwitmast.platform",
            cwd=ROOT, stdout=self.log, stderr=self.log, stdin=asyncio.subprocess.DEVNULL,
            env={**kept, "PYTHONPATH": str(ROOT / "target" / "deps"),
                 "PYTHONDONTWRITEBYTECODE": "1",
                 "GODWITMAST_NODE_FILE": str(self.path)},
        )  # fmt: skip
        self.starts += 1
        self.record(f"{self.name} started, start {self.starts}")

    async def is_ready(self):
        try:
            status, _, _ = await call(self.ready, "GET", "/api/ready", [("Host", "ready")], wait_s=1.0)
        except (OSError, TimeoutError):
            return False
        return status == 200

    async def wait_ready(self, within_s=20.0):
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if await self.is_ready():
                self.record(f"{self.name} ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} wasn't ready within {within_s} s")

    def signal(self, signum):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signum)

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def run(folder, body, limit_s=115.0):
    """Run a case; `body` gets the record and a folder, and returns whether the rule held."""
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="review-")
    vms = []
    if not (ROOT / "target" / "deps" / "godwitmast").is_dir():
        record("cannot run: target/deps is missing; run the build of the deploy file")
        sys.exit(2)

    async def whole():
        try:
            return await asyncio.wait_for(body(record, temporary, vms), limit_s)
        finally:
            for vm in vms:
                await vm.stop()

    try:
        held = asyncio.run(whole())
    except (CannotRun, TimeoutError, OSError) as error:
        record(f"cannot run: {error!r}")
        print(f"cannot run: {error!r}")
        sys.exit(2)
    finally:
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(temporary, ignore_errors=True)
    record("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)


__all__ = [
    "BOUNDS", "HOST", "KEY", "ROOT", "TENANT", "TROUBLE", "CannotRun", "Platform",
    "Record", "Replica", "Vm", "answer_bytes", "call", "config", "exchange_on",
    "free_port", "loopback", "read_body", "read_head", "request_headers", "route",
    "run", "signal",
]  # fmt: skip
