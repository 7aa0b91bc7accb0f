"""Peer call with which two processes compare their instance lists."""

from typing import Any

from bilberryspring.capability.instance_list import (
    Instance,
)
from bilberryspring.connection.call_traffic import (
    call_and_count_traffic,
    count_handled_call,
)
from bilberryspring.connection.calls import register_call_handler
from bilberryspring.connection.instance_list_messages import (
    InstanceListState,
    decode_list_state,
    encode_list_state,
)
from bilberryspring.connection.peers import PeerPool
from bilberryspring.identifiers import InstanceId
from bilberryspring.process.accounting import ControlMechanism, Ledger
from bilberryspring.request.errors import Failure

__all__ = ["compare_lists"]

COMPARE_METHOD = "instances.compare"
CALL_TIMEOUT_S = 1.0


async def compare_lists(
    peers: PeerPool, ledger: Ledger, partner: Instance, state: InstanceListState
) -> InstanceListState | Failure:
    """Send the own list state to a partner and return the partner's.

    :param peers: connections to other processes.
    :param ledger: ledger that counts the traffic.
    :param partner: instance to call.
    :param state: state of the own list.
    :returns: state of the partner's list, or a failure.
    """
    payload = encode_list_state(state)
    reply = await call_and_count_traffic(
        peers,
        ledger,
        ControlMechanism.INSTANCE_LIST,
        partner.address,
        COMPARE_METHOD,
        payload,
        CALL_TIMEOUT_S,
    )
    return reply if isinstance(reply, Failure) else decode_list_state(reply)


@register_call_handler(COMPARE_METHOD)
async def _handle_comparison(
    process: Any, payload: bytes, caller: InstanceId
) -> bytes | Failure:
    state = decode_list_state(payload)
    if isinstance(state, Failure):
        return state
    reply = encode_list_state(process.list_follower.receive(state, caller))
    count_handled_call(process.ledger, ControlMechanism.INSTANCE_LIST, payload, reply)
    return reply
