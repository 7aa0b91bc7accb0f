"""Operator orders to model engines, such as loading a model or an adapter.

An order's fencing token is the revision at which it was written to the key-value
service, so tokens increase in the order of acceptance, whichever router writes them.
Some engines reject an old token themselves; for the others the agent rejects each order
but the one that the service holds. A service that is restored from a copy gives
revisions out again; the agent then raises the tokens that it sends to the engine.
"""

import asyncio
import json
import secrets
from dataclasses import asdict, dataclass
from typing import Any

import aiohttp

from bilberryspring.capability.instance_list import (
    Role,
)
from bilberryspring.capability.store import (
    KeyValue,
)
from bilberryspring.connection.calls import register_call_handler
from bilberryspring.connection.http_bodies import read_body
from bilberryspring.identifiers import InstanceId
from bilberryspring.malformed_input import MALFORMED_ERRORS, describe_error
from bilberryspring.process.accounting import ControlMechanism
from bilberryspring.process.logs import log_event
from bilberryspring.request.engine_control import make_engine_session
from bilberryspring.request.errors import ErrorKind, Failure, Outcome, make_failure

__all__ = ["Order", "OrderFence", "submit_order", "make_order_fence", "parse_order"]

ORDERS_PREFIX = "/bilberryspring/orders/"
ORDER_METHOD = "orders.obey"
CALL_TIMEOUT_S = 30.0
MAX_NAME_LENGTH = 256
MAX_REPLY_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class Order:
    """Order of an operator to an engine.

    :param order: kind of the order, as the engine names it.
    :param target: object of the order, such as the name of an adapter.
    :param operator: operator who gives it.
    :param token: unique token that identifies the order after a lost reply; empty until
        it is written.
    """

    order: str
    target: str
    operator: str
    token: str = ""


def _encode_order(order: Order) -> bytes:
    return json.dumps(asdict(order)).encode()


def _order_key(instance_id: str) -> str:
    return ORDERS_PREFIX + instance_id


async def submit_order(
    process: Any, instance_id: InstanceId, order: Order
) -> int | Failure:
    """Write an order to the key-value service, then send it to the engine's agent.

    :param process: the router that received the operator's request.
    :param instance_id: agent beside the engine.
    :param order: the order.
    :returns: fencing token of the order that the engine executed, or a failure.
    """
    instance = process.members.find(instance_id)
    if instance is None or instance.role is not Role.AGENT:
        reason = f"{instance_id!r} is not a listed agent"
        return make_failure(ErrorKind.MALFORMED_REQUEST, reason)
    order = Order(order.order, order.target, order.operator, secrets.token_hex(16))
    fencing = await _write_order(process, instance_id, order)
    if isinstance(fencing, Failure):
        return fencing
    payload = json.dumps(asdict(order) | {"fencing": fencing}).encode()
    reply = await process.peers.call(
        instance.address, ORDER_METHOD, payload, CALL_TIMEOUT_S
    )
    process.ledger.count(ControlMechanism.ADMINISTRATION, sent_bytes=len(payload))
    return reply if isinstance(reply, Failure) else fencing


async def _write_order(
    process: Any, instance_id: InstanceId, order: Order
) -> int | Failure:
    """Write an order and return its revision, also after a lost reply."""
    key = _order_key(instance_id)
    value = _encode_order(order)
    revision = await process.key_value.put(
        key, value, mechanism=ControlMechanism.ADMINISTRATION
    )
    if not isinstance(revision, Failure) or revision.outcome is Outcome.NOT_RUN:
        return revision
    found = await _read_order(process, instance_id)
    if isinstance(found, KeyValue) and found.value == value:
        return found.mod_revision
    return revision


async def _read_order(
    process: Any, instance_id: InstanceId
) -> KeyValue | None | Failure:
    return await process.key_value.get(
        _order_key(instance_id), mechanism=ControlMechanism.ADMINISTRATION
    )


class OrderFence:
    """Fence that passes only the newest order to an engine.

    :param process: the agent.
    :ivar highest_fencing: highest token sent to the engine.
    """

    def __init__(self, process: Any):
        self.highest_fencing = 0
        self._fencing_offset = 0
        self._process = process
        process.key_value.history.change_callbacks.append(self._raise_offset)
        self._lock = asyncio.Lock()

    async def execute(self, order: Order, fencing: int) -> bytes | Failure:
        """Send an order to the engine if it is the one in the key-value service.

        The service is asked, because this agent may have been replaced, or paused,
        since the order was written, and the service may have been restored.

        :param order: the order.
        :param fencing: its fencing token.
        :returns: the engine's reply, or a ``STALE_ORDER`` or other failure.
        """
        async with self._lock:
            newest = await _read_order(self._process, self._process.instance_id)
            if isinstance(newest, Failure):
                return newest
            if newest is None or (newest.mod_revision, newest.value) != (
                fencing,
                _encode_order(order),
            ):
                reason = f"order {fencing} is not the one in the key-value service"
                return make_failure(ErrorKind.STALE_ORDER, reason)
            self.highest_fencing = max(
                self.highest_fencing, self._fencing_offset + fencing
            )
            log_event("order_sent", order=order.order, target=order.target)
            return await self._send(order, self._fencing_offset + fencing)

    def _raise_offset(self) -> None:
        self._fencing_offset = self.highest_fencing

    async def _send(self, order: Order, fencing: int) -> bytes | Failure:
        body = {"order": order.order, "target": order.target, "fencing": fencing}
        address = self._process.settings.backend_address
        try:
            async with make_engine_session(CALL_TIMEOUT_S) as session:
                async with session.post(
                    f"http://{address}/v1/orders", json=body
                ) as response:
                    text = await read_body(response, MAX_REPLY_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            return make_failure(ErrorKind.BACKEND_UNREACHABLE, repr(error))
        if response.status == 409:
            return make_failure(ErrorKind.STALE_ORDER, text.decode(errors="replace"))
        if response.status != 200:
            reason = f"{response.status}: {text.decode(errors='replace')}"
            return make_failure(ErrorKind.BACKEND_FAILED, reason)
        return text


def make_order_fence(process: Any) -> OrderFence:
    """Return the order fence of an agent.

    :param process: the agent.
    """
    return OrderFence(process)


def parse_order(document: Any, operator: str) -> Order | Failure:
    """Return the order in an operator's request.

    :param document: parsed JSON body.
    :param operator: authenticated operator.
    :returns: the order without a token, or a failure for another document.

    >>> parse_order({"order": "load_adapter", "target": "rolls"}, "op").target
    'rolls'
    >>> parse_order([], "op").kind.value
    'malformed_request'
    """
    if isinstance(document, dict) and set(document) == {"order", "target"}:
        order, target = document["order"], document["target"]
        if _is_name(order) and _is_name(target):
            return Order(order, target, operator)
    reason = "expected an object with exactly the strings order and target"
    return make_failure(ErrorKind.MALFORMED_REQUEST, reason)


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_LENGTH


@register_call_handler(ORDER_METHOD)
async def _handle_order_call(
    process: Any, payload: bytes, caller: InstanceId
) -> bytes | Failure:
    decoded = decode_order_call(payload)
    if isinstance(decoded, Failure):
        return decoded
    return await process.orders.execute(*decoded)


def decode_order_call(payload: bytes) -> tuple[Order, int] | Failure:
    """Decode the payload of a call that gives an order to an agent.

    :param payload: JSON object of the order and its fencing number.
    :returns: both, or a failure if the payload is malformed.
    """
    try:
        document = json.loads(payload)
        fencing = int(document.pop("fencing"))
        return Order(**document), fencing
    except MALFORMED_ERRORS as error:
        return make_failure(ErrorKind.MALFORMED_REQUEST, describe_error(error))
