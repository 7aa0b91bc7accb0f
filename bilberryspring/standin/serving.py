"""HTTP server helpers shared by the stand-ins."""

import asyncio
import signal
from typing import TypeVar

from aiohttp import web
from pydantic import BaseModel, ValidationError

from bilberryspring.process.logs import log_event
from bilberryspring.process.settings import split_address
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = ["read_message", "abort_connection", "start_site", "serve_until_signalled"]

SHUTDOWN_TIMEOUT_S = 0.5
BACKLOG_CONNECTIONS = 1024

M = TypeVar("M", bound=BaseModel)


async def read_message(request: web.Request, model: type[M]) -> M | Failure:
    """Parse and validate the JSON body of a request.

    :param request: the request; an empty body counts as an empty object.
    :param model: pydantic model of the body.
    :returns: the parsed body, or a failure that names each invalid field.
    """
    try:
        body = await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        return make_failure(ErrorKind.REQUEST_TOO_LARGE, str(error.text))
    try:
        return model.model_validate_json(body or b"{}")
    except ValidationError as error:
        reason = "; ".join(
            f"{'.'.join(map(str, field['loc'])) or 'body'}: {field['msg']}"
            for field in error.errors()
        )
        return make_failure(ErrorKind.MALFORMED_REQUEST, reason)


def abort_connection(request: web.Request) -> web.Response:
    """Reset the connection of a request instead of responding.

    :param request: the request that gets no response.
    :returns: a response that is never delivered.
    """
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def start_site(application: web.Application, address: str) -> web.AppRunner:
    """Start to serve an application on an address.

    :param application: the application.
    :param address: IP address and port.
    :returns: the runner; ``await runner.cleanup()`` stops it.
    """
    runner = web.AppRunner(
        application,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    host, port = split_address(address)
    site = web.TCPSite(runner, host, port, backlog=BACKLOG_CONNECTIONS)
    await site.start()
    return runner


async def serve_until_signalled(application: web.Application, address: str) -> None:
    """Serve an application until SIGTERM or SIGINT.

    :param application: the application.
    :param address: IP address and port.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    runner = await start_site(application, address)
    log_event("standin_started", address=address)
    await stop_requested.wait()
    await runner.cleanup()
    log_event("standin_stopped", address=address)
