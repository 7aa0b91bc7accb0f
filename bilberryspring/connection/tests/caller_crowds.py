"""Crowds of callers that do not keep to the limits of an HTTP listener."""

import asyncio
import os
import re
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path

__all__ = [
    "FORMS",
    "MAX_BODY_BYTES",
    "MAX_HEADER_BYTES",
    "CrowdForm",
    "Observations",
    "Target",
    "play_crowd",
    "read_memory_mb",
]

MAX_BODY_BYTES = 1_000_000
MAX_HEADER_BYTES = 32_768
# Members press for this long, and stay connected afterwards.
PRESS_S = 2.0
RETURN_DELAY_S = 0.1
SAMPLE_INTERVAL_S = 0.05
CLIENT_BUFFER_BYTES = 4096
BLOCK_BYTES = 50_000


@dataclass(frozen=True)
class Target:
    """Where the members of a crowd send their requests.

    :param host: IP address of the listener.
    :param port: its TCP port.
    :param path: path of the requests.
    :param headers: header lines of each request.
    """

    host: str
    port: int
    path: str
    headers: tuple[str, ...] = ()

    def make_head(self, *lines, method="POST"):
        """Return the head of a request without the empty line that ends it."""
        start = f"{method} {self.path} HTTP/1.1"
        return "\r\n".join((start, *self.headers, *lines, "")).encode()


@dataclass(frozen=True)
class CrowdForm:
    """A way in which callers do not keep to the limits.

    :param make_blocks: returns the blocks that a member sends to a target.
    :param member_count: number of connections at once.
    :param pause_s: pause after each block.
    :param read_bytes: bytes that a member reads of the answers.
    :param read_pause_s: pause after each read of a kilobyte.
    """

    make_blocks: Callable[[Target], Iterable[bytes]]
    member_count: int
    pause_s: float = 0.0
    read_bytes: int = 0
    read_pause_s: float = 0.0


def _make_body(target, length_bytes, sent_bytes, piece_bytes):
    yield target.make_head(f"Content-Length: {length_bytes}") + b"\r\n"
    while sent_bytes:
        piece = min(piece_bytes, sent_bytes)
        yield b"x" * piece
        sent_bytes -= piece


def _make_chunks(target, size_bytes, ending=b""):
    yield target.make_head("Transfer-Encoding: chunked") + b"\r\n"
    block = b"64\r\n" + b"x" * 100 + b"\r\n"
    count = BLOCK_BYTES // 100
    for _ in range(size_bytes // 100 // count):
        yield block * count
    yield ending


def _make_fields(target, ending):
    lines = [f"f{number}:x" for number in range(480)]
    yield target.make_head("Content-Length: 0", *lines) + ending


def _repeat(blocks, count):
    data = b"".join(blocks)
    return [data] * count


def _make_bytes_of_head(target):
    data = target.make_head("Content-Length: 0", "Field: " + "x" * 1000)
    return (bytes([each]) for each in data)


FORMS = {
    "whole-bodies": CrowdForm(
        lambda t: _make_body(t, MAX_BODY_BYTES, MAX_BODY_BYTES, MAX_BODY_BYTES), 240
    ),
    "bodies-in-small-pieces": CrowdForm(
        lambda t: _make_body(t, MAX_BODY_BYTES, MAX_BODY_BYTES, 2_000), 120
    ),
    "bodies-in-chunks": CrowdForm(
        lambda t: _make_chunks(t, MAX_BODY_BYTES, b"0\r\n\r\n"), 120
    ),
    "bodies-one-byte-short": CrowdForm(
        lambda t: _make_body(t, MAX_BODY_BYTES, MAX_BODY_BYTES - 1, BLOCK_BYTES), 120
    ),
    "chunks-without-an-end": CrowdForm(lambda t: _make_chunks(t, MAX_BODY_BYTES), 120),
    "bodies-far-over-the-limit": CrowdForm(
        lambda t: _make_body(t, 10**9, 20_000_000, BLOCK_BYTES), 120
    ),
    "chunks-far-over-the-limit": CrowdForm(lambda t: _make_chunks(t, 20_000_000), 120),
    "field-far-over-the-limit": CrowdForm(
        lambda t: [t.make_head() + b"Field: ", *[b"x" * BLOCK_BYTES] * 60], 120
    ),
    "many-short-fields": CrowdForm(lambda t: _make_fields(t, b""), 240),
    "many-short-fields-ahead": CrowdForm(
        lambda t: _repeat(_make_fields(t, b"\r\n"), 100), 240
    ),
    "requests-ahead": CrowdForm(
        lambda t: _repeat([t.make_head("Content-Length: 0") + b"\r\n"], 20_000), 120
    ),
    "crawling-senders": CrowdForm(_make_bytes_of_head, 240, pause_s=0.2),
    "crawling-readers": CrowdForm(
        lambda t: [t.make_head(method="GET") + b"\r\n"],
        240,
        read_bytes=10**9,
        read_pause_s=0.2,
    ),
    "readers-that-stop": CrowdForm(
        lambda t: [t.make_head(method="GET") + b"\r\n"], 240, read_bytes=10_000
    ),
    "heads-that-stop": CrowdForm(lambda t: [t.make_head()], 240),
    "silent-connections": CrowdForm(lambda t: [], 240),
}


@dataclass
class Observations:
    """What a process held while a crowd pressed.

    :param peak_memory_mb: highest memory, with unread bytes.
    :param peak_sockets: highest number of sockets.
    """

    peak_memory_mb: float = 0.0
    peak_sockets: int = 0


def _list_sockets(pid):
    links = []
    for entry in Path(f"/proc/{pid}/fd").iterdir():
        try:
            links.append(str(entry.readlink()))
        except OSError:
            continue  # closed meanwhile
    return {link[8:-1] for link in links if link.startswith("socket:[")}


def read_memory_mb(pid):
    """Return the memory of a process with what its sockets have not read yet."""
    text = Path(f"/proc/{pid}/status").read_text()
    resident_kib = int(re.search(r"VmRSS:\s+(\d+)", text)[1])
    inodes = _list_sockets(pid)
    rows = (line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:])
    unread = sum(int(row[4].split(":")[1], 16) for row in rows if row[9] in inodes)
    return resident_kib / 1024 + unread / 1024**2


async def _press(form, target, end_s):
    """Connect once, send and read; return the connection, or None if it was ended."""
    loop = asyncio.get_running_loop()
    connection = socket.socket()
    connection.setblocking(False)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER_BYTES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    left_bytes = form.read_bytes
    try:
        async with asyncio.timeout_at(end_s):
            await loop.sock_connect(connection, (target.host, target.port))
            for block in form.make_blocks(target):
                await loop.sock_sendall(connection, block)
                await asyncio.sleep(form.pause_s)
            while left_bytes > 0:
                data = await loop.sock_recv(connection, 1000)
                if not data:
                    raise ConnectionError
                left_bytes -= len(data)
                await asyncio.sleep(form.read_pause_s)
    except TimeoutError:
        pass
    except OSError:
        connection.close()
        return None
    return connection


async def _take_part(form, target, end_s, held):
    loop = asyncio.get_running_loop()
    while loop.time() < end_s:
        connection = await _press(form, target, end_s)
        if connection is not None:
            held.append(connection)
            return
        await asyncio.sleep(RETURN_DELAY_S)


async def _watch(pid, end_s, observed):
    while asyncio.get_running_loop().time() < end_s:
        observe(pid, observed)
        await asyncio.sleep(SAMPLE_INTERVAL_S)


def observe(pid, observed):
    """Add a sample of what a process holds."""
    observed.peak_memory_mb = max(observed.peak_memory_mb, read_memory_mb(pid))
    observed.peak_sockets = max(observed.peak_sockets, len(_list_sockets(pid)))


async def play_crowd(form, targets, pid, check):
    """Let a crowd press on a process, then check it while the crowd stays connected.

    Members whose connection is ended come again. They are shared out among the targets.

    :param form: form of the crowd.
    :param targets: targets of its members.
    :param pid: id of the process.
    :param check: coroutine function that checks that an ordinary caller is served.
    :returns: the observations.
    """
    observed, held = Observations(), []
    end_s = asyncio.get_running_loop().time() + PRESS_S
    try:
        await asyncio.gather(
            _watch(pid, end_s, observed),
            *(
                _take_part(form, targets[number % len(targets)], end_s, held)
                for number in range(form.member_count)
            ),
        )
        await check()
        observe(pid, observed)
    finally:
        for connection in held:
            connection.close()
    await check()
    os.kill(pid, 0)
    return observed
