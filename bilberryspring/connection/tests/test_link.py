"""Links whose connection is lost, and replies with an unknown error kind.

The transport may detect a lost connection before the link does. Guards against an
exception when the link sends in between.
"""

import asyncio
from types import SimpleNamespace

import pytest
import uvloop

from bilberryspring.connection.frames import encode_frame, read_frame, write_frame
from bilberryspring.connection.link import make_link
from bilberryspring.connection.messages import Chunk, Hello, Pong, Reply
from bilberryspring.connection.tests.stream_server import make_stream_server
from bilberryspring.identifiers import InstanceId, RequestId, WorkspaceName
from bilberryspring.process.accounting import make_ledger
from bilberryspring.request.buffered_response import make_buffered_response
from bilberryspring.request.errors import ErrorKind


async def open_unread_link():
    """Return a link that no task reads, so that it does not detect its loss."""

    async def reset(reader, writer):
        await reader.read(1)
        writer.transport.abort()

    server = make_stream_server(reset)
    reader, writer = await asyncio.open_connection(*await server.start())
    process = SimpleNamespace(ledger=make_ledger())
    return server, make_link(reader, writer, Hello(InstanceId("router-1")), process)


async def wait_until_lost(link):
    async with asyncio.timeout(10):
        while not link.writer.is_closing():
            link.writer.write(b"x")
            await asyncio.sleep(0.001)
    await asyncio.sleep(0.01)


async def send_over_a_lost_connection():
    server, link = await open_unread_link()
    await wait_until_lost(link)
    sent_bytes = link.send(Chunk(RequestId("r"), 0, b"a"))
    link.disconnect()
    await server.close()
    return sent_bytes


async def append_to_a_response_with_a_lost_receiver():
    server, link = await open_unread_link()
    response = make_buffered_response(RequestId("r"), WorkspaceName("w"), 100)
    response.attach(link, 0)
    await wait_until_lost(link)
    response.append(b"a")
    response.finish(200, "text/plain")
    link.disconnect()
    await server.close()
    return response


@pytest.mark.parametrize("run", [uvloop.run, asyncio.run])
def test_send_does_nothing_if_only_the_transport_has_detected_the_loss(run):
    assert run(send_over_a_lost_connection()) == 0


@pytest.mark.parametrize("run", [uvloop.run, asyncio.run])
def test_response_completes_if_only_the_transport_has_detected_the_loss(run):
    response = run(append_to_a_response_with_a_lost_receiver())
    assert response.chunks == [b"a"]
    assert response.ended and not response.delivered


async def call_peer_with_unknown_error_kind():
    async def serve_replies(reader, writer):
        for kind in ("a_kind_of_a_later_version", ""):
            call = await read_frame(reader)
            write_frame(writer, Reply(call.call_id, b"answer", kind, "why"))

    server = make_stream_server(serve_replies)
    reader, writer = await asyncio.open_connection(*await server.start())
    process = SimpleNamespace(ledger=make_ledger())
    link = make_link(reader, writer, Hello(InstanceId("agent-1")), process)
    running = asyncio.create_task(link.run())
    results = [await link.call("method", b"", 5.0) for _ in range(2)]
    link.disconnect()
    await asyncio.gather(running, return_exceptions=True)
    await server.close()
    return results


@pytest.mark.parametrize("run", [uvloop.run, asyncio.run])
def test_unknown_error_kind_fails_only_its_call(run):
    failure, reply = run(call_peer_with_unknown_error_kind())
    assert failure.kind is ErrorKind.INTERNAL and failure.reason == "why"
    assert reply == b"answer"


async def test_other_tasks_run_between_frames_that_arrive_at_once():
    server, link = await open_unread_link()
    link.reader.feed_data(encode_frame(Pong(1)) * 10_000)
    link.reader.feed_eof()
    ticks = 0

    async def tick():
        nonlocal ticks
        while True:
            ticks += 1
            await asyncio.sleep(0)

    ticking = asyncio.create_task(tick())
    await link.run()
    ticking.cancel()
    await server.close()
    assert ticks >= 100
