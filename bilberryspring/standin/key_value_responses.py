"""Response bodies of the etcd v3 JSON gateway, which omits default field values."""

from bilberryspring.standin.key_value_messages import TransactionRequest, encode_bytes
from bilberryspring.standin.key_value_store import (
    Event,
    KeyValueStore,
    Lease,
    RangeResult,
    StoredValue,
    TransactionResult,
)

__all__ = [
    "format_header",
    "format_range",
    "format_put",
    "format_delete",
    "format_transaction",
    "format_lease",
    "format_time_to_live",
    "format_watch_created",
    "format_watch_compacted",
    "format_watch_events",
]

MEMBER_ID = "10276657743932975437"


def format_header(store: KeyValueStore) -> dict:
    """Return the header that every response carries.

    :param store: store whose revision the header reports.
    """
    return {
        "cluster_id": store.cluster_id,
        "member_id": MEMBER_ID,
        "revision": str(store.revision),
        "raft_term": "2",
    }


def _drop_defaults(fields: dict) -> dict:
    return {name: value for name, value in fields.items() if value not in ("", "0")}


def _format_stored_value(stored: StoredValue, keys_only: bool = False) -> dict:
    return _drop_defaults(
        {
            "key": encode_bytes(stored.key),
            "create_revision": str(stored.create_revision),
            "mod_revision": str(stored.mod_revision),
            "version": str(stored.version),
            "value": "" if keys_only else encode_bytes(stored.value),
            "lease": str(stored.lease_id),
        }
    )


def format_range(
    store: KeyValueStore, result: RangeResult, keys_only: bool = False
) -> dict:
    """Return the response to a read.

    :param store: store that was read.
    :param result: result of the read.
    :param keys_only: whether to omit the values.
    """
    body: dict = {"header": format_header(store)}
    if result.values:
        body["kvs"] = [
            _format_stored_value(stored, keys_only) for stored in result.values
        ]
        if len(result.values) < result.count:
            body["more"] = True
    if result.count:
        body["count"] = str(result.count)
    return body


def format_put(
    store: KeyValueStore, previous: StoredValue | None, with_previous: bool
) -> dict:
    """Return the response to a write.

    :param store: store after the write.
    :param previous: previous value of the key; None if the key did not exist.
    :param with_previous: whether the response includes the previous value.
    """
    body: dict = {"header": format_header(store)}
    if with_previous and previous is not None:
        body["prev_kv"] = _format_stored_value(previous)
    return body


def format_delete(
    store: KeyValueStore, removed: list[StoredValue], with_previous: bool
) -> dict:
    """Return the response to a deletion.

    :param store: store after the deletion.
    :param removed: deleted values.
    :param with_previous: whether the response includes the deleted values.
    """
    body: dict = {"header": format_header(store)}
    if removed:
        body["deleted"] = str(len(removed))
        if with_previous:
            body["prev_kvs"] = [_format_stored_value(stored) for stored in removed]
    return body


def format_transaction(
    store: KeyValueStore, request: TransactionRequest, result: TransactionResult
) -> dict:
    """Return the response to a transaction, with one entry per operation.

    :param store: store after the transaction.
    :param request: the transaction.
    :param result: result of the transaction.
    """
    body: dict = {"header": format_header(store)}
    if result.succeeded:
        body["succeeded"] = True
    operations = request.success if result.succeeded else request.failure
    responses = []
    for operation, operation_result in zip(operations, result.responses, strict=True):
        if operation.request_range is not None:
            keys_only = operation.request_range.keys_only
            formatted = format_range(store, operation_result, keys_only)
            responses.append({"response_range": formatted})
        elif operation.request_put is not None:
            formatted = format_put(
                store, operation_result, operation.request_put.prev_kv
            )
            responses.append({"response_put": formatted})
        elif operation.request_delete_range is not None:
            with_previous = operation.request_delete_range.prev_kv
            formatted = format_delete(store, operation_result, with_previous)
            responses.append({"response_delete_range": formatted})
        else:
            formatted = format_transaction(
                store, operation.request_txn, operation_result
            )
            responses.append({"response_txn": formatted})
    if responses:
        body["responses"] = responses
    return body


def format_lease(store: KeyValueStore, lease_id: int, ttl_s: float) -> dict:
    """Return the response to a grant or a keep-alive.

    :param store: the store.
    :param lease_id: id of the lease.
    :param ttl_s: time to live of the lease; zero if the lease does not exist.
    """
    fields = {"ID": str(lease_id), "TTL": str(int(ttl_s))}
    return {"header": format_header(store), **_drop_defaults(fields)}


def format_time_to_live(
    store: KeyValueStore,
    lease_id: int,
    lease: Lease | None,
    now_s: float,
    with_keys: bool,
) -> dict:
    """Return the response to a query of the remaining time of a lease.

    :param store: the store.
    :param lease_id: id of the lease.
    :param lease: the lease; None if it does not exist, reported as a time of -1.
    :param now_s: current time on the clock of the store.
    :param with_keys: whether the response includes the attached keys.
    """
    body: dict = {"header": format_header(store), "ID": str(lease_id)}
    if lease is None:
        return body | {"TTL": "-1"}
    body |= {"TTL": str(int(lease.expires_s - now_s))}
    body |= {"grantedTTL": str(int(lease.ttl_s))}
    if with_keys and lease.keys:
        body["keys"] = [encode_bytes(key) for key in sorted(lease.keys)]
    return body


def format_watch_created(store: KeyValueStore) -> dict:
    """Return the first message of a watch stream.

    :param store: the store.
    """
    return {"header": format_header(store), "created": True}


def format_watch_compacted(store: KeyValueStore) -> dict:
    """Return the message that ends a watch whose start revision was compacted.

    :param store: the store.
    """
    return {
        "header": format_header(store),
        "canceled": True,
        "compact_revision": str(store.compacted_revision),
    }


def format_watch_events(
    store: KeyValueStore, events: list[Event], with_previous: bool
) -> dict:
    """Return one message of a watch stream.

    :param store: the store.
    :param events: events of the message.
    :param with_previous: whether each event includes the previous value.
    """
    formatted = []
    for event in events:
        entry: dict = {"kv": _format_stored_value(event.current)}
        if event.deleted:
            entry["type"] = "DELETE"
        if with_previous and event.previous is not None:
            entry["prev_kv"] = _format_stored_value(event.previous)
        formatted.append(entry)
    return {"header": format_header(store), "events": formatted}
