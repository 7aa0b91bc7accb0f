"""Tests of the key-value client against a fake JSON gateway."""

import asyncio
import itertools
import os

import pytest
from aiohttp import web

from bilberryspring.capability.store import (
    Get,
    Put,
    Transaction,
    WatchEvent,
    key_absent,
)
from bilberryspring.platform.keyvalue import (
    make_key_value_client,
)
from bilberryspring.platform.keyvalue_messages import (
    encode_transaction,
)
from bilberryspring.process.accounting import ControlMechanism, make_ledger
from bilberryspring.request.errors import ErrorKind, Failure, Outcome

CLAIMS = ControlMechanism.CLAIMS
TIMEOUT_S = 0.5
_numbers = itertools.count(1)


def take_host():
    """Return a loopback address that no other test uses."""
    return f"127.{100 + os.getpid() // 250 % 100}.{os.getpid() % 250}.{next(_numbers)}"


class FakeGateway:
    """A fake JSON gateway that calls a replaceable handler for each request."""

    def __init__(self, host):
        self.address = f"{host}:9000"
        self.host = host
        self.requests = []
        self.handler = lambda body: web.json_response({})
        self.runner = None

    async def start(self):
        app = web.Application(client_max_size=4_000_000)
        app.router.add_post("/{path:.*}", self._handle)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, self.host, 9000).start()

    async def _handle(self, request):
        self.requests.append(await request.json())
        result = self.handler(request)
        return await result if asyncio.iscoroutine(result) else result


@pytest.fixture
async def gateway():
    gateway = FakeGateway(take_host())
    await gateway.start()
    yield gateway
    await gateway.runner.cleanup()


@pytest.fixture
async def client(gateway):
    client = make_key_value_client([gateway.address], TIMEOUT_S, make_ledger())
    await client.start()
    yield client
    await client.close()


async def drop(request):
    request.transport.abort()
    return web.Response()


async def hang(request):
    await asyncio.sleep(TIMEOUT_S * 4)
    return web.Response()


@pytest.mark.parametrize(
    "handler, outcome",
    [
        (drop, Outcome.UNKNOWN),
        (hang, Outcome.UNKNOWN),
        (lambda _: web.json_response({"code": 14}, status=503), Outcome.UNKNOWN),
        (lambda _: web.Response(text="<html>"), Outcome.UNKNOWN),
        (lambda _: web.json_response({"code": 8}, status=429), Outcome.NOT_RUN),
    ],
)
async def test_failed_write_tells_whether_it_may_have_been_applied(
    gateway, client, handler, outcome
):
    gateway.handler = handler
    result = await client.put("/a", b"1", mechanism=CLAIMS)
    assert isinstance(result, Failure)
    assert result.kind is ErrorKind.PLATFORM_UNAVAILABLE
    assert result.outcome is outcome
    assert len(gateway.requests) == 1


async def test_refused_connection_is_not_run_and_the_next_address_is_used(gateway):
    closed_address = f"{take_host()}:9000"
    ledger = make_ledger()
    for addresses, expected in [
        ([closed_address], None),
        ([closed_address, gateway.address], 7),
    ]:
        gateway.handler = lambda _: web.json_response({"header": {"revision": "7"}})
        client = make_key_value_client(addresses, TIMEOUT_S, ledger)
        await client.start()
        result = await client.put("/a", b"1", mechanism=CLAIMS)
        await client.close()
        if expected is None:
            assert result.outcome is Outcome.NOT_RUN
        else:
            assert result == expected
    assert ledger.by_mechanism[CLAIMS].calls == 3
    assert ledger.by_mechanism[CLAIMS].sent_bytes > 0


async def test_read_is_repeated_after_a_lost_reply(gateway, client):
    handlers = iter([drop, lambda _: web.json_response({"kvs": [{"key": "YQ=="}]})])
    gateway.handler = lambda request: next(handlers)(request)
    item = await client.get("a", mechanism=CLAIMS)
    assert (item.key, item.value) == ("a", b"")


async def test_nested_transactions_are_encoded_and_decoded(gateway, client):
    reply = {
        "header": {"revision": "9"},
        "succeeded": True,
        "responses": [
            {"response_txn": {"responses": [{"response_range": {"kvs": []}}]}},
            {"response_txn": {"succeeded": True, "responses": [{"response_put": {}}]}},
            {"response_delete_range": {"deleted": "1"}},
        ],
    }
    gateway.handler = lambda _: web.json_response(reply)
    create = Transaction((key_absent("a"),), (Put("a", b"1", 5),), (Get("a"),))
    result = await client.transact([], [create, create], mechanism=CLAIMS)
    assert [getattr(r, "succeeded", None) for r in result.responses] == [
        False,
        True,
        None,
    ]
    assert result.responses[2].deleted == 1
    assert gateway.requests == [
        encode_transaction(Transaction((), (create, create), ()))
    ]
    nested = gateway.requests[0]["success"][0]["request_txn"]
    assert nested["compare"][0] == {
        "key": "YQ==",
        "target": "CREATE",
        "result": "EQUAL",
        "create_revision": "0",
    }
    assert nested["success"] == [
        {"request_put": {"key": "YQ==", "value": "MQ==", "lease": "5"}}
    ]


async def test_watch_continues_after_the_last_change_received(gateway, client):
    large = "A" * 400_000

    async def stream_event(request):
        start = int(gateway.requests[-1]["create_request"].get("start_revision", 0))
        response = web.StreamResponse()
        await response.prepare(request)
        event = f'{{"kv":{{"key":"YQ==","value":"{large}","mod_revision":"{start}"}}}}'
        line = f'{{"result":{{"events":[{event}]}}}}\n'
        await response.write(line.encode())
        return response

    gateway.handler = stream_event
    events = []
    async for event in client.watch("a", 4, mechanism=ControlMechanism.CONFIGURATION):
        events.append(event)
        if len(events) == 3:
            break
    first, failure, second = events
    assert isinstance(failure, Failure)
    assert isinstance(first, WatchEvent) and len(first.item.value) == 300_000
    assert (first.item.mod_revision, second.item.mod_revision) == (4, 5)


@pytest.mark.parametrize("granted, lease_id", [("90", 7), ("91", 7), ("89", None)])
async def test_lease_shorter_than_requested_is_a_failure(
    gateway, client, granted, lease_id
):
    gateway.handler = lambda request: web.json_response({"ID": "7", "TTL": granted})
    result = await client.grant_lease(89.2, mechanism=CLAIMS)
    assert gateway.requests == [{"TTL": "90", "ID": "0"}]
    if lease_id is None:
        assert isinstance(result, Failure)
    else:
        assert result == lease_id
