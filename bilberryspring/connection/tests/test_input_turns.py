"""Connections parse what they receive in turns.

Guards against an event loop that stands still while many connections parse large reads,
and against bytes that are lost or overtaken.
"""

import asyncio
import socket
import time

import pytest
import uvloop

from bilberryspring.connection.input_turns import (
    DIRECT_BYTES,
    READ_BYTES,
    RECEIVE_BUFFER_BYTES,
    SLICE_BYTES,
    TurnProtocol,
)

# A slice takes this long to parse here, so that a run of turns is one slice.
PARSE_TIME_S = 0.01
MAX_LAG_S = 0.1


class SlowParser(TurnProtocol):
    """Connection that parses slowly and records what it parsed."""

    def __init__(self):
        super().__init__()
        self.slices = []
        self.has_room = True

    def parse(self, data):
        until_s = time.perf_counter() + PARSE_TIME_S
        while time.perf_counter() < until_s:
            pass
        self.slices.append(data)

    def may_read(self):
        return self.has_room


class FakeTransport:
    """Transport that records whether reading is paused, and the socket's options."""

    is_paused = False

    def __init__(self):
        self.options = {}

    def get_extra_info(self, name):
        return {"socket": self}[name]

    def setsockopt(self, level, option, value):
        self.options[option] = value

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def is_closing(self):
        return False


@pytest.fixture
def connect():
    def make():
        connection = SlowParser()
        connection.connection_made(FakeTransport())
        return connection

    return make


async def test_large_reads_of_many_connections_let_other_tasks_run(connect):
    connections = [connect() for _ in range(8)]
    for number, connection in enumerate(connections):
        connection.data_received(bytes([number]) * READ_BYTES)
        assert connection._transport.is_paused
    longest_s, last_s = 0.0, time.perf_counter()
    while any(sum(map(len, each.slices)) < READ_BYTES for each in connections):
        await asyncio.sleep(0.001)
        now_s = time.perf_counter()
        longest_s, last_s = max(longest_s, now_s - last_s), now_s
    # All of it takes 0.64 s.
    assert longest_s < MAX_LAG_S
    for number, connection in enumerate(connections):
        assert b"".join(connection.slices) == bytes([number]) * READ_BYTES
        assert max(map(len, connection.slices)) <= SLICE_BYTES
        assert not connection._transport.is_paused


async def test_connections_take_turns(connect):
    first, second = connect(), connect()
    first.data_received(b"a" * READ_BYTES)
    second.data_received(b"b" * (DIRECT_BYTES + 1))
    while not second.slices:
        await asyncio.sleep(0.001)
    assert len(first.slices) <= 2


async def test_connection_that_took_the_least_time_comes_first(connect):
    slow = [connect() for _ in range(8)]
    for connection in slow:
        connection.data_received(b"a" * READ_BYTES)
    while not all(connection.slices for connection in slow):
        await asyncio.sleep(0.001)
    late = connect()
    counts = sum(len(connection.slices) for connection in slow)
    late.data_received(b"b" * READ_BYTES)
    while not late.slices:
        await asyncio.sleep(0.001)
    assert sum(len(connection.slices) for connection in slow) <= counts + 1


async def test_small_reads_are_parsed_at_once_and_in_order(connect):
    connection = connect()
    connection.data_received(b"a")
    assert connection.slices == [b"a"]
    connection.data_received(b"b" * READ_BYTES)
    connection.data_received(b"c")
    connection.parse_rest()
    assert b"".join(connection.slices) == b"a" + b"b" * READ_BYTES + b"c"


async def test_what_the_kernel_receives_is_bounded(connect):
    options = connect()._transport.options
    assert options == {socket.SO_RCVBUF: RECEIVE_BUFFER_BYTES}


async def test_reading_pauses_while_there_is_no_room(connect):
    connection = connect()
    connection.has_room = False
    connection.data_received(b"a")
    assert connection._transport.is_paused
    connection.has_room = True
    connection.update_reading()
    assert not connection._transport.is_paused


async def receive(size_bytes):
    """Send bytes over a socket; return what the connection parsed before the end."""
    parsed, ended = [], asyncio.Event()

    class Receiver(TurnProtocol):
        def parse(self, data):
            parsed.append(data)

        def connection_lost(self, exc):
            self.parse_rest()
            ended.set()

    loop = asyncio.get_running_loop()
    listener = await loop.create_server(Receiver, "127.0.0.1", 0)
    _, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
    data = bytes(range(256)) * (size_bytes // 256)
    writer.write(data)
    writer.close()
    async with asyncio.timeout(5):
        await ended.wait()
    listener.close()
    return b"".join(parsed) == data


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_all_bytes_before_the_end_of_a_connection_are_parsed(run):
    assert run(receive(4_000_000))
