"""Interfaces through which a router sends requests to servers and relays responses."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from bilberryspring.capability.routing import BackendServer, IncomingRequest
from bilberryspring.request.errors import Failure

__all__ = [
    "BackendResponseHead",
    "BackendCalls",
    "CallerResponse",
    "Excess",
    "Exchange",
    "NOT_RUN_STATUSES",
    "Reachability",
    "ServerLoad",
]


class Reachability(Enum):
    """Result of connecting to a server's address.

    ``REFUSED`` means that its machine runs no process there; ``SILENT`` that nothing
    came back, as from a machine without power or behind a cut.
    """

    REACHABLE = "reachable"
    REFUSED = "refused"
    SILENT = "silent"


class Excess(Enum):
    """Which bound the bytes of a response exceeded."""

    HEAD = "head"
    """Bytes or headers of heads, chunk sizes and trailers."""
    EVENT = "event"
    """Bytes of one event."""
    NO_EVENT = "no_event"
    """Bytes of a stream that complete no event."""
    BODY = "body"
    """Bytes of a body that is relayed as a whole."""
    MEMORY = "memory"
    """Memory of all responses that this process holds."""


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load that a server reports with a response, over all callers.

    :param running: number of requests that the server is running.
    :param waiting: number of requests in the server's queue.
    :param slots: number of requests that the server can run concurrently.
    :param work_time_ratio: time that work takes on the server's machine at this moment,
        as a multiple of the usual time; one if the server does not report it.
    """

    running: int
    waiting: int
    slots: int
    work_time_ratio: float = 1.0


# Statuses that promise callers that the request was not run and never will be.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class BackendResponseHead:
    """Status and headers of a server's response.

    :param status: HTTP status code.
    :param headers: names and values of the headers to forward to the caller.
    :param was_not_run: whether the server states that it did not run the request.
    :param is_verified: whether the response carries the server's proof of origin. A
        response without it may come from another server or an intermediary.
    :param load: reported load of the server; ``None`` if it reported none, or one that
        could not be decoded.
    :param is_close_delimited: whether the body ends with its connection, so that its
        end does not show that it is complete.
    :param is_leaving: whether the server states that it leaves: it wants no new
        requests and completes those that it has.
    :param pause_s: time in seconds for which the server wants no requests of this
        router; zero if it stated none.
    :param limit_per_s: requests per second that the server takes from all routers
        together; ``None`` if it named no limit.
    :param tells_limit: whether it shows that the server has this limit, or none; an
        answer that names an unreadable one, or may be of another server, does not.
    :param cold_remaining_s: seconds for which the server says that it stays cold;
        ``None`` if it says nothing readable.
    """

    status: int
    headers: Sequence[tuple[bytes, bytes]]
    was_not_run: bool
    is_verified: bool
    load: ServerLoad | None
    is_close_delimited: bool = False
    is_leaving: bool = False
    pause_s: float = 0.0
    limit_per_s: float | None = None
    tells_limit: bool = False
    cold_remaining_s: float | None = None

    @property
    def is_success(self) -> bool:
        """Whether the response is a verified success that may be forwarded."""
        return self.is_verified and 200 <= self.status < 300

    @property
    def is_unfounded_promise(self) -> bool:
        """Whether only the status states that the request was not run."""
        return self.status in NOT_RUN_STATUSES and not self.was_not_run


class Exchange(Protocol):
    """A request that was sent to a server, and its response.

    :ivar is_given_up: whether the response exceeded a bound.
    """

    is_given_up: bool

    async def read_head(self) -> BackendResponseHead | Failure:
        """Wait for the status and headers of the response.

        :returns: the head, or a failure if the connection broke.
        """

    async def read_chunk(self) -> bytes | None | Failure:
        """Wait for the next chunk of the response body.

        :returns: the chunk, ``None`` at the end of the body, or a failure if the
            connection broke.
        """

    def keep_bytes(self, size_bytes: int) -> None:
        """Record what is kept of the response, which counts towards a bound.

        Above the bound on all responses, the exchange may be given up; its next read
        fails then.

        :param size_bytes: memory in bytes.
        """

    def give_up(self, excess: Excess, reason: str) -> Failure:
        """Record that the response exceeded a bound.

        :param excess: the bound.
        :param reason: description for logs.
        :returns: the failure of the exchange.
        """

    def close(self) -> None:
        """End the exchange; a server that is still running the request cancels it."""


class BackendCalls(Protocol):
    """Client that sends requests to backend servers."""

    async def begin(
        self, server: BackendServer, request: IncomingRequest, time_left_s: float
    ) -> Exchange | Failure:
        """Send a request to a server.

        :param server: the server.
        :param request: the request.
        :param time_left_s: time in seconds after which the server may abandon the
            request.
        :returns: the exchange, or a failure if nothing was sent.
        """

    async def check_reachability(self, server: BackendServer) -> Reachability:
        """Try to connect to a server's address.

        :param server: a server whose connection broke.
        """


class CallerResponse(Protocol):
    """Response to one caller."""

    @property
    def is_started(self) -> bool:
        """Whether the status and headers have been written."""

    def start(self, head: BackendResponseHead, length_bytes: int | None) -> None:
        """Write the status and headers.

        :param head: status and headers of the server's response.
        :param length_bytes: length of the body; ``None`` to stream it.
        """

    async def write(self, data: bytes) -> None:
        """Write a chunk of the body."""

    def finish(self) -> None:
        """End the response as complete."""

    async def refuse(self, failure: Failure) -> None:
        """Respond with an error that describes the failure."""

    def abort_response(self) -> None:
        """Abort the response so that the caller detects that it is incomplete."""
