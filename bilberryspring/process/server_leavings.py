"""Bounded record of backend servers that left, against lists that name them as ready.

A metadata store that was restored from a copy lists servers as ready that had left
before. Within one history the order of the store decides. An entry of another history
has to show that the server wrote it after it left: by a later start, or by a higher
number of its report. So has an entry in another router's list, which a late response of
the store may have made look more recent than it is. What a server states of itself in a
response goes before any list, until it starts again.
"""

import time
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from bilberryspring.capability.routing import BackendServer
from bilberryspring.connection.load_messages import NameHash, hash_name
from bilberryspring.connection.router_reports import LeavingReport
from bilberryspring.identifiers import InstanceId, StoreEpoch

__all__ = [
    "LeavingSource",
    "ServerLeaving",
    "ServerLeavings",
    "make_server_leavings",
]

# A server that leaves exits within this time, and its entry then lapses.
LEAVING_LIFETIME_S = 60.0
# The store may list a server as ready for minutes after it stated that it leaves.
STATEMENT_LIFETIME_S = 600.0
# A leaving that another router reported is held, and passed on, up to this age.
REPORTED_LIFETIME_S = 30.0
# Entries of servers that run no longer expire within this time after a restoration. One
# that lasts is renewed by its server.
MAX_LAPSED_ENTRY_AGE_S = 10.0
# More servers than the largest fleet has; about 250 bytes each.
MAX_LEAVINGS = 1024


class LeavingSource(Enum):
    """Who said that a server leaves."""

    STORE = "store"
    SERVER = "server"
    ROUTER = "router"


@dataclass(slots=True)
class ServerLeaving:
    """What is known of the leaving of one server.

    :param started_at_ms: start of the server that left, as Unix time in milliseconds.
    :param report_number: number of its last report that was read; zero if unknown.
    :param epoch: history of the store in which it left; ``None`` if unknown, or if the
        store did not say so.
    :param learnt_s: monotonic time at which the first router learnt it, or at which it
        was last confirmed here.
    :param source: who said so.
    :param sent_count: number of reports that it was put into.
    :param questioned_s: monotonic time at which a restored list first named the server
        as ready nevertheless; ``None`` if none did.
    """

    started_at_ms: int
    report_number: int
    epoch: StoreEpoch | None
    learnt_s: float
    source: LeavingSource
    sent_count: int = 0
    questioned_s: float | None = None


class ServerLeavings:
    """Leavings of backend servers, the latest last.

    :param read_clock: monotonic clock, in seconds.
    """

    def __init__(self, read_clock: Callable[[], float] = time.monotonic):
        self._read_clock = read_clock
        self._leavings: OrderedDict[NameHash, ServerLeaving] = OrderedDict()

    def __len__(self) -> int:
        return len(self._leavings)

    def record(self, server: BackendServer, epoch: StoreEpoch | None) -> None:
        """Record that a server left, by its entry in the store.

        :param server: the server as it was last listed.
        :param epoch: history of the store in which it left.
        """
        name = hash_name(server.server_id)
        started_at_ms, number = server.started_at_ms, server.report_number
        known = self._leavings.get(name)
        if known is not None:
            if _is_stated(known) and started_at_ms <= known.started_at_ms:
                return
            started_at_ms, number = max(
                (started_at_ms, number), (known.started_at_ms, known.report_number)
            )
        self._put(
            name,
            ServerLeaving(
                started_at_ms, number, epoch, self._read_clock(), LeavingSource.STORE
            ),
        )

    def record_statement(self, server: BackendServer) -> None:
        """Record that a server stated in a response that it leaves.

        :param server: the server that the request was sent to.
        """
        name = hash_name(server.server_id)
        known = self._leavings.get(name)
        if known is not None:
            if server.started_at_ms < known.started_at_ms:
                return
            if _is_stated(known) and server.started_at_ms == known.started_at_ms:
                known.learnt_s = self._read_clock()
                return
        self._put(
            name,
            ServerLeaving(
                server.started_at_ms,
                server.report_number,
                None,
                self._read_clock(),
                LeavingSource.SERVER,
            ),
        )

    def get_source(self, server_id: InstanceId) -> LeavingSource:
        """Return who said that a server leaves.

        :param server_id: its id.
        :raises KeyError: if no leaving of it is known.
        """
        return self._leavings[hash_name(server_id)].source

    def describe(self, server_id: InstanceId) -> tuple[str, float, StoreEpoch | None]:
        """Return who said that a server leaves, when, and in which history.

        :param server_id: its id.
        :returns: source, age in seconds and history of the store; the source is the
            store's list if no leaving is recorded.
        """
        known = self._leavings.get(hash_name(server_id))
        if known is None:
            return LeavingSource.STORE.value, 0.0, None
        return known.source.value, self._read_clock() - known.learnt_s, known.epoch

    def merge(self, reports: Iterable[LeavingReport]) -> list[NameHash]:
        """Add what another router reports.

        :param reports: leavings that it knows.
        :returns: hashes of the ids of the servers whose leavings are news.
        """
        now_s = self._read_clock()
        news = []
        for report in reports:
            known = self._leavings.get(report.server)
            is_known = known is not None and (
                known.started_at_ms,
                known.report_number,
            ) >= (report.started_at_ms, report.report_number)
            is_stated = (
                known is not None
                and _is_stated(known)
                and report.started_at_ms <= known.started_at_ms
            )
            if is_known or is_stated or report.age_s >= REPORTED_LIFETIME_S:
                continue
            self._put(
                report.server,
                ServerLeaving(
                    report.started_at_ms,
                    report.report_number,
                    report.epoch,
                    now_s - report.age_s,
                    LeavingSource.ROUTER,
                ),
            )
            news.append(report.server)
        return news

    def is_bound(
        self,
        server: BackendServer,
        epoch: StoreEpoch | None,
        is_from_router: bool = False,
    ) -> bool:
        """Return whether a server that is listed as ready has left nevertheless.

        An entry without a start time or a report number can't show that it is later
        than the leaving.

        :param server: the server as it is listed.
        :param epoch: history of the store that the list is of.
        :param is_from_router: whether another router sent the list.
        """
        known = self._find(hash_name(server.server_id))
        if known is None:
            return False
        if _is_stated(known):
            return server.started_at_ms <= known.started_at_ms
        is_ordered = not is_from_router or known.report_number == 0
        if epoch == known.epoch and is_ordered:
            return False
        is_bound = (server.started_at_ms, server.report_number) <= (
            known.started_at_ms,
            known.report_number,
        )
        if is_bound and known.questioned_s is None and epoch != known.epoch:
            known.questioned_s = self._read_clock()
        return is_bound

    def forget(self, server_id: InstanceId) -> None:
        """Forget the leaving of a server that is back.

        :param server_id: its id; one without a leaving is ignored.
        """
        self._leavings.pop(hash_name(server_id), None)

    def remove_expired(self) -> list[NameHash]:
        """Forget leavings whose time is over; return the hashes of their server ids."""
        now_s = self._read_clock()
        expired = [
            name for name, known in self._leavings.items() if _is_over(known, now_s)
        ]
        for name in expired:
            del self._leavings[name]
        return expired

    def list_reports(
        self, count: int, epoch: StoreEpoch | None
    ) -> tuple[LeavingReport, ...]:
        """Return the leavings that were reported least often, the newest first.

        Routers learn from the store what happened in its present history. Leavings of
        a former one, and those that servers stated themselves, are repeated.

        :param count: maximum number of leavings.
        :param epoch: present history of the store, as far as it is known.
        """
        now_s = self._read_clock()
        needed = [
            (name, known)
            for name, known in reversed(self._leavings.items())
            if _is_needed(known, epoch) and now_s - known.learnt_s < REPORTED_LIFETIME_S
        ]
        needed.sort(key=lambda each: each[1].sent_count)
        for _, known in needed[:count]:
            known.sent_count += 1
        return tuple(
            LeavingReport(
                name,
                known.started_at_ms,
                known.report_number,
                known.epoch,
                max(now_s - known.learnt_s, 0.0),
            )
            for name, known in needed[:count]
        )

    def _find(self, name: NameHash) -> ServerLeaving | None:
        known = self._leavings.get(name)
        if known is None or _is_over(known, self._read_clock()):
            return None
        return known

    def _put(self, name: NameHash, leaving: ServerLeaving) -> None:
        self._leavings[name] = leaving
        self._leavings.move_to_end(name)
        while len(self._leavings) > MAX_LEAVINGS:
            self._leavings.popitem(last=False)


_LIFETIMES_S = {
    LeavingSource.STORE: LEAVING_LIFETIME_S,
    LeavingSource.SERVER: STATEMENT_LIFETIME_S,
    LeavingSource.ROUTER: REPORTED_LIFETIME_S,
}


def _is_over(leaving: ServerLeaving, now_s: float) -> bool:
    is_refuted = (
        leaving.questioned_s is not None
        and now_s - leaving.questioned_s >= MAX_LAPSED_ENTRY_AGE_S
    )
    return is_refuted or now_s - leaving.learnt_s >= _LIFETIMES_S[leaving.source]


def _is_stated(leaving: ServerLeaving) -> bool:
    return leaving.source is LeavingSource.SERVER


def _is_needed(leaving: ServerLeaving, epoch: StoreEpoch | None) -> bool:
    """Return whether other routers can't learn a leaving from the store now."""
    if leaving.epoch is None:
        return leaving.source is not LeavingSource.STORE
    return epoch is not None and leaving.epoch < epoch


def make_server_leavings(
    read_clock: Callable[[], float] = time.monotonic,
) -> ServerLeavings:
    """Return an empty record.

    :param read_clock: monotonic clock, in seconds.

    >>> leavings = make_server_leavings()
    >>> report = LeavingReport(NameHash(5), 100, 7, StoreEpoch(1), 0.5)
    >>> leavings.merge([report]), leavings.merge([report])
    ([5], [])
    """
    return ServerLeavings(read_clock)
