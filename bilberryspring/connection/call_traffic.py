"""Accounting of the traffic of calls between processes, framing included."""

from bilberryspring.connection.peers import PeerPool
from bilberryspring.process.accounting import ControlMechanism, Ledger
from bilberryspring.request.errors import Failure

__all__ = ["call_and_count_traffic", "count_handled_call"]

# Bytes of framing that a call and its reply add to their payloads.
CALL_OVERHEAD_BYTES = 96
REPLY_OVERHEAD_BYTES = 64


async def call_and_count_traffic(
    peers: PeerPool,
    ledger: Ledger,
    mechanism: ControlMechanism,
    address: str,
    method: str,
    payload: bytes,
    timeout_s: float,
) -> bytes | Failure:
    """Call a method of another process and count the bytes sent and received.

    :param peers: pool of connections to other processes.
    :param ledger: traffic counters of this process.
    :param mechanism: control mechanism that the traffic is attributed to.
    :param address: peer address of the process, as ``ip:port``.
    :param method: name under which the handler is registered.
    :param payload: request payload.
    :param timeout_s: timeout in seconds for the whole call, connecting included.
    :returns: reply payload or a failure, as :meth:`PeerPool.call` returns it.
    """
    reply = await peers.call(address, method, payload, timeout_s)
    received_bytes = 0
    if not isinstance(reply, Failure):
        received_bytes = len(reply) + REPLY_OVERHEAD_BYTES
    ledger.count(
        mechanism,
        sent_bytes=len(payload) + CALL_OVERHEAD_BYTES,
        received_bytes=received_bytes,
    )
    return reply


def count_handled_call(
    ledger: Ledger, mechanism: ControlMechanism, payload: bytes, reply: bytes
) -> None:
    """Count the bytes received and sent for a call that this process handled.

    :param ledger: traffic counters of this process.
    :param mechanism: control mechanism that the traffic is attributed to.
    :param payload: request payload.
    :param reply: reply payload.
    """
    ledger.count(
        mechanism,
        sent_bytes=len(reply) + REPLY_OVERHEAD_BYTES,
        received_bytes=len(payload) + CALL_OVERHEAD_BYTES,
    )
