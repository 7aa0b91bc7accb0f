"""One call of an agent's backend server, and the registry of call adapters.

Each kind of pool has an adapter, which streams the response into the request's
:class:`~bilberryspring.request.buffered_response.Answer` and returns how it ended.
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass, field

import aiohttp

from bilberryspring.connection.messages import Open
from bilberryspring.identifiers import ConfigVersion, EngineVersion
from bilberryspring.process.settings import split_address
from bilberryspring.request.buffered_response import BufferedResponse
from bilberryspring.request.errors import ErrorKind, Failure, make_failure
from bilberryspring.request.hedging import HedgingPolicy, make_hedging_policy
from bilberryspring.version.objects import PoolKind

__all__ = [
    "ADAPTERS",
    "CONNECT_TIMEOUT_S",
    "BackendAdapter",
    "BackendCall",
    "BackendResult",
    "diagnose_connection_loss",
    "make_common_headers",
    "register_backend",
]

CONNECT_TIMEOUT_S = 1.0
CRASH_CHECK_DELAY_S = 0.2


@dataclass(slots=True)
class BackendResult:
    """How a complete response of the backend server ended.

    :param status: HTTP status.
    :param content_type: value of the Content-Type header.
    :param headers: other headers for the caller, packed; empty for none.
    """

    status: int
    content_type: str
    headers: str = ""


@dataclass(slots=True)
class BackendCall:
    """Parameters and state of one call.

    :param session: HTTP session that the call is sent over.
    :param address: ``host:port`` of the backend server.
    :param request: the request as the router sent it.
    :param answer: receives the chunks of the response.
    :param config_version: version of the configuration in force.
    :param priority: position of the request's work rank, zero for the most urgent.
    :param on_progress: called with the number of tokens processed since the last call.
    :param traceparent: trace context for the backend server.
    :param on_response_start: called with the version that the backend server reports at
        the start of its response; returns the version by which engines are compared.
    :param engine_version: version that the engine must report; empty for any.
    :param crash_check_context: entered while the cause of a lost connection is
        determined.
    :param sent: whether the backend server may have received any byte of this try.
    :param sent_by_earlier_try: whether it may have received any byte of an earlier try.
    :param is_silent: whether the connection was abandoned because no data arrived.
    :param is_paused: returns whether the agent has paused the stream.
    :param hedging_policy: decides when a silent call of a plain service is sent again.
    """

    session: aiohttp.ClientSession
    address: str
    request: Open
    answer: BufferedResponse
    config_version: ConfigVersion
    priority: int
    on_progress: Callable[[int], None]
    traceparent: str = ""
    on_response_start: Callable[[str], EngineVersion] = EngineVersion
    engine_version: str = ""
    crash_check_context: AbstractContextManager[None] = field(
        default_factory=nullcontext
    )
    sent: bool = False
    sent_by_earlier_try: bool = False
    is_silent: bool = False
    is_paused: Callable[[], bool] = lambda: False
    hedging_policy: HedgingPolicy = field(default_factory=make_hedging_policy)

    @property
    def may_have_run(self) -> bool:
        """Whether any try may have reached the backend server."""
        return self.sent or self.sent_by_earlier_try


BackendAdapter = Callable[[BackendCall], Awaitable[BackendResult | Failure]]

ADAPTERS: dict[PoolKind, BackendAdapter] = {}


def register_backend(kind: PoolKind) -> Callable[[BackendAdapter], BackendAdapter]:
    """Register a coroutine function as the adapter of a kind of pool.

    :param kind: kind of the pool.
    :returns: a decorator.
    """

    def decorate(adapter: BackendAdapter) -> BackendAdapter:
        ADAPTERS[kind] = adapter
        return adapter

    return decorate


async def diagnose_connection_loss(call: BackendCall, error: Exception) -> Failure:
    """Determine whether a lost connection is due to a crash of the backend server.

    :param call: call whose connection was lost after data was sent.
    :param error: error that the loss raised.
    :returns: a failure of the kind ``BACKEND_CRASHED`` if the backend server no longer
        accepts connections, else ``BACKEND_FAILED``.
    """
    reason = f"connection to the backend server was lost: {error!r}"
    with call.crash_check_context:
        # A process that dies closes its connections before its listening socket.
        await asyncio.sleep(CRASH_CHECK_DELAY_S)
        if await _accepts_connections(call.address):
            return make_failure(ErrorKind.BACKEND_FAILED, reason)
    return make_failure(ErrorKind.BACKEND_CRASHED, reason)


async def _accepts_connections(address: str) -> bool:
    host, port = split_address(address)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError):
        return False
    writer.transport.abort()
    return True


def make_common_headers(call: BackendCall) -> dict[str, str]:
    """Return the headers that every call carries.

    :param call: the call.
    """
    return {
        "Accept-Encoding": "identity",
        "X-Request-Id": call.request.request_id,
        "X-Workspace": call.request.workspace,
        "traceparent": call.traceparent,
    }
