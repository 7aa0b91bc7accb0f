"""Fault-injecting TCP proxy."""

import asyncio
import socket
import time
from collections import deque
from collections.abc import Callable
from dataclasses import asdict, dataclass, field

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field

from bilberryspring.process.settings import Address, split_address
from bilberryspring.request.errors import ERROR_RESPONSES, Failure, make_problem
from bilberryspring.standin.proxy_faults import (
    ChunkAction,
    ConnectionFaults,
    Direction,
    ProxyFaults,
    ProxyMode,
)
from bilberryspring.standin.serving import read_message

__all__ = ["ProxySettings", "Proxy", "make_proxy_application"]

MAX_CHUNK_BYTES = 65_536
MAX_DELAYED_CHUNKS = 64
MAX_RECORDS = 1_000
MAX_LINE_BYTES = 200


class ProxySettings(BaseModel):
    """Settings of the proxy.

    :param address: address that clients connect to.
    :param upstream_address: address that connections are forwarded to.
    :param control_address: HTTP address of the test controls.
    :param delay_s: one-way delay of each byte until other faults are set.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    address: Address
    upstream_address: Address
    control_address: Address
    delay_s: float = Field(default=0.0, ge=0, le=60)


@dataclass(slots=True)
class ConnectionRecord:
    """Bytes that one connection carried, as the test controls report them.

    :param number: number of the connection, from one.
    :param bytes_up: bytes forwarded to the upstream.
    :param bytes_down: bytes forwarded to the client.
    :param dropped_up: bytes towards the upstream that were not forwarded.
    :param dropped_down: bytes towards the client that were not forwarded.
    :param is_open: whether the connection is open.
    :param is_silent: whether the connection is permanently silent.
    :param request_line: first line of the latest bytes towards the upstream.
    :param used_s: monotonic time at which it last carried bytes.
    """

    number: int
    bytes_up: int = 0
    bytes_down: int = 0
    dropped_up: int = 0
    dropped_down: int = 0
    is_open: bool = True
    is_silent: bool = False
    request_line: str = ""
    used_s: float = 0.0


@dataclass(slots=True, eq=False)
class _Connection:
    record: ConnectionRecord
    faults: ConnectionFaults
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class Proxy:
    """TCP proxy that forwards connections to an upstream address and injects faults.

    :param settings: settings of the proxy.
    :ivar faults: faults of new connections.
    :ivar records: records of the latest connections.
    """

    def __init__(self, settings: ProxySettings):
        self.settings = settings
        self.faults = ProxyFaults(delay_s=settings.delay_s)
        self.records: deque[ConnectionRecord] = deque(maxlen=MAX_RECORDS)
        self._connections: set[_Connection] = set()
        self._opened_count = 0
        self._server: asyncio.Server | None = None

    async def start(self, _application: object = None) -> None:
        """Listen for clients."""
        host, port = split_address(self.settings.address)
        self._server = await asyncio.start_server(self._serve, host, port)

    async def close(self, _application: object = None) -> None:
        """Stop listening and reset every connection."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.faults.forwarding_allowed.set()
            connection.abort()

    def set_faults(self, faults: ProxyFaults) -> None:
        """Replace the faults of existing and new connections.

        :param faults: faults from now on.
        """
        self.faults = faults.for_new_connections()
        for connection in list(self._connections):
            if faults.mode is ProxyMode.REFUSE:
                continue
            connection.faults.apply(faults)
            connection.record.is_silent = connection.faults.is_silent
            if faults.mode is ProxyMode.CUT or connection.faults.is_cut_immediately():
                connection.abort()

    def silence(self, is_chosen: Callable[[ConnectionRecord], bool]) -> int:
        """Make some of the existing connections permanently silent.

        :param is_chosen: returns whether a connection becomes silent.
        :returns: number of these connections.
        """
        chosen = [each for each in self._connections if is_chosen(each.record)]
        for connection in chosen:
            connection.faults.apply(ProxyFaults(mode=ProxyMode.SILENT))
            connection.record.is_silent = True
        return len(chosen)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.mode in (ProxyMode.CUT, ProxyMode.REFUSE):
            writer.transport.abort()
            return
        self._opened_count += 1
        record = ConnectionRecord(self._opened_count)
        self.records.append(record)
        connection = _Connection(record, ConnectionFaults(self.faults), [writer])
        if connection.faults.is_cut_immediately():
            writer.transport.abort()
            return
        self._connections.add(connection)
        try:
            await self._connect_upstream(connection, reader, writer)
        finally:
            self._connections.discard(connection)
            record.is_open = False
            connection.abort()

    async def _connect_upstream(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await connection.faults.forwarding_allowed.wait()
        host, port = split_address(self.settings.upstream_address)
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(host, port)
        except OSError:
            return
        connection.writers.append(upstream_writer)
        for endpoint_writer in (writer, upstream_writer):
            endpoint_writer.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
            )
        await asyncio.gather(
            _forward(connection, Direction.UP, reader, upstream_writer),
            _forward(connection, Direction.DOWN, upstream_reader, writer),
        )


async def _forward(
    connection: _Connection,
    direction: Direction,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Forward one direction; reads and delayed writes run concurrently."""
    delayed_chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(
        MAX_DELAYED_CHUNKS
    )
    read_task = asyncio.create_task(_read_chunks(connection, reader, delayed_chunks))
    try:
        await _write_chunks(connection, direction, delayed_chunks, writer)
    except ConnectionError:
        await connection.faults.forwarding_allowed.wait()
        connection.abort()
    finally:
        read_task.cancel()


async def _read_chunks(
    connection: _Connection,
    reader: asyncio.StreamReader,
    delayed_chunks: asyncio.Queue[tuple[float, bytes]],
) -> None:
    loop = asyncio.get_running_loop()
    while True:
        try:
            chunk = await reader.read(MAX_CHUNK_BYTES)
        except ConnectionError:
            chunk = b""
        await delayed_chunks.put((loop.time() + connection.faults.delay_s, chunk))
        if not chunk:
            return


async def _write_chunks(
    connection: _Connection,
    direction: Direction,
    delayed_chunks: asyncio.Queue[tuple[float, bytes]],
    writer: asyncio.StreamWriter,
) -> None:
    loop = asyncio.get_running_loop()
    while True:
        due_s, chunk = await delayed_chunks.get()
        await asyncio.sleep(max(due_s - loop.time(), 0))
        await connection.faults.forwarding_allowed.wait()
        if not chunk:
            _send_end_of_stream(writer)
            return
        forwarded_bytes, action = connection.faults.process_chunk(direction, len(chunk))
        _count_bytes(
            connection.record, direction, forwarded_bytes, len(chunk) - forwarded_bytes
        )
        connection.record.used_s = time.monotonic()
        if direction is Direction.UP:
            line = chunk.partition(b"\r\n")[0][:MAX_LINE_BYTES]
            connection.record.request_line = line.decode("latin-1")
        writer.write(chunk[:forwarded_bytes])
        if action is ChunkAction.CUT:
            await _cut_connection(connection, writer)
            return
        await writer.drain()


def _send_end_of_stream(writer: asyncio.StreamWriter) -> None:
    if writer.can_write_eof() and not writer.is_closing():
        writer.write_eof()


async def _cut_connection(
    connection: _Connection, receiver: asyncio.StreamWriter
) -> None:
    # Close without a reset, which could discard bytes that the receiver has not read.
    receiver.close()
    for writer in connection.writers:
        if writer is not receiver:
            writer.transport.abort()


def _count_bytes(
    record: ConnectionRecord,
    direction: Direction,
    forwarded_bytes: int,
    dropped_bytes: int,
) -> None:
    if direction is Direction.UP:
        record.bytes_up += forwarded_bytes
        record.dropped_up += dropped_bytes
    else:
        record.bytes_down += forwarded_bytes
        record.dropped_down += dropped_bytes


PROXY = web.AppKey("proxy", Proxy)


def make_proxy_application(settings: ProxySettings) -> web.Application:
    """Return the application that controls the proxy and runs it.

    :param settings: settings of the proxy.
    :returns: an application with the test controls, which starts and closes the proxy.
    """
    proxy = Proxy(settings)
    application = web.Application()
    application[PROXY] = proxy
    application.on_startup.append(proxy.start)
    application.on_shutdown.append(proxy.close)
    application.router.add_post("/standin/faults", _set_faults)
    application.router.add_get("/standin/connections", _report_connections)
    return application


async def _set_faults(request: web.Request) -> web.Response:
    faults = await read_message(request, ProxyFaults)
    if isinstance(faults, Failure):
        status = ERROR_RESPONSES[faults.kind].status
        return web.json_response(make_problem(faults), status=status)
    request.app[PROXY].set_faults(faults)
    return web.Response(text=faults.model_dump_json(), content_type="application/json")


async def _report_connections(request: web.Request) -> web.Response:
    records = [asdict(record) for record in request.app[PROXY].records]
    return web.json_response({"connections": records})
