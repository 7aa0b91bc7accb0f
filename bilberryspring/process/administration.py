"""HTTP administration API of routers and agents.

Routers serve the whole API; agents serve only health, metrics and their own state.
Every path except health and metrics requires a key. A request without a valid key gets
the same response for every path, so that it does not reveal which paths exist.
"""

import asyncio
import json
from dataclasses import asdict, replace
from typing import Any

from sanic import HTTPResponse, Sanic
from sanic.request import Request
from sanic.response import json as json_response
from sanic.response import raw

from bilberryspring.identifiers import InstanceId
from bilberryspring.malformed_input import MALFORMED_ERRORS
from bilberryspring.process.health import add_health_routes
from bilberryspring.process.http_server import make_application
from bilberryspring.process.logs import log_event
from bilberryspring.process.node_state import (
    NodeStatus,
    collect_node_statuses,
    describe_node,
    request_drain,
)
from bilberryspring.process.operator_authentication import (
    authenticate_operator,
    is_fleet_secret,
)
from bilberryspring.process.orders import parse_order, submit_order
from bilberryspring.process.placement_explanation import explain_placement
from bilberryspring.process.problem_responses import (
    convert_exception,
    make_problem_response,
)
from bilberryspring.request.errors import (
    ErrorKind,
    Failure,
    Outcome,
    make_failure,
)
from bilberryspring.version.document import (
    MAX_DOCUMENT_BYTES,
    DocumentFault,
    check_document,
    encode_document,
)
from bilberryspring.version.objects import Configuration
from bilberryspring.version.publish import (
    PublishConflict,
    list_changes,
    make_token,
    publish_configuration,
    read_version,
)
from bilberryspring.version.record import ChangeRecord, decompress_configuration

__all__ = ["make_administration_application", "make_agent_application"]

# Larger than a document may be, so that a document above its own limit is rejected by
# check_document, whose message is more specific than the server's.
MAX_BODY_BYTES = 2 * MAX_DOCUMENT_BYTES
MAX_HISTORY_CHANGES = 200
MAX_PUBLISH_TOKEN_CHARS = 64
UNAUTHENTICATED_PATHS = frozenset({"/healthz", "/metrics"})


def make_administration_application(process: Any) -> Sanic:
    """Return the Sanic application that serves the administration API of a router.

    :param process: the router process.
    """
    name = f"administration-{process.settings.instance_id}"
    app = make_application(name, MAX_BODY_BYTES)
    add_health_routes(app, process)
    _require_authentication(app, lambda header: _authenticate_operator(process, header))
    _add_configuration_routes(app, process)
    _add_history_routes(app, process)
    _add_node_routes(app, process)
    return app


def make_agent_application(process: Any) -> Sanic:
    """Return the Sanic application that serves an agent's health, metrics and state.

    :param process: the agent process.
    """
    app = make_application(f"state-{process.settings.instance_id}", MAX_BODY_BYTES)
    add_health_routes(app, process)
    secret = process.settings.fleet_secret
    _require_authentication(
        app, lambda header: "fleet" if is_fleet_secret(secret, header) else None
    )

    @app.get("/v1/state")
    async def state(request: Request) -> HTTPResponse:
        return json_response(asdict(describe_node(process)))

    return app


def _authenticate_operator(process: Any, header: str | None) -> str | None:
    return authenticate_operator(process.settings.operator_key_digests, header)


def _require_authentication(app: Sanic, authenticate: Any) -> None:
    """Reject every request without a valid key before its path is routed."""

    @app.on_request
    async def check_key(request: Request) -> HTTPResponse | None:
        if request.path in UNAUTHENTICATED_PATHS:
            return None
        request.ctx.operator = authenticate(request.headers.get("authorization"))
        if request.ctx.operator is None:
            return make_problem_response(make_failure(ErrorKind.UNAUTHENTICATED))
        return None

    @app.exception(Exception)
    async def respond_to_exception(request: Request, error: Exception) -> HTTPResponse:
        operator = getattr(request.ctx, "operator", None) if request else None
        if operator is None and request and request.path not in UNAUTHENTICATED_PATHS:
            return make_problem_response(make_failure(ErrorKind.UNAUTHENTICATED))
        return make_problem_response(convert_exception(error))


def _make_version_response(version: int, configuration: Configuration) -> HTTPResponse:
    headers = {"ETag": f'"{version}"'}
    body = encode_document(configuration)
    return raw(body, headers=headers, content_type="application/json")


def _add_configuration_routes(app: Sanic, process: Any) -> None:
    @app.get("/v1/configuration")
    async def read_current(request: Request) -> HTTPResponse:
        holder = process.holder
        if holder.configuration is None:
            return make_problem_response(
                make_failure(ErrorKind.CONFIGURATION_UNAVAILABLE)
            )
        return _make_version_response(holder.version, holder.configuration)

    @app.put("/v1/configuration")
    async def publish(request: Request) -> HTTPResponse:
        return await _publish(process, request)

    @app.post("/v1/configuration/check")
    async def check(request: Request) -> HTTPResponse:
        checked = await asyncio.to_thread(check_document, request.body)
        if not isinstance(checked, Configuration):
            return _make_faults_response(checked)
        return json_response({"faults": []})


async def _publish(process: Any, request: Request) -> HTTPResponse:
    base_version = _parse_base_version(request.headers.get("if-match"))
    if isinstance(base_version, Failure):
        return make_problem_response(base_version)
    token = request.headers.get("publish-token") or make_token()
    if len(token) > MAX_PUBLISH_TOKEN_CHARS:
        reason = f"Publish-Token is longer than {MAX_PUBLISH_TOKEN_CHARS} characters"
        return make_problem_response(make_failure(ErrorKind.MALFORMED_REQUEST, reason))
    checked = await asyncio.to_thread(check_document, request.body)
    if not isinstance(checked, Configuration):
        return _make_faults_response(checked)
    operator = request.ctx.operator
    lost = await process.follower.restore_lost_version()
    if isinstance(lost, Failure):
        lost = replace(lost, outcome=Outcome.NOT_RUN)
        return make_problem_response(lost, publish_token=token)
    publication = await publish_configuration(
        process.key_value,
        base_version,
        checked,
        operator,
        token,
        active_version=process.holder.version,
    )
    if isinstance(publication, Failure):
        return make_problem_response(publication, publish_token=token)
    if isinstance(publication, PublishConflict):
        return _make_conflict_response(process, publication)
    process.follower.learn_publication(publication, checked)
    log_event("configuration_published", version=publication.version, operator=operator)
    body = {"version": publication.version, "publish_token": token}
    return json_response(body, headers={"ETag": f'"{publication.version}"'})


def _parse_base_version(header: str | None) -> int | Failure:
    text = (header or "").strip().strip('"')
    if text.isascii() and text.isdigit() and len(text) <= 12:
        return int(text)
    reason = "If-Match: expected the version that the document is based on, 0 if none"
    return make_failure(ErrorKind.MALFORMED_REQUEST, reason)


def _make_faults_response(faults: list[DocumentFault]) -> HTTPResponse:
    failure = make_failure(
        ErrorKind.CONFIGURATION_INVALID, f"the document contains {len(faults)} faults"
    )
    return make_problem_response(failure, faults=[asdict(fault) for fault in faults])


def _make_conflict_response(process: Any, conflict: PublishConflict) -> HTTPResponse:
    process.follower.learn_version(conflict.version, "")
    author = f" by {conflict.operator}" if conflict.operator else ""
    reason = (
        f"the document is based on version {conflict.base_version}, "
        f"and version {conflict.version}{author} is accepted"
    )
    failure = make_failure(ErrorKind.CONFIGURATION_CONFLICT, reason)
    return make_problem_response(
        failure,
        accepted_version=conflict.version,
        accepted_operator=conflict.operator,
    )


def _add_history_routes(app: Sanic, process: Any) -> None:
    @app.get("/v1/configuration/history")
    async def history(request: Request) -> HTTPResponse:
        before = _parse_number_argument(request, "before", process.holder.version + 1)
        limit = _parse_number_argument(request, "limit", 20)
        if isinstance(before, Failure) or isinstance(limit, Failure):
            failure = before if isinstance(before, Failure) else limit
            return make_problem_response(failure)
        limit = min(limit, MAX_HISTORY_CHANGES)
        changes = await list_changes(process.key_value, before, limit)
        if isinstance(changes, Failure):
            return make_problem_response(changes)
        return json_response({"changes": [_describe_change(item) for item in changes]})

    @app.get("/v1/configuration/versions/<version:int>")
    async def read_retained_version(request: Request, version: int) -> HTTPResponse:
        record = await read_version(process.key_value, version)
        if isinstance(record, Failure):
            return make_problem_response(record)
        if record is None:
            reason = f"configuration version {version} is not retained"
            return make_problem_response(make_failure(ErrorKind.UNKNOWN_ROUTE, reason))
        configuration = await asyncio.to_thread(
            decompress_configuration, record.document
        )
        if isinstance(configuration, Failure):
            return make_problem_response(configuration)
        return _make_version_response(version, configuration)


def _parse_number_argument(request: Request, name: str, default: int) -> int | Failure:
    text = request.args.get(name)
    if text is None:
        return default
    if text.isascii() and text.isdigit() and len(text) <= 12:
        return int(text)
    return make_failure(ErrorKind.MALFORMED_REQUEST, f"{name}: expected an integer")


def _describe_change(change: ChangeRecord) -> dict[str, object]:
    return {
        "version": change.version,
        "operator": change.operator,
        "published_s": change.published_s,
        "digest": change.digest,
        "counts": {section: asdict(count) for section, count in change.counts.items()},
    }


def _add_node_routes(app: Sanic, process: Any) -> None:
    @app.get("/v1/status")
    async def status(request: Request) -> HTTPResponse:
        nodes = await collect_node_statuses(process)
        body = {
            "configuration_version": process.holder.version,
            "nodes": [_describe_node_status(node) for node in nodes],
        }
        return json_response(body)

    @app.get("/v1/state")
    async def state(request: Request) -> HTTPResponse:
        return json_response(asdict(describe_node(process)))

    @app.post("/v1/instances/<instance_id:str>/drain")
    async def drain(request: Request, instance_id: str) -> HTTPResponse:
        operator = request.ctx.operator
        log_event("drain_requested", instance_to_drain=instance_id, operator=operator)
        result = await request_drain(process, InstanceId(instance_id))
        if isinstance(result, Failure):
            return make_problem_response(result)
        return json_response({"instance_id": instance_id, "is_draining": True})

    @app.post("/v1/instances/<instance_id:str>/orders")
    async def order(request: Request, instance_id: str) -> HTTPResponse:
        return await _submit_order(process, request, InstanceId(instance_id))

    @app.post("/v1/explain-placement")
    async def explain(request: Request) -> HTTPResponse:
        return _explain_placement(process, request.body)


async def _submit_order(
    process: Any, request: Request, instance_id: InstanceId
) -> HTTPResponse:
    try:
        document = json.loads(request.body)
    except MALFORMED_ERRORS:
        document = None
    order = parse_order(document, request.ctx.operator)
    if isinstance(order, Failure):
        return make_problem_response(order)
    fencing = await submit_order(process, instance_id, order)
    if isinstance(fencing, Failure):
        return make_problem_response(fencing)
    return json_response({"instance_id": instance_id, "fencing": fencing})


def _describe_node_status(status: NodeStatus) -> dict[str, object]:
    instance = status.instance
    return {
        "instance_id": instance.instance_id,
        "role": instance.role.value,
        "pool": instance.pool,
        "availability_zone": instance.availability_zone,
        "listed_state": instance.state.value,
        "state": asdict(status.state) if status.state else None,
        "reason": status.reason,
    }


def _explain_placement(process: Any, body: bytes) -> HTTPResponse:
    try:
        payload = json.loads(body)
        workspace, chat = payload["workspace"], payload["chat"]
        headers = {
            str(name).lower(): str(value)
            for name, value in payload.get("headers", {}).items()
        }
    except MALFORMED_ERRORS:
        reason = (
            "expected a JSON object with the fields workspace, chat and, optionally, "
            "headers"
        )
        return make_problem_response(make_failure(ErrorKind.MALFORMED_REQUEST, reason))
    explanation = explain_placement(process, str(workspace), chat, headers)
    if isinstance(explanation, Failure):
        return make_problem_response(explanation)
    return json_response(asdict(explanation))
