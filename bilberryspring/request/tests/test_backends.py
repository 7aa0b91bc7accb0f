"""Calls of an agent's backend server.

Guards against a second call after a lost one, and against a failure that is reported
as not run although the request was sent.
"""

import asyncio
import json
import socket
import struct
import time

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from bilberryspring.connection.messages import Open
from bilberryspring.connection.tests.early_answers import ENDINGS, make_early_answer
from bilberryspring.connection.tests.stream_server import serve_streams
from bilberryspring.identifiers import ConfigVersion, RequestId, WorkspaceName
from bilberryspring.request import buffered_response
from bilberryspring.request.backend_call import ADAPTERS
from bilberryspring.request.backends import (
    BackendCall,
    BackendResult,
    call_backend,
    make_backend_session,
)
from bilberryspring.request.buffered_response import make_buffered_response
from bilberryspring.request.engine_calls import read_events
from bilberryspring.request.errors import ErrorKind, Outcome, make_failure
from bilberryspring.version.objects import PoolKind


class Backend:
    """HTTP server that responds as the test chooses and records the requests."""

    def __init__(self):
        self.requests = []
        self.connections = set()
        self.respond = None

    async def handle(self, request):
        self.connections.add(request.transport.get_extra_info("peername"))
        self.requests.append((request.method, dict(request.headers)))
        return await self.respond(request)


@pytest.fixture
async def backend():
    backend = Backend()
    application = web.Application()
    application.router.add_route("*", "/{path:.*}", backend.handle)
    async with TestServer(application, host="127.0.0.1") as server:
        backend.address = f"127.0.0.1:{server.port}"
        yield backend


async def call(address, kind, session=None, **changes):
    defaults = {"method": "POST", "path": "/x", "body": b"{}", "idempotent": False}
    request = Open(RequestId("r"), **(defaults | changes))
    is_own = session is None
    session = session or make_backend_session()
    backend_call = BackendCall(
        session=session,
        address=address,
        request=request,
        answer=make_buffered_response(RequestId("r"), WorkspaceName("w"), 100),
        config_version=ConfigVersion(1),
        priority=0,
        on_progress=lambda tokens: None,
    )
    try:
        return await call_backend(kind, backend_call), backend_call
    finally:
        if is_own:
            await session.close()


async def drop_connection(request):
    await request.read()
    request.transport.abort()
    return web.Response()


async def test_end_to_end_headers_are_forwarded_in_both_directions(backend):
    async def respond(request):
        return web.Response(body=b"a", headers={"ETag": '"7"', "Location": "/o/7"})

    backend.respond = respond
    headers = json.dumps({"accept": "text/csv", "if-match": '"6"'})
    result, backend_call = await call(
        backend.address, PoolKind.SERVICE, headers=headers
    )
    assert json.loads(result.headers) == {"etag": '"7"', "location": "/o/7"}
    received = {name.lower(): value for name, value in backend.requests[0][1].items()}
    assert (received["accept"], received["if-match"]) == ("text/csv", '"6"')
    assert received["accept-encoding"] == "identity"
    assert backend_call.answer.chunks == [b"a"]


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST", "PATCH"])
async def test_lost_call_of_any_method_is_not_sent_again(backend, method):
    backend.respond = drop_connection
    result, _ = await call(backend.address, PoolKind.SERVICE, method=method)
    assert len(backend.requests) == 1
    assert result.outcome is Outcome.UNKNOWN


ENDLESS_STREAMS = {
    "event-in-bytes": b"1\r\nx\r\n",
    "event-in-64-bytes": b"40\r\n%b\r\n" % (b"x" * 64),
    "comments": b"3\r\n:\n\n\r\n",
    "events": b"9\r\ndata: a\n\n\r\n",
}
STREAMS = 24
TROUBLE_S = 2.0


@pytest.mark.parametrize("chunk", ENDLESS_STREAMS.values(), ids=ENDLESS_STREAMS)
async def test_other_tasks_run_beside_streams_without_end(chunk):
    block = chunk * (65_536 // len(chunk))

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            writer.write(block)
            await writer.drain()

    async def read_all(session, port):
        async with session.get(f"http://127.0.0.1:{port}/") as response:
            async for _ in read_events(response.content):
                pass

    async with serve_streams(respond) as port, make_backend_session() as session:
        tasks = [asyncio.create_task(read_all(session, port)) for _ in range(STREAMS)]
        longest_s, last_s = 0.0, time.perf_counter()
        end_s = last_s + TROUBLE_S
        while last_s < end_s:
            await asyncio.sleep(0.005)
            now_s = time.perf_counter()
            longest_s, last_s = max(longest_s, now_s - last_s), now_s
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    assert longest_s < 0.25


@pytest.mark.parametrize("kind", [PoolKind.SERVICE, PoolKind.ENGINE])
async def test_response_without_end_is_given_up(backend, monkeypatch, kind):
    monkeypatch.setattr(buffered_response, "MAX_RESPONSE_BYTES", 1_000_000)

    async def respond(request):
        response = web.StreamResponse()
        await response.prepare(request)
        while True:
            await response.write(b"data: a\n\n" * 1000)

    backend.respond = respond
    async with asyncio.timeout(5.0):
        result, backend_call = await call(backend.address, kind)
    assert result.kind is ErrorKind.BACKEND_FAILED
    assert result.outcome is Outcome.UNKNOWN
    assert backend_call.answer.is_given_up and not backend_call.answer.chunks
    assert len(backend.requests) == 1


@pytest.mark.parametrize("size_bytes", [1000, 100_000, 6_000_000])
async def test_large_response_is_whole(backend, size_bytes):
    body = bytes(range(256)) * (size_bytes // 256)

    async def respond(request):
        return web.Response(body=body)

    backend.respond = respond
    result, backend_call = await call(backend.address, PoolKind.SERVICE)
    assert result.status == 200
    assert b"".join(backend_call.answer.chunks) == body


async def test_refused_connection_means_not_run(backend):
    address = "127.0.0.1:1"
    result, backend_call = await call(address, PoolKind.SERVICE)
    assert result.kind is ErrorKind.BACKEND_UNREACHABLE
    assert result.outcome is Outcome.NOT_RUN and not backend_call.sent


@pytest.mark.parametrize(
    ("status", "kind", "outcome"),
    [
        (409, ErrorKind.ENGINE_VERSION_CHANGED, Outcome.NOT_RUN),
        (422, ErrorKind.MALFORMED_REQUEST, Outcome.NOT_RUN),
        (503, ErrorKind.BACKEND_FAILED, Outcome.UNKNOWN),
        (500, ErrorKind.BACKEND_FAILED, Outcome.UNKNOWN),
    ],
)
async def test_engine_status_determines_the_failure_kind(
    backend, status, kind, outcome
):
    async def respond(request):
        return web.Response(status=status, text="no")

    backend.respond = respond
    result, _ = await call(backend.address, PoolKind.ENGINE)
    assert (result.kind, result.outcome) == (kind, outcome)


EVENT = b'data: {"choices": [{"delta": {"content": "w"}}]}\n\n'
END = b"data: [DONE]\n\n"


@pytest.mark.parametrize(
    ("parts", "chunks"),
    [
        ([EVENT + EVENT, b"data: [DONE]\n\n"], 2),
        ([EVENT[:5], EVENT[5:-1], EVENT[-1:] + b"data: [DONE]\r\n\r\n"], 1),
        ([b": comment\n\n", EVENT, b"data: [DONE]\n\n"], 1),
    ],
)
async def test_events_are_parsed_across_chunk_boundaries(backend, parts, chunks):
    result, backend_call = await stream(backend, parts)
    assert isinstance(result, BackendResult)
    assert len(backend_call.answer.chunks) == chunks


@pytest.mark.parametrize("parts", [[EVENT], [EVENT, EVENT[:20]], []])
async def test_stream_without_end_marker_fails(backend, parts):
    result, _ = await stream(backend, parts)
    assert result.kind is ErrorKind.BACKEND_FAILED


async def test_connection_is_reused_for_consecutive_streams(backend):
    session = make_backend_session()
    try:
        for _ in range(4):
            await stream(backend, [EVENT, END], session=session)
    finally:
        await session.close()
    assert len(backend.requests) == 4
    assert len(backend.connections) == 1


async def test_stream_left_open_by_the_engine_does_not_delay_the_end(backend):
    started_s = time.monotonic()
    result, _ = await stream(backend, [EVENT, END], pause_s=2.0)
    assert isinstance(result, BackendResult)
    assert time.monotonic() - started_s < 3.0


async def test_agent_members_are_added_to_the_body(backend):
    received = []

    async def respond(request):
        received.append(await request.json())
        return web.Response(status=503)

    backend.respond = respond
    for body in (b'{"model":"m"}', b"{}"):
        await call(backend.address, PoolKind.ENGINE, body=body, resume_events=2)
    continuation = {"events": 2, "text": ""}
    added = {"stream": True, "priority": 0, "continue_from": continuation}
    assert received == [{"model": "m"} | added, added]


async def test_body_that_is_not_an_object_is_malformed(backend):
    result, _ = await call(backend.address, PoolKind.ENGINE, body=b"[1]")
    assert result.kind is ErrorKind.MALFORMED_REQUEST
    assert backend.requests == []


async def stream(backend, parts, pause_s=0.01, session=None):
    async def respond(request):
        response = web.StreamResponse()
        await response.prepare(request)
        for part in parts:
            await response.write(part)
            await asyncio.sleep(pause_s)
        return response

    backend.respond = respond
    return await call(backend.address, PoolKind.ENGINE, session, idempotent=True)


async def test_deadline_during_the_second_try_does_not_hide_the_first(monkeypatch):
    tries = []

    async def be_silent_then_hang(call):
        tries.append(call)
        if len(tries) == 1:
            call.sent = call.is_silent = True
            return make_failure(ErrorKind.BACKEND_FAILED)
        await asyncio.sleep(60)

    monkeypatch.setitem(ADAPTERS, PoolKind.SERVICE, be_silent_then_hang)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.2):
            await call("127.0.0.1:1", PoolKind.SERVICE)
    assert len(tries) == 2
    assert not tries[1].sent and tries[1].may_have_run


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize("pause_s", [0.0, 0.05])
@pytest.mark.parametrize("ending", ["reset", "close"])
async def test_body_without_length_is_complete_only_without_a_reset(
    is_idempotent, pause_s, ending
):
    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nabc")
        await writer.drain()
        await asyncio.sleep(pause_s)
        if ending == "reset":
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async with serve_streams(respond) as port:
        result, backend_call = await call(
            f"127.0.0.1:{port}",
            PoolKind.SERVICE,
            method="GET",
            idempotent=is_idempotent,
        )
    if ending == "close":
        assert isinstance(result, BackendResult)
        assert b"".join(backend_call.answer.chunks) == b"abc"
    else:
        assert result.kind is ErrorKind.BACKEND_FAILED
        assert result.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize(("ending", "size_bytes"), ENDINGS)
async def test_early_answer_that_is_reset_is_never_complete(
    is_idempotent, size_bytes, ending
):
    async with serve_streams(make_early_answer(ending)) as port:
        result, _ = await call(
            f"127.0.0.1:{port}",
            PoolKind.SERVICE,
            body=b"x" * size_bytes,
            idempotent=is_idempotent,
        )
    assert result.kind in (ErrorKind.BACKEND_FAILED, ErrorKind.BACKEND_CRASHED)
    assert result.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize("kind", list(PoolKind))
@pytest.mark.parametrize("status", [b"000", b"001", b"099", b"600", b"999"])
async def test_status_that_is_none_is_the_backends_failure(kind, status):
    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 %b Odd\r\nContent-Length: 2\r\n\r\nhi" % status)

    async with serve_streams(respond) as port:
        result, _ = await call(f"127.0.0.1:{port}", kind)
    assert result.kind is ErrorKind.BACKEND_FAILED
    assert result.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize("size", [1.0, 0.6, 0.2])
async def test_late_copy_on_an_idle_connection_does_not_answer_the_next_call(size):
    response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}"
    copy = response.format("old")[: int(len(response.format("old")) * size)]
    bodies = ["one", "two"]

    async def respond(reader, writer):
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response.format(bodies.pop(0)).encode())
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.write(copy.encode())

    session = make_backend_session()
    async with serve_streams(respond) as port:
        for body in (b"one", b"two"):
            result, backend_call = await call(
                f"127.0.0.1:{port}",
                PoolKind.SERVICE,
                session,
                method="GET",
                body=b"",
                idempotent=True,
            )
            assert isinstance(result, BackendResult)
            assert b"".join(backend_call.answer.chunks) == body
            await asyncio.sleep(0.1)
        await session.close()
