"""Authenticated connections between processes.

Guards against a wrong secret, against calls that hang on a silent or failed connection,
and against state that is kept for addresses without a listener.
"""

import asyncio
import os
import socket
from types import SimpleNamespace

import pytest

from bilberryspring.connection.authentication import authenticate_as_connector
from bilberryspring.connection.calls import register_call_handler
from bilberryspring.connection.link import LinkLost
from bilberryspring.connection.messages import Chunk, Hello, Open
from bilberryspring.connection.peers import (
    make_peer_pool,
    make_peer_server,
    needs_ping,
)
from bilberryspring.connection.tests.stream_server import make_stream_server
from bilberryspring.identifiers import InstanceId, RequestId
from bilberryspring.process.accounting import make_ledger
from bilberryspring.process.settings import ProcessSettings
from bilberryspring.request.errors import ErrorKind, Failure

# Each test process uses its own block of loopback addresses.
ADDRESS_PREFIX = f"127.{100 + os.getpid() // 256 % 100}.{os.getpid() % 256}"
ADDRESS = f"{ADDRESS_PREFIX}.1:7000"


@register_call_handler("test.echo")
async def echo(process, payload, caller):
    return caller.encode() + b":" + payload


@register_call_handler("test.raise")
async def raise_error(process, payload, caller):
    raise KeyError("defect")


def make_settings(instance_id, secret="0123456789abcdef"):
    return ProcessSettings(
        instance_id=instance_id,
        availability_zone="z",
        region="r",
        fleet_secret=secret,
        key_value_addresses=["127.0.0.1:1"],
        instance_list_address="127.0.0.1:1",
        ping_interval_s=0.05,
        ping_timeout_s=0.3,
    )


@pytest.fixture
async def serve():
    servers = []

    async def start(on_request=None):
        process = SimpleNamespace(ledger=make_ledger())
        server = make_peer_server(
            make_settings("agent-1"), ADDRESS, process, on_request
        )
        await server.start()
        servers.append(server)
        return server

    yield start
    for server in servers:
        await server.close()


@pytest.fixture
async def pool():
    pool = make_peer_pool(
        make_settings("router-1"), SimpleNamespace(ledger=make_ledger())
    )
    yield pool
    await pool.close()


async def test_handler_receives_the_authenticated_caller(serve, pool):
    await serve()
    assert await pool.call(ADDRESS, "test.echo", b"x", 2.0) == b"router-1:x"


@pytest.mark.parametrize(
    ("method", "kind"),
    [
        ("test.raise", ErrorKind.INTERNAL),
        ("test.none", ErrorKind.MALFORMED_REQUEST),
    ],
)
async def test_connection_remains_usable_after_a_failed_call(serve, pool, method, kind):
    await serve()
    failure = await pool.call(ADDRESS, method, b"", 2.0)
    assert isinstance(failure, Failure) and failure.kind is kind
    assert await pool.call(ADDRESS, "test.echo", b"y", 2.0) == b"router-1:y"


async def test_address_without_a_listener_is_unreachable(pool):
    failure = await pool.call(f"{ADDRESS_PREFIX}.2:7000", "test.echo", b"", 2.0)
    assert failure.kind is ErrorKind.PEER_UNREACHABLE


async def test_wrong_secret_is_rejected(serve):
    await serve()
    settings = make_settings("router-2", secret="another-secret-16")
    pool = make_peer_pool(settings, SimpleNamespace(ledger=make_ledger()))
    assert isinstance(await pool.call(ADDRESS, "test.echo", b"", 2.0), Failure)
    await pool.close()


@pytest.mark.parametrize("received_bytes", [b"", b"\x08\x00"])
async def test_peer_that_closes_during_the_handshake_is_unreachable(
    pool, received_bytes
):
    """The network may cut the path to another region at any byte of the handshake.

    This must not be reported as a wrong secret.
    """

    async def close(_reader, writer):
        writer.write(received_bytes)
        writer.close()

    server = await asyncio.start_server(close, f"{ADDRESS_PREFIX}.1", 7000)
    failure = await pool.call(ADDRESS, "test.echo", b"", 2.0)
    server.close()
    assert failure.kind is ErrorKind.PEER_UNREACHABLE


async def test_concurrent_callers_share_one_connection_attempt(pool):
    """A peer that does not respond delays many callers no longer than one."""
    attempts = 0

    async def stay_silent(reader, writer):
        nonlocal attempts
        attempts += 1
        await reader.read()
        writer.close()

    server = await asyncio.start_server(stay_silent, f"{ADDRESS_PREFIX}.1", 7000)
    results = await asyncio.gather(*(pool.connect(ADDRESS) for _ in range(20)))
    server.close()
    assert {result.kind for result in results} == {ErrorKind.PEER_SILENT}
    assert attempts == 1


async def test_frames_are_delivered_to_the_stream_of_their_request(serve, pool):
    def send_chunk(link, message):
        link.send(Chunk(message.request_id, 0, message.body))

    await serve(send_chunk)
    first, second = [
        await pool.open_stream(ADDRESS, RequestId(name)) for name in ("a", "b")
    ]
    second.send(Open(RequestId("b"), body=b"two"))
    first.send(Open(RequestId("a"), body=b"one"))
    assert (await first.receive()).data == b"one"
    assert (await second.receive()).data == b"two"


async def test_silent_connection_with_outstanding_work_is_disconnected(pool):
    accepted = asyncio.Event()

    async def relay(reader, writer):
        upstream_reader, upstream = await asyncio.open_connection(
            f"{ADDRESS_PREFIX}.1", 7000
        )

        async def pump(source, target):
            while data := await source.read(65536):
                if not accepted.is_set():
                    target.write(data)

        try:
            await asyncio.gather(pump(reader, upstream), pump(upstream_reader, writer))
        finally:
            upstream.transport.abort()

    process = SimpleNamespace(ledger=make_ledger())
    server = make_peer_server(
        make_settings("agent-1"), ADDRESS, process, lambda link, message: None
    )
    await server.start()
    proxy = make_stream_server(relay)
    await proxy.start(f"{ADDRESS_PREFIX}.3", 7000)
    stream = await pool.open_stream(f"{ADDRESS_PREFIX}.3:7000", RequestId("a"))
    accepted.set()
    async with asyncio.timeout(5):
        assert isinstance(await stream.receive(), LinkLost)
    await proxy.close()
    await server.close()


@pytest.mark.parametrize(
    ("received_ago_s", "pinged_ago_s", "expected"),
    [
        (0.01, 0.0, False),
        (0.01, 1.1, False),
        (0.01, 1.3, True),
        (0.05, 0.0, True),
        (0.05, 1.3, True),
    ],
)
def test_connection_that_receives_frames_is_pinged_rarely(
    received_ago_s, pinged_ago_s, expected
):
    now_s = 100.0
    link = SimpleNamespace(
        last_received_s=now_s - received_ago_s, last_ping_s=now_s - pinged_ago_s
    )
    assert needs_ping(link, make_settings("router-1"), now_s) is expected


async def wait_until(is_met, timeout_s=5.0):
    async with asyncio.timeout(timeout_s):
        while not is_met():
            await asyncio.sleep(0.02)


async def test_no_state_is_kept_for_unreachable_addresses(pool):
    """Instances are replaced continually, so such state would accumulate."""
    tasks_before = len(asyncio.all_tasks())
    process = SimpleNamespace(ledger=make_ledger())
    for number in range(50):
        address = f"{ADDRESS_PREFIX}.4:{7000 + number}"
        server = make_peer_server(make_settings("agent-1"), address, process)
        await server.start()
        assert isinstance(await pool.call(address, "test.echo", b"", 2.0), bytes)
        await server.close()
    for number in range(2_000):
        address = f"{ADDRESS_PREFIX}.{5 + number % 250}:{7100 + number // 250}"
        assert isinstance(await pool.connect(address), Failure)
    await wait_until(lambda: not len(pool))
    await wait_until(lambda: len(asyncio.all_tasks()) <= tasks_before)


async def test_address_is_removed_if_its_listener_closes_during_connecting(pool):
    arrived = asyncio.Event()

    async def stay_silent(reader, writer):
        arrived.set()
        await reader.read()
        writer.close()

    server = await asyncio.start_server(stay_silent, f"{ADDRESS_PREFIX}.1", 7000)
    attempts = [asyncio.create_task(pool.connect(ADDRESS)) for _ in range(3)]
    await arrived.wait()
    server.close()
    assert {type(result) for result in await asyncio.gather(*attempts)} == {Failure}
    assert not len(pool)


async def test_connection_that_fails_its_probe_is_replaced(serve, pool):
    first = await serve()
    await pool.call(ADDRESS, "test.echo", b"", 2.0)
    [idle_link] = first.links
    idle_link.writer.transport.pause_reading()
    await asyncio.sleep(1.1)
    assert await pool.call(ADDRESS, "test.echo", b"x", 4.0) == b"router-1:x"
    await asyncio.sleep(0.2)
    assert len(pool) == 1


async def test_closing_the_pool_ends_pending_connection_attempts(pool):
    arrived, ended = asyncio.Event(), asyncio.Event()

    async def stay_silent(reader, writer):
        arrived.set()
        await reader.read()
        ended.set()
        writer.close()

    server = await asyncio.start_server(stay_silent, f"{ADDRESS_PREFIX}.1", 7000)
    attempt = asyncio.create_task(pool.connect(ADDRESS))
    await arrived.wait()
    await pool.close()
    async with asyncio.timeout(0.5):
        assert (await attempt).kind is ErrorKind.PEER_UNREACHABLE
        await ended.wait()
    server.close()


async def test_accepted_connections_from_failed_hosts_are_disconnected():
    """A failed host does not close its connections, so that the server has to."""
    settings = make_settings("agent-1").model_copy(update={"idle_connection_s": 0.05})
    server = make_peer_server(
        settings, ADDRESS, SimpleNamespace(ledger=make_ledger()), None
    )
    await server.start()
    writers = []
    for number in range(20):
        reader, writer = await asyncio.open_connection(f"{ADDRESS_PREFIX}.1", 7000)
        own = Hello(InstanceId(f"router-{number}"), incarnation="1")
        await authenticate_as_connector(reader, writer, settings.fleet_secret, own)
        writers.append(writer)
    assert len(server.links) == 20
    await wait_until(lambda: not server.links)
    for writer in writers:
        writer.close()
    await server.close()


@pytest.mark.parametrize("iterations", range(3, 8))
async def test_closing_the_server_ends_connections_in_the_handshake(serve, iterations):
    """Each number of event loop iterations leaves the handshake at another step."""
    server = await serve()
    with socket.create_connection((f"{ADDRESS_PREFIX}.1", 7000)) as client:
        client.setblocking(False)
        for _ in range(iterations):
            await asyncio.sleep(0)
        await server.close()
        async with asyncio.timeout(1.0):
            try:
                while await asyncio.get_running_loop().sock_recv(client, 4096):
                    pass
            except ConnectionError:
                pass
