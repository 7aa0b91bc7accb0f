"""Encoding of the store's messages for etcd's JSON gateway.

Keys and values are base64 text, and 64-bit integers are decimal strings.

.. seealso:: etcd documentation, "gRPC gateway", for the published interface.
"""

import base64
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from bilberryspring.capability.store import (
    Compare,
    CompareTarget,
    Delete,
    DeleteResult,
    Get,
    KeyRange,
    KeyValue,
    Operation,
    OperationResult,
    Put,
    PutResult,
    Transaction,
    TransactionResult,
    WatchEvent,
    WatchEventKind,
    prefix_end,
)
from bilberryspring.identifiers import StoreHistoryId

__all__ = [
    "WatchMessage",
    "encode_bytes",
    "encode_operation",
    "encode_transaction",
    "encode_watch",
    "decode_key_range",
    "decode_key_value",
    "decode_transaction",
    "decode_watch_message",
    "parse_history_id",
    "parse_revision",
]

JsonObject = dict[str, Any]

# Names of the gateway's protocol.
_WIRE_TARGETS = {
    CompareTarget.CREATE_REVISION: "CREATE",
    CompareTarget.MOD_REVISION: "MOD",
    CompareTarget.VALUE: "VALUE",
}
_EVENT_KINDS = {"PUT": WatchEventKind.PUT, "DELETE": WatchEventKind.DELETE}


@dataclass(frozen=True, slots=True)
class WatchMessage:
    """One message of a watch.

    :param events: changes, oldest first.
    :param revision: store revision; zero if the message does not contain it.
    :param history_id: history that the revisions belong to; empty if it is not known.
    :param compact_revision: oldest revision that the store still has, if the watch
        requested an older one; otherwise zero.
    """

    events: tuple[WatchEvent, ...]
    revision: int
    history_id: StoreHistoryId
    compact_revision: int = 0


def encode_bytes(content: str | bytes) -> str:
    """Encode text or bytes as base64 text.

    :param content: text, which is encoded as UTF-8 first, or bytes.
    """
    raw = content.encode() if isinstance(content, str) else content
    return base64.b64encode(raw).decode("ascii")


def _decode_bytes(text: str) -> bytes:
    return base64.b64decode(text, validate=True)


def _encode_compare(compare: Compare) -> JsonObject:
    encoded: JsonObject = {
        "key": encode_bytes(compare.key),
        "target": _WIRE_TARGETS[compare.target],
        "result": "EQUAL" if compare.is_equal else "NOT_EQUAL",
    }
    if isinstance(compare.operand, bytes):
        encoded["value"] = encode_bytes(compare.operand)
    elif compare.target is CompareTarget.MOD_REVISION:
        encoded["mod_revision"] = str(compare.operand)
    else:
        encoded["create_revision"] = str(compare.operand)
    return encoded


def encode_operation(operation: Operation) -> JsonObject:
    """Encode one operation as a JSON request.

    :param operation: put, get, delete or transaction.
    :returns: body of the corresponding gateway call.

    >>> encode_operation(Delete("a"))
    {'key': 'YQ=='}
    """
    match operation:
        case Put(key, value, lease_id):
            encoded = {"key": encode_bytes(key), "value": encode_bytes(value)}
            if lease_id:
                encoded["lease"] = str(lease_id)
            return encoded
        case Get():
            return _encode_get(operation)
        case Delete(key, range_end):
            encoded = {"key": encode_bytes(key)}
            if range_end:
                encoded["range_end"] = encode_bytes(range_end)
            return encoded
        case Transaction():
            return encode_transaction(operation)


def _encode_get(get: Get) -> JsonObject:
    encoded: JsonObject = {"key": encode_bytes(get.key or "\x00")}
    if get.is_prefix:
        encoded["range_end"] = encode_bytes(prefix_end(get.key))
    elif get.range_end:
        encoded["range_end"] = encode_bytes(get.range_end)
    if get.limit:
        encoded["limit"] = str(get.limit)
    if get.is_keys_only:
        encoded["keys_only"] = True
    return encoded


_REQUEST_NAMES = {
    Put: "request_put",
    Get: "request_range",
    Delete: "request_delete_range",
    Transaction: "request_txn",
}


def encode_transaction(transaction: Transaction) -> JsonObject:
    """Encode a transaction, including nested ones, as a JSON request.

    :param transaction: the transaction.
    """

    def encode_list(operations: Sequence[Operation]) -> list[JsonObject]:
        return [
            {_REQUEST_NAMES[type(operation)]: encode_operation(operation)}
            for operation in operations
        ]

    return {
        "compare": [_encode_compare(compare) for compare in transaction.compares],
        "success": encode_list(transaction.success),
        "failure": encode_list(transaction.failure),
    }


def encode_watch(prefix: str, start_revision: int) -> JsonObject:
    """Encode the JSON request of a watch.

    :param prefix: prefix of the watched keys; empty for all keys.
    :param start_revision: first revision to report; zero for changes from now on.
    """
    create = {
        "key": encode_bytes(prefix or "\x00"),
        "range_end": encode_bytes(prefix_end(prefix)),
    }
    if start_revision:
        create["start_revision"] = str(start_revision)
    return {"create_request": create}


def parse_revision(reply: JsonObject) -> int:
    """Return the store revision of a reply.

    :param reply: JSON object of the reply.
    :returns: the revision, zero if the reply has none.
    """
    return int(reply.get("header", {}).get("revision", 0))


def parse_history_id(reply: JsonObject) -> StoreHistoryId:
    """Return the identity of the cluster that sent a reply.

    A cluster that is restored from a snapshot has another identity.

    :param reply: JSON object of the reply.
    :returns: the identity, empty if the reply has none.
    """
    return StoreHistoryId(str(reply.get("header", {}).get("cluster_id", "")))


def decode_key_value(raw: JsonObject) -> KeyValue:
    """Decode a key and its value.

    :param raw: JSON object of the key.
    """
    return KeyValue(
        key=_decode_bytes(raw["key"]).decode(),
        value=_decode_bytes(raw.get("value", "")),
        create_revision=int(raw.get("create_revision", 0)),
        mod_revision=int(raw.get("mod_revision", 0)),
        version=int(raw.get("version", 0)),
        lease_id=int(raw.get("lease", 0)),
    )


def decode_key_range(reply: JsonObject) -> KeyRange:
    """Decode the result of a read.

    :param reply: JSON object of the reply.
    """
    return KeyRange(
        items=tuple(decode_key_value(raw) for raw in reply.get("kvs", ())),
        revision=parse_revision(reply),
        more=bool(reply.get("more", False)),
        history_id=parse_history_id(reply),
    )


def _decode_response(response: JsonObject) -> OperationResult:
    [(name, reply)] = response.items()
    if name == "response_put":
        return PutResult(parse_revision(reply))
    if name == "response_range":
        return decode_key_range(reply)
    if name == "response_delete_range":
        return DeleteResult(int(reply.get("deleted", 0)))
    if name == "response_txn":
        return decode_transaction(reply)
    raise ValueError(f"unknown response {name}")


def decode_transaction(reply: JsonObject) -> TransactionResult:
    """Decode the result of a transaction, including nested ones.

    :param reply: JSON object of the reply.
    """
    return TransactionResult(
        succeeded=bool(reply.get("succeeded", False)),
        responses=tuple(_decode_response(raw) for raw in reply.get("responses", ())),
        revision=parse_revision(reply),
        history_id=parse_history_id(reply),
    )


def decode_watch_message(result: JsonObject) -> WatchMessage:
    """Decode one message of a watch.

    :param result: JSON object of the message.
    """
    if result.get("canceled") and result.get("compact_revision"):
        return WatchMessage(
            (), 0, parse_history_id(result), int(result["compact_revision"])
        )
    events = tuple(
        WatchEvent(
            _EVENT_KINDS[raw.get("type", "PUT")],
            decode_key_value(raw["kv"]),
        )
        for raw in result.get("events", ())
    )
    return WatchMessage(events, parse_revision(result), parse_history_id(result))
