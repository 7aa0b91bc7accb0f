"""Crowds of callers that do not keep to the limits, at a router of the agents' fleet.

Guards against a router that runs out of memory or descriptors, or that no longer serves
ordinary callers.
"""

import asyncio

import aiohttp
import pytest

from bilberryspring.connection.tests.caller_crowds import (
    FORMS,
    MAX_BODY_BYTES,
    Target,
    play_crowd,
)
from bilberryspring.process.settings import split_address
from bilberryspring.standin.fleet import make_fleet
from bilberryspring.tests.documents import SERVICE_POOL, WORKSPACE_KEY, make_document

pytestmark = pytest.mark.apart

# Limits of the machine in the settings of the test.
MEMORY_MB = 160
MAX_DESCRIPTORS = 400
MAX_SOCKETS = MAX_DESCRIPTORS - 200
PATH = "/services/orders/x"
MAX_TRIES = 3
ORDINARY_TIMEOUT_S = 10.0
TESTED_FORMS = (
    "bodies-in-small-pieces",
    "bodies-one-byte-short",
    "many-short-fields-ahead",
    "heads-that-stop",
)


@pytest.fixture
async def fleet(tmp_path):
    async with make_fleet(tmp_path) as fleet:
        await fleet.start_platform()
        await fleet.publish(make_document())
        service = await fleet.add_service(SERVICE_POOL, "zone-1")
        fleet.router = await fleet.add_router(
            "zone-1",
            max_body_bytes=MAX_BODY_BYTES,
            memory_mb=MEMORY_MB,
            max_descriptors=MAX_DESCRIPTORS,
        )
        await fleet.wait_ready(service, fleet.router)
        yield fleet


def make_targets(router):
    host, port = split_address(router.caller_address)
    known = ("Host: a.example", f"Authorization: Bearer {WORKSPACE_KEY}")
    return [
        Target(host, port, PATH, known),
        Target(host, port, "/nowhere/x", known),
        Target(host, port, PATH, ("Host: a.example", "Authorization: Bearer no")),
        Target(host, port, "/healthz", known),
    ]


async def is_served(method, url, **options):
    """Return whether one request of an ordinary caller is answered."""
    timeout = aiohttp.ClientTimeout(total=ORDINARY_TIMEOUT_S)
    for _ in range(MAX_TRIES):
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.request(method, url, **options) as response:
                    await response.read()
                    if response.status == 200:
                        return True
        except (aiohttp.ClientError, TimeoutError):
            pass
        await asyncio.sleep(0.2)
    return False


@pytest.mark.parametrize("name", TESTED_FORMS)
async def test_router_outlasts_a_crowd(fleet, name):
    url = f"http://{fleet.router.caller_address}"

    async def check():
        assert fleet.router.process.is_running
        headers = {"Authorization": f"Bearer {WORKSPACE_KEY}"}
        assert await is_served("POST", url + PATH, data=b"x" * 400, headers=headers)
        assert await is_served("GET", url + "/healthz")

    observed = await play_crowd(
        FORMS[name], make_targets(fleet.router), fleet.router.process.pid, check
    )
    print(f"crowd {name}: {observed}")
    assert observed.peak_memory_mb < MEMORY_MB, observed
    assert observed.peak_sockets <= MAX_SOCKETS, observed
    assert "Traceback" not in fleet.router.process.read_log()


async def test_large_request_inside_the_limits_is_served_in_calm(fleet):
    headers = {"Authorization": f"Bearer {WORKSPACE_KEY}"}
    url = f"http://{fleet.router.caller_address}{PATH}"
    body = b"x" * MAX_BODY_BYTES
    async with fleet.session.post(url, data=body, headers=headers) as response:
        assert response.status == 200
