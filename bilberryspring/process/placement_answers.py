"""Answers of a router to operators who ask where a request would go."""

import asyncio
import json
import math
from dataclasses import asdict

from bilberryspring.capability.routing import IncomingRequest, RoutingTable
from bilberryspring.process.clock import read_boot_time_s
from bilberryspring.process.preview_requests import decode_preview_request
from bilberryspring.process.server_table import ServerTable
from bilberryspring.request.dispatcher import Dispatcher
from bilberryspring.request.errors import ErrorKind, Failure, make_failure, make_problem
from bilberryspring.request.placement_preview import (
    PlacementPreview,
    make_placement_preview,
)

__all__ = ["answer_preview_request"]


def answer_preview_request(
    body: bytes,
    table: RoutingTable | None,
    dispatcher: Dispatcher,
    servers: ServerTable,
) -> tuple[int, bytes]:
    """Answer where a described request would go now; nothing is sent or reserved.

    :param body: description of the request, see :func:`decode_preview_request`.
    :param table: configuration in force, ``None`` before the first.
    :param dispatcher: dispatcher that places the router's requests.
    :param servers: the router's view of the servers.
    :returns: HTTP status and JSON document.
    """
    if table is None:
        return _make_problem(make_failure(ErrorKind.CONFIGURATION_UNAVAILABLE), 503)
    request = decode_preview_request(body, table, read_boot_time_s())
    if isinstance(request, Failure):
        return _make_problem(request, 400)
    preview = _preview(request, table, dispatcher, servers)
    if isinstance(preview, Failure):
        return _make_problem(preview, 400)
    document = asdict(preview)
    if math.isinf(preview.queue.predicted_wait_s):
        document["queue"]["predicted_wait_s"] = None
    return 200, json.dumps(document, allow_nan=False).encode()


def _preview(
    request: IncomingRequest,
    table: RoutingTable,
    dispatcher: Dispatcher,
    servers: ServerTable,
) -> PlacementPreview | Failure:
    name, weight = max(request.route.pools, key=lambda pool: pool[1])
    if not weight:
        reason = f"no pool of route {request.route.name!r} has a weight above zero"
        return make_failure(ErrorKind.NO_INSTANCE, reason)
    pool = table.pools.get(name)
    if pool is None:
        reason = f"the configuration has no pool {name!r}"
        return make_failure(ErrorKind.NO_INSTANCE, reason)
    must_end_s = min(request.deadline_s, request.received_s + request.route.timeout_s)
    return make_placement_preview(
        request,
        pool,
        dispatcher.decide(request, pool, may_ask=True),
        dispatcher.forecast_queue(request, pool, must_end_s),
        servers,
        table.version,
        asyncio.get_running_loop().time(),
    )


def _make_problem(failure: Failure, status: int) -> tuple[int, bytes]:
    return status, json.dumps({**make_problem(failure), "status": status}).encode()
