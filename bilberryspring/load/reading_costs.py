"""Processor time and event loop lag of reading responses in chunks of any size."""

import asyncio
import multiprocessing
import socket
import time
from collections.abc import Iterable
from dataclasses import dataclass

from bilberryspring.connection.http_backend import (
    BackendConnection,
    ConnectionFailure,
    open_connection,
)
from bilberryspring.load.tables import format_number, format_table
from bilberryspring.request.event_splitter import make_event_splitter

__all__ = ["CHUNK_SIZES", "ReadingCost", "format_reading_costs", "measure_reading"]

CHUNK_SIZES = (1, 64, 4096, 65_536)
STREAM_COUNT = 6
EVENT = b"data: " + b"x" * 56 + b"\n\n"
TICK_INTERVAL_S = 0.001
START_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class ReadingCost:
    """Cost of reading streams of events at once.

    :param chunk_bytes: content of each chunk of the streams.
    :param body_bytes: content of all streams.
    :param cpu_s: processor time of the event loop's thread.
    :param longest_lag_s: longest time for which another task had to wait.
    """

    chunk_bytes: int
    body_bytes: int
    cpu_s: float
    longest_lag_s: float


def _serve(listener: socket.socket, chunk_bytes: int, stream_bytes: int) -> None:
    """Answer each connection with a stream, in a process of its own."""
    content = EVENT * (max(chunk_bytes, len(EVENT)) // len(EVENT))
    chunks = [
        content[start : start + chunk_bytes]
        for start in range(0, len(content), chunk_bytes)
    ]
    block = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)

    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(stream_bytes // len(content)):
            writer.write(block)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        writer.close()

    async def serve() -> None:
        server = await asyncio.start_server(respond, sock=listener)
        await server.serve_forever()

    asyncio.run(serve())


async def _read_stream(connection: BackendConnection) -> int:
    splitter, size_bytes = make_event_splitter(), 0
    connection.send(b"GET / HTTP/1.1\r\n\r\n")
    await connection.read_head()
    while isinstance(chunk := await connection.read_chunk(), bytes):
        size_bytes += len(splitter.feed(chunk))
    return size_bytes


async def measure_reading(
    chunk_bytes: int, stream_bytes: int = 1_000_000
) -> ReadingCost:
    """Read several streams at once, and look how long another task waits.

    :param chunk_bytes: content of each chunk.
    :param stream_bytes: content of each stream, rounded to whole chunks.
    :raises ConnectionError: if a connection fails.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    host, port = listener.getsockname()
    process = multiprocessing.get_context("spawn").Process(
        target=_serve, args=(listener, chunk_bytes, stream_bytes), daemon=True
    )
    process.start()
    connections = []
    try:
        for _ in range(STREAM_COUNT):
            connection = await open_connection(host, port, START_TIMEOUT_S)
            if isinstance(connection, ConnectionFailure):
                raise ConnectionError(connection.reason)
            connections.append(connection)
        # The streams begin when the process has started, which the first one shows.
        await _read_stream(connections.pop())
        begun_cpu_s = time.thread_time()
        reading = asyncio.gather(*(_read_stream(each) for each in connections))
        longest_s, last_s = 0.0, time.perf_counter()
        while not reading.done():
            await asyncio.sleep(TICK_INTERVAL_S)
            now_s = time.perf_counter()
            longest_s = max(longest_s, now_s - last_s - TICK_INTERVAL_S)
            last_s = now_s
        cpu_s = time.thread_time() - begun_cpu_s
        return ReadingCost(chunk_bytes, sum(await reading), cpu_s, longest_s)
    finally:
        for connection in connections:
            connection.close()
        process.kill()
        process.join()
        listener.close()


def format_reading_costs(costs: Iterable[ReadingCost]) -> str:
    """Return a Markdown table with a row for each size of chunks.

    :param costs: the measurements.
    """
    return format_table(
        ["chunk, bytes", "processor time, ms/MB", "longest lag, ms"],
        [
            [
                f"{cost.chunk_bytes:,}",
                format_number(cost.cpu_s * 1000 / (cost.body_bytes / 1e6)),
                format_number(cost.longest_lag_s * 1000),
            ]
            for cost in costs
        ],
    )
