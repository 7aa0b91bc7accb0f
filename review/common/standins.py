"""Stand-ins for the platform, the replicas and the clients of a small deployment.

They follow the operators' pages: ``PROTOCOL.md`` for what is spoken, ``DEPLOY.md`` for
the settings and for how a process is started. All addresses are loopback addresses.
Only the standard library is used.
"""

import asyncio
import base64
import itertools
import json
import os
import shlex
import signal
import socket
import sys
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

__all__ = [
    "Answer",
    "Client",
    "Deployment",
    "Record",
    "Replica",
    "Request",
    "Router",
    "Store",
    "is_troubled",
    "read_request",
    "run_case",
]

REPOSITORY = Path(__file__).resolve().parents[2]
MAX_HEAD_BYTES = 64 * 1024
READY_TIMEOUT_S = 20.0
PAGE_ITEMS = 500
BORN_MS = 1_700_000_000_000
# Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2


def is_troubled():
    """Return whether the case plays its disruption; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def find_free_port(ip="127.0.0.1"):
    """Return a TCP port that is free at the moment.

    :param ip: loopback address to bind.
    """
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Record:
    """The record of a run, one line for each thing that was seen.

    :param path: file that is written anew.
    """

    def __init__(self, path):
        self._file = Path(path).open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def note(self, text):
        """Write a line with the time since the start.

        :param text: what was seen.
        """
        age_s = time.monotonic() - self._started_s
        self._file.write(f"{age_s:9.3f} s  {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


@dataclass
class Request:
    """An HTTP request as it was read.

    :param headers: values by name in lower case; of a repeated header, the last value.
    """

    method: str
    target: str
    headers: dict
    body: bytes

    @property
    def attempt_id(self):
        """Return the id of the client attempt, empty if it has none."""
        return self.headers.get("attempt-id", "")


async def read_head(reader):
    """Read a first line and the headers after it.

    :param reader: stream to read from.
    :returns: the first line and the headers by name in lower case.
    :raises asyncio.IncompleteReadError: if the stream ends before.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunk(reader):
    """Read one chunk of a body in chunks.

    :param reader: stream to read from.
    :returns: content of the chunk, empty at the end of the body.
    """
    size = int((await reader.readline()).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readline()
    return data


async def read_body(reader, headers):
    """Read a body with a length or in chunks.

    :param reader: stream to read from.
    :param headers: headers by name in lower case.
    """
    if "chunked" in headers.get("transfer-encoding", ""):
        parts = []
        while data := await read_chunk(reader):
            parts.append(data)
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def read_request(reader):
    """Read one request.

    :param reader: stream to read from.
    :returns: the request, ``None`` if the caller closed the connection.
    """
    try:
        first, headers = await read_head(reader)
        method, target, _ = first.split(" ", 2)
        body = await read_body(reader, headers)
        return Request(method, target, headers, body)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def make_head(status, headers):
    """Return the bytes of a response head.

    :param status: HTTP status code.
    :param headers: names and values.
    """
    lines = [f"HTTP/1.1 {status} Answer", *(f"{k}: {v}" for k, v in headers), "", ""]
    return "\r\n".join(lines).encode("latin-1")


class _Listener:
    """A TCP server that closes its open connections when it is closed."""

    def __init__(self):
        self._server = None
        self._writers = set()
        self.address = ""

    async def start(self, ip="127.0.0.1", port=0):
        """Listen on a loopback address.

        :param ip: address to bind.
        :param port: port to bind, zero for a free one.
        """
        self._server = await asyncio.start_server(
            self._serve, ip, port, limit=MAX_HEAD_BYTES
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def close(self):
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def reset_connections(self):
        """Close all connections at once, by a reset if bytes are unread or unsent."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        """Serve one connection until the caller closes it."""
        raise NotImplementedError


class Store(_Listener):
    """The platform's metadata store, which holds its items in memory.

    :ivar revision: the store's revision.
    """

    def __init__(self):
        super().__init__()
        self.items = {}
        self.events = []
        self.revision = 1
        self.leases = {}
        self._changed = asyncio.Condition()
        self._lease_ids = itertools.count(7)

    async def put(self, key, value, lease=0):
        """Write or remove a key.

        :param key: key of the item.
        :param value: bytes, or a document that is written as JSON; ``None`` removes it.
        :param lease: lease that the item is attached to, zero for none.
        """
        if value is not None and not isinstance(value, bytes):
            value = json.dumps(value).encode()
        async with self._changed:
            self.revision += 1
            if value is None:
                if self.items.pop(key, None) is None:
                    return
                event = {"key": key, "revision": self.revision, "tombstone": True}
            else:
                text = base64.b64encode(value).decode()
                created = self.items.get(key, {}).get("created", self.revision)
                event = {
                    "key": key,
                    "value": text,
                    "revision": self.revision,
                    "created": created,
                    "lease": lease,
                }
                self.items[key] = event
            self.events.append(event)
            self._changed.notify_all()

    async def serve(self, reader, writer):
        """Answer the calls of one connection."""
        while (request := await read_request(reader)) is not None:
            path, _, query = request.target.partition("?")
            fields = dict(part.split("=", 1) for part in query.split("&") if part)
            status, document = await self._answer(request, path, fields)
            body = b"" if document is None else json.dumps(document).encode()
            headers = [
                ("Content-Type", "application/json"),
                ("Content-Length", len(body)),
            ]
            writer.write(make_head(status, headers) + body)
            await writer.drain()

    async def _answer(self, request, path, fields):
        if path == "/kv-key":
            item = self.items.get(fields["key"])
            return (404, None) if item is None else (200, self._stamp(item))
        if path == "/kv-range":
            after = fields.get("sinceRev", "")
            keys = sorted(
                key
                for key in self.items
                if key.startswith(fields["prefix"]) and key > after
            )
            page = [self.items[key] for key in keys[:PAGE_ITEMS]]
            is_truncated = len(keys) > PAGE_ITEMS
            return 200, self._stamp({"items": page, "truncated": is_truncated})
        if path == "/kv-watch":
            return 200, await self._watch(fields)
        if path == "/kv-txn":
            return await self._commit(json.loads(request.body))
        if path == "/kv-lease":
            lease = next(self._lease_ids)
            self.leases[lease] = time.monotonic()
            return 200, {"lease": lease, "ttlMs": json.loads(request.body)["ttlMs"]}
        if path.startswith("/kv-keep/"):
            is_known = int(path.rpartition("/")[2]) in self.leases
            return (200, {}) if is_known else (404, None)
        return 404, None

    def _stamp(self, document):
        return {**document, "currentRev": self.revision}

    async def _watch(self, fields):
        since, prefix = int(fields["sinceRev"]), fields["prefix"]

        def find_events():
            return [
                event
                for event in self.events
                if event["revision"] > since and event["key"].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(int(fields["waitMs"]) / 1000), self._changed:
                await self._changed.wait_for(find_events)
        except TimeoutError:
            pass
        return self._stamp({"events": find_events()})

    async def _commit(self, transaction):
        for condition in transaction["expectedRev"]:
            item = self.items.get(condition["key"], {"revision": 0})
            if item["revision"] != condition["revision"]:
                return 412, {"items": []}
        for write in transaction["writes"]:
            value = base64.b64decode(write["value"])
            await self.put(write["key"], value, write["lease"])
        for key in transaction["remove"]:
            await self.put(key, None)
        return 200, {"revision": self.revision}


class Replica(_Listener):
    """A sound replica, which answers each request after its work.

    :param replica_id: its id.
    :param service: service that it belongs to.
    :param slots: number of requests that it runs at once.
    :param work_s: time in seconds for a request, or for each event of a stream.
    :param events: number of events of a stream.
    :param record: record of the run.
    :ivar runs: ids of the requests that it ran.
    """

    def __init__(self, replica_id, service, record, slots=64, work_s=0.02, events=5):
        super().__init__()
        self.replica_id = replica_id
        self.service = service
        self.record = record
        self.slots = slots
        self.work_s = work_s
        self.events = events
        self.running = 0
        self.runs = set()

    def make_entry(self, **changes):
        """Return its entry in the list of replicas.

        :param changes: fields that differ.
        """
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "cankaya",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "seq": 1,
            "born": BORN_MS,
        }
        return {**entry, **changes}

    def make_headers(self, request):
        """Return the headers that each answer to a request bears."""
        return [
            ("Attempt-Id", request.attempt_id),
            ("Response-Seal", f"seal-{self.replica_id}"),
            ("Replica-Load", f"{self.running},0,{self.slots}"),
        ]

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        while (request := await read_request(reader)) is not None:
            if request.headers.get("expect-replica") not in (None, self.replica_id):
                headers = [("Attempt-Id", request.attempt_id), ("Content-Length", 0)]
                writer.write(make_head(421, headers))
                continue
            self.runs.add(request.attempt_id)
            self.running += 1
            try:
                await self.answer(request, writer)
            finally:
                self.running -= 1

    async def answer(self, request, writer):
        """Write the answer to one request."""
        if "prompt-prefix" in request.headers:
            await self.stream(request, writer)
            return
        await asyncio.sleep(self.work_s)
        body = b"done " + request.body
        headers = [*self.make_headers(request), ("Content-Length", len(body))]
        writer.write(make_head(200, headers) + body)
        await writer.drain()

    async def stream(self, request, writer):
        """Write a stream of events as the answer."""
        headers = [
            *self.make_headers(request),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        writer.write(make_head(200, headers))
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.work_s)
            event = b"id: %d\ndata: text\n\n" % number
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


@dataclass
class Answer:
    """What a client saw of one attempt.

    :param status: HTTP status code, zero if there was no answer.
    :param body: body as far as it was received.
    :param is_complete: whether the answer was complete.
    :param error: why there was none, empty if there was one.
    :param sent_s: monotonic time at which the request was sent.
    :param ended_s: monotonic time of the end of the answer, or of its failure.
    """

    attempt_id: str
    sent_s: float
    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    error: str = ""
    ended_s: float = 0.0

    @property
    def taken_s(self):
        """Return the time from the request to the end of the answer."""
        return self.ended_s - self.sent_s

    @property
    def has_proof(self):
        """Return whether the answer bears the proof of a replica."""
        return "response-seal" in self.headers


class Client:
    """A client with one connection, which it keeps while it may.

    :param address: address of the router that it is connected to.
    :param key: its API key.
    """

    _attempts = itertools.count(1)

    def __init__(self, address, key="key-ward"):
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._key = key
        self._streams = None

    @property
    def is_open(self):
        """Return whether the next call is sent on a kept connection."""
        return self._streams is not None

    async def call(self, target, deadline_ms, headers=(), body=b"", method="POST"):
        """Send a request and wait for its answer, up to the time limit.

        :param target: path of the request.
        :param deadline_ms: how long the client waits, in milliseconds.
        :param headers: further headers.
        :param body: body of the request.
        :returns: what was seen.
        """
        attempt_id = f"{os.getpid():x}{next(self._attempts):08x}"
        answer = Answer(attempt_id, time.monotonic())
        lines = [
            f"{method} {target} HTTP/1.1",
            "Host: muster.example",
            f"Attempt-Id: {attempt_id}",
            f"Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {self._key}",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in headers),
        ]
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(
                        self._host, self._port
                    )
                reader, writer = self._streams
                answer.sent_s = time.monotonic()
                writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
                await self._receive(reader, answer)
        except TimeoutError:
            answer.error = "no complete answer in the time limit"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer.error = repr(error)
        answer.ended_s = time.monotonic()
        if answer.error or answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def _receive(self, reader, answer):
        first, answer.headers = await read_head(reader)
        answer.status = int(first.split(" ")[1])
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while data := await read_chunk(reader):
                answer.body += data
        else:
            length = int(answer.headers.get("content-length", 0))
            answer.body = await reader.readexactly(length)
        answer.is_complete = True

    def close(self):
        """Close the connection; the next call opens another."""
        if self._streams is not None:
            self._streams[1].transport.abort()
        self._streams = None


SETTINGS = """\
node = "{node}"
role = "router"
machineClass = "front"
serves = ["front", "control"]
ip = "{ip}"
zone = "cankaya"
region = "ankara"
internalPorts = [{peer_port}, {last_port}]
seeds = [{seeds}]
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = [
  "base", "drain", "config", "cost", "retry", "recover",
  "engine", "stream", "tenants", "platform",
]
[zones]
cankaya = "ankara"
[listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
control = "{ip}:{control_port}"
[limits]
cpuShare = 0.817
cores = 1
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
maxStretchMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 58
recoveryS = 12
passMs = 120
reuseWindowS = 10
capFactor = 2
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
"""


class Router:
    """A router process, started with the command of the deploy file.

    :param folder: temporary folder for its settings and its log.
    :param store: address of the store.
    :param ip: loopback address that stands for its machine.
    :param ports: the ports front, ready, control and the first internal one.
    :param seeds: control addresses of other machines.
    """

    def __init__(self, folder, store, ip, ports, seeds=()):
        self.ip = ip
        self.front_port, self.ready_port, self.control_port, self.peer_port = ports
        self.address = f"{ip}:{self.front_port}"
        self._settings = Path(folder) / f"{ip}.toml"
        self.log = Path(folder) / f"{ip}.log"
        self._settings.write_text(
            SETTINGS.format(
                node=f"front-{ip}",
                ip=ip,
                front_port=self.front_port,
                ready_port=self.ready_port,
                control_port=self.control_port,
                peer_port=self.peer_port,
                last_port=self.peer_port + 15,
                seeds=", ".join(f'"{seed}"' for seed in seeds),
                store=store,
            )
        )
        self.process = None

    async def start(self):
        """Start the process."""
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        program, *arguments = shlex.split(deploy["roles"]["router"]["run"])
        paths = (REPOSITORY / "target/deps", REPOSITORY)
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "LANG": "C.UTF-8",
            "PYTHONPATH": os.pathsep.join(map(str, paths)),
            "BILBERRYSPRING_SETTINGS": str(self._settings),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                program,
                *arguments,
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self, timeout_s=1.0):
        """Ask the process whether it is ready, as the platform does.

        :param timeout_s: longest wait for the answer, in seconds.
        """
        writer = None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                first, _ = await read_head(reader)
                return first.split(" ")[1] == "200"
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            if writer is not None:
                writer.transport.abort()

    async def wait_ready(self):
        """Wait until the process is ready.

        :raises TimeoutError: if it isn't in time.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    def read_memory_mb(self):
        """Return the resident memory of the process, zero if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def signal(self, number):
        """Send a signal to the process.

        :param number: number of the signal.
        """
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def close(self):
        """Kill the process if it still runs."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Deployment:
    """A store, replicas and routers on one machine.

    :param folder: temporary folder.
    :param record: record of the run.
    """

    def __init__(self, folder, record):
        self.folder = folder
        self.record = record
        self.store = Store()
        self.replicas = []
        self.routers = []

    async def start(self, configuration, replicas, router_count=1):
        """Start everything and wait until the routers are ready.

        :param configuration: the operator's configuration.
        :param replicas: replicas that have not been started.
        :param router_count: number of routers.
        """
        await self.store.start()
        await self.store.put("op/config", configuration)
        for replica in replicas:
            await replica.start()
            self.replicas.append(replica)
            await self.store.put(f"servers/{replica.replica_id}", replica.make_entry())
        ports = [find_free_port() for _ in range(4)]
        ips = [f"127.0.0.{number}" for number in range(1, router_count + 1)]
        seeds = [f"{ip}:{ports[2]}" for ip in ips[:3]]
        for ip in ips:
            router = Router(self.folder, self.store.address, ip, ports, seeds)
            self.routers.append(router)
            await router.start()
            self.record.note(f"router {ip} started, process {router.process.pid}")
        for router in self.routers:
            await router.wait_ready()

    async def close(self):
        """End all processes and listeners."""
        for router in self.routers:
            await router.close()
        for replica in self.replicas:
            await replica.close()
        await self.store.close()


def run_case(play, folder, limit_s=110.0):
    """Run a case and exit with its result.

    :param play: coroutine function that plays the case with a deployment, and returns
        whether the rule held.
    :param folder: folder of the case, for ``record.txt``.
    :param limit_s: longest time of a run, in seconds.
    """
    import tempfile

    record = Record(Path(folder) / "record.txt")

    async def run():
        with tempfile.TemporaryDirectory() as temporary:
            deployment = Deployment(temporary, record)
            try:
                async with asyncio.timeout(limit_s):
                    return await play(deployment)
            finally:
                await deployment.close()

    try:
        code = HELD if asyncio.run(run()) else BROKEN
    except Exception as error:
        record.note(f"the case could not run: {error!r}")
        code = NOT_RUN
    verdict = {HELD: "held", BROKEN: "was broken", NOT_RUN: "was not checked"}[code]
    record.note(f"the rule {verdict} (exit code {code})")
    record.close()
    sys.exit(code)
