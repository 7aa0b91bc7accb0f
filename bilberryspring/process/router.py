"""The router program, the entry point for callers and operators."""

import asyncio
import sys
import time
from collections.abc import Awaitable
from typing import TypeVar

from bilberryspring.capability.instance_list import (
    Role,
)
from bilberryspring.connection.messages import Final
from bilberryspring.connection.peers import make_peer_server
from bilberryspring.connection.sanic_callers import make_room_protocol
from bilberryspring.identifiers import PoolName
from bilberryspring.policy.caller_room import compute_memory_limit, split_sockets
from bilberryspring.process.administration import (
    MAX_BODY_BYTES as MAX_ADMINISTRATION_BODY_BYTES,
)
from bilberryspring.process.administration import make_administration_application
from bilberryspring.process.caller_api import make_caller_application
from bilberryspring.process.caller_room import find_connection_limit, make_caller_room
from bilberryspring.process.exchange import make_exchange
from bilberryspring.process.http_server import make_http_server
from bilberryspring.process.logs import log_event
from bilberryspring.process.memory_bound import make_memory_bound
from bilberryspring.process.node import Node
from bilberryspring.process.program import run_program
from bilberryspring.process.result_fields import (
    COMPLETE_RESULT,
    choose_log_level,
    make_result_fields,
)
from bilberryspring.process.settings import RouterSettings
from bilberryspring.request.errors import Failure
from bilberryspring.request.forwarding_state import ForwardingState
from bilberryspring.request.retry import make_pool_retry_budgets

__all__ = ["RouterProcess", "make_router", "main"]

DRAIN_POLL_S = 0.02
CLOSE_GRACE_S = 2.0
# Bound on the memory of callers' requests where the machine's memory is not stated.
MAX_REQUESTS_BYTES = 256 * 1024 * 1024
# Memory of an idle router.
BASE_MEMORY_MIB = 80
# The administration API keeps connections of its own.
MAX_ADMINISTRATION_CONNECTIONS = 64
ADMINISTRATION_SHARE = 1 / 8

T = TypeVar("T")


class RouterProcess(Node):
    """One router, which holds no state that a caller depends on."""

    def __init__(self, settings: RouterSettings):
        super().__init__(settings, Role.ROUTER)
        self.retry_budgets = make_pool_retry_budgets(settings.retry_ratio)
        self.exchange = make_exchange(
            settings,
            PoolName(""),
            self.members,
            self.peers,
            self.follower,
            self.ledger,
        )
        self.active = 0
        self.server = make_peer_server(
            settings, settings.peer_address, self, self.handle_request_frame
        )
        limit = find_connection_limit(settings.max_descriptors)
        administration_limit = min(
            MAX_ADMINISTRATION_CONNECTIONS, int(limit * ADMINISTRATION_SHARE)
        )
        caller_limit, caller_backlog = split_sockets(limit - administration_limit)
        self.caller_room = make_caller_room(caller_limit, lambda: len(self.peers))
        administration_limit, administration_backlog = split_sockets(
            administration_limit
        )
        self.request_memory = make_memory_bound(
            compute_memory_limit(
                settings.memory_mb,
                MAX_REQUESTS_BYTES,
                settings.max_body_bytes,
                BASE_MEMORY_MIB,
            ),
            weighs_stalls=True,
        )
        self.caller_server = make_http_server(
            make_caller_application(self),
            settings.caller_address,
            make_room_protocol(self.caller_room, self.request_memory),
            caller_backlog,
        )
        administration_memory = make_memory_bound(
            2 * MAX_ADMINISTRATION_BODY_BYTES, weighs_stalls=True
        )
        self.administration_server = make_http_server(
            make_administration_application(self),
            settings.administration_address,
            make_room_protocol(
                make_caller_room(administration_limit), administration_memory
            ),
            administration_backlog,
        )
        self.request_latency = self.metrics.add_latency_histogram(
            "request_seconds", "Requests of callers", "rank", "result"
        )
        self.first_chunk_latency = self.metrics.add_latency_histogram(
            "first_chunk_seconds", "Time to the first chunk", "rank"
        )
        self.metrics.add_gauge(
            "caller_connections",
            "Open connections of callers",
            lambda: len(self.caller_room.connections),
        )
        self.metrics.add_gauge(
            "callers_ended",
            "Connections of callers that were ended for want of room",
            lambda: self.caller_room.ended.total(),
        )
        self.metrics.add_gauge(
            "uploads_given_up",
            "Requests refused while they were received, for want of memory",
            lambda: self.request_memory.given_up_count,
        )
        self.metrics.add_gauge("active_requests", "Open requests", lambda: self.active)
        self.metrics.add_gauge(
            "queued_events",
            "Frames of answers that wait for their callers",
            self.peers.count_queued_events,
        )

    async def start(self) -> None:
        """Start serving.

        :raises OSError: if an address cannot be bound.
        """
        await self.server.start()
        await self.start_node()
        await self.exchange.start()
        await self.administration_server.start()
        await self.caller_server.start()

    def is_ready(self) -> bool:
        """Return whether the process accepts requests and has room for callers."""
        return super().is_ready() and not self.caller_room.is_refusing

    async def drain(self) -> None:
        """Report not ready, stop accepting connections, and finish open requests."""
        self.draining = True
        await asyncio.sleep(self.settings.drain_notice_s)
        deadline_s = time.monotonic() + self.settings.drain_timeout_s
        closing = asyncio.create_task(
            self.caller_server.close(self.settings.drain_timeout_s)
        )
        while self.active and time.monotonic() < deadline_s:
            await asyncio.sleep(DRAIN_POLL_S)
        await asyncio.wait([closing], timeout=CLOSE_GRACE_S)
        closing.cancel()

    async def close(self) -> None:
        """Close all components without waiting for open requests."""
        await self.caller_server.close()
        await self.administration_server.close(CLOSE_GRACE_S)
        await self.exchange.close()
        await self.server.close()
        await self.close_node()

    async def track_request(self, handling: Awaitable[T]) -> T:
        """Count a caller's request as open while it is handled.

        :param handling: awaitable that handles the request.
        :returns: the result of the handling.
        """
        self.active += 1
        try:
            return await handling
        finally:
            self.active -= 1

    def record_result(
        self,
        forwarding: ForwardingState,
        result: Final | Failure,
        started_s: float,
        first_s: float | None,
    ) -> None:
        """Record the latency and the result of a completed request, and log it.

        :param forwarding: the request and its attempts.
        :param result: final frame of its response, or a failure.
        :param started_s: monotonic time of the request's arrival.
        :param first_s: monotonic time of the first chunk; ``None`` if none arrived.
        """
        request = forwarding.request
        duration_s = time.monotonic() - started_s
        label = result.kind.value if isinstance(result, Failure) else COMPLETE_RESULT
        self.request_latency.observe(duration_s, request.rank, label)
        if first_s is not None:
            self.first_chunk_latency.observe(first_s - started_s, request.rank)
        log_event(
            "request_answered",
            level=choose_log_level(result),
            request_id=request.request_id,
            route=request.route,
            workspace=request.workspace,
            rank=request.rank,
            tries=forwarding.tries,
            config_version=self.holder.version,
            duration_s=duration_s,
            **make_result_fields(result),
        )


def make_router(settings: RouterSettings) -> RouterProcess:
    """Return a router that is not started.

    :param settings: validated settings.
    """
    return RouterProcess(settings)


def main() -> int:
    """Run the router program."""
    return run_program("bilberryspring-router", RouterSettings, make_router)


if __name__ == "__main__":
    sys.exit(main())
