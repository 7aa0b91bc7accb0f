"""Servers that send bytes without end beside sound ones, through a router process.

Guards against a router that stands still while it reads such bytes, against one that
runs out of memory, and against connections of such servers that stay open.
"""

import asyncio
import copy
import re
import time
from dataclasses import dataclass, field

import aiohttp
import pytest

from bilberryspring.connection.tests.caller_crowds import read_memory_mb
from bilberryspring.connection.tests.stream_server import make_stream_server
from bilberryspring.platform.tests.platform_standin import (
    CONFIGURATION,
    ServerStandin,
)
from bilberryspring.platform.tests.test_front_router import deployment
from bilberryspring.standin.addresses import make_address_block

__all__ = ["deployment"]

TROUBLE_S = 5.0
DRAFT_CLIENTS = 24
ORDER_CLIENTS = 6
# Time limit of the orders' route, and how long a readiness check may take.
MAX_ANSWER_S = 1.0
# Half of what the platform gives a machine.
MAX_MEMORY_MB = 150
# A route's time limit, and the time in which connections are closed after it.
MAX_OPEN_S = 4.0 + 0.5
MAX_STALL_S = 0.5
BLOCK_BYTES = 64 * 1024
MANY_CLIENTS = 90
UPLOAD_CLIENTS = 30
MAX_BODY_BYTES = 4 * 1024 * 1024
BOOK_BYTES = 6_000_000
BOOK_CLIENTS = 4


def make_configuration():
    """Return a configuration in which drafts and files have servers of their own."""
    configuration = copy.deepcopy(CONFIGURATION)
    orders, drafts, public = configuration["routes"]
    orders["timeoutMs"] = 1000
    drafts["split"] = [{"service": "writer", "weight": 1}]
    files = {**public, "name": "files", "prefix": "/files/", "service": "writer"}
    books = {**public, "name": "books", "prefix": "/books/", "timeoutMs": 8000}
    long_drafts = {**drafts, "name": "long", "prefix": "/long/", "timeoutMs": 10_000}
    configuration["routes"] += [
        {**files, "timeoutMs": 4000, "goalMs": 400},
        books,
        {**long_drafts, "attempts": 1, "resumable": False},
    ]
    configuration["limits"]["maxBodyBytes"] = MAX_BODY_BYTES
    configuration["services"].append(
        {"name": "writer", "healthPath": "/health", "maxConns": 200}
    )
    return configuration


@dataclass(frozen=True)
class Form:
    """A form of bytes without end.

    :param repeated: bytes that are repeated.
    :param status: status of the response.
    :param headers: further headers.
    :param is_chunk: whether each repetition is a chunk.
    :param start: bytes before the repeated ones, in place of a head.
    :param path: path of the requests.
    :param bytes_per_s: rate of the bytes on each connection; zero for no limit.
    """

    repeated: bytes
    status: int = 200
    headers: tuple[bytes, ...] = (b"Transfer-Encoding: chunked",)
    is_chunk: bool = True
    start: bytes | None = None
    path: str = "/drafts/x"
    bytes_per_s: int = 0

    def make_start(self, request_id):
        if self.start is not None:
            return self.start
        headers = (
            b"Attempt-Id: " + request_id,
            b"Response-Seal: seal",
            b"Content-Type: text/event-stream",
            *self.headers,
        )
        head = b"HTTP/1.1 %d Status\r\n%b\r\n\r\n"
        return head % (self.status, b"\r\n".join(headers))

    def make_block(self):
        data = self.repeated
        if self.is_chunk:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        return data * max(BLOCK_BYTES // len(data), 1)


UNFRAMED = (b"Connection: close",)
FORMS = {
    "event-in-bytes": Form(b"x"),
    "event-in-64-bytes": Form(b"x" * 64),
    "event-in-64-kibibytes": Form(b"x" * 65_536),
    "event-of-lines": Form(b"a\n"),
    "empty-events": Form(b"\n\n"),
    "comments": Form(b":\n\n"),
    "whole-events": Form(b"data: a\n\n"),
    "numbered-events": Form(b"id: 1\ndata: a\n\n"),
    "failure-in-bytes": Form(b"x", 500),
    "failure-in-64-bytes": Form(b"x" * 64, 500),
    "failure-unframed": Form(b"x" * 64, 500, UNFRAMED, is_chunk=False),
    "file-in-bytes": Form(b"x", path="/files/x"),
    "file-unframed": Form(b"x" * 64, headers=UNFRAMED, is_chunk=False, path="/files/x"),
    "interim-responses": Form(
        b"HTTP/1.1 102 Processing\r\n\r\n", is_chunk=False, start=b""
    ),
    "reason-phrase": Form(b"x", is_chunk=False, start=b"HTTP/1.1 200 "),
    "header-value": Form(b"x", is_chunk=False, start=b"HTTP/1.1 200 OK\r\nName: "),
    "headers": Form(b"a:\r\n", is_chunk=False, start=b"HTTP/1.1 200 OK\r\n"),
    "trailers": Form(
        b"a: b\r\n",
        is_chunk=False,
        start=b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    ),
    "chunk-extension": Form(
        b"x",
        is_chunk=False,
        start=b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
    ),
    "no-response": Form(b"\x00\xff", is_chunk=False, start=b""),
}


@dataclass
class EndlessServer:
    """A server whose responses have no end.

    :param form: form of the bytes.
    :ivar open_s: times for which its connections were open after a request.
    """

    form: Form
    open_s: list = field(default_factory=list)
    server: object = None
    port: int = 0

    async def start(self):
        self.server = make_stream_server(self._respond)
        _, self.port = await self.server.start()

    async def _respond(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return
        begun_s = time.monotonic()
        request_id = re.search(rb"Attempt-Id: ([^\r]*)", head)[1]
        block = self.form.make_block()
        try:
            writer.write(self.form.make_start(request_id))
            while True:
                writer.write(block)
                await writer.drain()
                rate = self.form.bytes_per_s
                await asyncio.sleep(len(block) / rate if rate else 0)
        except OSError:
            self.open_s.append(time.monotonic() - begun_s)
        finally:
            writer.transport.abort()

    def make_entry(self):
        entry = ServerStandin("e1").make_entry()
        address = f"127.0.0.1:{self.port}"
        return {**entry, "address": address, "service": "writer", "slots": 64}

    async def close(self):
        await self.server.close()


@dataclass
class Observations:
    """What the clients of a router and its platform saw.

    :param order_times_s: duration of each order.
    :param order_statuses: status of each order.
    :param readiness_times_s: duration of each readiness check.
    :param are_books_whole: whether each large answer was whole.
    :param peak_memory_mb: highest memory of the router, with unread bytes.
    """

    order_times_s: list = field(default_factory=list)
    order_statuses: list = field(default_factory=list)
    readiness_times_s: list = field(default_factory=list)
    are_books_whole: list = field(default_factory=list)
    peak_memory_mb: float = 0.0


async def order_repeatedly(session, router, client, end_s, observed):
    for number in range(1000):
        if time.monotonic() >= end_s:
            return
        sent_s = time.monotonic()
        headers = {
            "Host": "a.example",
            "Authorization": "Bearer k1",
            "Attempt-Id": f"o{client}-{number}",
            "Deadline-Ms": "4000",
        }
        async with session.post(
            f"{router.url}/orders/x", headers=headers, data=b"x" * 400
        ) as response:
            await response.read()
        observed.order_times_s.append(time.monotonic() - sent_s)
        observed.order_statuses.append(response.status)
        await asyncio.sleep(0.1)


def make_book():
    return bytes(range(256)) * (BOOK_BYTES // 256)


async def read_book_repeatedly(session, router, client, end_s, observed):
    """Get large answers of a sound server, which states their length."""
    book, number = make_book(), 0
    while time.monotonic() < end_s:
        number += 1
        headers = {"Host": "a.example", "Attempt-Id": f"b{client}-{number}"}
        headers["Deadline-Ms"] = "8000"
        async with session.get(f"{router.url}/books/x", headers=headers) as response:
            body = await response.read()
        observed.are_books_whole.append((response.status, body == book))
        await asyncio.sleep(0.5)


async def upload(session, router, path, client, end_s, chunk=b"ab"):
    """Send a body in chunks and never end it; return the answer."""
    data = b"%x\r\n%b\r\n" % (len(chunk), chunk)
    block_chunks = max(BLOCK_BYTES // len(data), 1)
    head = (
        f"POST {path} HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer k1\r\n"
        f"Attempt-Id: u{client}\r\nDeadline-Ms: 8000\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    reader, writer = await asyncio.open_connection(router.ip, router.port)
    answer = b""
    try:
        async with asyncio.timeout(end_s - time.monotonic()):
            writer.write(head.encode())
            for _ in range(MAX_BODY_BYTES // len(chunk) // block_chunks - 1):
                writer.write(data * block_chunks)
                await writer.drain()
            answer = await reader.readuntil(b"\r\n")
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        pass
    writer.transport.abort()
    return answer


async def request_repeatedly(session, router, path, client, end_s):
    method = "GET" if path.startswith("/files/") else "POST"
    for number in range(1000):
        if time.monotonic() >= end_s:
            return
        headers = {
            "Host": "a.example",
            "Authorization": "Bearer k1",
            "Attempt-Id": f"d{client}-{number}",
            "Deadline-Ms": "8000",
        }
        try:
            async with session.request(
                method, router.url + path, headers=headers
            ) as response:
                async for _ in response.content.iter_any():
                    await asyncio.sleep(0)
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(0.2)


async def watch_router(session, router, end_s, observed):
    while time.monotonic() < end_s:
        sent_s = time.monotonic()
        async with session.get(f"http://{router.ip}:{router.ready_port}/ready"):
            pass
        observed.readiness_times_s.append(time.monotonic() - sent_s)
        memory_mb = read_memory_mb(router.process.pid)
        observed.peak_memory_mb = max(observed.peak_memory_mb, memory_mb)
        await asyncio.sleep(0.05)


@pytest.fixture
async def play(deployment):
    """Let callers use a router beside a server whose responses have no end."""
    opened = []
    # Listeners of other tests take free ports of 127.0.0.1 at the same time.
    addresses = make_address_block()

    async def play_form(form, client_count=DRAFT_CLIENTS, call=request_repeatedly):
        endless, sound = EndlessServer(form), ServerStandin("w1", delay_s=0.02)
        deployment.server.large_body = make_book()
        opened.extend([endless, sound])
        await endless.start()
        await sound.start()
        await deployment.store.put("op/config", make_configuration())
        await deployment.store.put("servers/e1", endless.make_entry())
        sound_entry = sound.make_entry(service="writer", slots=64)
        await deployment.store.put("servers/w1", sound_entry)
        router = await deployment.add_router(ip=addresses.take_host())
        await router.wait_ready()
        observed = Observations()
        end_s = time.monotonic() + TROUBLE_S
        timeout = aiohttp.ClientTimeout(total=20)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            await asyncio.gather(
                watch_router(session, router, end_s, observed),
                *(
                    order_repeatedly(session, router, client, end_s, observed)
                    for client in range(ORDER_CLIENTS)
                ),
                *(
                    read_book_repeatedly(session, router, client, end_s, observed)
                    for client in range(BOOK_CLIENTS)
                ),
                *(
                    call(session, router, form.path, client, end_s)
                    for client in range(client_count)
                ),
            )
        return router, endless, observed

    yield play_form
    for server in opened:
        await server.close()
    addresses.close()


def read_stalls_s(router):
    lines = router.log_path.read_text().splitlines()
    stalls = [line for line in lines if "event=event_loop_stalled" in line]
    return [float(re.search(r"stall_s=(\S+)", line)[1]) for line in stalls]


@pytest.mark.parametrize("form", FORMS.values(), ids=FORMS)
async def test_neighbours_of_a_response_without_end_are_served(play, form):
    router, endless, observed = await play(form)
    assert endless.open_s, "no response without end was begun and closed"
    assert set(observed.order_statuses) == {200}
    assert max(observed.order_times_s) < MAX_ANSWER_S
    assert max(observed.readiness_times_s) < MAX_ANSWER_S
    assert observed.peak_memory_mb < MAX_MEMORY_MB
    assert max(endless.open_s) < MAX_OPEN_S
    assert max(read_stalls_s(router), default=0.0) < MAX_STALL_S
    assert set(observed.are_books_whole) == {(200, True)}
    lines = router.log_path.read_text().splitlines()
    given_up = [line for line in lines if "event=response_given_up" in line]
    keys = [re.search(r"request_id=\S+ server=\S+", line)[0] for line in given_up]
    assert len(keys) == len(set(keys)), "more than one line for a response"


SLOW_BYTES_PER_S = 900_000
MANY_FORMS = {
    "failure-at-full-speed": Form(
        b"x" * 64, 500, UNFRAMED, is_chunk=False, path="/long/x"
    ),
    "failure-unframed": Form(
        b"x" * 64,
        500,
        UNFRAMED,
        is_chunk=False,
        path="/long/x",
        bytes_per_s=SLOW_BYTES_PER_S,
    ),
    "failure-in-bytes": Form(b"x", 500, path="/long/x"),
    "event-in-64-kibibytes": Form(
        b"x" * 65_536, path="/long/x", bytes_per_s=SLOW_BYTES_PER_S
    ),
    "file-unframed": Form(
        b"x" * 64,
        headers=UNFRAMED,
        is_chunk=False,
        path="/files/x",
        bytes_per_s=SLOW_BYTES_PER_S,
    ),
    "headers": Form(b"a:\r\n", is_chunk=False, start=b"HTTP/1.1 200 OK\r\n"),
}


@pytest.mark.parametrize("form", MANY_FORMS.values(), ids=MANY_FORMS)
async def test_memory_is_bounded_over_all_responses_without_end(play, form):
    router, _, observed = await play(form, MANY_CLIENTS)
    assert observed.peak_memory_mb < MAX_MEMORY_MB
    assert set(observed.order_statuses) == {200}
    assert max(observed.order_times_s) < MAX_ANSWER_S
    assert set(observed.are_books_whole) == {(200, True)}


@pytest.mark.parametrize("chunk", [b"ab", b"x" * 16_384], ids=["bytes", "kibibytes"])
async def test_memory_is_bounded_over_all_bodies_that_callers_send(play, chunk):
    sound_form = Form(b"data: a\n\n", path="/open/x")
    answers = []

    async def call(*args):
        answers.append(await upload(*args, chunk))

    router, _, observed = await play(sound_form, UPLOAD_CLIENTS, call)
    assert observed.peak_memory_mb < MAX_MEMORY_MB
    assert set(observed.order_statuses) == {200}
    assert max(observed.order_times_s) < MAX_ANSWER_S
    if len(chunk) > 2:
        # All bodies together exceed the bound, so some are refused as not run.
        assert b"HTTP/1.1 503 Service Unavailable\r\n" in answers
        assert b"" in answers
    assert set(answers) <= {b"", b"HTTP/1.1 503 Service Unavailable\r\n"}
