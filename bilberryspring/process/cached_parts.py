"""Engines that hold parts of prompts, as this and other routers observed.

A router that gets the first part of a response knows that the engine holds the parts of
the prompt then. Other routers learn it from reports and pass it on with its age, so
that what was heard never counts as an observation of later.
"""

import time
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bilberryspring.capability.routing import BackendServer, Prompt
from bilberryspring.connection.cached_part_messages import (
    CachedPartReport,
    PartHash,
    hash_part,
)
from bilberryspring.connection.load_messages import NameHash, hash_name
from bilberryspring.policy.cached_parts import ENOUGH_HOLDERS, is_holder_news

__all__ = ["CachedParts", "make_cached_parts"]

# Engines evict parts that were not used for long.
HOLDING_LIFETIME_S = 30.0
# About a kilobyte for each part with its holders.
MAX_PARTS = 4096
MAX_HOLDERS = ENOUGH_HOLDERS + 1
# Reports that an observation is put into by its own router, and by one that hears it.
OWN_NEWS_REPORTS = 2
HEARD_NEWS_REPORTS = 2
# News that wait for a report; the longest parts stay.
MAX_NEWS = 512
MAX_FORGOTTEN_SERVERS = 4096


@dataclass(slots=True)
class _Holding:
    """A part at one engine; times are monotonic.

    :param used_s: when a router last got a response of the engine to a request with it.
    :param reported_use_s: latest use that was to be reported; ``None`` for none.
    """

    used_s: float
    reported_use_s: float | None = None


@dataclass(slots=True)
class _News:
    tokens: int
    used_s: float
    unsent_reports: int


class CachedParts:
    """Parts of prompts and the engines that hold them, the latest used part last.

    :param read_clock: monotonic clock, in seconds.
    :ivar learned_count: number of holders first named by reports of other routers.
    :ivar fetch_counts: requests sent with a source to fetch parts from, by whether the
        source was known to hold them, or was guessed.
    """

    def __init__(self, read_clock: Callable[[], float] = time.monotonic) -> None:
        self._read_clock = read_clock
        self._parts: OrderedDict[PartHash, dict[NameHash, _Holding]] = OrderedDict()
        self._news: dict[tuple[PartHash, NameHash], _News] = {}
        self._forgotten_s: OrderedDict[NameHash, float] = OrderedDict()
        self._found: tuple[Prompt | None, list[tuple[NameHash, int]]] = (None, [])
        self.learned_count = 0
        self.fetch_counts = Counter()

    def __len__(self) -> int:
        return len(self._parts)

    def record_response(
        self, server: BackendServer, prompt: Prompt, is_home: bool = False
    ) -> None:
        """Record that an engine began a response, so that it holds the prompt's parts.

        :param server: the engine.
        :param prompt: prompt of the request.
        :param is_home: whether other routers expect it to hold the last shared part,
            which then is no news.
        """
        now_s, name = self._read_clock(), hash_name(server.server_id)
        shared = prompt.parts[:-1]
        for part in shared:
            self._put(
                hash_part(part.part_id),
                name,
                part.tokens,
                now_s,
                now_s,
                0 if is_home and part is shared[-1] else OWN_NEWS_REPORTS,
            )

    def count_fetch(self, *, is_known: bool) -> None:
        """Count a request that was sent with a source to fetch parts from.

        :param is_known: whether the source was known to hold them.
        """
        self.fetch_counts["known" if is_known else "guessed"] += 1

    def merge(self, reports: Iterable[CachedPartReport]) -> None:
        """Add what another router reports.

        :param reports: parts that engines hold.
        """
        now_s = self._read_clock()
        for report in reports:
            used_s = now_s - report.age_s
            if (
                report.age_s < HOLDING_LIFETIME_S
                and used_s > self._forgotten_s.get(report.server, used_s - 1.0)
                and self._put(
                    report.part,
                    report.server,
                    report.tokens,
                    used_s,
                    now_s,
                    HEARD_NEWS_REPORTS,
                )
            ):
                self.learned_count += 1

    def _put(
        self,
        part: PartHash,
        server: NameHash,
        tokens: int,
        used_s: float,
        now_s: float,
        report_count: int,
    ) -> bool:
        """Record a use of a part; return whether the holder was unknown."""
        holders = self._parts.setdefault(part, {})
        self._parts.move_to_end(part)
        while len(self._parts) > MAX_PARTS:
            self._parts.popitem(last=False)
        holding = holders.get(server)
        is_unknown = holding is None
        if is_unknown:
            if len(holders) >= MAX_HOLDERS:
                oldest = min(holders, key=lambda each: holders[each].used_s)
                if holders[oldest].used_s >= used_s:
                    return False
                del holders[oldest]
            holding = holders[server] = _Holding(used_s)
        elif used_s <= holding.used_s:
            return False
        holding.used_s = used_s
        self._found = (None, [])
        reported_s = holding.reported_use_s
        reported_age_s = None if reported_s is None else now_s - reported_s
        known_holders = sum(
            now_s - each.used_s < HOLDING_LIFETIME_S
            for name, each in holders.items()
            if name != server
        )
        if report_count and is_holder_news(tokens, known_holders, reported_age_s):
            holding.reported_use_s = used_s
            self._news[part, server] = _News(tokens, used_s, report_count)
            if len(self._news) > MAX_NEWS:
                del self._news[min(self._news, key=lambda key: self._news[key].tokens)]
        return is_unknown

    def forget(self, server: NameHash) -> None:
        """Forget an engine that restarted or left.

        :param server: hash of its id.
        """
        self._forgotten_s[server] = self._read_clock()
        self._forgotten_s.move_to_end(server)
        while len(self._forgotten_s) > MAX_FORGOTTEN_SERVERS:
            self._forgotten_s.popitem(last=False)
        for holders in self._parts.values():
            holders.pop(server, None)
        self._news = {key: news for key, news in self._news.items() if key[1] != server}
        self._found = (None, [])

    def find_holders(self, prompt: Prompt) -> list[tuple[NameHash, int]]:
        """Return the engines that hold the first shared parts of a prompt.

        An engine holds the parts before one that it holds, since these were used in the
        same requests.

        :param prompt: prompt of a request.
        :returns: hash of each engine's id and the number of tokens that it holds; most
            tokens first, and of equal ones the latest use.
        """
        if self._found[0] is prompt:
            return self._found[1]
        now_s = self._read_clock()
        tokens = prompt.shared_tokens
        found: dict[NameHash, tuple[int, float]] = {}
        for part in reversed(prompt.parts[:-1]):
            holders = self._parts.get(hash_part(part.part_id)) or {}
            for server, holding in holders.items():
                if now_s - holding.used_s < HOLDING_LIFETIME_S:
                    found.setdefault(server, (tokens, holding.used_s))
            tokens -= part.tokens
        ordered = sorted(found, key=lambda server: found[server], reverse=True)
        result = [(server, found[server][0]) for server in ordered]
        self._found = (prompt, result)
        return result

    def list_reports(self, count: int) -> tuple[CachedPartReport, ...]:
        """Return news for other routers, the longest parts first.

        :param count: maximum number of entries.
        """
        now_s, reports = self._read_clock(), []
        keys = sorted(self._news, key=lambda key: -self._news[key].tokens)
        for part, server in keys:
            news = self._news[part, server]
            age_s = now_s - news.used_s
            if age_s >= HOLDING_LIFETIME_S:
                del self._news[part, server]
            elif len(reports) < count:
                reports.append(CachedPartReport(server, part, news.tokens, age_s))
        return tuple(reports)

    def mark_reported(self, reports: Iterable[CachedPartReport]) -> None:
        """Record that news were sent to other routers.

        :param reports: the news.
        """
        for report in reports:
            news = self._news.get((report.part, report.server))
            if news is not None:
                news.unsent_reports -= 1
                if news.unsent_reports <= 0:
                    del self._news[report.part, report.server]


def make_cached_parts(
    read_clock: Callable[[], float] = time.monotonic,
) -> CachedParts:
    """Return a collection that knows no engine.

    :param read_clock: monotonic clock, in seconds.
    """
    return CachedParts(read_clock)
