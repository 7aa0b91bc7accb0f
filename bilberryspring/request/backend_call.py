"""One call of the backend server beside an agent, and the registry of adapters.

Each kind of pool has an adapter, which streams the answer into the request's
:class:`~bilberryspring.request.answer.Answer` and tells how it ended.
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass, field

import aiohttp

from bilberryspring.connection.messages import Open
from bilberryspring.identifiers import ConfigVersion, EngineVersion
from bilberryspring.process.settings import split_address
from bilberryspring.request.answer import Answer
from bilberryspring.request.errors import ErrorKind, Failure, make_failure
from bilberryspring.request.service_pace import HedgingPolicy, make_service_pace
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
    """A whole answer of the backend server."""

    status: int
    content_type: str
    headers: str = ""


@dataclass(slots=True)
class BackendCall:
    """What an adapter needs for one request.

    :param request: the request as the router sent it.
    :param answer: receives the chunks.
    :param priority: position of its work rank, zero for the most urgent.
    :param on_progress: called with the tokens done since the last call.
    :param traceparent: trace context for the backend server.
    :param on_response_start: called with the version that the backend server states when it
        starts to answer; returns the version to compare engines by.
    :param engine_version: version that the engine itself has to state; empty for any.
    :param crash_check_context: entered while a lost connection is examined.
    :param sent: whether any byte of this try may have reached the backend server.
    :param sent_by_earlier_try: whether any byte of an earlier try may have.
    :param is_silent: whether the connection was given up because nothing arrived.
    :param is_paused: tells whether the agent has paused the stream.
    :param hedging_policy: how long the answers of the plain service take.
    """

    session: aiohttp.ClientSession
    address: str
    request: Open
    answer: Answer
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
    hedging_policy: HedgingPolicy = field(default_factory=make_service_pace)

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
    """Return a failure that tells a crash from a lost connection.

    :param call: the call whose connection was lost after something was sent.
    :param error: how the loss showed.
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
    """Return the headers of every call.

    :param call: the call.
    """
    return {
        "Accept-Encoding": "identity",
        "X-Request-Id": call.request.request_id,
        "X-Workspace": call.request.workspace,
        "traceparent": call.traceparent,
    }
