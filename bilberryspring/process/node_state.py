"""State of a node for peers and operators, and the call that drains a node."""

import asyncio
import json
import time
from dataclasses import asdict, dataclass
from typing import Any

from bilberryspring.capability.instance_list import (
    Instance,
)
from bilberryspring.connection.calls import register_call_handler
from bilberryspring.identifiers import InstanceId
from bilberryspring.malformed_input import MALFORMED_ERRORS, describe_error
from bilberryspring.process.accounting import ControlMechanism
from bilberryspring.process.logs import log_event
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = [
    "NodeState",
    "NodeStatus",
    "describe_node",
    "collect_node_statuses",
    "request_drain",
]

STATE_METHOD = "node.state"
DRAIN_METHOD = "node.drain"
CALL_TIMEOUT_S = 2.0
MAX_CALLS_IN_FLIGHT = 32


@dataclass(frozen=True, slots=True)
class NodeState:
    """State that a node reports about itself.

    :param instance_id: id of the node.
    :param configuration_version: configuration version in force; zero for none.
    :param configuration_digest: digest of that configuration.
    :param load: unfinished work at an agent, in the load unit of its pool; zero for a
        router.
    :param running: requests that are running at an agent, or open at a router.
    :param queued: requests in the queue of an agent.
    :param queued_by_rank: queued requests by work rank.
    :param paused: requests of an agent that are preempted by more urgent ones.
    :param is_draining: whether the node refuses new requests.
    :param uptime_s: time since the process started.
    """

    instance_id: str
    configuration_version: int
    configuration_digest: str
    load: float
    running: int
    queued: int
    queued_by_rank: dict[str, int]
    paused: int
    is_draining: bool
    uptime_s: float


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """A listed instance and its state.

    :param instance: entry in the platform's list.
    :param state: state that the node reported; ``None`` if it did not respond.
    :param reason: why there is no state; empty if there is one.
    """

    instance: Instance
    state: NodeState | None
    reason: str = ""


def describe_node(process: Any) -> NodeState:
    """Return the state of this process.

    :param process: the router or agent.
    """
    admission = getattr(process, "admission", None)
    return NodeState(
        instance_id=process.settings.instance_id,
        configuration_version=process.holder.version,
        configuration_digest=process.follower.digest,
        load=float(admission.load) if admission else 0.0,
        running=admission.running if admission else getattr(process, "active", 0),
        queued=admission.queued if admission else 0,
        queued_by_rank=admission.queued_by_rank if admission else {},
        paused=admission.paused if admission else 0,
        is_draining=process.draining,
        uptime_s=round(time.monotonic() - process.ledger.started_monotonic_s, 3),
    )


async def collect_node_statuses(process: Any) -> list[NodeStatus]:
    """Return the state of every listed instance.

    :param process: the router that calls the instances.
    """
    slots = asyncio.Semaphore(MAX_CALLS_IN_FLIGHT)

    async def fetch(instance: Instance) -> NodeStatus:
        async with slots:
            return await _fetch_status(process, instance)

    nodes = process.members.all_nodes()
    return list(await asyncio.gather(*map(fetch, nodes)))


async def _fetch_status(process: Any, instance: Instance) -> NodeStatus:
    reply = await _call(process, instance, STATE_METHOD)
    if isinstance(reply, Failure):
        return NodeStatus(instance, None, reply.reason)
    state = decode_node_state(reply)
    if isinstance(state, Failure):
        return NodeStatus(instance, None, state.reason)
    return NodeStatus(instance, state)


def decode_node_state(reply: bytes) -> NodeState | Failure:
    """Decode the state that a node reports.

    :param reply: reply to a call of ``STATE_METHOD``.
    :returns: the state, or a failure if the reply is malformed.
    """
    try:
        return NodeState(**json.loads(reply))
    except MALFORMED_ERRORS as error:
        reason = f"malformed state: {describe_error(error)}"
        return make_failure(ErrorKind.MALFORMED_REQUEST, reason)


async def request_drain(process: Any, instance_id: InstanceId) -> None | Failure:
    """Make an instance refuse new requests and finish its open ones.

    :param process: the router that sends the call.
    :param instance_id: id of the instance; it may be the router itself.
    :returns: ``None`` once the drain began, or a failure.
    """
    if instance_id == process.settings.instance_id:
        _begin_drain(process, instance_id)
        return None
    instance = process.members.find(instance_id)
    if instance is None:
        reason = f"instance {instance_id!r} is not in the instance list"
        return make_failure(ErrorKind.MALFORMED_REQUEST, reason)
    reply = await _call(process, instance, DRAIN_METHOD)
    return reply if isinstance(reply, Failure) else None


async def _call(process: Any, instance: Instance, method: str) -> bytes | Failure:
    reply = await process.peers.call(instance.address, method, b"", CALL_TIMEOUT_S)
    received_bytes = 0 if isinstance(reply, Failure) else len(reply)
    process.ledger.count(ControlMechanism.ADMINISTRATION, received_bytes=received_bytes)
    return reply


def _begin_drain(process: Any, ordered_by: str) -> None:
    if not process.draining:
        log_event("drain_ordered", ordered_by=ordered_by)
        process.start_task(process.drain())


@register_call_handler(STATE_METHOD)
async def _handle_state_call(process: Any, payload: bytes, caller: InstanceId) -> bytes:
    reply = json.dumps(asdict(describe_node(process))).encode()
    process.ledger.count(ControlMechanism.ADMINISTRATION, sent_bytes=len(reply))
    return reply


@register_call_handler(DRAIN_METHOD)
async def _handle_drain_call(process: Any, payload: bytes, caller: InstanceId) -> bytes:
    _begin_drain(process, caller)
    return b""
