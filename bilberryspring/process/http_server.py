"""HTTP server that runs a Sanic application in the current event loop.

Sanic's own runner starts worker processes. Routers and agents must not start any, so
this module drives the lifecycle of the application itself.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

from sanic import Sanic
from sanic.server import AsyncioServer
from sanic.server.protocols.http_protocol import HttpProtocol

from bilberryspring.process.settings import split_address

__all__ = ["HttpServer", "make_application", "make_http_server"]

LISTEN_BACKLOG = 1024
CLOSE_POLL_INTERVAL_S = 0.02
FIRST_REQUEST_WAIT_S = 0.5
KEEP_ALIVE_TIMEOUT_S = 75
# Routes enforce their own deadlines; this timeout only has to exceed all of them.
RESPONSE_TIMEOUT_S = 86_400
REQUEST_TIMEOUT_S = 60
HTTP_SIGNAL_PREFIX = "http."


class HttpServer:
    """HTTP server for a Sanic application.

    :param app: application with its routes.
    :param address: ``ip:port`` to listen on.
    :param protocol: class of the connections; ``None`` for that of Sanic.
    :param backlog: connections that may wait to be accepted.
    """

    def __init__(
        self,
        app: Sanic,
        address: str,
        protocol: type[HttpProtocol] | None,
        backlog: int,
    ):
        self.app = app
        self._backlog = backlog
        self._protocol = protocol
        self.address = address
        self._server: AsyncioServer | None = None

    async def start(self) -> None:
        """Start listening.

        :raises OSError: if the address cannot be bound.
        """
        host, port = split_address(self.address)
        self._server = await self.app.create_server(
            host=host,
            port=port,
            protocol=self._protocol,
            backlog=self._backlog,
            access_log=False,
            return_asyncio_server=True,
            asyncio_server_kwargs={"start_serving": False},
        )
        await self._server.startup()
        await self._server.before_start()
        await self._server.start_serving()
        await self._server.after_start()

    async def close(self, grace_s: float = 0.0) -> None:
        """Stop listening, finish responses in progress, and close all connections.

        :param grace_s: longest wait for responses in progress, in seconds; zero aborts
            them at once.
        """
        if self._server is None:
            return
        self._server.close()
        deadline_s = asyncio.get_running_loop().time() + grace_s
        # The first request on a connection that was just accepted may not have arrived
        # yet, and the connection looks idle until then.
        await asyncio.sleep(min(FIRST_REQUEST_WAIT_S, grace_s))
        while (
            self._has_open_connections()
            and asyncio.get_running_loop().time() < deadline_s
        ):
            for connection in list(self._server.connections):
                connection.close_if_idle()
            await asyncio.sleep(CLOSE_POLL_INTERVAL_S)
        for connection in list(self._server.connections):
            connection.abort()

    def _has_open_connections(self) -> bool:
        return self._server is not None and bool(self._server.connections)


class _ApplicationWithoutSignals(Sanic):
    """Sanic application that dispatches no signals for HTTP requests."""

    def dispatch(self, event: str, **options: Any) -> Coroutine[Any, Any, Any]:
        # No handler is registered for these signals, and a streamed response would
        # dispatch one per chunk.
        if event.startswith(HTTP_SIGNAL_PREFIX):
            return _do_nothing()
        return super().dispatch(event, **options)


async def _do_nothing() -> None:
    return None


def make_application(name: str, max_body_bytes: int) -> Sanic:
    """Return an application without routes that can run in the current event loop.

    :param name: application name; an earlier application of this name is unregistered.
    :param max_body_bytes: largest request body accepted.
    """
    Sanic._app_registry.pop(name, None)
    app = _ApplicationWithoutSignals(name, configure_logging=False)
    # Sanic's startup optimization (touchup) fails for a second application in the same
    # process.
    app.config.TOUCHUP = False
    app.config.MOTD = False
    app.config.REQUEST_MAX_SIZE = max_body_bytes
    app.config.REQUEST_TIMEOUT = REQUEST_TIMEOUT_S
    app.config.RESPONSE_TIMEOUT = RESPONSE_TIMEOUT_S
    app.config.KEEP_ALIVE_TIMEOUT = KEEP_ALIVE_TIMEOUT_S
    return app


def make_http_server(
    app: Sanic,
    address: str,
    protocol: type[HttpProtocol] | None = None,
    backlog: int = LISTEN_BACKLOG,
) -> HttpServer:
    """Return a server that is not started.

    :param app: application with its routes.
    :param address: ``ip:port`` to listen on.
    :param protocol: class of the connections; ``None`` for that of Sanic.
    :param backlog: connections that may wait to be accepted.
    """
    return HttpServer(app, address, protocol, backlog)
