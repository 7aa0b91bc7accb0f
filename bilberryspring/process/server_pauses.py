"""Pauses that backend servers ask for, and the return of requests after them.

A server that sheds load may state for how long it wants no requests from this router.
After that time the router sends one request, and more as these are accepted. The pause
outlives the server's entry: an entry that is listed again does not end it.
"""

import random
from collections import OrderedDict

from bilberryspring.capability.routing import BackendServer
from bilberryspring.identifiers import InstanceId
from bilberryspring.process.logs import log_event

__all__ = ["ServerPause", "ServerPauses", "make_server_pauses"]

# Each router extends a pause by up to this time at random, so that routers which were
# told the same time return one after another.
RETURN_SPREAD_S = 0.5
# The return ends when this many requests may await their first answer together.
MAX_RETURN_REQUESTS = 8
# Bound on the servers whose pauses are kept, the latest ones.
MAX_PAUSED_SERVERS = 4096


class ServerPause:
    """Time for which one server wants no requests of this router.

    :ivar until_s: monotonic time at which the pause ends; in the past if there is none.
    """

    def __init__(self) -> None:
        self.until_s = 0.0
        self._round = 0
        self._allowed: int | None = None
        self._unanswered = 0

    def begin(self, pause_s: float, now_s: float) -> None:
        """Begin a pause, or extend the current one.

        :param pause_s: time in seconds that the server asked for.
        :param now_s: monotonic time.
        """
        until_s = now_s + pause_s
        # Requests in flight are refused with about the same end, which is spread once.
        if until_s > self.until_s:
            self.until_s = until_s + random.uniform(0.0, RETURN_SPREAD_S)
        self._round += 1
        self._allowed = 1
        self._unanswered = 0

    def is_active(self, now_s: float) -> bool:
        """Return whether the server wants no requests.

        :param now_s: monotonic time.
        """
        return now_s < self.until_s

    def allows_request(self, now_s: float) -> bool:
        """Return whether one more request may be sent.

        :param now_s: monotonic time.
        """
        if self.is_active(now_s):
            return False
        return self._allowed is None or self._unanswered < self._allowed

    def reserve_trial(self) -> int | None:
        """Count a request that is about to be sent.

        :returns: number of the return that it belongs to, for :meth:`settle_trial`;
            ``None`` outside a return.
        """
        if self._allowed is None:
            return None
        self._unanswered += 1
        return self._round

    def settle_trial(self, trial: int, *, is_accepted: bool) -> None:
        """Record that a counted request was answered, or ended without an answer.

        :param trial: number that :meth:`reserve_trial` returned; that of an earlier
            return is ignored.
        :param is_accepted: whether the server ran the request.
        """
        if trial != self._round or self._allowed is None:
            return
        self._unanswered -= 1
        if is_accepted:
            self._allowed += 1
            if self._allowed > MAX_RETURN_REQUESTS:
                self._allowed = None


class ServerPauses:
    """Pauses of servers, also of those that are not listed at present."""

    def __init__(self) -> None:
        self._pauses: OrderedDict[tuple[InstanceId, int], ServerPause] = OrderedDict()

    def begin(
        self, server: BackendServer, pause: ServerPause, pause_s: float, now_s: float
    ) -> None:
        """Begin or extend the pause of a server.

        :param server: the server.
        :param pause: its pause.
        :param pause_s: time in seconds that it asked for.
        :param now_s: monotonic time.
        """
        if not pause.is_active(now_s):
            log_event("server_paused", server=server.server_id, pause_s=pause_s)
        pause.begin(pause_s, now_s)
        key = (server.server_id, server.started_at_ms)
        self._pauses.pop(key, None)
        self._pauses[key] = pause
        while len(self._pauses) > MAX_PAUSED_SERVERS:
            self._pauses.popitem(last=False)

    def get(self, server: BackendServer) -> ServerPause:
        """Return the pause of a server; one without a pause gets an inactive one.

        :param server: the server; a later start of it has no pause.
        """
        pause = self._pauses.get((server.server_id, server.started_at_ms))
        return ServerPause() if pause is None else pause


def make_server_pauses() -> ServerPauses:
    """Return a collection without pauses."""
    return ServerPauses()
