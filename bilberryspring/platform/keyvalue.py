"""Client of the platform's key-value service, which uses etcd's JSON gateway.

Every method returns its result or a :class:`Failure` of the kind
``PLATFORM_UNAVAILABLE``. The outcome of the failure is ``NOT_RUN`` if a write has had
no effect, since the request did not reach the service or the service rejected it. It is
``UNKNOWN`` if a write may have taken effect, since the request was sent and no valid
reply arrived.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
from typing import TypeVar

from bilberryspring.capability.store import (
    Compare,
    Delete,
    Get,
    KeyRange,
    KeyValue,
    Operation,
    Put,
    Transaction,
    TransactionResult,
    WatchEvent,
    WatchReset,
)
from bilberryspring.capability.store_history import StoreHistory
from bilberryspring.identifiers import StoreHistoryId
from bilberryspring.malformed_input import MALFORMED_ERRORS
from bilberryspring.platform.keyvalue_gateway import (
    Gateway,
    make_unavailable,
)
from bilberryspring.platform.keyvalue_messages import (
    JsonObject,
    decode_key_range,
    decode_transaction,
    decode_watch_message,
    encode_operation,
    encode_transaction,
    encode_watch,
    parse_history_id,
    parse_revision,
)
from bilberryspring.process.accounting import ControlMechanism, Ledger
from bilberryspring.request.errors import Failure, Outcome

__all__ = ["KeyValueClient", "make_key_value_client"]

T = TypeVar("T")

WATCH_IDLE_TIMEOUT_S = 10.0
WATCH_RETRY_MIN_S = 0.1
WATCH_RETRY_MAX_S = 2.0


class KeyValueClient:
    """A client of the key-value service.

    :param addresses: ``ip:port`` of each server of the service; if one refuses the
        connection, the client tries the next.
    :param timeout_s: timeout of one call in seconds, including all its attempts.
    :param ledger: counts calls and bytes.
    :param connect_timeout_s: timeout of one connection attempt in seconds.
    :ivar history: history of the store, as its replies state it.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        timeout_s: float,
        ledger: Ledger,
        connect_timeout_s: float = 0.5,
    ) -> None:
        self.history = StoreHistory()
        self._gateway = Gateway(addresses, timeout_s, ledger, connect_timeout_s)

    async def start(self) -> None:
        """Start the client, which opens connections on demand."""
        await self._gateway.start()

    async def close(self) -> None:
        """Close every connection; calls in flight fail."""
        await self._gateway.close()

    async def get(
        self, key: str, *, mechanism: ControlMechanism
    ) -> KeyValue | None | Failure:
        """Read one key.

        :param key: key to read.
        :param mechanism: mechanism that the traffic is counted for.
        :returns: the key and its value, ``None`` if the key does not exist, or a
            failure.
        """
        reply = await self._read("/v3/kv/range", Get(key), mechanism)
        if isinstance(reply, Failure):
            return reply
        return reply.items[0] if reply.items else None

    async def get_prefix(
        self, prefix: str, limit: int = 0, *, mechanism: ControlMechanism
    ) -> KeyRange | Failure:
        """Read all keys with a prefix, in order.

        :param prefix: prefix of the keys.
        :param limit: maximum number of keys to return; zero for all.
        :param mechanism: mechanism that the traffic is counted for.
        :returns: the keys and the store revision, after which a watch may continue, or
            a failure.
        """
        get = Get(prefix, is_prefix=True, limit=limit)
        return await self._read("/v3/kv/range", get, mechanism)

    async def transact(
        self,
        compares: Sequence[Compare],
        success: Sequence[Operation],
        failure: Sequence[Operation] = (),
        *,
        mechanism: ControlMechanism,
    ) -> TransactionResult | Failure:
        """Apply one of two lists of operations atomically.

        :param compares: conditions, which are checked in the same transaction.
        :param success: operations to apply if all conditions hold; they may be nested
            transactions.
        :param failure: operations to apply otherwise.
        :param mechanism: mechanism that the traffic is counted for.
        :returns: the result of the transaction, or a failure.
        """
        transaction = Transaction(tuple(compares), tuple(success), tuple(failure))
        reply = await self._gateway.call(
            "/v3/kv/txn", encode_transaction(transaction), mechanism, is_write=True
        )
        return self._decode(decode_transaction, reply)

    async def put(
        self, key: str, value: bytes, lease_id: int = 0, *, mechanism: ControlMechanism
    ) -> int | Failure:
        """Write one key.

        :param key: key to write.
        :param value: content to store under the key.
        :param lease_id: lease that the key is attached to; zero for none.
        :param mechanism: mechanism that the traffic is counted for.
        :returns: the new store revision, or a failure.
        """
        body = encode_operation(Put(key, value, lease_id))
        reply = await self._gateway.call("/v3/kv/put", body, mechanism, is_write=True)
        return self._decode(parse_revision, reply)

    async def delete(self, key: str, *, mechanism: ControlMechanism) -> int | Failure:
        """Delete one key.

        :param key: key to delete.
        :param mechanism: mechanism that the traffic is counted for.
        :returns: the number of deleted keys, zero or one, or a failure.
        """
        body = encode_operation(Delete(key))
        reply = await self._gateway.call(
            "/v3/kv/deleterange", body, mechanism, is_write=True
        )
        return self._decode(lambda document: int(document.get("deleted", 0)), reply)

    async def grant_lease(
        self, ttl_s: float, *, mechanism: ControlMechanism
    ) -> int | Failure:
        """Create a lease.

        :param ttl_s: duration of the lease in seconds; it is rounded up to whole
            seconds.
        :param mechanism: mechanism that the traffic is counted for.
        :returns: the id of the lease, or a failure, also if the service grants less
            than the requested duration.
        """
        requested_s = max(1, -int(-ttl_s // 1))
        body = {"TTL": str(requested_s), "ID": "0"}
        reply = await self._gateway.call(
            "/v3/lease/grant", body, mechanism, is_write=True
        )
        granted = self._decode(
            lambda document: (int(document["ID"]), int(document["TTL"])), reply
        )
        if isinstance(granted, Failure):
            return granted
        lease_id, granted_s = granted
        if granted_s < requested_s:
            reason = f"a lease of {granted_s} s was granted instead of {requested_s} s"
            return make_unavailable(reason, Outcome.UNKNOWN)
        return lease_id

    async def keep_alive(
        self, lease_id: int, *, mechanism: ControlMechanism
    ) -> float | Failure:
        """Renew a lease.

        :param lease_id: id of the lease.
        :param mechanism: mechanism that the traffic is counted for.
        :returns: the remaining time in seconds, zero if the lease no longer exists, or
            a failure.
        """
        body = {"ID": str(lease_id)}
        reply = await self._gateway.call(
            "/v3/lease/keepalive", body, mechanism, is_write=True
        )
        return self._decode(
            lambda document: float(document.get("result", document).get("TTL", 0)),
            reply,
        )

    async def revoke_lease(
        self, lease_id: int, *, mechanism: ControlMechanism
    ) -> None | Failure:
        """Revoke a lease, which deletes its keys.

        :param lease_id: id of the lease.
        :param mechanism: mechanism that the traffic is counted for.
        :returns: ``None``, or a failure.
        """
        body = {"ID": str(lease_id)}
        reply = await self._gateway.call(
            "/v3/lease/revoke", body, mechanism, is_write=True
        )
        revoked = self._decode(lambda _: None, reply)
        return revoked if isinstance(revoked, Failure) else None

    async def watch(
        self,
        prefix: str,
        start_revision: int,
        *,
        mechanism: ControlMechanism,
        idle_timeout_s: float = WATCH_IDLE_TIMEOUT_S,
    ) -> AsyncIterator[WatchEvent | WatchReset | Failure]:
        """Yield the changes of all keys with a prefix, without end.

        If a watch breaks or receives no message within `idle_timeout_s`, the iterator
        yields a failure and opens the watch again after the last change received, so
        that no change is missed. After a restoration of the store it yields a
        :class:`WatchReset`, since revisions of the former history mean nothing.

        :param prefix: prefix of the keys.
        :param start_revision: first revision to report; zero for changes from now on.
        :param mechanism: mechanism that the traffic is counted for.
        :param idle_timeout_s: time in seconds without a message, after which the watch
            is opened again.
        """
        next_revision = start_revision
        history_id = self.history.current_id
        delay_s = WATCH_RETRY_MIN_S
        while True:
            body = encode_watch(prefix, next_revision)
            async for message in self._gateway.stream(
                "/v3/watch", body, mechanism, idle_timeout_s
            ):
                if isinstance(message, Failure):
                    yield message
                    break
                changes = self._decode(decode_watch_message, message)
                if isinstance(changes, Failure):
                    yield changes
                    break
                delay_s = WATCH_RETRY_MIN_S
                if _is_other_history(history_id, changes.history_id):
                    history_id = changes.history_id
                    next_revision = changes.revision + 1
                    yield WatchReset(next_revision)
                    break
                history_id = changes.history_id or history_id
                if changes.compact_revision:
                    next_revision = changes.compact_revision
                    yield WatchReset(next_revision)
                    break
                for event in changes.events:
                    next_revision = event.item.mod_revision + 1
                    yield event
                next_revision = max(next_revision, changes.revision + 1)
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, WATCH_RETRY_MAX_S)

    def _decode(
        self, decode: Callable[[JsonObject], T], reply: JsonObject | Failure
    ) -> T | Failure:
        """Decode a reply, unless it is a late one of a former history of the store.

        A write of a former history may be part of the present one.
        """
        if isinstance(reply, Failure):
            return reply
        # The gateway wraps replies of streaming calls, such as keep-alives.
        history_id = _decode_reply(
            lambda document: parse_history_id(document.get("result", document)), reply
        )
        if isinstance(history_id, Failure):
            return history_id
        if not self.history.observe(history_id):
            reason = f"the reply is from the former cluster {history_id}"
            return make_unavailable(reason, Outcome.UNKNOWN)
        return _decode_reply(decode, reply)

    async def _read(
        self, path: str, get: Get, mechanism: ControlMechanism
    ) -> KeyRange | Failure:
        reply = await self._gateway.call(
            path, encode_operation(get), mechanism, is_write=False
        )
        return self._decode(decode_key_range, reply)


def make_key_value_client(
    addresses: Sequence[str], timeout_s: float, ledger: Ledger
) -> KeyValueClient:
    """Return a client that has not been started.

    :param addresses: ``ip:port`` of each server of the key-value service.
    :param timeout_s: timeout of one call in seconds, including all its attempts.
    :param ledger: counts calls and bytes.
    """
    return KeyValueClient(addresses, timeout_s, ledger)


def _is_other_history(held: StoreHistoryId, stated: StoreHistoryId) -> bool:
    return bool(held and stated) and held != stated


def _decode_reply(
    decode: Callable[[JsonObject], T], reply: JsonObject | Failure
) -> T | Failure:
    """Decode a reply.

    :param decode: decodes the JSON document of a reply.
    :param reply: the reply, or a failure, which is returned unchanged.
    :returns: the decoded reply, or a failure. A malformed reply gives a failure with
        the outcome ``UNKNOWN``, since a write may have taken effect.
    """
    if isinstance(reply, Failure):
        return reply
    try:
        return decode(reply)
    except MALFORMED_ERRORS as error:
        return make_unavailable(f"malformed reply: {error!r}", Outcome.UNKNOWN)
