"""Stand-ins of the platform, replicas and clients for the scripts of this review.

The script's own process holds the platform's store (the project's stand-in), the
replicas and the clients. The system's VMs are processes of their own, started with the
command of the deploy file. All addresses are loopback addresses.
"""

import asyncio
import json
import os
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
import traceback
from pathlib import Path

import anyio

from godwitmast.settings import Listen
from godwitmast.standins.store import StoreStandin

ROOT = Path(__file__).resolve().parents[2]
HOST = "gifts.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "arima"

BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configDeadlineMs": 2000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 58,
    "enforceFencing": False,
    "leaseMs": 3000,
    "thawMs": 300,
    "windowS": 5,
    "usageOff": 0.05,
    "usageLateS": 10,
    "recoverS": 12,
    "passMs": 120,
    "againS": 10,
}
"""The bounds of the sheet "Godwitmast Fleet for Pooled Birthday Gifts"."""

INVARIANTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "leader",
    "platform",
]


def route(name, prefix, kind, service, **more):
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": 12000,
        "sloMs": 2000,
        "priority": 2,
        "attempts": 1,
        **more,
    }


def config(version=1, routes=None, services=None):
    """Return a configuration with the routes of the sheet."""
    return {
        "version": version,
        "routes": routes
        if routes is not None
        else [
            route("digest", "/digest/", "streaming", "lm", gapAimMs=600),
            route(
                "draft",
                "/draft/",
                "streaming",
                "lm",
                gapAimMs=250,
                timeoutMs=6000,
                sloMs=600,
                priority=1,
                attempts=2,
                resumable=True,
            ),
            route(
                "pledge", "/pledge/", "non_idempotent", "app", timeoutMs=1500, sloMs=400
            ),
            route(
                "peek",
                "/peek/",
                "idempotent",
                "app",
                timeoutMs=1500,
                sloMs=400,
                attempts=2,
            ),
        ],
        "services": services
        or [{"name": "lm", "engine": {"batchSlots": 64}}, {"name": "app"}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
    }


HEARTBEAT_S = 1.2
GONE = -1.0


class Record:
    """The file `record.txt`: what was sent, answered and run."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def __call__(self, text):
        line = f"{time.monotonic() - self.started:8.3f} {text}"
        print(line, file=self.file, flush=True)


class Replica:
    """A backend server, of HTTP/1.1 with one request at a time on a connection.

    It runs each request whole: an engine streams events, a plain server answers once.
    `answer_is_lost` decides for a request that ran whether its connection is reset
    instead of being answered.
    """

    def __init__(
        self,
        store,
        record,
        server_id,
        service,
        streams,
        events=4,
        event_s=0.05,
        zone="tt-north-a",
        slots=64,
    ):
        self.store, self.record = store, record
        self.server_id, self.service, self.streams = server_id, service, streams
        self.events, self.event_s, self.zone, self.slots = events, event_s, zone, slots
        self.events_of = lambda attempt: self.events
        self.answer_is_lost = lambda headers: False
        self.work_s = lambda path: self.event_s
        self.is_cut = False
        """Whether it is partitioned from the store, not from the VMs."""
        self.load_header = lambda: f"{self.running},{self.waiting},{self.slots}"
        self.running = self.waiting = 0
        self.places = asyncio.Semaphore(slots)
        self.ran = []
        self.born = int(time.time() * 1000)
        self.sequence = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.publish()

    def publish(self, state="ready"):
        self.sequence += 1
        self.store.put_server(
            self.server_id,
            {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "batchSlots": self.slots,
                "state": state,
                "coldLeftMs": 0,
                "sequence": self.sequence,
                "born": self.born,
            },
        )

    async def serve(self, reader, writer):
        try:
            while await self.serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {
            n.strip().lower(): v.strip()
            for n, _, v in (line.partition(":") for line in lines if line)
        }
        await reader.readexactly(int(headers.get("content-length", "0")))
        attempt = headers.get("attempt-id", "")
        if headers.get("expect-instance", self.server_id) != self.server_id:
            self.answer(writer, "421 Misdirected Request", attempt, b"")
            return True
        self.waiting += 1
        await self.places.acquire()
        self.waiting -= 1
        self.running += 1
        try:
            self.ran.append(attempt)
            self.record(f"replica {self.server_id} runs {attempt}: {first}")
            await asyncio.sleep(self.work_s(first.split()[1]))
            if self.answer_is_lost(headers):
                self.record(f"replica {self.server_id} loses the answer of {attempt}")
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
                return False
            if self.streams:
                await self.stream(writer, attempt)
            else:
                self.answer(writer, "200 OK", attempt, b"x" * 800)
                await writer.drain()
            return True
        finally:
            self.running -= 1
            self.places.release()

    def answer(self, writer, status, attempt, body):
        writer.write(
            f"HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\n"
            f"Server-Seal: {self.server_id}.{attempt}\r\n"
            f"Server-Load: {self.load_header()}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )

    async def stream(self, writer, attempt):
        writer.write(
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
            f"Server-Seal: {self.server_id}.{attempt}\r\n"
            f"Server-Load: {self.load_header()}\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(1, self.events_of(attempt) + 1):
            event = f"id: {number}\ndata: event {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


METRICS_PORT = 9464
"""The port of a VM's metrics, which the deploy file names."""

FIRST_LINK_PORT, LAST_LINK_PORT = 7340, 7355


def free_network(vms):
    """Return the first three numbers of loopback addresses with free ports for VMs."""
    for _ in range(200):
        network = f"127.{random.randint(2, 250)}.{random.randint(0, 250)}"
        try:
            for number in range(1, vms + 1):
                for port in (METRICS_PORT, FIRST_LINK_PORT, FIRST_LINK_PORT + 1):
                    with socket.socket() as found:
                        found.bind((f"{network}.{10 + number}", port))
        except OSError:
            continue
        return network
    raise CannotRun("no free ports for the VMs")


def free_port(ip):
    with socket.socket() as found:
        found.bind((ip, 0))
        return found.getsockname()[1]


class Vm:
    """One process of the system, on a loopback address of its own."""

    def __init__(self, folder, record, number, network, store_port, zone):
        self.folder, self.record, self.number, self.zone = folder, record, number, zone
        self.name, self.ip = f"front-{number}", f"{network}.{10 + number}"
        self.front, self.ready = free_port(self.ip), free_port(self.ip)
        self.store_port = store_port
        self.process = None

    def settings(self):
        store = f"127.0.0.1:{self.store_port}"
        tables = {
            "zones": {
                z: "tt-north" for z in ("tt-north-a", "tt-north-b", "tt-north-c")
            },
            "listen": {
                "front": f"{self.ip}:{self.front}",
                "ready": f"{self.ip}:{self.ready}",
            },
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": store,
                "form": "table",
                "writesPerS": 400,
                "readsPerS": 2000,
                "txMs": 5.0,
                "rowBytes": 65536,
                "across": False,
                "historyS": 20,
            },
            "cloudApi": {
                "address": store,
                "ratePerS": 50.0,
                "duties": ["usage", "scale"],
                "dutyPerS": 50.0,
            },
        }
        top = {
            "node": self.name,
            "role": "node",
            "machineClass": "front",
            "serves": ["front"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "tt-north",
            "portRange": [FIRST_LINK_PORT, LAST_LINK_PORT],
            "bootstrap": True,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "invariants": INVARIANTS,
        }
        lines = [f"{name} = {json.dumps(value)}" for name, value in top.items()]
        for table, values in tables.items():
            lines.append(f"[{table}]")
            lines += [f"{name} = {json.dumps(v)}" for name, v in values.items()]
        return "\n".join(lines) + "\n"

    def start(self):
        file = Path(self.folder) / f"{self.name}.toml"
        file.write_text(self.settings(), encoding="utf-8")
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        env = {
            **kept,
            "GODWITMAST_NODE_FILE": str(file),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONUNBUFFERED": "1",
        }
        self.log = open(Path(self.folder) / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [*"python3 -S -m godwitmast.platform".split()],
            cwd=ROOT,
            env=env,
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )
        self.record(f"{self.name} started at {self.ip}:{self.front}")

    def cpu_s(self):
        """Return the processor time that the process has used so far."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1]
        parts = fields.split()
        return (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")

    async def is_ready(self, timeout_s=1.0):
        status, _ = await request(
            self.ip,
            self.ready,
            "GET",
            "/api/ready",
            {"Host": self.ip},
            timeout_s=timeout_s,
        )
        return status == 200

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


async def request(ip, port, method, path, headers, body=b"", timeout_s=15.0):
    """Send a request on a new connection; return status and the whole answer.

    The status is None if there is no whole answer: `answer` then says why.
    """
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                lines = [f"{method} {path} HTTP/1.1"]
                lines += [f"{n}: {v}" for n, v in headers.items()]
                lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
                writer.write("\r\n".join(lines).encode() + body)
                await writer.drain()
                return await read_answer(reader)
            finally:
                writer.close()
    except TimeoutError:
        return None, "no whole answer in time"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return None, f"broken: {error!r}"


async def read_answer(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {
        n.strip().lower(): v.strip()
        for n, _, v in (line.partition(":") for line in lines if line)
    }
    status = int(first.split()[1])
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := await read_size(reader):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return status, (headers, body)


async def read_size(reader):
    line = await reader.readline()
    if not line.strip():
        raise asyncio.IncompleteReadError(line, None)
    return int(line, 16)


def client_headers(attempt, deadline_ms, **more):
    return {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
        **more,
    }


class Deployment:
    """The store, the replicas and the VMs of one script."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.replicas, self.vms = [], []

    async def start(self, tasks, replicas, vms, first_config=None):
        self.store = StoreStandin(Listen("127.0.0.1", 0))
        await self.store.start(tasks)
        for options in replicas:
            replica = Replica(self.store, self.record, **options)
            await replica.start()
            self.replicas.append(replica)
        self.store.put_config(first_config or config())
        network = free_network(vms)
        zones = ("tt-north-a", "tt-north-b", "tt-north-c")
        for number in range(1, vms + 1):
            vm = Vm(
                self.temporary.name,
                self.record,
                number,
                network,
                self.store.server.port,
                zones[(number - 1) % 3],
            )
            vm.start()
            self.vms.append(vm)
        tasks.start_soon(self.beat)
        for vm in self.vms:
            await self.wait_ready(vm)

    async def wait_ready(self, vm, within_s=30.0):
        end = time.monotonic() + within_s
        while not await vm.is_ready():
            if time.monotonic() > end or vm.process.poll() is not None:
                raise CannotRun(f"{vm.name} does not get ready")
            await asyncio.sleep(0.2)

    async def beat(self):
        """Write the rows of the replicas, as each does every `heartbeatMs`, but for those
        that are cut off from the store; it removes a row after three of them."""
        last = {}
        while True:
            now = time.monotonic()
            for replica in self.replicas:
                if not replica.is_cut and now >= last.get(replica, 0.0) + HEARTBEAT_S:
                    if last.get(replica) == GONE:
                        self.record(f"the store lists {replica.server_id} again")
                    last[replica] = now
                    replica.publish()
                elif replica.is_cut and GONE < last[replica] < now - 3 * HEARTBEAT_S:
                    last[replica] = GONE
                    self.store.remove_server(replica.server_id)
                    self.record(f"the store removes {replica.server_id}")
            await asyncio.sleep(0.05)

    def close(self, keep_logs=None):
        for vm in self.vms:
            vm.kill()
            vm.log.close()
        if keep_logs:
            for vm in self.vms:
                data = (Path(self.temporary.name) / f"{vm.name}.log").read_bytes()
                (Path(keep_logs) / f"{vm.name}.log").write_bytes(data)
        self.temporary.cleanup()


class CannotRun(Exception):
    """The case can't be run here."""


def main(folder, play):
    """Run `play` with a deployment; exit with 1 if the rule was broken, 0 if it held,
    and 2 if the case couldn't run."""
    os.environ.setdefault("TROUBLE", "1")
    trouble = os.environ["TROUBLE"] != "0"
    deployment = Deployment(folder)

    def end(code, text):
        """End here: nothing of the stand-ins has to be closed in order."""
        deployment.record(f"result: {text}")
        deployment.close(os.environ.get("KEEP_LOGS"))
        print(f"exit {code}: {text}; see record.txt", flush=True)
        os._exit(code)

    async def run():
        async with anyio.create_task_group() as tasks:
            try:
                async with asyncio.timeout(112):
                    broken = await play(deployment, tasks, trouble)
            except CannotRun as error:
                end(2, f"could not run: {error}")
            except BaseException as error:
                traceback.print_exc()
                end(2, f"could not run: {error!r}")
            end(1 if broken else 0, "the rule was broken" if broken else "it held")

    anyio.run(run)
