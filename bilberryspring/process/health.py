"""Health and metrics routes, served without authentication for platform probes."""

from typing import Any

from sanic import HTTPResponse, Sanic
from sanic.request import Request
from sanic.response import json as json_response
from sanic.response import text

from bilberryspring.process.metrics import render_metrics

__all__ = ["add_health_routes"]


def add_health_routes(app: Sanic, process: Any) -> None:
    """Add ``/healthz`` and ``/metrics`` to an application.

    :param app: application to add the routes to.
    :param process: router or agent process whose state is reported.
    """

    @app.get("/healthz")
    async def health(request: Request) -> HTTPResponse:
        ready = process.is_ready()
        body = {
            "ready": ready,
            "configuration_version": process.holder.version,
            "instance_list_revision": process.members.revision,
        }
        return json_response(body, status=200 if ready else 503)

    @app.get("/metrics")
    async def metrics(request: Request) -> HTTPResponse:
        return text(render_metrics(process.metrics))
