"""Encoding of the store's messages for etcd's JSON gateway.

Keys and values are base64 text, and 64-bit integers are decimal strings.

.. seealso:: etcd documentation, "gRPC gateway", for the published interface.
"""

import base64
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

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
from bilberryspring.malformed_input import MALFORMED_ERRORS, describe_error

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
T = TypeVar("T")

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


def _decode_bytes(text: object, name: str) -> bytes:
    if not isinstance(text, str):
        raise ValueError(f"{name} is not a string")
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
    return _read_int(_read_header(reply), "revision")


def parse_history_id(reply: JsonObject) -> StoreHistoryId:
    """Return the identity of the cluster that sent a reply.

    A cluster that is restored from a snapshot has another identity.

    :param reply: JSON object of the reply.
    :returns: the identity, empty if the reply has none.
    """
    header = _read_header(reply)
    if "cluster_id" not in header:
        return StoreHistoryId("")
    cluster_id = header["cluster_id"]
    if isinstance(cluster_id, bool) or not isinstance(cluster_id, int | str):
        raise ValueError("cluster_id is not an id")
    if not cluster_id:
        raise ValueError("cluster_id is empty")
    return StoreHistoryId(str(cluster_id))


def _read_header(reply: JsonObject) -> JsonObject:
    header = reply.get("header", {})
    if not isinstance(header, dict):
        raise ValueError("header is not an object")
    if "header" in reply and not header.keys() & {"cluster_id", "revision"}:
        raise ValueError("header has neither cluster_id nor revision")
    return header


def _read_int(raw: JsonObject, name: str) -> int:
    """Return an integer of a reply, zero if it is left out.

    The service encodes integers of 64 bits as text.
    """
    value = raw.get(name, 0)
    try:
        if isinstance(value, int | str) and not isinstance(value, bool):
            return int(value)
    except ValueError:
        pass
    raise ValueError(f"{name} is not an integer")


def decode_key_value(raw: JsonObject) -> KeyValue:
    """Decode a key and its value.

    :param raw: JSON object of the key.
    """
    return KeyValue(
        key=_decode_bytes(raw["key"], "key").decode(),
        value=_decode_bytes(raw.get("value", ""), "value"),
        create_revision=_read_int(raw, "create_revision"),
        mod_revision=_read_int(raw, "mod_revision"),
        version=_read_int(raw, "version"),
        lease_id=_read_int(raw, "lease"),
    )


def decode_key_range(reply: JsonObject) -> KeyRange:
    """Decode the result of a read.

    :param reply: JSON object of the reply.
    """
    return KeyRange(
        items=_decode_each(reply, "kvs", decode_key_value),
        revision=parse_revision(reply),
        more=_read_flag(reply, "more"),
        history_id=parse_history_id(reply),
    )


def _decode_each(
    reply: JsonObject, name: str, decode: Callable[[JsonObject], T]
) -> tuple[T, ...]:
    """Decode the objects of a list; the service leaves out empty lists.

    :raises ValueError: if one of them is malformed; the message has its position.
    """
    values = reply.get(name, [])
    if not isinstance(values, list):
        raise ValueError(f"{name} is not a list")
    decoded = []
    for position, value in enumerate(values):
        try:
            decoded.append(decode(value))
        except MALFORMED_ERRORS as error:
            reason = f"{name}[{position}]: {describe_error(error)}"
            raise ValueError(reason) from error
    return tuple(decoded)


def _read_flag(reply: JsonObject, name: str) -> bool:
    """Return a flag of a reply; the service leaves out those that are false."""
    value = reply.get(name, False)
    if not isinstance(value, bool):
        raise ValueError(f"{name} is not true or false")
    return value


def _decode_response(response: JsonObject) -> OperationResult:
    if not isinstance(response, dict) or len(response) != 1:
        raise ValueError("the response is not an object with one member")
    [(name, reply)] = response.items()
    if not isinstance(reply, dict):
        raise ValueError(f"{name} is not an object")
    if name == "response_put":
        return PutResult(parse_revision(reply))
    if name == "response_range":
        return decode_key_range(reply)
    if name == "response_delete_range":
        return DeleteResult(_read_int(reply, "deleted"))
    if name == "response_txn":
        return decode_transaction(reply)
    raise ValueError(f"unknown response {name}")


def decode_transaction(reply: JsonObject) -> TransactionResult:
    """Decode the result of a transaction, including nested ones.

    :param reply: JSON object of the reply.
    """
    return TransactionResult(
        succeeded=_read_flag(reply, "succeeded"),
        responses=_decode_each(reply, "responses", _decode_response),
        revision=parse_revision(reply),
        history_id=parse_history_id(reply),
    )


def decode_watch_message(result: JsonObject) -> WatchMessage:
    """Decode one message of a watch.

    :param result: JSON object of the message.
    """
    if _read_flag(result, "canceled") and result.get("compact_revision"):
        return WatchMessage(
            (), 0, parse_history_id(result), int(result["compact_revision"])
        )
    events = _decode_each(result, "events", _decode_event)
    return WatchMessage(events, parse_revision(result), parse_history_id(result))


def _decode_event(raw: JsonObject) -> WatchEvent:
    return WatchEvent(_EVENT_KINDS[raw.get("type", "PUT")], decode_key_value(raw["kv"]))
