"""Stand-ins and helpers for the scripts of the cases, on loopback addresses.

The stand-ins follow the operators' pages: a metadata store, plain replicas whose
behaviour a case scripts, and clients that send one request at a time. They use the
standard library only. Routers are started as processes of their own, with the command
of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2


def find_free_ports(count, ip="127.0.0.1"):
    """Return ports that were free on an address a moment ago."""
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((ip, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Record:
    """Record of a run, written to a file line by line.

    :param path: path of the file.
    """

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._started_s = time.monotonic()

    def write(self, text):
        """Write one line with the time since the start of the run, in seconds."""
        self._file.write(f"{time.monotonic() - self._started_s:8.3f} {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


async def read_message(reader):
    """Read the head and the body of an HTTP/1.1 message with a length or none.

    :returns: start line, headers by name in lower case, and the body.
    :raises asyncio.IncompleteReadError: if the connection ends first.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start_line, *lines = head.split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return start_line, headers, body


class Store:
    """Stand-in of the platform's metadata store.

    :ivar items: value, revision, creation and lease by key.
    """

    def __init__(self, ip="127.0.0.1"):
        self.ip = ip
        self.port = 0
        self.items = {}
        self.revision = 1
        self._events = []
        self._changed = asyncio.Event()
        self._leases = {}
        self._next_lease = 1
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def open_second_address(self):
        """Listen on another free port too, which is the store's address from now on.

        :returns: function that closes the first address and its connections.
        """
        former, writers = self._server, self._writers
        self._writers = set()
        await self.start()

        def close_former():
            former.close()
            for writer in list(writers):
                writer.transport.abort()

        return close_former

    @property
    def address(self):
        """Address that settings name."""
        return f"{self.ip}:{self.port}"

    def put(self, key, value, lease=0):
        """Write a key; return its revision."""
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._add_event(item)
        return self.revision

    def remove(self, key):
        """Remove a key if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add_event({"key": key, "revision": self.revision, "tombstone": True})

    def _add_event(self, event):
        self._events.append((self.revision, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        writers = self._writers
        writers.add(writer)
        # A task that ends as cancelled makes the library print a traceback.
        ends = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ends):
            while True:
                line, _, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                status, document = await self._answer(method, target, body)
                data = json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        writers.discard(writer)
        writer.close()

    async def _answer(self, method, target, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        document = json.loads(body) if body else {}
        self._expire()
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "currentRev": self.revision}
        if url.path == "/kv-range":
            after = query.get("sinceRev", "")
            items = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(query["prefix"]) and key > after
            ]
            return 200, {
                "items": items,
                "truncated": False,
                "currentRev": self.revision,
            }
        if url.path == "/kv-watch":
            return await self._watch(query)
        if url.path == "/kv-txn":
            return self._commit(document)
        if url.path == "/kv-lease":
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            ttl_ms = document["ttlMs"]
            self._leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"lease": lease, "ttlMs": ttl_ms}
        lease = int(url.path.rpartition("/")[2])
        if lease not in self._leases:
            return 404, {}
        ttl_ms, _ = self._leases[lease]
        is_end = url.path.startswith("/kv-lease-end/")
        left_s = 0 if is_end else ttl_ms / 1000
        self._leases[lease] = (ttl_ms, time.monotonic() + left_s)
        self._expire()
        return 200, {"lease": lease, "ttlMs": ttl_ms}

    def _expire(self):
        now_s = time.monotonic()
        ended = [key for key, (_, end_s) in self._leases.items() if end_s <= now_s]
        for lease in ended:
            del self._leases[lease]
            for key in [k for k, item in self.items.items() if item["lease"] == lease]:
                self.remove(key)

    async def _watch(self, query):
        since, end_s = (
            int(query["sinceRev"]),
            time.monotonic() + int(query["waitMs"]) / 1000,
        )
        while True:
            events = [
                event
                for revision, event in self._events
                if revision > since and event["key"].startswith(query["prefix"])
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _commit(self, document):
        expected = document.get("expectedRev", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [
                    self.items[each["key"]]
                    for each in expected
                    if each["key"] in self.items
                ]
                return 412, {"items": found}
        for write in document.get("writes", []):
            if write["lease"] and write["lease"] not in self._leases:
                return 404, {}
        for write in document.get("writes", []):
            self.put(write["key"], base64.b64decode(write["value"]), write["lease"])
        for key in document.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Replica:
    """Stand-in of a replica; a case says how it answers.

    :param name: id of the replica.
    :param respond: coroutine function that gets the replica and the request, as its
        start line, headers, body and the connection's writer, and writes the response.
    :ivar arrivals: time, attempt id and path of each request that arrived.
    :ivar serve: serves one connection; a case may replace it before the start.
    """

    def __init__(self, name, respond, ip="127.0.0.1"):
        self.name = name
        self.ip = ip
        self.port = 0
        self.arrivals = []
        self.ran = []
        self._respond = respond
        self._server = None
        self._writers = set()
        self.serve = self._serve

    async def start(self):
        """Listen, on the same port as before if there was one."""
        self._server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        """Stop listening and end all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def refuse(self, writer, headers):
        """Answer that the request is for another replica."""
        write_response(writer, 421, headers, {"Not-Executed": "1"})

    def count_connections(self):
        """Return the number of open connections."""
        return len(self._writers)

    def make_entry(self, service, *, state="ready", slots=8, seq=1, born=1):
        """Return the entry of the replica in the store."""
        entry = {
            "service": service,
            "address": f"{self.ip}:{self.port}",
            "zone": "z1",
            "version": "v1",
            "slots": slots,
            "state": state,
            "coldRemainingMs": 0,
            "seq": seq,
            "born": born,
        }
        return json.dumps(entry).encode()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                if headers.get("expect-replica", self.name) != self.name:
                    self.refuse(writer, headers)
                    continue
                path = line.split(" ")[1]
                attempt = headers.get("attempt-id", "")
                self.arrivals.append((time.monotonic(), attempt, path))
                await self._respond(self, line, headers, body, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def write_response(writer, status, request_headers, headers=None, body=b"ok"):
    """Write a response with a length to a connection."""
    fields = {
        "Attempt-Id": request_headers.get("attempt-id", ""),
        "Content-Length": str(len(body)),
        **(headers or {}),
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    writer.write(f"HTTP/1.1 {status} Answer\r\n{lines}\r\n".encode() + body)


def make_settings(
    name, ip, store_address, ports, *, seeds=(), bounds=None, memory_mb=300, fds=4100
):
    """Return a settings file of a small deployment, in the platform's format.

    :param ports: ports of the front, readiness, control and internal addresses.
    """
    all_bounds = {
        "stableMs": 3000,
        "drainMs": 2000,
        "graceS": 8,
        "configApplyMs": 2000,
        "retryBudgetRatio": 0.2,
        "budgetWindowS": 10,
        "budgetExtra": 58,
        "recoveryS": 12,
        "capFactor": 2,
        **(bounds or {}),
    }
    front, ready, control, internal = ports
    lines = [
        f'node = "{name}"',
        'role = "router"',
        'machineClass = "front"',
        'serves = ["front","control"]',
        f'ip = "{ip}"',
        'zone = "z1"',
        'region = "r1"',
        f"internalPorts = [{internal},{internal}]",
        f"seeds = {json.dumps([f'{each}:{control}' for each in seeds])}",
        "bootstrap = true",
        "[zones]",
        'z1 = "r1"',
        "[listen]",
        f'front = "{ip}:{front}"',
        f'ready = "{ip}:{ready}"',
        f'control = "{ip}:{control}"',
        "[limits]",
        "cpuShare = 0.817",
        "cores = 1",
        f"memoryMb = {memory_mb}",
        f"maxFds = {fds}",
        "linkMbps = 1000.0",
        "[bounds]",
        *(f"{key} = {json.dumps(value)}" for key, value in all_bounds.items()),
        "[platform]",
        f'address = "{store_address}"',
        'form = "kv"',
        "writesPerS = 400",
        "readsPerS = 2000",
        "historyS = 20",
        "valueBytes = 1048576",
        "minTtlMs = 1000",
    ]
    return "\n".join(lines) + "\n"


class Router:
    """A router process of the deploy file, with its settings in a folder.

    :param folder: folder for the settings and the log.
    """

    def __init__(self, name, ip, store_address, ports, folder, **settings):
        self.name, self.ip = name, ip
        self.front, self.ready = ports[0], ports[1]
        self.path = Path(folder) / f"{name}.toml"
        self.path.write_text(
            make_settings(name, ip, store_address, ports, **settings), encoding="utf-8"
        )
        self._log_path = Path(folder) / f"{name}.log"
        self.process = None

    async def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["router"]["run"])
        environment = {
            **os.environ,
            "PYTHONPATH": f"{ROOT / 'target/deps'}:{ROOT}",
            "PYTHONDONTWRITEBYTECODE": "1",
            "BILBERRYSPRING_SETTINGS": str(self.path),
        }
        with open(self._log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send_signal(self, number):
        """Send a signal to the process, unless it has ended."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self, number=signal.SIGKILL, timeout_s=12.0):
        """End the process and return its exit code."""
        self.send_signal(number)
        return await asyncio.wait_for(self.process.wait(), timeout_s)

    async def is_ready(self):
        """Return whether the readiness address answers 200."""
        try:
            status, _, _ = await asyncio.wait_for(
                send(self.ip, self.ready, "GET", "/ready"), 1.0
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def wait_until_ready(self, timeout_s=15.0):
        """Return whether the router gets ready in time."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.02)
        return False

    def read_log(self):
        """Return what the process has written."""
        return self._log_path.read_text(errors="replace")


async def send(ip, port, method, path, headers=None, body=b"", timeout_s=None):
    """Send a request on a connection of its own and read the response.

    :returns: status, headers and body.
    :raises OSError: if the connection breaks.
    :raises asyncio.IncompleteReadError: if the response is incomplete.
    """

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            fields = {
                "Host": "case.example",
                "Connection": "close",
                "Content-Length": str(len(body)),
                **(headers or {}),
            }
            lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)
            line, found, content = await read_message(reader)
            return int(line.split(" ")[1]), found, content
        finally:
            writer.transport.abort()

    return await asyncio.wait_for(exchange(), timeout_s)


def make_configuration(version, routes, services, *, limits=None, tenants=None):
    """Return the operator's configuration, as it lies in the store."""
    document = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 370}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 10000,
            "idleTimeoutMs": 60000,
            **(limits or {}),
        },
    }
    if tenants is not None:
        document["tenants"] = tenants
    return json.dumps(document).encode()


def make_route(name, prefix, service, kind, **fields):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": "case.example",
        "prefix": prefix,
        "service": service,
        "kind": kind,
        "attempts": 2,
        "timeoutMs": 8000,
        "goalMs": 400,
        "priority": 1,
        "public": True,
        **fields,
    }


def run_case(run, record_path):
    """Run a case and exit with its result.

    :param run: coroutine function that gets a record and a temporary folder, and
        returns whether the rule was broken; an exception means that the case could not
        run.
    """
    record = Record(record_path)
    routers = []

    async def run_bounded(folder):
        try:
            return await asyncio.wait_for(run(record, folder, routers), 110)
        finally:
            for router in routers:
                if router.process is not None and router.process.returncode is None:
                    await router.stop()

    result = NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as folder:
            result = BROKEN if asyncio.run(run_bounded(folder)) else HELD
    except Exception as error:  # the case could not run
        record.write(f"could not run: {error!r}")
    verdict = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[result]
    record.write(f"result: {verdict}")
    record.close()
    sys.exit(result)
