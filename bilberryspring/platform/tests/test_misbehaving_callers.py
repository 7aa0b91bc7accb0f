"""Crowds of callers that do not keep to the limits, at a router process.

Guards against a router that runs out of memory or descriptors, or that no longer serves
ordinary callers.
"""

import asyncio
import copy

import aiohttp
import pytest

from bilberryspring.connection.tests.caller_crowds import (
    FORMS,
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    CrowdForm,
    Target,
    play_crowd,
)
from bilberryspring.platform.tests.platform_standin import CONFIGURATION
from bilberryspring.platform.tests.test_front_router import deployment, make_headers
from bilberryspring.standin.addresses import make_address_block

__all__ = ["deployment"]

pytestmark = pytest.mark.apart

# Limits of the machine in the settings of the test.
MEMORY_MB = 96
MAX_DESCRIPTORS = 400
# The platform reserves the others for files.
MAX_SOCKETS = MAX_DESCRIPTORS - 200
LIMITS = f"[limits]\nmemoryMb = {MEMORY_MB}\nmaxFds = {MAX_DESCRIPTORS}\n"
BOOK_BYTES = 3_000_000
# An ordinary caller comes again this often after a refusal or a closed connection.
MAX_TRIES = 3
ORDINARY_TIMEOUT_S = 10.0


def make_configuration():
    configuration = copy.deepcopy(CONFIGURATION)
    public = configuration["routes"][-1]
    books = {**public, "name": "books", "prefix": "/books/", "timeoutMs": 20_000}
    configuration["routes"].append(books)
    configuration["services"][0]["maxConns"] = 200
    configuration["limits"] = {
        "maxHeaderBytes": MAX_HEADER_BYTES,
        "maxBodyBytes": MAX_BODY_BYTES,
        "headerTimeoutMs": 10_000,
        "idleTimeoutMs": 20_000,
    }
    return configuration


@pytest.fixture
async def router(deployment):
    addresses = make_address_block()
    deployment.server.large_body = b"x" * BOOK_BYTES
    await deployment.store.put("op/config", make_configuration())
    entry = deployment.server.make_entry(slots=64)
    await deployment.store.put("servers/s1", entry)
    router = await deployment.add_router(ip=addresses.take_host(), limits=LIMITS)
    await router.wait_ready()
    yield router
    addresses.close()


def make_targets(router, path="/orders/x"):
    headers = ("Host: a.example", "Attempt-Id: c1", "Deadline-Ms: 20000")
    known = (*headers, "Authorization: Bearer k1")
    return [
        Target(router.ip, router.port, path, known),
        Target(router.ip, router.port, "/nowhere/x", known),
        Target(router.ip, router.port, path, (*headers, "Authorization: Bearer no")),
        Target(router.ip, router.ready_port, "/ready", headers),
    ]


async def _request(method, url, **options):
    timeout = aiohttp.ClientTimeout(total=ORDINARY_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        async with session.request(method, url, **options) as response:
            return response.status, await response.read()


async def is_served(method, url, **options):
    """Return whether one request of an ordinary caller is answered."""
    for _ in range(MAX_TRIES):
        try:
            result, _ = await _request(method, url, **options)
        except (aiohttp.ClientError, TimeoutError) as error:
            result = repr(error)
        if result == 200:
            return True
        print(f"{method} {url}: {result}")
        await asyncio.sleep(0.2)
    return False


@pytest.mark.parametrize("name", FORMS)
async def test_router_outlasts_a_crowd(router, name):
    async def check():
        assert router.process.returncode is None
        headers = make_headers(**{"Deadline-Ms": "8000"})
        assert await is_served(
            "POST", router.url + "/orders/x", data=b"x" * 400, headers=headers
        )
        ready_url = f"http://{router.ip}:{router.ready_port}/ready"
        assert await is_served("GET", ready_url)

    path = "/books/x" if "readers" in name else "/orders/x"
    observed = await play_crowd(
        FORMS[name], make_targets(router, path), router.process.pid, check
    )
    print(f"crowd {name}: {observed}")
    assert observed.peak_memory_mb < MEMORY_MB, observed
    assert observed.peak_sockets <= MAX_SOCKETS, observed
    assert "handler_failed" not in router.log_path.read_text()


async def test_large_request_inside_the_limits_is_served_in_calm(router):
    headers = make_headers(**{"Deadline-Ms": "8000"})
    body = b"x" * MAX_BODY_BYTES
    answer = await _request(
        "POST", router.url + "/orders/x", data=body, headers=headers
    )
    assert answer == (200, b"done " + body)


async def test_readiness_is_answered_while_callers_take_all_room(router, deployment):
    deployment.server.delay_s = 20.0
    form = CrowdForm(lambda t: [t.make_head(method="GET") + b"\r\n"], 240)

    async def check():
        ready_url = f"http://{router.ip}:{router.ready_port}/ready"
        assert await is_served("GET", ready_url)

    targets = make_targets(router, "/books/x")[:1]
    observed = await play_crowd(form, targets, router.process.pid, check)
    assert observed.peak_sockets <= MAX_SOCKETS, observed
