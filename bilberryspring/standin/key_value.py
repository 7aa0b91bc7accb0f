"""Stand-in for the platform's key-value service: the etcd v3 JSON gateway over HTTP."""

import asyncio
import json
import time
from collections.abc import Callable

from aiohttp import web
from pydantic import BaseModel

from bilberryspring.request.errors import ErrorKind, Failure
from bilberryspring.standin import key_value_responses as response_bodies
from bilberryspring.standin.key_value_checks import (
    INVALID_ARGUMENT,
    MAX_VALUE_BYTES,
    NOT_FOUND,
    RESOURCE_EXHAUSTED,
    UNAVAILABLE,
    GatewayError,
)
from bilberryspring.standin.key_value_messages import (
    DeleteRangeRequest,
    LeaseGrantRequest,
    LeaseRequest,
    PutRequest,
    RangeRequest,
    RequestOperation,
    TransactionRequest,
    WatchCreateRequest,
    WatchRequest,
)
from bilberryspring.standin.key_value_state import (
    KeyValueFaults,
    KeyValueSettings,
    KeyValueStandin,
    Watch,
)
from bilberryspring.standin.key_value_store import KeyValueStore
from bilberryspring.standin.serving import abort_connection, read_message

__all__ = ["KeyValueSettings", "KeyValueFaults", "make_key_value_application"]

MAX_BODY_BYTES = 2 * MAX_VALUE_BYTES
DEFAULT_ERROR_STATUS = 400
ERROR_STATUSES = {NOT_FOUND: 404, RESOURCE_EXHAUSTED: 429, UNAVAILABLE: 503}


STANDIN = web.AppKey("standin", KeyValueStandin)


def make_key_value_application(settings: KeyValueSettings) -> web.Application:
    """Return the application that serves the key-value stand-in.

    :param settings: settings of the stand-in.
    :returns: an application with the paths of the gateway and of the test controls.
    """
    standin = KeyValueStandin(settings)
    application = web.Application(client_max_size=MAX_BODY_BYTES)
    application[STANDIN] = standin
    application.on_startup.append(standin.start)
    application.on_shutdown.append(standin.close)
    for path, (model, handler) in _CALL_HANDLERS.items():
        application.router.add_post(path, _make_call_handler(path, model, handler))
    application.router.add_post("/v3/watch", _serve_watch)
    application.router.add_post("/standin/faults", _set_faults)
    application.router.add_post("/standin/copy", _copy_store)
    application.router.add_post("/standin/restore", _restore_store)
    application.router.add_get("/standin/calls", _report_calls)
    return application


def _make_call_handler(
    path: str,
    model: type[BaseModel],
    handler: Callable[[KeyValueStore, BaseModel], dict],
):
    async def serve(request: web.Request) -> web.StreamResponse:
        message = await read_message(request, model)
        if isinstance(message, Failure):
            return _make_body_error_response(message)
        # A received call takes effect even if its client disconnects.
        standin = request.app[STANDIN]
        return await standin.run_to_completion(
            _handle_call(request, path, message, handler)
        )

    return serve


async def _handle_call(
    request: web.Request,
    path: str,
    message: BaseModel,
    handler: Callable[[KeyValueStore, BaseModel], dict],
) -> web.StreamResponse:
    standin = request.app[STANDIN]
    fault_response = await _apply_faults(request, standin.faults)
    if fault_response is not None:
        return fault_response
    rate_error = standin.admit(path, _is_write(message))
    if rate_error is not None:
        return _make_error_response(rate_error)
    standin.store.expire_leases()
    try:
        response_body = handler(standin.store, message)
    except GatewayError as error:
        return _make_error_response(error)
    if _is_write(message) and _has_key_with_prefix(
        message, standin.faults.reply_prefix
    ):
        reply_fault_response = await _apply_reply_faults(request, standin.faults)
        if reply_fault_response is not None:
            return reply_fault_response
    return web.json_response(response_body)


async def _apply_faults(
    request: web.Request, faults: KeyValueFaults
) -> web.StreamResponse | None:
    if faults.delay_s:
        await asyncio.sleep(faults.delay_s)
    if faults.hang:
        await asyncio.Event().wait()
    if faults.outage:
        return abort_connection(request)
    if faults.unavailable:
        return _make_error_response(GatewayError(UNAVAILABLE, "etcdserver: no leader"))
    return None


async def _apply_reply_faults(
    request: web.Request, faults: KeyValueFaults
) -> web.StreamResponse | None:
    if faults.lose_replies > 0:
        faults.lose_replies -= 1
        return abort_connection(request)
    if faults.hang_replies > 0:
        faults.hang_replies -= 1
        await asyncio.Event().wait()
    return None


def _make_error_response(error: GatewayError) -> web.Response:
    body = {"error": error.message, "code": error.code, "message": error.message}
    status = ERROR_STATUSES.get(error.code, DEFAULT_ERROR_STATUS)
    return web.json_response(body, status=status)


def _make_body_error_response(failure: Failure) -> web.Response:
    if failure.kind is ErrorKind.REQUEST_TOO_LARGE:
        message = "etcdserver: request is too large"
        return _make_error_response(GatewayError(INVALID_ARGUMENT, message))
    return _make_error_response(GatewayError(INVALID_ARGUMENT, failure.reason))


def _is_write(message: BaseModel) -> bool:
    if isinstance(message, TransactionRequest):
        return any(map(_is_write_operation, message.success + message.failure))
    return not isinstance(message, RangeRequest)


def _is_write_operation(operation: RequestOperation) -> bool:
    if operation.request_txn is not None:
        return _is_write(operation.request_txn)
    return operation.request_range is None


def _has_key_with_prefix(message: BaseModel, prefix: str) -> bool:
    if isinstance(message, TransactionRequest):
        operations = message.success + message.failure
        return any(
            _has_key_with_prefix(_get_operation_request(each), prefix)
            for each in operations
        )
    return getattr(message, "key", b"").startswith(prefix.encode())


def _get_operation_request(operation: RequestOperation) -> BaseModel:
    return next(value for _, value in operation if value is not None)


def _handle_range(store: KeyValueStore, message: RangeRequest) -> dict:
    return response_bodies.format_range(store, store.read(message), message.keys_only)


def _handle_put(store: KeyValueStore, message: PutRequest) -> dict:
    operation = RequestOperation(request_put=message)
    result = store.transact(TransactionRequest(success=[operation]))
    return response_bodies.format_put(store, result.responses[0], message.prev_kv)


def _handle_delete(store: KeyValueStore, message: DeleteRangeRequest) -> dict:
    operation = RequestOperation(request_delete_range=message)
    result = store.transact(TransactionRequest(success=[operation]))
    return response_bodies.format_delete(store, result.responses[0], message.prev_kv)


def _handle_transaction(store: KeyValueStore, message: TransactionRequest) -> dict:
    return response_bodies.format_transaction(store, message, store.transact(message))


def _handle_grant(store: KeyValueStore, message: LeaseGrantRequest) -> dict:
    lease = store.grant_lease(message.lease_id, message.ttl_s)
    return response_bodies.format_lease(store, lease.lease_id, lease.ttl_s)


def _handle_keep_alive(store: KeyValueStore, message: LeaseRequest) -> dict:
    lease = store.keep_lease_alive(message.lease_id)
    ttl_s = 0 if lease is None else lease.ttl_s
    return {"result": response_bodies.format_lease(store, message.lease_id, ttl_s)}


def _handle_revoke(store: KeyValueStore, message: LeaseRequest) -> dict:
    store.revoke_lease(message.lease_id)
    return {"header": response_bodies.format_header(store)}


def _handle_time_to_live(store: KeyValueStore, message: LeaseRequest) -> dict:
    lease = store.leases.get(message.lease_id)
    return response_bodies.format_time_to_live(
        store, message.lease_id, lease, time.monotonic(), message.keys
    )


_CALL_HANDLERS = {
    "/v3/kv/range": (RangeRequest, _handle_range),
    "/v3/kv/put": (PutRequest, _handle_put),
    "/v3/kv/deleterange": (DeleteRangeRequest, _handle_delete),
    "/v3/kv/txn": (TransactionRequest, _handle_transaction),
    "/v3/lease/grant": (LeaseGrantRequest, _handle_grant),
    "/v3/lease/keepalive": (LeaseRequest, _handle_keep_alive),
    "/v3/lease/revoke": (LeaseRequest, _handle_revoke),
    "/v3/lease/timetolive": (LeaseRequest, _handle_time_to_live),
}


async def _serve_watch(request: web.Request) -> web.StreamResponse:
    standin = request.app[STANDIN]
    fault_response = await _apply_faults(request, standin.faults)
    if fault_response is not None:
        return fault_response
    message = await read_message(request, WatchRequest)
    if isinstance(message, Failure):
        return _make_body_error_response(message)
    rate_error = standin.admit("/v3/watch", writes=False)
    if rate_error is not None:
        return _make_error_response(rate_error)
    response = web.StreamResponse(headers={"Content-Type": "application/json"})
    await response.prepare(request)
    await _stream_watch_events(standin, message.create_request, request, response)
    return response


async def _stream_watch_events(
    standin: KeyValueStandin,
    create_request: WatchCreateRequest,
    request: web.Request,
    response: web.StreamResponse,
) -> None:
    store = standin.store
    await _write_line(response, response_bodies.format_watch_created(store))
    if 0 < create_request.start_revision <= store.compacted_revision:
        await _write_line(response, response_bodies.format_watch_compacted(store))
        return
    watch = Watch(create_request)
    if create_request.start_revision > 0:
        watch.enqueue_matching(store.events_since(create_request.start_revision))
    standin.watches.add(watch)
    try:
        while (events := await watch.batches.get()) is not None:
            if standin.faults.hang:
                await asyncio.Event().wait()
            line = response_bodies.format_watch_events(
                store, events, create_request.prev_kv
            )
            await _write_line(response, line)
        abort_connection(request)
    finally:
        standin.watches.discard(watch)


async def _write_line(response: web.StreamResponse, result: dict) -> None:
    await response.write(json.dumps({"result": result}).encode() + b"\n")


async def _set_faults(request: web.Request) -> web.Response:
    standin = request.app[STANDIN]
    faults = await read_message(request, KeyValueFaults)
    if isinstance(faults, Failure):
        return _make_body_error_response(faults)
    standin.faults = faults
    if faults.drop_lease in standin.store.leases:
        standin.store.revoke_lease(faults.drop_lease)
    if faults.outage:
        standin.end_watches()
    return web.json_response(faults.model_dump())


async def _copy_store(request: web.Request) -> web.Response:
    request.app[STANDIN].make_copy()
    return web.json_response({})


async def _restore_store(request: web.Request) -> web.Response:
    status = 200 if request.app[STANDIN].restore() else 409
    return web.json_response({}, status=status)


async def _report_calls(request: web.Request) -> web.Response:
    standin = request.app[STANDIN]
    by_path = {
        key: count for key, count in standin.calls.items() if key.startswith("/")
    }
    report = {
        "reads": standin.calls["reads"],
        "writes": standin.calls["writes"],
        "refused": standin.calls["refused"],
        "watches_open": len(standin.watches),
        "elapsed_s": time.monotonic() - standin.started_s,
        "by_path": by_path,
    }
    return web.json_response(report)
