"""Stand-ins for the platform's store, servers and clients, and a launcher of routers.

Only the standard library is used. Every address is a loopback address.
"""

import asyncio
import base64
import itertools
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Exit codes; run.sh turns any other than the first two into 2.
HELD, BROKEN, NOT_RUN = 0, 10, 2
HEARTBEAT_S = 1.2
REASONS = {200: "OK", 500: "Internal Server Error", 503: "Service Unavailable"}


class CaseError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, in the order in which it was noted."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._begun_s = time.monotonic()

    def note(self, text: str) -> None:
        """Write a line with the time since the begin."""
        self._file.write(f"{time.monotonic() - self._begun_s:8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Note a line and print it."""
        self.note(text)
        print(text, flush=True)


def find_ports(count: int, ip: str = "127.0.0.1") -> list[int]:
    """Return free ports for TCP."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind((ip, 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


async def read_head(reader) -> tuple[str, list[tuple[str, str]]] | None:
    """Return the first line and the headers, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines if line]
    return first, [(name.strip().lower(), value.strip()) for name, _, value in pairs]


async def read_body(reader, headers: dict[str, str]) -> bytes:
    """Return a body of a stated length, or in chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Answer')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """The platform's metadata store; all of its calls are linearizable."""

    def __init__(self, record: Record):
        self._record = record
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._revision = 10
        self._leases: dict[int, set[str]] = {}
        self._lease_ids = itertools.count(1)
        self._changed = asyncio.Condition()
        self._server = None
        self.answer_delay_s = 0.004
        # While it is not set, the store answers nothing.
        self.answers = asyncio.Event()
        self.answers.set()
        self.address = ""

    async def start(self) -> None:
        """Start."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def put(self, key: str, value: object, lease: int = 0) -> int:
        """Write a key, or remove it if the value is None; return the revision."""
        return await self._commit([(key, value, lease)])

    async def _commit(self, changes) -> int:
        async with self._changed:
            self._revision += 1
            for key, value, lease in changes:
                if value is None:
                    self._items.pop(key, None)
                    event = {"key": key, "revision": self._revision, "tombstone": True}
                else:
                    data = value if isinstance(value, bytes) else _encode(value)
                    event = {
                        "key": key,
                        "value": base64.b64encode(data).decode(),
                        "revision": self._revision,
                        "created": self._items.get(key, {}).get(
                            "created", self._revision
                        ),
                        "lease": lease,
                    }
                    self._items[key] = event
                    if lease:
                        self._leases[lease].add(key)
                self._events.append(event)
            self._changed.notify_all()
            return self._revision

    async def _serve(self, reader, writer) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                first, pairs = head
                method, target, _ = first.split(" ")
                body = await read_body(reader, dict(pairs))
                document = json.loads(body) if body else {}
                await self.answers.wait()
                path, _, query = target.partition("?")
                fields = dict(part.split("=", 1) for part in query.split("&") if part)
                status, answer = await self._handle(method, path, fields, document)
                await asyncio.sleep(self.answer_delay_s)
                await self.answers.wait()
                headers = {"Content-Type": "application/json"}
                writer.write(encode_answer(status, headers, _encode(answer)))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(self, method, path, fields, document) -> tuple[int, dict]:
        if path == "/kv-key":
            item = self._items.get(fields["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "currentRev": self._revision}
        if path == "/kv-range":
            items = [
                item
                for key, item in sorted(self._items.items())
                if key.startswith(fields["prefix"])
            ]
            return 200, {
                "items": items,
                "truncated": False,
                "currentRev": self._revision,
            }
        if path == "/kv-watch":
            return await self._watch(fields)
        if path == "/kv-txn":
            return await self._transact(document)
        if path == "/kv-lease":
            lease = next(self._lease_ids)
            self._leases[lease] = set()
            return 200, {"lease": lease, "ttlMs": document["ttlMs"]}
        if path.startswith("/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            return (200 if lease in self._leases else 404), {}
        if path.startswith("/kv-lease-end/"):
            keys = self._leases.pop(int(path.rpartition("/")[2]), set())
            await self._commit([(key, None, 0) for key in keys])
            return 200, {}
        return 404, {}

    async def _watch(self, fields) -> tuple[int, dict]:
        prefix, since = fields["prefix"], int(fields["sinceRev"])
        end_s = time.monotonic() + int(fields["waitMs"]) / 1000
        async with self._changed:
            while True:
                events = [
                    event
                    for event in self._events
                    if event["revision"] > since and event["key"].startswith(prefix)
                ]
                left_s = end_s - time.monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events, "currentRev": self._revision}
                try:
                    async with asyncio.timeout(left_s):
                        await self._changed.wait()
                except TimeoutError:
                    pass

    async def _transact(self, document) -> tuple[int, dict]:
        expected = document.get("expectedRev", [])
        for row in expected:
            if self._items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                items = [
                    self._items[r["key"]] for r in expected if r["key"] in self._items
                ]
                return 412, {"items": items}
        writes = document.get("writes", [])
        if any(row.get("lease", 0) not in {0, *self._leases} for row in writes):
            return 404, {}
        changes = [
            (row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
            for row in writes
        ]
        changes += [(key, None, 0) for key in document.get("remove", [])]
        return 200, {"revision": await self._commit(changes)}


def _encode(value: object) -> bytes:
    return json.dumps(value).encode()


class Server:
    """A replica of a plain service, which reports itself in the store.

    :ivar crashes_on: a request with these bytes in its body ends the server.
    :ivar choose: called with the headers of each request that is to run; returns
        "good", "fail" (status 500 with a seal) or "shed" (503 that states not run).
    :ivar runs: Attempt-Id and time of each run.
    :ivar arrivals: Attempt-Id and time of each arrival.
    """

    def __init__(
        self,
        record,
        store,
        server_id,
        service,
        work_s=0.01,
        slots=64,
        zone="z1",
        keep_alive_s=5,
    ):
        self._record, self._store = record, store
        self.server_id, self._service = server_id, service
        self._work_s, self._slots, self._zone = work_s, slots, zone
        self._keep_alive_s = keep_alive_s
        self._running = 0
        self._seq = 0
        self._born_ms = round(time.time() * 1000)
        self._tasks = []
        self.state = "ready"
        self.is_up, self.reports = False, True
        self._writers = set()
        self.cold_until_s = 0.0
        self.choose = lambda headers: "good"
        self.crashes_on = b""
        self.runs: list[tuple[str, float]] = []
        self.arrivals: list[tuple[str, float]] = []

    async def start(self) -> None:
        """Start."""
        await self._listen(0)
        self._tasks.append(asyncio.create_task(self._report_often()))

    async def _listen(self, port: int) -> None:
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.is_up = True
        await self.report()

    def crash(self, back_after_s: float) -> None:
        """End all connections at once, and start again later under the same id."""
        self._record.note(f"{self.server_id} crashes")
        self.is_up = False
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._tasks.append(asyncio.create_task(self._start_again(back_after_s)))

    async def leave_unannounced(self) -> None:
        """Remove the entry, and go on serving."""
        self.reports = False
        await self._store.put(f"servers/{self.server_id}", None)

    def exit(self) -> None:
        """End all connections for good."""
        self._record.note(f"{self.server_id} exits")
        self.is_up = False
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _start_again(self, back_after_s: float) -> None:
        await asyncio.sleep(back_after_s)
        self._seq, self._born_ms = 0, round(time.time() * 1000)
        await self._listen(self.port)
        self._record.note(f"{self.server_id} is back")

    async def _report_often(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.is_up and self.reports:
                await self.report()

    def find_cold_ms(self) -> int:
        """Return for how many milliseconds it stays cold."""
        return max(round((self.cold_until_s - time.monotonic()) * 1000), 0)

    async def report(self) -> None:
        """Write its entry, unless the store is down."""
        if not self._store.answers.is_set():
            return
        self._seq += 1
        entry = {
            "service": self._service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self._zone,
            "version": 1,
            "slots": self._slots,
            "state": self.state,
            "coldRemainingMs": self.find_cold_ms(),
            "seq": self._seq,
            "born": self._born_ms,
        }
        await self._store.put(f"servers/{self.server_id}", entry)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                async with asyncio.timeout(self._keep_alive_s):
                    head = await read_head(reader)
                if head is None:
                    return
                first, pairs = head
                headers = dict(pairs)
                body = await read_body(reader, headers)
                answer = await self._answer(first, headers, body)
                if not self.is_up:
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, first: str, headers: dict[str, str], body: bytes) -> bytes:
        load = f"{self._running},0,{self._slots}"
        common = {"Replica-Load": load, "Keep-Alive": f"timeout={self._keep_alive_s}"}
        request_id = headers.get("attempt-id")
        if first.split(" ")[1] == "/health":
            common["Replica-Id"] = self.server_id
            common["Cold-Ms"] = str(self.find_cold_ms())
            return encode_answer(200, common, b"")
        if request_id is None:
            return encode_answer(400, {**common, "Not-Executed": "1"}, b"")
        common["Attempt-Id"] = request_id
        if headers.get("expect-replica", self.server_id) != self.server_id:
            return encode_answer(421, {**common, "Not-Executed": "1"}, b"")
        self.arrivals.append((request_id, time.monotonic()))
        choice = self.choose(headers)
        if choice == "shed" or self._running >= self._slots:
            self._record.note(f"{self.server_id} rejects {request_id}")
            return encode_answer(503, {**common, "Not-Executed": "1"}, b"")
        self.runs.append((request_id, time.monotonic()))
        self._record.note(f"{self.server_id} runs {request_id} {first}")
        if self.crashes_on and self.crashes_on in body:
            self.crash(2.0)
            return b""
        self._running += 1
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self._running -= 1
        answer = f"{self.server_id} {request_id}\n".encode() + b"x" * 700
        common["Response-Seal"] = f"{self.server_id}.{len(answer)}"
        status = 500 if choice == "fail" else 200
        self._record.note(f"{self.server_id} answers {request_id} with {status}")
        return encode_answer(status, common, answer)


class Client:
    """A client that keeps one connection and sends one request at a time on it."""

    def __init__(self, record: Record, address: str):
        self._record = record
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._streams = None

    async def send(
        self, method, host, path, request_id, deadline_ms, key="", body=b""
    ) -> int:
        """Send a request; return the status, 0 if the connection ended without one."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {host}",
            f"Attempt-Id: {request_id}",
            f"Deadline-Ms: {deadline_ms}",
            f"Content-Length: {len(body)}",
        ]
        if key:
            lines.append(f"Authorization: Bearer {key}")
        self._record.note(f"client sends {request_id} {method} {host}{path} {key}")
        status, note = 0, "no answer"
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(
                        self._host, self._port
                    )
                reader, writer = self._streams
                writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                head = await read_head(reader)
                if head is not None:
                    headers = dict(head[1])
                    content = await read_body(reader, headers)
                    status, note = int(head[0].split(" ")[1]), content[:60]
                    if headers.get("connection", "").lower() == "close":
                        self.close()
                else:
                    self.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            note = repr(error)
            self.close()
        self._record.note(f"client gets {request_id} {status} {note!r}")
        return status

    def close(self) -> None:
        """Close."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class Router:
    """A router process, started with the command of the deploy file."""

    def __init__(self, record, folder, number, store_address, ports, **bounds):
        self.limits = {"memoryMb": 300, "maxFds": 4100}
        self._record, self._folder = record, Path(folder)
        self.name = f"front-{number}"
        self.ip = f"127.0.0.{10 + number}"
        self._log = self._folder / f"{self.name}.log"
        self._settings = self._folder / f"{self.name}.toml"
        self.front = f"{self.ip}:{ports[0]}"
        self.ready = f"{self.ip}:{ports[1]}"
        self._ports, self._store_address = ports, store_address
        self._bounds = bounds
        self.process = None

    def write_settings(self, seeds=()) -> None:
        """Write the settings file in the format of the platform."""
        bounds = {
            "seedLagS": 3,
            "reuseAfterS": 2,
            "stableMs": 3000,
            "ackMs": 4000,
            "catchUpS": 4,
            "drainMs": 2000,
            "graceS": 8,
            "lossSlackMs": 200,
            "configApplyMs": 2000,
            "downgradeSlackMs": 250,
            "maxStretchMs": 5000,
            "retryBudgetRatio": 0.2,
            "budgetWindowS": 10,
            "budgetExtra": 58,
            "recoveryS": 12,
            "passMs": 120,
            "reuseWindowS": 10,
            "capFactor": 2,
            **self._bounds,
        }
        first = self._ports[3]
        lines = [
            f'node = "{self.name}"',
            'role = "router"',
            'machineClass = "front"',
            'serves = ["front","control"]',
            f'ip = "{self.ip}"',
            'zone = "z1"',
            'region = "r1"',
            f"internalPorts = [{first},{first}]",
            f"seeds = {json.dumps(list(seeds))}",
            "bootstrap = true",
            'discovery = "platform"',
            'entry = "vip"',
            "heartbeatMs = 1200",
            "[zones]",
            'z1 = "r1"',
            'z2 = "r1"',
            "[listen]",
            f'front = "{self.front}"',
            f'ready = "{self.ready}"',
            f'control = "{self.ip}:{self._ports[2]}"',
            "[limits]",
            "cpuShare = 0.817",
            "cores = 1",
            *[f"{name} = {value}" for name, value in self.limits.items()],
            "linkMbps = 1000.0",
            "[bounds]",
            *[f"{name} = {value}" for name, value in bounds.items()],
            "[platform]",
            f'address = "{self._store_address}"',
            'form = "kv"',
            "writesPerS = 400",
            "readsPerS = 2000",
            "historyS = 20",
            "valueBytes = 1048576",
            "minTtlMs = 1000",
        ]
        self._settings.write_text("\n".join(lines) + "\n")

    async def start(self) -> None:
        """Start."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["router"]["run"].split(" ")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BILBERRYSPRING_SETTINGS": str(self._settings),
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.note(f"{self.name} started")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._record.note(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether it answers the readiness check with 200."""
        host, _, port = self.ready.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                return head is not None and " 200 " in head[0]
        except (OSError, TimeoutError):
            return False

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until it is ready."""
        end_s = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > end_s or self.process.returncode is not None:
                raise CaseError(f"{self.name} is not ready: {self.read_log()[-2000:]}")
            await asyncio.sleep(0.05)
        self._record.note(f"{self.name} is ready")

    def read_log(self) -> str:
        """Return what all its starts have logged."""
        return self._log.read_text(errors="replace")

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Link:
    """A proxy on the path between routers and the store.

    It can hold up all bytes for a while, or make connections silent for good: they stay
    open and carry nothing more, while new ones work.
    """

    def __init__(self, record: Record, target: str):
        self._record = record
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._is_whole = asyncio.Event()
        self._is_whole.set()
        self._connections: list[dict] = []
        self._calls: list[tuple[float, str]] = []
        self.address = ""

    async def start(self) -> None:
        """Start."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def cut(self) -> None:
        """Hold up all bytes from now on."""
        self._is_whole.clear()

    def heal(self) -> None:
        """Let the bytes pass that were held up, and all later ones."""
        self._is_whole.set()

    def count_calls(self, text: str, since_s: float) -> int:
        """Return how many calls since a time had a text in their first line."""
        return sum(text in line for at_s, line in self._calls if at_s >= since_s)

    def silence(self, idle_s: float) -> None:
        """Make the open connections silent that carried nothing for some time."""
        now_s = time.monotonic()
        is_open = [each for each in self._connections if not each["is_closed"]]
        chosen = [each for each in is_open if now_s - each["used_s"] >= idle_s]
        for each in chosen:
            each["is_silent"] = True
            self._record.note(f"silent from now on: {each['last']}")
        self._record.say(f"{len(chosen)} of {len(is_open)} connections went silent")

    async def _serve(self, reader, writer) -> None:
        state = {
            "used_s": time.monotonic(),
            "is_silent": False,
            "is_closed": False,
            "last": "",
        }
        self._connections.append(state)
        await self._is_whole.wait()
        streams = await asyncio.open_connection(self._host, self._port)
        await asyncio.gather(
            self._pass_on(reader, streams[1], state, True),
            self._pass_on(streams[0], writer, state, False),
        )

    async def _pass_on(self, reader, writer, state, is_call) -> None:
        try:
            while data := await reader.read(65536):
                if state["is_silent"]:
                    continue
                state["used_s"] = time.monotonic()
                if is_call:
                    state["last"] = data.split(b"\r\n")[0].decode("latin-1")
                    self._calls.append((state["used_s"], state["last"]))
                await self._is_whole.wait()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        state["is_closed"] = True
        if not state["is_silent"]:
            writer.close()


class Fleet:
    """A store, servers and routers in a temporary folder."""

    def __init__(self, folder: Path):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.store = Store(self.record)
        self.routers: list[Router] = []
        self.servers: list[Server] = []

    async def start_routers(self, count, addresses=(), limits=None, **bounds) -> None:
        """Start routers.

        :param count: number of routers.
        :param addresses: address of the store for each router; by default its own.
        :param limits: limits of the machines that differ from the usual ones.
        :param bounds: bounds that differ from the usual ones.
        """
        # All machines use the same ports, on addresses of their own.
        ports = find_ports(4)
        addresses = addresses or [self.store.address] * count
        self.routers = [
            Router(self.record, self.folder, number, address, ports, **bounds)
            for number, address in zip(range(1, count + 1), addresses, strict=True)
        ]
        for router in self.routers:
            router.limits |= limits or {}
            router.write_settings(
                [f"{each.ip}:{ports[2]}" for each in self.routers[:3]]
            )
            await router.start()
        for router in self.routers:
            await router.wait_ready()

    async def add_server(self, server_id: str, service: str, **options) -> Server:
        """Start a server."""
        server = Server(self.record, self.store, server_id, service, **options)
        await server.start()
        self.servers.append(server)
        return server

    async def close(self) -> None:
        """Close."""
        for router in self.routers:
            await router.end()
        for path in self.folder.iterdir():
            path.unlink()
        self.folder.rmdir()


def make_route(name, prefix, service, kind, **fields) -> dict:
    """Return a route; the fields are added to the usual ones."""
    return {
        "name": name,
        "host": "shop.example",
        "prefix": prefix,
        "service": service,
        "kind": kind,
        "timeoutMs": 2000,
        "goalMs": 400,
        "priority": 2,
        "attempts": 2 if kind == "safe" else 1,
        **fields,
    }


def make_configuration(version, routes, services, tenants=None, **fields) -> dict:
    """Return a configuration; the fields are those of each service."""
    document = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 110, **fields}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 10000,
            "idleTimeoutMs": 60000,
        },
    }
    if tenants is not None:
        document["tenants"] = [
            {"name": name, "apiKeys": keys, "priority": 1}
            for name, keys in tenants.items()
        ]
    return document


def run_case(run, folder: Path) -> None:
    """Run a case and exit with its result.

    :param run: coroutine function that takes the fleet and returns whether the rule
        held.
    """

    async def run_to_end() -> int:
        fleet = Fleet(folder)
        try:
            async with asyncio.timeout(110.0):
                await fleet.store.start()
                has_held = await run(fleet)
        except Exception as error:
            fleet.record.say(f"the case could not run: {error!r}")
            return NOT_RUN
        finally:
            if os.environ.get("KEEP_LOGS"):
                for router in fleet.routers:
                    print(router.name, router.read_log()[-20000:], file=sys.stderr)
            await fleet.close()
            # What the stand-ins still do is cancelled with the event loop.
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda loop, context: None)
        fleet.record.say("the rule held" if has_held else "the rule was broken")
        return HELD if has_held else BROKEN

    sys.exit(asyncio.run(run_to_end()))
