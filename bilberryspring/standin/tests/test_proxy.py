"""Fault-injecting proxy between two processes."""

import asyncio

import pytest
from aiohttp.test_utils import TestClient, TestServer

from bilberryspring.standin.addresses import make_address_block
from bilberryspring.standin.proxy import ProxySettings, make_proxy_application

# Longer than an exchange over a working connection takes.
SILENCE_TIMEOUT_S = 0.3
CLOSED_ERRORS = (ConnectionError, asyncio.IncompleteReadError)


class EchoServer:
    """Server that echoes and records what it receives."""

    def __init__(self):
        self.received = bytearray()
        self.server = None
        self.writers = []

    async def start(self, address):
        host, port = address.split(":")
        self.server = await asyncio.start_server(self.echo, host, int(port))

    async def close(self):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def echo(self, reader, writer):
        self.writers.append(writer)
        try:
            while chunk := await reader.read(4096):
                self.received += chunk
                writer.write(chunk)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()


class ProxiedEcho:
    """Client of a proxy with an echo server as its upstream."""

    def __init__(self, control, address, echo):
        self.control = control
        self.address = address
        self.echo = echo
        self.writers = []

    async def connect(self):
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.writers.append(writer)
        return reader, writer

    async def close(self):
        for writer in self.writers:
            writer.transport.abort()

    async def set_faults(self, **faults):
        response = await self.control.post("/standin/faults", json=faults)
        assert response.status == 200, await response.text()


@pytest.fixture
async def proxied_echo():
    block = make_address_block()
    address = f"{block.take_host()}:7100"
    upstream_address = f"{block.take_host()}:9000"
    echo = EchoServer()
    await echo.start(upstream_address)
    settings = ProxySettings(
        address=address, upstream_address=upstream_address, control_address=address
    )
    async with TestClient(TestServer(make_proxy_application(settings))) as control:
        client = ProxiedEcho(control, address, echo)
        yield client
        await client.close()
    await echo.close()
    block.close()


async def exchange(connection, data):
    reader, writer = connection
    writer.write(data)
    await writer.drain()
    return await reader.readexactly(len(data))


async def is_silent(connection, data):
    try:
        await asyncio.wait_for(exchange(connection, data), SILENCE_TIMEOUT_S)
    except TimeoutError:
        return True
    return False


async def test_bytes_and_end_of_stream_are_forwarded(proxied_echo):
    reader, writer = await proxied_echo.connect()
    data = bytes(range(256)) * 4096
    assert await exchange((reader, writer), data) == data
    writer.write_eof()
    assert await reader.read() == b""


async def test_delay_applies_in_both_directions(proxied_echo):
    connection = await proxied_echo.connect()
    await exchange(connection, b"a")
    await proxied_echo.set_faults(delay_s=0.1)
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    await exchange(connection, b"a")
    assert loop.time() - started_s >= 0.2


async def test_cut_resets_existing_and_new_connections(proxied_echo):
    connection = await proxied_echo.connect()
    await exchange(connection, b"a")
    await proxied_echo.set_faults(mode="cut")
    with pytest.raises(CLOSED_ERRORS):
        await exchange(connection, b"b")
    with pytest.raises(CLOSED_ERRORS):
        await exchange(await proxied_echo.connect(), b"b")
    await proxied_echo.set_faults()
    assert await exchange(await proxied_echo.connect(), b"c") == b"c"


async def test_refuse_resets_only_new_connections(proxied_echo):
    connection = await proxied_echo.connect()
    await exchange(connection, b"a")
    await proxied_echo.set_faults(mode="refuse")
    assert await exchange(connection, b"b") == b"b"
    with pytest.raises(CLOSED_ERRORS):
        await exchange(await proxied_echo.connect(), b"b")


CUT_CASES = [
    ({"cut_after_bytes_up": 0}, b"", b""),
    ({"cut_after_bytes_up": 3}, b"abc", b""),
    ({"cut_after_bytes_up": 6}, b"abcdef", b""),
    ({"cut_after_bytes_down": 0}, b"", b""),
    ({"cut_after_bytes_down": 4}, b"abcdef", b"abcd"),
]


@pytest.mark.parametrize("faults, received, returned", CUT_CASES)
async def test_cut_after_a_number_of_bytes(proxied_echo, faults, received, returned):
    await proxied_echo.set_faults(**faults)
    try:
        reader, writer = await proxied_echo.connect()
        writer.write(b"abcdef")
        answer = await reader.read()
    except ConnectionError:
        answer = b""
    assert answer == returned
    while len(proxied_echo.echo.received) < len(received):
        await asyncio.sleep(0.005)
    assert bytes(proxied_echo.echo.received) == received


async def test_bytes_held_by_freeze_arrive_after_it(proxied_echo):
    connection = await proxied_echo.connect()
    await exchange(connection, b"a")
    await proxied_echo.set_faults(mode="freeze")
    assert await is_silent(connection, b"b")
    await proxied_echo.set_faults()
    assert await connection[0].readexactly(1) == b"b"


async def test_silent_connections_stay_silent_while_new_ones_work(proxied_echo):
    connection = await proxied_echo.connect()
    await exchange(connection, b"a")
    await proxied_echo.set_faults(mode="silent")
    assert await exchange(await proxied_echo.connect(), b"c") == b"c"
    await proxied_echo.set_faults()
    assert await is_silent(connection, b"b")
    assert bytes(proxied_echo.echo.received) == b"ac"


async def test_silence_withholds_the_end_of_stream(proxied_echo):
    reader, writer = await proxied_echo.connect()
    await exchange((reader, writer), b"a")
    await proxied_echo.set_faults(mode="silent")
    for server_writer in proxied_echo.echo.writers:
        server_writer.close()
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.read(), SILENCE_TIMEOUT_S)


DROP_CASES = [("drop_upstream", b"a"), ("drop_downstream", b"ab")]


@pytest.mark.parametrize("mode, received", DROP_CASES)
async def test_drop_modes_discard_one_direction_of_existing_connections(
    proxied_echo, mode, received
):
    connection = await proxied_echo.connect()
    await exchange(connection, b"a")
    await proxied_echo.set_faults(mode=mode, only_existing=True)
    assert await is_silent(connection, b"b")
    assert bytes(proxied_echo.echo.received) == received
    assert await exchange(await proxied_echo.connect(), b"c") == b"c"


async def test_unreachable_upstream_ends_the_connection(proxied_echo):
    proxied_echo.echo.server.close()
    reader, _ = await proxied_echo.connect()
    try:
        assert await reader.read() == b""
    except ConnectionError:
        pass


async def test_connection_record_counts_bytes(proxied_echo):
    connection = await proxied_echo.connect()
    await exchange(connection, b"abc")
    report = await (await proxied_echo.control.get("/standin/connections")).json()
    (record,) = report["connections"]
    assert (record["bytes_up"], record["bytes_down"]) == (3, 3)


@pytest.mark.parametrize("body", [b"{", b'{"mode": "sing"}', b'{"delay_s": -1}'])
async def test_invalid_faults_change_nothing(proxied_echo, body):
    response = await proxied_echo.control.post("/standin/faults", data=body)
    assert response.status == 400
    assert await exchange(await proxied_echo.connect(), b"a") == b"a"
