"""Tests of the router process against stand-ins of callers, servers and the store."""

import asyncio
import os
import signal
import socket
import sys

import aiohttp
import pytest
from aiohttp import web

from bilberryspring.connection.tests.stream_server import serve_streams
from bilberryspring.platform.tests.platform_standin import (
    CONFIGURATION,
    ServerStandin,
    StoreStandin,
)
from bilberryspring.standin.addresses import make_address_block

SETTINGS_TEMPLATE = """
node = "{node}"
ip = "{ip}"
zone = "z"
internalPorts = [{peer_port}, {peer_port}]
seeds = [{seeds}]
[listen]
front = "{ip}:{port}"
ready = "{ip}:{ready_port}"
[bounds]
graceS = {grace_s}
retryBudgetRatio = 0.2
budgetExtra = 50
coldOverage = 1.5
coldSlack = 5
[platform]
address = "{store}"
{limits}
"""


def find_free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def find_router_ports():
    """Return the ports of two routers, which use the same peer port."""
    peer_port = find_free_port()
    return [(find_free_port(), find_free_port(), peer_port) for _ in range(2)]


class Router:
    """One router process."""

    def __init__(
        self,
        tmp_path,
        store,
        ip="127.0.0.1",
        ports=(),
        seeds=(),
        grace_s=8,
        limits="",
    ):
        ports = ports or (find_free_port(), find_free_port(), find_free_port())
        self.ip = ip
        self.port, self.ready_port, self.peer_port = ports
        self.path = tmp_path / f"{ip}.toml"
        self.log_path = tmp_path / f"{ip}.log"
        self.path.write_text(
            SETTINGS_TEMPLATE.format(
                node=f"front-{ip}",
                grace_s=grace_s,
                limits=limits,
                ip=ip,
                peer_port=self.peer_port,
                port=self.port,
                ready_port=self.ready_port,
                store=store,
                seeds=", ".join(f'"{seed}:9"' for seed in seeds),
            )
        )
        self.url = f"http://{ip}:{self.port}"
        self.process = None

    async def start(self):
        environment = {**os.environ, "BILBERRYSPRING_SETTINGS": str(self.path)}
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "bilberryspring.platform.front_router",
                env=environment,
                stdout=log,
            )

    async def is_ready(self):
        try:
            url = f"http://{self.ip}:{self.ready_port}/ready"
            async with aiohttp.ClientSession() as session, session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def wait_ready(self, timeout_s=20.0):
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                assert self.process.returncode is None, self.log_path.read_text()
                await asyncio.sleep(0.05)

    async def close(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Deployment:
    """A store, a backend server and router processes."""

    def __init__(self, tmp_path):
        self.tmp_path = tmp_path
        self.store = StoreStandin()
        self.server = ServerStandin()
        self.routers = []
        self._addresses = make_address_block()

    async def start(self):
        await self.store.start()
        await self.server.start()
        await self.store.put("op/config", CONFIGURATION)
        await self.store.put("servers/s1", self.server.make_entry())

    async def add_router(self, **options):
        if not options.keys() & {"ip", "ports"}:
            # Free ports of 127.0.0.1 may be taken by others before the router listens.
            options["ip"] = self._addresses.take_host()
        router = Router(self.tmp_path, self.store.address, **options)
        self.routers.append(router)
        await router.start()
        return router

    async def close(self):
        for router in self.routers:
            await router.close()
        await self.server.close()
        await self.store.close()
        self._addresses.close()


@pytest.fixture
async def deployment(tmp_path):
    deployment = Deployment(tmp_path)
    await deployment.start()
    yield deployment
    await deployment.close()


def make_headers(request_id="a1", key="k1", **more):
    headers = {"Host": "a.example", "Attempt-Id": request_id, "Deadline-Ms": "3000"}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    return {**headers, **more}


async def send_request(session, router, path, body=b"", **options):
    headers = make_headers(**options)
    async with session.post(router.url + path, data=body, headers=headers) as response:
        return response.status, dict(response.headers), await response.read()


async def test_request_reaches_its_server_with_the_name_of_its_workspace(deployment):
    router = await deployment.add_router()
    await router.wait_ready()
    async with aiohttp.ClientSession() as session:
        forbidden_headers = {
            "Tenant": "other",
            "Hold": "h",
            "Connection": "X-Own",
            "X-Own": "1",
        }
        status, headers, body = await send_request(
            session, router, "/orders/x?y=1", b"two", **forbidden_headers
        )
    assert (status, body) == (200, b"done two")
    assert headers["Response-Seal"] == "seal" and headers["Attempt-Id"] == "a1"
    request, _ = deployment.server.executed[0]
    assert request.path_qs == "/orders/x?y=1"
    assert request.headers["Tenant"] == "ward"
    assert 0 < int(request.headers["Deadline-Ms"]) <= 1500
    for name in ("Authorization", "Hold", "X-Own"):
        assert name not in request.headers


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/orders/x", "wrong", 401),
        ("/orders/x", None, 401),
        ("/nowhere/x", "k1", 404),
        ("/open/x", None, 200),
    ],
)
async def test_key_and_route_determine_the_status(deployment, path, key, status):
    router = await deployment.add_router()
    await router.wait_ready()
    async with aiohttp.ClientSession() as session:
        response_status, _, _ = await send_request(session, router, path, key=key)
    assert response_status == status
    assert len(deployment.server.executed) == (status == 200)


async def test_metrics_report_requests_and_configuration(deployment):
    router = await deployment.add_router()
    await router.wait_ready()
    async with aiohttp.ClientSession() as session:
        await send_request(session, router, "/orders/x")
        url = f"http://{router.ip}:{router.ready_port}/metrics"
        async with session.get(url) as response:
            text = await response.text()
    assert 'requests_total{kind="",outcome="complete",rank="1",status="200"} 1' in text
    assert "bilberryspring_configuration_version 3.0" in text
    assert "first_part_seconds_bucket" in text


async def test_changed_configuration_is_applied_within_a_second(deployment):
    router = await deployment.add_router()
    await router.wait_ready()
    tenants = [{"name": "ward", "apiKeys": ["k9"]}]
    await deployment.store.put(
        "op/config", {**CONFIGURATION, "version": 4, "tenants": tenants}
    )
    await asyncio.sleep(1.0)
    async with aiohttp.ClientSession() as session:
        assert (await send_request(session, router, "/orders/x", key="k1"))[0] == 401
        assert (await send_request(session, router, "/orders/x", key="k9"))[0] == 200


# Guards against an empty list of workspaces being read as a missing one, which let
# requests with any key, and with none, run.
async def test_no_key_is_accepted_once_the_last_workspace_is_removed(deployment):
    router = await deployment.add_router()
    await router.wait_ready()
    async with aiohttp.ClientSession() as session:
        assert (await send_request(session, router, "/orders/x"))[0] == 200
        await deployment.store.put(
            "op/config", {**CONFIGURATION, "version": 4, "tenants": []}
        )
        await asyncio.sleep(1.0)
        for key in ("k1", "unknown", None):
            for path in ("/orders/x", "/drafts/x"):
                status, _, _ = await send_request(session, router, path, key=key)
                assert (key, path, status) == (key, path, 401)
        assert (await send_request(session, router, "/open/x", key=None))[0] == 200
    assert len(deployment.server.executed) == 2


# Guards against a weight of zero being read as a missing one, which sent all requests
# to a route's only service.
@pytest.mark.parametrize("services", [["desk"], ["desk", "other"]])
async def test_route_whose_weights_are_zero_serves_no_request(deployment, services):
    split = [{"service": name, "weight": 0} for name in services]
    orders, *others = CONFIGURATION["routes"]
    routes = [{**orders, "split": split}, *others]
    await deployment.store.put(
        "op/config", {**CONFIGURATION, "version": 4, "routes": routes}
    )
    router = await deployment.add_router()
    await router.wait_ready()
    async with aiohttp.ClientSession() as session:
        assert (await send_request(session, router, "/orders/x"))[0] == 503
        assert (await send_request(session, router, "/drafts/x"))[0] == 200
    assert len(deployment.server.executed) == 1


async def test_server_at_a_reused_address_does_not_run_requests_for_another(deployment):
    router = await deployment.add_router()
    await router.wait_ready()
    deployment.server.server_id = "s2"
    async with aiohttp.ClientSession() as session:
        status, headers, _ = await send_request(session, router, "/orders/x")
    assert status == 503 and float(headers["Retry-After"]) > 0
    assert not deployment.server.executed


async def test_stopping_router_reports_not_ready_and_completes_responses(
    deployment,
):
    router = await deployment.add_router()
    await router.wait_ready()
    deployment.server.delay_s = 0.1
    deployment.server.event_count = 25
    statuses = []
    async with aiohttp.ClientSession() as session:
        stream = asyncio.create_task(send_request(session, router, "/drafts/x"))
        await asyncio.sleep(0.5)
        router.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        assert not await router.is_ready()
        for number in range(10):
            response = await send_request(
                session, router, "/orders/x", request_id=f"o{number}"
            )
            statuses.append(response[0])
            await asyncio.sleep(0.1)
        status, _, body = await stream
    assert statuses == [200] * 10
    assert status == 200 and body.count(b"id: ") == 25
    async with asyncio.timeout(10):
        assert await router.process.wait() == 0


async def test_request_that_outlasts_the_drain_gets_a_response(deployment):
    router = await deployment.add_router(grace_s=3.4)
    await router.wait_ready()
    deployment.server.delay_s = 20.0
    headers = {"Deadline-Ms": "15000"}
    async with aiohttp.ClientSession() as session:
        pending = asyncio.create_task(
            send_request(session, router, "/open/x", key=None, **headers)
        )
        await asyncio.sleep(0.3)
        router.process.send_signal(signal.SIGTERM)
        status, _, _ = await pending
    assert status == 504
    async with asyncio.timeout(5):
        assert await router.process.wait() == 0


async def test_request_of_a_disconnected_caller_is_cancelled(deployment):
    router = await deployment.add_router()
    await router.wait_ready()
    deployment.server.delay_s = 0.1
    deployment.server.event_count = 30
    cancelled = asyncio.Event()
    handle_request = deployment.server._handle_request

    async def handle_and_detect_cancel(request):
        try:
            return await handle_request(request)
        except (asyncio.CancelledError, ConnectionError):
            cancelled.set()
            raise

    deployment.server._handle_request = handle_and_detect_cancel
    async with aiohttp.ClientSession() as session:
        response = await session.post(
            router.url + "/drafts/x", headers=make_headers(), data=b""
        )
        await response.content.readany()
        response.close()
    deadline_s = asyncio.get_running_loop().time() + 1.0
    while asyncio.get_running_loop().time() < deadline_s and not cancelled.is_set():
        await asyncio.sleep(0.05)
    request, _ = deployment.server.executed[0]
    assert (
        cancelled.is_set()
        or request.transport is None
        or request.transport.is_closing()
    )


async def test_router_that_starts_without_the_store_learns_from_a_peer(deployment):
    first_ports, second_ports = find_router_ports()
    first = await deployment.add_router(ports=first_ports)
    await first.wait_ready()
    deployment.store.fault = lambda request: web.Response(status=503)
    second = await deployment.add_router(
        ip="127.0.0.2", ports=second_ports, seeds=["127.0.0.1"]
    )
    await second.wait_ready()
    async with aiohttp.ClientSession() as session:
        assert (await send_request(session, second, "/orders/x"))[0] == 200


async def test_router_that_loses_the_store_follows_a_peer(deployment):
    first_ports, second_ports = find_router_ports()
    first = await deployment.add_router(ports=first_ports)
    await first.wait_ready()
    second_store = StoreStandin()
    await second_store.start()
    second_store.items = dict(deployment.store.items)
    second = Router(
        deployment.tmp_path,
        second_store.address,
        "127.0.0.2",
        second_ports,
        ["127.0.0.1"],
    )
    deployment.routers.append(second)
    await second.start()
    await second.wait_ready()
    second_store.fault = lambda request: web.Response(status=503)
    tenants = [{"name": "ward", "apiKeys": ["k9"]}]
    await deployment.store.put(
        "op/config", {**CONFIGURATION, "version": 4, "tenants": tenants}
    )
    await asyncio.sleep(2.0)
    async with aiohttp.ClientSession() as session:
        assert (await send_request(session, second, "/orders/x", key="k9"))[0] == 200
        assert (await send_request(session, second, "/orders/x", key="k1"))[0] == 401
    await second_store.close()


async def test_invalid_settings_end_the_program_with_a_reason(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text("node = 3")
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bilberryspring.platform.front_router",
        env={**os.environ, "BILBERRYSPRING_SETTINGS": str(path)},
        stderr=asyncio.subprocess.PIPE,
    )
    _, errors = await process.communicate()
    assert process.returncode == 2
    assert b"listen" in errors


async def test_settings_are_reloaded_on_sighup(deployment):
    router = await deployment.add_router()
    await router.wait_ready()
    content = router.path.read_text()
    changes = (content.replace("budgetExtra = 50", "budgetExtra = 70"), "node = 3")
    for changed, event in zip(changes, ("reloaded", "update_refused"), strict=True):
        router.path.write_text(changed)
        router.process.send_signal(signal.SIGHUP)
        async with asyncio.timeout(5):
            while f"event={event}" not in router.log_path.read_text():
                await asyncio.sleep(0.05)
    assert "retry_extra=70" in router.log_path.read_text()
    async with aiohttp.ClientSession() as session:
        assert (await send_request(session, router, "/orders/x"))[0] == 200


HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Seal: seal\r\n"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
# Path, answer after which the server closes the connection, and what callers get of a
# complete answer; ``None`` if they must not get one.
CLOSED_ANSWERS = {
    "body": ("/orders/x", HEAD + b"\r\nall of it", b"all of it"),
    "stream": ("/drafts/x", HEAD + b"\r\n" + EVENTS, EVENTS),
    "stream-inside-event": ("/drafts/x", HEAD + b"\r\n" + EVENTS[:-1], None),
    "stream-inside-first-event": ("/drafts/x", HEAD + b"\r\n" + EVENTS[:5], None),
    "length-inside-event": (
        "/drafts/x",
        HEAD + b"Content-Length: 5\r\n\r\n" + EVENTS[:5],
        None,
    ),
    "chunks-inside-event": (
        "/drafts/x",
        HEAD + CHUNKED + b"5\r\n" + EVENTS[:5] + b"\r\n0\r\n\r\n",
        None,
    ),
    "short-length": ("/orders/x", HEAD + b"Content-Length: 9\r\n\r\nall", None),
    "inside-chunk": ("/orders/x", HEAD + CHUNKED + b"9\r\nall", None),
    "no-last-chunk": ("/orders/x", HEAD + CHUNKED + b"3\r\nall\r\n", None),
    "status-line": ("/orders/x", HEAD[:15], None),
    "head": ("/orders/x", HEAD, None),
    "head-of-stream": ("/drafts/x", HEAD, None),
    "head-without-events": ("/drafts/x", HEAD + b"\r\n", None),
    "nothing": ("/orders/x", b"", None),
}


@pytest.mark.parametrize("name", CLOSED_ANSWERS)
async def test_answer_that_breaks_off_never_looks_complete(deployment, name):
    path, answer, expected = CLOSED_ANSWERS[name]

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)

    async with serve_streams(respond) as port, aiohttp.ClientSession() as session:
        entry = deployment.server.make_entry(address=f"127.0.0.1:{port}")
        await deployment.store.put("servers/s1", entry)
        router = await deployment.add_router()
        await router.wait_ready()
        try:
            status, _, body = await send_request(session, router, path)
        except aiohttp.ClientError:
            status, body = 0, b""
    if expected is None:
        assert status in (0, 502)
    else:
        assert (status, body) == (200, expected)
