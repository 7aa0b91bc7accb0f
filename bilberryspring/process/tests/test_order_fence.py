"""Orders to an engine while the key-value service is restored from a copy."""

from types import SimpleNamespace

import pytest

from bilberryspring.process.orders import Order, make_order_fence
from bilberryspring.process.orders import _write_order as write_order
from bilberryspring.request.errors import ErrorKind, Failure
from bilberryspring.version.publish import MECHANISM
from bilberryspring.version.tests.key_value_fixture import open_key_value

AGENT = "agent-1"


@pytest.fixture
async def restorable():
    async with open_key_value() as (key_value, control):
        process = SimpleNamespace(key_value=key_value, instance_id=AGENT)
        fence = make_order_fence(process)
        sent = []

        async def send(order, fencing):
            sent.append((order.target, fencing))
            return b""

        fence._send = send
        await key_value.put("/filler", b"", mechanism=MECHANISM)
        await control.post("/standin/copy")
        yield process, fence, sent, control


async def submit(process, target):
    order = Order("load_adapter", target, "op", f"token of {target}")
    return order, await write_order(process, AGENT, order)


async def test_new_order_is_carried_out_after_a_restoration(restorable):
    process, fence, sent, control = restorable
    for target in ("first", "second", "third"):
        assert await fence.execute(*await submit(process, target)) == b""
    await control.post("/standin/restore")
    assert await fence.execute(*await submit(process, "new")) == b""
    targets, numbers = zip(*sent, strict=True)
    assert targets == ("first", "second", "third", "new")
    assert list(numbers) == sorted(set(numbers))


async def test_order_of_a_former_history_is_stale(restorable):
    process, fence, sent, control = restorable
    await submit(process, "first")
    lost = await submit(process, "lost")
    await control.post("/standin/restore")
    refused = await fence.execute(*lost)
    assert isinstance(refused, Failure) and refused.kind is ErrorKind.STALE_ORDER
    new = await submit(process, "new")
    assert new[1] < lost[1]
    refused = await fence.execute(*lost)
    assert isinstance(refused, Failure) and refused.kind is ErrorKind.STALE_ORDER
    assert await fence.execute(*new) == b""
    assert [target for target, _ in sent] == ["new"]
