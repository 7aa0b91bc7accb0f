"""Faulty answers of the servers of a soak run.

Each fault takes the harness's server and a request. It sends raw bytes and closes the
connection, or returns ``None`` to let the server answer as usual.
"""

from aiohttp import web

from bilberryspring.platform.tests.platform_standin import list_events

__all__ = ["ANSWER_FAULTS"]

ANSWER_FAULTS = []
EARLIER_REFUSAL = (
    b"HTTP/1.1 503 Unavailable\r\nNot-Executed: 1\r\nServer: engine\r\n"
    b"Attempt-Id: earlier\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nfull"
)


def answer_fault(send):
    ANSWER_FAULTS.append(send)
    return send


def _make_head(request):
    request_id = request.headers["Attempt-Id"].encode()
    return (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nResponse-Seal: seal\r\n\r\n" % request_id
    )


async def _make_body(server, request):
    body = await request.read()
    if request.path.startswith("/drafts/"):
        return b"".join(list_events(request, server.event_count))
    return b"done " + body


def _send_and_close(request, data):
    request.transport.write(data)
    request.transport.close()
    return web.Response()


@answer_fault
async def end_body_with_connection(server, request):
    body = await _make_body(server, request)
    return _send_and_close(request, _make_head(request) + body)


@answer_fault
async def end_stream_inside_event(server, request):
    if not request.path.startswith("/drafts/"):
        return None
    body = await _make_body(server, request)
    ends = [n for n in range(1, len(body)) if not body[:n].endswith(b"\n\n")]
    if not ends:
        return None
    end = server.rng.choice(ends)
    return _send_and_close(request, _make_head(request) + body[:end])


@answer_fault
async def close_inside_head(server, request):
    await request.read()
    head = _make_head(request)
    return _send_and_close(request, head[: server.rng.randrange(len(head))])


@answer_fault
async def send_earlier_refusal_first(server, request):
    request.transport.write(EARLIER_REFUSAL)
    return None


@answer_fault
async def begin_earlier_refusal_first(server, request):
    end = server.rng.randrange(len(EARLIER_REFUSAL))
    request.transport.write(EARLIER_REFUSAL[:end])
    return None


@answer_fault
async def promise_not_run_after_running(server, request):
    await request.read()
    headers = {"Attempt-Id": request.headers["Attempt-Id"], "Response-Seal": "seal"}
    return web.Response(status=server.rng.choice([429, 503]), headers=headers)
