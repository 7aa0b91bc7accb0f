"""Request rates that backend servers state as their limit, for all routers together.

What a server stated is known by the request that it answered: when this was sent and
when the answer arrived. Answers on different connections overtake each other, so an
answer that names no limit ends one only if its request was sent after the limit had
last been named. Times travel between routers as ages, and stay those of the router that
got the answer.
"""

import random
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bilberryspring.capability.routing import BackendServer
from bilberryspring.connection.limit_messages import LimitReport
from bilberryspring.connection.load_messages import NameHash, hash_name
from bilberryspring.process.logs import log_event

__all__ = ["LimitStatement", "ServerLimits", "make_server_limits"]

# A limit that no answer has named for this long is forgotten, and so is the end of one.
# At the lowest rates, no answer comes for several times the mean interval.
STATEMENT_LIFETIME_S = 60.0
LIFETIME_INTERVALS = 4.0
MAX_LIFETIME_S = 600.0
# A change is put into this many reports ahead of the others.
NEWS_REPORTS = 4
# More servers than the largest fleet has; about 250 bytes each.
MAX_STATEMENTS = 4096


@dataclass(slots=True)
class LimitStatement:
    """Latest statement of one server on its limit; times are monotonic.

    :param rate_per_s: requests per second that it takes from all routers together;
        ``None`` if it stated that it has no limit any more.
    :param sent_s: when the request was sent whose answer made the statement.
    :param received_s: when the answer arrived at the router that had sent it.
    :param statement_id: random number that the router drew which got the answer.
    :param reported_by: router that reported it; empty if this one got the answer.
    :param unsent_reports: reports that the statement is still to be put into as news.
    """

    rate_per_s: float | None
    sent_s: float
    received_s: float
    statement_id: int
    reported_by: str = ""
    unsent_reports: int = NEWS_REPORTS

    @property
    def expires_s(self) -> float:
        """When the statement is forgotten unless it is made again."""
        lifetime_s = STATEMENT_LIFETIME_S
        if self.rate_per_s is not None:
            lifetime_s = max(lifetime_s, LIFETIME_INTERVALS / self.rate_per_s)
        return self.received_s + min(lifetime_s, MAX_LIFETIME_S)

    def supersedes(self, held: "LimitStatement | None") -> bool:
        """Return whether this statement is later than another one.

        :param held: the other statement; ``None`` if there is none.
        """
        if held is None:
            return self.rate_per_s is not None
        if self.statement_id == held.statement_id:
            # Its times would become later with each hop between routers.
            return False
        if self.rate_per_s is None and held.rate_per_s is not None:
            return self.sent_s >= held.received_s
        return self.sent_s >= held.sent_s


class ServerLimits:
    """Limits of backend servers, the latest stated last.

    :param read_clock: monotonic clock, in seconds.
    :param find_name: returns the id of a server with a hash, for the log.
    :ivar news_callbacks: called when a limit begins, changes or ends.
    """

    def __init__(
        self,
        read_clock: Callable[[], float] = time.monotonic,
        find_name: Callable[[NameHash], str] = "{:016x}".format,
    ):
        self._read_clock = read_clock
        self._find_name = find_name
        self._statements: OrderedDict[tuple[NameHash, int], LimitStatement] = (
            OrderedDict()
        )
        self.news_callbacks: list[Callable[[], None]] = []

    def __len__(self) -> int:
        return len(self._statements)

    def count_limited(self) -> int:
        """Return the number of servers that have a limit."""
        now_s = self._read_clock()
        return sum(
            statement.rate_per_s is not None and now_s < statement.expires_s
            for statement in self._statements.values()
        )

    def find_rate_per_s(self, server: BackendServer) -> float | None:
        """Return the limit of a server, ``None`` if it has none.

        :param server: the server; a later start of it has no limit.
        """
        if not self._statements:
            return None
        return self.find_rate_by_key(hash_name(server.server_id), server.started_at_ms)

    def find_rate_by_key(self, server: NameHash, started_at_ms: int) -> float | None:
        """Return the limit of a server that another router names.

        :param server: hash of the server's id.
        :param started_at_ms: its start, as Unix time in milliseconds.
        """
        statement = self._statements.get((server, started_at_ms))
        if statement is None or self._read_clock() >= statement.expires_s:
            return None
        return statement.rate_per_s

    def record_answer(
        self, server: BackendServer, rate_per_s: float | None, sent_s: float
    ) -> None:
        """Record what the answer to a request of this router states.

        :param server: the server as it was listed when the request was sent.
        :param rate_per_s: limit that the answer names; ``None`` if it names none.
        :param sent_s: monotonic time at which the request was sent.
        """
        key = hash_name(server.server_id), server.started_at_ms
        if rate_per_s is None and key not in self._statements:
            return
        statement = LimitStatement(
            rate_per_s, sent_s, self._read_clock(), random.getrandbits(32)
        )
        if self._put(key, statement):
            self._announce()

    def merge(self, reports: Iterable[LimitReport], sender: str) -> None:
        """Add what another router reports.

        :param reports: statements of servers that it knows.
        :param sender: the reporting router, for the log.
        """
        now_s, is_news = self._read_clock(), False
        for report in reports:
            statement = LimitStatement(
                report.rate_per_s,
                now_s - report.sent_age_s,
                now_s - report.received_age_s,
                report.statement_id,
                sender,
            )
            if now_s < statement.expires_s:
                key = report.server, report.started_at_ms
                is_news |= self._put(key, statement)
        if is_news:
            self._announce()

    def _put(
        self,
        key: tuple[NameHash, int],
        statement: LimitStatement,
    ) -> bool:
        """Store a statement if it is later; return whether the limit changed."""
        held = self._statements.get(key)
        if not statement.supersedes(held):
            return False
        previous_per_s = None if held is None else held.rate_per_s
        is_change = statement.rate_per_s != previous_per_s
        if held is not None and not is_change:
            statement.unsent_reports = held.unsent_reports
            statement.received_s = max(statement.received_s, held.received_s)
        self._statements[key] = statement
        self._statements.move_to_end(key)
        while len(self._statements) > MAX_STATEMENTS:
            self._statements.popitem(last=False)
        if is_change:
            log_event(
                "server_limit",
                server=self._find_name(key[0]),
                rate_per_s=statement.rate_per_s,
                previous_per_s=previous_per_s,
                reported_by=statement.reported_by,
            )
        return is_change

    def list_reports(self, count: int) -> tuple[LimitReport, ...]:
        """Return statements to report to other routers, changes first.

        The others take turns, as reported ones are marked.

        :param count: maximum number of statements.
        """
        now_s = self._read_clock()
        for key in [
            key
            for key, statement in self._statements.items()
            if now_s >= statement.expires_s
        ]:
            del self._statements[key]
        keys = sorted(
            self._statements, key=lambda key: -self._statements[key].unsent_reports
        )[:count]
        return tuple(
            make_limit_report(key, self._statements[key], now_s) for key in keys
        )

    def mark_reported(self, reports: Iterable[LimitReport]) -> None:
        """Record that statements were reported; the others come first next time.

        :param reports: statements that were sent to other routers.
        """
        for report in reports:
            key = report.server, report.started_at_ms
            statement = self._statements[key]
            statement.unsent_reports = max(statement.unsent_reports - 1, 0)
            self._statements.move_to_end(key)

    def find_report(self, server: NameHash, started_at_ms: int) -> LimitReport | None:
        """Return the latest statement of a server, ``None`` if there is none.

        :param server: hash of the server's id.
        :param started_at_ms: its start, as Unix time in milliseconds.
        """
        statement = self._statements.get((server, started_at_ms))
        if statement is None:
            return None
        return make_limit_report((server, started_at_ms), statement, self._read_clock())

    @property
    def has_news(self) -> bool:
        """Whether a change has not been put into enough reports yet."""
        return any(each.unsent_reports for each in self._statements.values())

    def _announce(self) -> None:
        for callback in self.news_callbacks:
            callback()


def make_limit_report(
    key: tuple[NameHash, int], statement: LimitStatement, now_s: float
) -> LimitReport:
    """Return a statement as it is reported to other routers.

    :param key: hash of the server's id, and its start as Unix time in milliseconds.
    :param statement: the statement.
    :param now_s: monotonic time.
    """
    return LimitReport(
        *key,
        statement.rate_per_s,
        max(now_s - statement.sent_s, 0.0),
        max(now_s - statement.received_s, 0.0),
        statement.statement_id,
    )


def make_server_limits(
    read_clock: Callable[[], float] = time.monotonic,
    find_name: Callable[[NameHash], str] = "{:016x}".format,
) -> ServerLimits:
    """Return a collection without limits.

    :param read_clock: monotonic clock, in seconds.
    :param find_name: returns the id of a server with a hash, for the log.
    """
    return ServerLimits(read_clock, find_name)
