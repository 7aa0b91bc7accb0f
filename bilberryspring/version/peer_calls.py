"""Calls between processes for configuration versions, with their handlers."""

from typing import Any

from bilberryspring.capability.instance_list import (
    Instance,
)
from bilberryspring.connection.call_traffic import (
    call_and_count_traffic,
    count_handled_call,
)
from bilberryspring.connection.calls import register_call_handler
from bilberryspring.connection.peers import PeerPool
from bilberryspring.identifiers import InstanceId
from bilberryspring.process.accounting import ControlMechanism, Ledger
from bilberryspring.request.errors import Failure
from bilberryspring.version.updates import (
    Announcement,
    Update,
    decode_announcement,
    decode_update,
    decode_version,
    encode_announcement,
    encode_update,
    encode_version,
)

__all__ = ["VersionCalls", "make_version_calls"]

ANNOUNCE_METHOD = "configuration.announce"
FETCH_METHOD = "configuration.fetch"
CALL_TIMEOUT_S = 3.0


class VersionCalls:
    """Client for calls to other processes, accounted as configuration traffic.

    :param peers: connections to other processes.
    :param ledger: ledger that accounts for the traffic.
    """

    def __init__(self, peers: PeerPool, ledger: Ledger) -> None:
        self._peers = peers
        self._ledger = ledger

    async def announce(
        self, node: Instance, announcement: Announcement
    ) -> int | Failure:
        """Announce a version to a node.

        :param node: the node.
        :param announcement: active version of this process; version zero to only query
            the node's version.
        :returns: active version of the node (zero for none), or a failure.
        """
        reply = await self._call(
            node, ANNOUNCE_METHOD, encode_announcement(announcement)
        )
        return reply if isinstance(reply, Failure) else decode_version(reply)

    async def fetch(self, node: Instance, known_version: int) -> Update | Failure:
        """Fetch the update to a node's active version.

        :param node: the node.
        :param known_version: active version of this process; zero for none.
        :returns: the update, or a failure.
        """
        reply = await self._call(node, FETCH_METHOD, encode_version(known_version))
        return reply if isinstance(reply, Failure) else decode_update(reply)

    async def _call(
        self, node: Instance, method: str, payload: bytes
    ) -> bytes | Failure:
        return await call_and_count_traffic(
            self._peers,
            self._ledger,
            ControlMechanism.CONFIGURATION,
            node.address,
            method,
            payload,
            CALL_TIMEOUT_S,
        )


def make_version_calls(peers: PeerPool, ledger: Ledger) -> VersionCalls:
    """Return a client for the calls of one process.

    :param peers: connections to other processes.
    :param ledger: ledger that accounts for the traffic.
    """
    return VersionCalls(peers, ledger)


@register_call_handler(ANNOUNCE_METHOD)
async def _handle_announcement(
    process: Any, payload: bytes, caller: InstanceId
) -> bytes | Failure:
    announcement = decode_announcement(payload)
    if isinstance(announcement, Failure):
        return announcement
    reply = encode_version(process.follower.handle_announcement(announcement, caller))
    count_handled_call(process.ledger, ControlMechanism.CONFIGURATION, payload, reply)
    return reply


@register_call_handler(FETCH_METHOD)
async def _handle_fetch(
    process: Any, payload: bytes, caller: InstanceId
) -> bytes | Failure:
    known_version = decode_version(payload)
    if isinstance(known_version, Failure):
        return known_version
    update = await process.follower.make_update(known_version)
    if isinstance(update, Failure):
        return update
    reply = encode_update(update)
    count_handled_call(process.ledger, ControlMechanism.CONFIGURATION, payload, reply)
    return reply
