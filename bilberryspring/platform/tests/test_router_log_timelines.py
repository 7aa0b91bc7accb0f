"""Tests that a router's log shows why a request with a given id failed."""

import asyncio

import aiohttp

from bilberryspring.platform.tests.platform_standin import ServerStandin
from bilberryspring.platform.tests.test_front_router import (
    deployment,
    make_headers,
    send_request,
)
from bilberryspring.process.request_timeline import build_request_timeline

__all__ = ["deployment"]

WAIT_S = 10.0


async def wait_for_timeline(router, request_id):
    """Return the request's log lines once the router has written the last of them."""
    async with asyncio.timeout(WAIT_S):
        while True:
            lines = router.log_path.read_text().splitlines()
            timeline = build_request_timeline(request_id, lines)
            if any(line.event == "request_answered" for line in timeline.lines):
                return timeline
            await asyncio.sleep(0.05)


async def test_timeline_shows_why_a_listed_server_was_not_used(deployment):
    deployment.server.delay_s = 0.5
    entry = deployment.server.make_entry(slots=1)
    await deployment.store.put("servers/s1", entry)
    router = await deployment.add_router()
    await router.wait_ready()
    async with aiohttp.ClientSession() as session:
        responses = await asyncio.gather(
            *(
                send_request(session, router, "/orders/x", request_id=f"a{n}")
                for n in range(12)
            )
        )
    refused = [n for n, (status, _, _) in enumerate(responses) if status == 503]
    assert refused
    reasons = set()
    for number in refused:
        timeline = await wait_for_timeline(router, f"a{number}")
        assert timeline.cause.event == "request_refused"
        assert timeline.cause.fields["tries"] == "0"
        reasons.add(timeline.cause.fields["reason"].split()[0])
    # The first requests are admitted before the router has measured the server's time.
    assert reasons <= {"predicted", "no"}


async def fail_during_request(deployment, path):
    """Send a request, reset its connection to the server, and return its timeline."""
    deployment.server.delay_s = 0.5
    router = await deployment.add_router()
    await router.wait_ready()
    status, error = 0, None
    async with aiohttp.ClientSession() as session:
        url = router.url + path
        try:
            async with session.post(url, headers=make_headers()) as response:
                status = response.status
                asyncio.get_running_loop().call_soon(deployment.server.reset)
                await response.read()
        except aiohttp.ClientError as client_error:
            error = client_error
    return await wait_for_timeline(router, "a1"), status, error


class FragileServer(ServerStandin):
    """A server that can reset the connections of its running requests."""

    def __init__(self):
        super().__init__()
        self.transports = []

    def reset(self):
        for transport in self.transports:
            transport.abort()

    async def _handle_request(self, request):
        self.transports.append(request.transport)
        if request.path.startswith("/orders/"):
            asyncio.get_running_loop().call_later(0.1, self.reset)
        return await super()._handle_request(request)


async def use_fragile_server(deployment):
    await deployment.server.close()
    deployment.server = FragileServer()
    await deployment.server.start()
    await deployment.store.put("servers/s1", deployment.server.make_entry())


async def test_timeline_shows_why_a_stream_was_aborted(deployment):
    await use_fragile_server(deployment)
    timeline, status, error = await fail_during_request(deployment, "/drafts/x")
    assert (status, error is not None) == (200, True)
    assert timeline.cause.event in ("try_failed", "request_failed")
    assert "during a response" in timeline.cause.fields["reason"]
    servers = {line.fields.get("server") for line in timeline.lines}
    assert "s1" in servers


async def test_timeline_shows_why_an_outcome_is_unknown(deployment):
    await use_fragile_server(deployment)
    timeline, status, error = await fail_during_request(deployment, "/orders/x")
    assert (status, error) == (502, None)
    assert timeline.cause.fields["outcome"] == "unknown"
    assert "before a response" in timeline.cause.fields["reason"]
    assert len(deployment.server.executed) == 1
