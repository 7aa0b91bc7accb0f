import asyncio
from types import SimpleNamespace

import pytest
import uvloop

from bilberryspring.connection.frames import read_frame, write_frame
from bilberryspring.connection.link import make_link
from bilberryspring.connection.messages import Chunk, Hello, Reply
from bilberryspring.identifiers import InstanceId, RequestId, WorkspaceName
from bilberryspring.process.accounting import make_ledger
from bilberryspring.request.answer import make_answer
from bilberryspring.request.errors import ErrorKind


async def open_link():
    """Return a link whose reading task has not noticed yet what happens to it."""

    async def reset(reader, writer):
        await reader.read(1)
        writer.transport.abort()

    server = await asyncio.start_server(reset, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(*address)
    process = SimpleNamespace(ledger=make_ledger())
    return server, make_link(reader, writer, Hello(InstanceId("router-1")), process)


async def lose(link):
    async with asyncio.timeout(10):
        while not link.writer.is_closing():
            link.writer.write(b"x")
            await asyncio.sleep(0.001)
    await asyncio.sleep(0.01)


async def send_over_a_lost_connection():
    server, link = await open_link()
    await lose(link)
    sent_bytes = link.send(Chunk(RequestId("r"), 0, b"a"))
    server.close()
    return sent_bytes


async def append_to_an_answer_whose_receiver_is_lost():
    server, link = await open_link()
    answer = make_answer(RequestId("r"), WorkspaceName("w"), 100)
    answer.attach(link, 0)
    await lose(link)
    answer.append(b"a")
    answer.finish(200, "text/plain")
    server.close()
    return answer


@pytest.mark.parametrize("run", [uvloop.run, asyncio.run])
def test_nothing_is_sent_over_a_connection_that_was_lost_just_now(run):
    assert run(send_over_a_lost_connection()) == 0


@pytest.mark.parametrize("run", [uvloop.run, asyncio.run])
def test_an_answer_goes_on_when_its_receiver_was_lost_just_now(run):
    answer = run(append_to_an_answer_whose_receiver_is_lost())
    assert answer.chunks == [b"a"]
    assert answer.ended and not answer.delivered


async def call_a_peer_of_a_later_version():
    async def answer(reader, writer):
        for kind in ("a_kind_of_a_later_version", ""):
            call = await read_frame(reader)
            write_frame(writer, Reply(call.call_id, b"answer", kind, "why"))

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    process = SimpleNamespace(ledger=make_ledger())
    link = make_link(reader, writer, Hello(InstanceId("agent-1")), process)
    running = asyncio.create_task(link.run())
    results = [await link.call("method", b"", 5.0) for _ in range(2)]
    link.abort()
    await asyncio.gather(running, return_exceptions=True)
    server.close()
    return results


@pytest.mark.parametrize("run", [uvloop.run, asyncio.run])
def test_an_error_kind_of_another_version_ends_one_call_only(run):
    failure, answer = run(call_a_peer_of_a_later_version())
    assert failure.kind is ErrorKind.INTERNAL and failure.reason == "why"
    assert answer == b"answer"
