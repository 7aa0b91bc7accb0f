"""Room for the connections of callers in one process.

Each connection takes a socket, and each request in progress may take another one to a
backend server. When a connection or a request finds no room, connections that wait are
ended.
"""

import resource
import time
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from bilberryspring.policy.caller_room import (
    CallerState,
    CallerView,
    choose_ended,
    compute_connection_limit,
)
from bilberryspring.process.logs import log_event

__all__ = ["CallerRoom", "RoomTaker", "find_connection_limit", "make_caller_room"]

# Share of the limit that is freed at once, so that the connections are not compared
# again for each new one.
FREED_SHARE = 1 / 16
# After the connections were compared in vain, they are not compared for this long.
COMPARE_INTERVAL_S = 0.05
# A process that has taken no new connection for this long while callers tried is of no
# use to a load balancer.
MAX_REFUSING_S = 2.5


class RoomTaker(Protocol):
    """Connection of a caller."""

    def view(self) -> CallerView:
        """Return what the connection waits for."""

    def end(self) -> None:
        """Close the connection for want of room."""


class CallerRoom:
    """Open connections of callers, up to a limit.

    :param limit: sockets of the connections and of the requests in progress.
    :param count_backend_sockets: returns the number of open connections to backend
        servers.
    :ivar connections: open connections.
    :ivar working: number of requests in progress.
    :ivar ended: number of connections that were ended, by what they waited for.
    :ivar refused_count: number of connections and requests that found no room.
    """

    def __init__(self, limit: int, count_backend_sockets: Callable[[], int] | None):
        self.limit = limit
        self._count_backend_sockets = count_backend_sockets
        self.connections: set[RoomTaker] = set()
        self.working = 0
        self.ended: Counter[CallerState] = Counter()
        self.refused_count = 0
        self._next_comparison_s = 0.0
        # Since when every new connection was refused; `None` if the latest was not.
        self._refusing_since_s: float | None = None
        self._is_refusal_logged = False

    @property
    def is_refusing(self) -> bool:
        """Whether new connections have found no room for long, nor would one now."""
        return (
            self._refusing_since_s is not None
            and time.monotonic() - self._refusing_since_s > MAX_REFUSING_S
            and self._count_sockets() >= self.limit
        )

    def _count_sockets(self) -> int:
        if self._count_backend_sockets is None:
            return len(self.connections)
        backend_sockets = max(self.working, self._count_backend_sockets())
        return len(self.connections) + backend_sockets

    def _make_room(self, sockets: int) -> bool:
        """End connections until there are sockets left, if possible."""
        missing = self._count_sockets() + sockets - self.limit
        if missing <= 0:
            return True
        now_s = time.monotonic()
        if now_s < self._next_comparison_s:
            return False
        waiting = list(self.connections)
        count = max(missing, int(self.limit * FREED_SHARE))
        chosen = choose_ended([each.view() for each in waiting], count)
        ended: Counter[CallerState] = Counter()
        for number in chosen:
            connection = waiting[number]
            ended[connection.view().state] += 1
            self.connections.discard(connection)
            connection.end()
        self.ended += ended
        if ended:
            log_event(
                "callers_ended",
                level="WARNING",
                limit=self.limit,
                connections=len(self.connections),
                **{state.value: count for state, count in ended.items()},
            )
        if len(chosen) < missing:
            self._next_comparison_s = now_s + COMPARE_INTERVAL_S
            return False
        return True

    def admit(self, connection: RoomTaker) -> bool:
        """Add a new connection.

        :param connection: the connection; it removes itself when it is closed.
        :returns: whether there is room for it.
        """
        if not self._make_room(1):
            self.refused_count += 1
            self._record_refusal()
            return False
        self._refusing_since_s, self._is_refusal_logged = None, False
        self.connections.add(connection)
        return True

    def _record_refusal(self) -> None:
        if self._refusing_since_s is None:
            self._refusing_since_s = time.monotonic()
        if self.is_refusing and not self._is_refusal_logged:
            self._is_refusal_logged = True
            states = Counter(each.view().state for each in self.connections)
            log_event(
                "callers_refused",
                level="ERROR",
                limit=self.limit,
                connections=len(self.connections),
                requests=self.working,
                backend_connections=(
                    self._count_backend_sockets() if self._count_backend_sockets else 0
                ),
                **{state.value: count for state, count in states.items()},
            )

    def remove(self, connection: RoomTaker) -> None:
        """Remove a connection that was closed.

        :param connection: the connection.
        """
        self.connections.discard(connection)

    def begin_request(self) -> bool:
        """Count a request that begins, unless there is no room for it.

        :returns: whether there is room for a connection to a backend server.
        """
        self.working += 1
        if self._make_room(0):
            return True
        self.working -= 1
        self.refused_count += 1
        return False

    def end_request(self) -> None:
        """Count a request that has ended."""
        self.working -= 1


def find_connection_limit(max_descriptors: int) -> int:
    """Return the limit that follows from the machine and from the process.

    :param max_descriptors: descriptors that the settings state; zero for none.
    """
    own_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [each for each in (max_descriptors, own_limit) if each > 0]
    return compute_connection_limit(min(limits, default=1 << 20))


def make_caller_room(
    limit: int, count_backend_sockets: Callable[[], int] | None = None
) -> CallerRoom:
    """Return room without connections.

    :param limit: sockets of the connections and of the requests in progress.
    :param count_backend_sockets: returns the number of open connections to backend
        servers; ``None`` if requests need none.
    """
    return CallerRoom(limit, count_backend_sockets)
