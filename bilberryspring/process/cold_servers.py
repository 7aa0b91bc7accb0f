"""Backend servers that have just started, or are cold again.

A cold server takes the rate of requests that its pool states, from all routers
together, until it is warm. The store's list, responses and other routers tell for how
long; of two observations the later one holds. An entry may be read long after it was
written, so one read shortly after a response doesn't shorten the time.
"""

import math
import random
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from bilberryspring.capability.routing import BackendServer, PoolLimits
from bilberryspring.connection.cold_messages import MAX_COLD_S, ColdReport
from bilberryspring.connection.load_messages import NameHash, hash_name
from bilberryspring.identifiers import PoolName, StoreEpoch
from bilberryspring.policy.cold_rates import (
    COLD_START_FACTOR,
    RAMP_S,
    compute_rate_in_force,
    compute_steady_rate,
)
from bilberryspring.process.logs import log_event

__all__ = ["ColdServers", "ColdSource", "make_cold_servers"]

# Of a server that is warm, it is known for this long that it was cold, so that older
# observations don't count as new ones.
HISTORY_S = 30.0
# Entries are written this much earlier than they are read, at most.
MAX_ENTRY_DELAY_S = 1.5
# An entry that is older by more reports than this is of a later start.
MAX_REPORTS_LATE = 10
# Servers listed within this time after the first one were there before this router.
FIRST_LISTING_S = 2.0
# The time that is left differs by less than this between entries of one cold time.
SAME_TIME_S = 1.0
# A change is put into this many reports ahead of the others.
NEWS_REPORTS = 4
MAX_OBSERVATIONS = 4096
MAX_COMPLAINTS = 256


class ColdSource(Enum):
    """What told that a server is cold, or warm."""

    STORE = "store"
    RESPONSE = "response"
    START = "start"
    ROUTER = "router"


@dataclass(slots=True)
class ColdObservation:
    """Latest observation of one start of a server; times are monotonic.

    :param server: hash of the server's id.
    :param started_at_ms: its start, as Unix time in milliseconds.
    :param pool: its pool; ``None`` if another router told it.
    :param reported_rate_per_s: rate that another router reported; zero if none did.
    :param cold_until_s: when it is warm.
    :param observed_s: when it was observed, here or at another router.
    :param source: what told it.
    :param is_response: whether it was a response of the server, here or there.
    :param report_number: number of the report of the server that was read; zero if
        unknown.
    :param epoch: history of the store that this router read last of it; ``None`` if
        unknown.
    :param observation_id: random number that the router drew which observed it.
    :param reported_by: router that reported it; empty if this one observed it.
    :param unsent_reports: reports that it is still to be put into as news.
    :param is_warm_logged: whether the end of the cold time was logged.
    """

    server: NameHash
    started_at_ms: int
    pool: PoolName | None
    reported_rate_per_s: float
    cold_until_s: float
    observed_s: float
    source: ColdSource
    is_response: bool = False
    report_number: int = 0
    epoch: StoreEpoch | None = None
    observation_id: int = 0
    reported_by: str = ""
    unsent_reports: int = NEWS_REPORTS
    is_warm_logged: bool = False

    @property
    def key(self) -> tuple[NameHash, int]:
        """Hash and start of the server."""
        return self.server, self.started_at_ms

    def supersedes(self, held: "ColdObservation") -> bool:
        """Return whether this observation is later than another one.

        :param held: the other observation, of the same start of the server.
        """
        if self.observation_id == held.observation_id:
            # Its times would become later with each hop between routers.
            return False
        if (
            self.source is ColdSource.ROUTER
            and self.report_number
            and not (self.is_response)
        ):
            # Routers read the same report of the server at different times.
            if self.report_number <= held.report_number:
                return False
        if held.is_response and not self.is_response:
            is_shorter = self.cold_until_s < held.cold_until_s
            if is_shorter and self.observed_s < held.observed_s + MAX_ENTRY_DELAY_S:
                return False
        return self.observed_s >= held.observed_s


class ColdServers:
    """Observations of cold servers, each with its source and age.

    :param read_clock: monotonic clock, in seconds.
    :param find_name: returns the id of a server with a hash, for the log.
    :ivar news_callbacks: called when a server turns cold or warm.
    """

    def __init__(
        self,
        read_clock: Callable[[], float] = time.monotonic,
        find_name: Callable[[NameHash], str] = "{:016x}".format,
    ):
        self._read_clock = read_clock
        self._find_name = find_name
        self._pools: Mapping[PoolName, PoolLimits] = {}
        self._overage_factor, self._slack_requests = 1.0, 0.0
        self._observations: OrderedDict[tuple[NameHash, int], ColdObservation] = (
            OrderedDict()
        )
        self._first_listed_s: float | None = None
        self._complaints: OrderedDict[tuple[str, str], None] = OrderedDict()
        self.news_callbacks: list[Callable[[], None]] = []

    def __len__(self) -> int:
        return len(self._observations)

    def set_pools(self, pools: Mapping[PoolName, PoolLimits]) -> None:
        """Set the pools of the configuration in force.

        :param pools: pools by name, with the rates of their cold servers.
        """
        self._pools = pools
        for pool in pools.values():
            if pool.cold_problem:
                self._complain(f"pool {pool.name}", pool.cold_problem)

    def set_bound(self, overage_factor: float, slack_requests: float) -> None:
        """Set how many requests may reach a cold server in one second.

        :param overage_factor: multiple of its rate.
        :param slack_requests: number of requests beyond that.
        """
        self._overage_factor = overage_factor
        self._slack_requests = slack_requests

    def count_cold(self) -> int:
        """Return the number of servers that are cold."""
        now_s = self._read_clock()
        return sum(now_s < each.cold_until_s for each in self._observations.values())

    def is_cold(self, server: BackendServer) -> bool:
        """Return whether a server is cold.

        :param server: the server.
        """
        if not self._observations:
            return False
        observation = self._observations.get(_make_key(server))
        return observation is not None and self._read_clock() < observation.cold_until_s

    def get_start_factor(self, server: BackendServer) -> float:
        """Return the time to a response of a server over that when it is warm.

        :param server: the server.
        """
        return COLD_START_FACTOR if self.is_cold(server) else 1.0

    def find_rate_per_s(self, server: BackendServer) -> float | None:
        """Return the rate that a server takes now, ``None`` if it takes any.

        :param server: the server.
        """
        if not self._observations:
            return None
        return self.find_rate_by_key(*_make_key(server))

    def find_rate_by_key(self, server: NameHash, started_at_ms: int) -> float | None:
        """Return the rate of a server that another router names.

        :param server: hash of the server's id.
        :param started_at_ms: its start, as Unix time in milliseconds.
        """
        observation = self._observations.get((server, started_at_ms))
        if observation is None:
            return None
        remaining_s = observation.cold_until_s - self._read_clock()
        rate_per_s = self._find_cold_rate(observation)
        if remaining_s <= -RAMP_S or not rate_per_s:
            return None
        steady_per_s = compute_steady_rate(
            rate_per_s, self._overage_factor, self._slack_requests
        )
        return compute_rate_in_force(steady_per_s, remaining_s)

    def _find_cold_rate(self, observation: ColdObservation) -> float:
        pool = self._pools.get(observation.pool)
        own_per_s = 0.0 if pool is None else pool.cold_per_s
        return own_per_s or observation.reported_rate_per_s

    def record_entry(
        self,
        server: BackendServer,
        is_from_router: bool = False,
        is_new_start: bool = False,
        epoch: StoreEpoch | None = None,
    ) -> None:
        """Record what the store's entry of a server tells.

        :param server: the server as it is listed.
        :param is_from_router: whether another router sent the list.
        :param is_new_start: whether the server was not listed before, or its start is
            another one.
        :param epoch: history of the store in which it is listed; ``None`` if unknown.
        """
        now_s = self._read_clock()
        if self._first_listed_s is None:
            self._first_listed_s = now_s
        pool = self._pools.get(server.pool)
        remaining_s, source = self._read_remaining_s(server, pool), ColdSource.STORE
        if remaining_s is None:
            was_there = now_s < self._first_listed_s + FIRST_LISTING_S
            if not is_new_start or was_there or pool is None:
                return
            remaining_s, source = pool.cold_start_s, ColdSource.START
        held = self._observations.get(_make_key(server))
        if held is None and not remaining_s:
            return
        if held is not None and epoch != held.epoch:
            # A store that was restored may list an earlier report of the same start.
            if server.report_number < held.report_number:
                return
        elif is_new_start and held is not None and not is_from_router:
            held.report_number = 0
        if held is not None and held.report_number and server.report_number:
            reports_late = held.report_number - server.report_number
            if 0 <= reports_late < (math.inf if is_from_router else MAX_REPORTS_LATE):
                return
        self._put(
            ColdObservation(
                *_make_key(server),
                server.pool,
                0.0 if held is None else held.reported_rate_per_s,
                now_s + remaining_s,
                now_s,
                source,
                report_number=server.report_number,
                epoch=epoch,
                observation_id=random.getrandbits(32),
            )
        )

    def _read_remaining_s(
        self, server: BackendServer, pool: PoolLimits | None
    ) -> float | None:
        """Return for how long an entry says that its server stays cold."""
        remaining_s = server.cold_remaining_s
        if remaining_s is None:
            return None
        if remaining_s < 0:
            self._complain(server.server_id, "an unreadable cold time")
            return None
        if remaining_s > MAX_COLD_S:
            self._complain(server.server_id, f"a cold time above {MAX_COLD_S:.0f} s")
        if remaining_s and pool is not None and not pool.cold_per_s:
            self._complain(server.server_id, "cold, but its pool states no rate")
        return min(remaining_s, MAX_COLD_S)

    def record_answer(
        self, server: BackendServer, remaining_s: float | None, sent_s: float
    ) -> None:
        """Record what a response of a server tells.

        :param server: the server as it was listed when the request was sent.
        :param remaining_s: seconds for which it stays cold; ``None`` if it told none.
        :param sent_s: monotonic time at which the request was sent.
        """
        held = self._observations.get(_make_key(server))
        if remaining_s is None or (held is None and not remaining_s):
            return
        if remaining_s > MAX_COLD_S:
            self._complain(server.server_id, f"a cold time above {MAX_COLD_S:.0f} s")
        now_s = self._read_clock()
        is_shorter = held is not None and now_s + remaining_s < held.cold_until_s
        self._put(
            ColdObservation(
                *_make_key(server),
                server.pool,
                0.0 if held is None else held.reported_rate_per_s,
                now_s + min(remaining_s, MAX_COLD_S),
                sent_s if is_shorter else now_s,
                ColdSource.RESPONSE,
                is_response=True,
                report_number=0 if held is None else held.report_number,
                epoch=None if held is None else held.epoch,
                observation_id=random.getrandbits(32),
            )
        )

    def merge(self, reports: Iterable[ColdReport], sender: str) -> None:
        """Add what another router reports.

        :param reports: observations that it knows.
        :param sender: the reporting router, for the log.
        """
        now_s = self._read_clock()
        for report in reports:
            observed_s = now_s - report.age_s
            if now_s > observed_s + report.remaining_s + HISTORY_S:
                continue
            key = report.server, report.started_at_ms
            held = self._observations.get(key)
            if held is not None:
                held.reported_rate_per_s = report.rate_per_s
            elif not report.remaining_s:
                continue
            self._put(
                ColdObservation(
                    *key,
                    None if held is None else held.pool,
                    report.rate_per_s,
                    observed_s + report.remaining_s,
                    observed_s,
                    ColdSource.ROUTER,
                    report.is_response,
                    report.report_number,
                    None if held is None else held.epoch,
                    report.observation_id,
                    sender,
                )
            )

    def _put(self, observation: ColdObservation) -> None:
        """Store an observation if it is later than the held one."""
        now_s = self._read_clock()
        held = self._observations.get(observation.key)
        if held is not None and not observation.supersedes(held):
            return
        was_cold = held is not None and now_s < held.cold_until_s
        is_cold = now_s < observation.cold_until_s
        # Each entry states the time that is left anew; only a change of its end counts.
        is_change = was_cold != is_cold or (
            was_cold and abs(observation.cold_until_s - held.cold_until_s) > SAME_TIME_S
        )
        if held is not None and not is_change:
            observation.unsent_reports = held.unsent_reports
            observation.is_warm_logged = held.is_warm_logged
            if not was_cold:
                # The end of the cold time doesn't move once it has passed.
                observation.cold_until_s = min(
                    held.cold_until_s, observation.cold_until_s
                )
        self._observations[observation.key] = observation
        self._observations.move_to_end(observation.key)
        while len(self._observations) > MAX_OBSERVATIONS:
            self._observations.popitem(last=False)
        if is_cold and is_change:
            log_event(
                "server_cold",
                server=self._find_name(observation.server),
                remaining_s=observation.cold_until_s - now_s,
                rate_per_s=self._find_cold_rate(observation),
                source=observation.source,
                age_s=now_s - observation.observed_s,
                reported_by=observation.reported_by,
            )
        elif is_change:
            self._log_warm(observation, now_s)
        if is_change:
            for callback in self.news_callbacks:
                callback()

    def _log_warm(self, observation: ColdObservation, now_s: float) -> None:
        observation.is_warm_logged = True
        log_event(
            "server_warm",
            server=self._find_name(observation.server),
            source=observation.source,
            age_s=now_s - observation.observed_s,
            reported_by=observation.reported_by,
        )

    def remove_expired(self) -> None:
        """Log which servers have become warm, and forget those that long are."""
        now_s = self._read_clock()
        for key, observation in list(self._observations.items()):
            if now_s >= observation.cold_until_s and not observation.is_warm_logged:
                self._log_warm(observation, now_s)
            if now_s >= observation.cold_until_s + HISTORY_S:
                del self._observations[key]

    def list_reports(self, count: int) -> tuple[ColdReport, ...]:
        """Return observations to report to other routers, changes first.

        The others take turns, as reported ones are marked.

        :param count: maximum number of observations.
        """
        self.remove_expired()
        known = [
            each for each in self._observations.values() if self._find_cold_rate(each)
        ]
        known.sort(key=lambda each: -each.unsent_reports)
        return tuple(self._make_report(each) for each in known[:count])

    def mark_reported(self, reports: Iterable[ColdReport]) -> None:
        """Record that observations were reported; the others come first next time.

        :param reports: observations that were sent to other routers.
        """
        for report in reports:
            key = report.server, report.started_at_ms
            observation = self._observations[key]
            observation.unsent_reports = max(observation.unsent_reports - 1, 0)
            self._observations.move_to_end(key)

    def find_report(self, server: NameHash, started_at_ms: int) -> ColdReport | None:
        """Return the latest observation of a server, ``None`` if there is none.

        :param server: hash of the server's id.
        :param started_at_ms: its start, as Unix time in milliseconds.
        """
        observation = self._observations.get((server, started_at_ms))
        if observation is None or not self._find_cold_rate(observation):
            return None
        return self._make_report(observation)

    def _make_report(self, observation: ColdObservation) -> ColdReport:
        return ColdReport(
            *observation.key,
            self._find_cold_rate(observation),
            max(observation.cold_until_s - observation.observed_s, 0.0),
            max(self._read_clock() - observation.observed_s, 0.0),
            observation.report_number,
            observation.observation_id,
            observation.is_response,
        )

    @property
    def has_news(self) -> bool:
        """Whether a change has not been put into enough reports yet."""
        return any(
            each.unsent_reports and self._find_cold_rate(each)
            for each in self._observations.values()
        )

    def _complain(self, name: str, problem: str) -> None:
        """Log what is odd about the figures of a server or pool, once."""
        if (name, problem) in self._complaints:
            self._complaints.move_to_end((name, problem))
            return
        self._complaints[name, problem] = None
        while len(self._complaints) > MAX_COMPLAINTS:
            self._complaints.popitem(last=False)
        log_event("cold_figures_odd", level="WARNING", name=name, problem=problem)


def _make_key(server: BackendServer) -> tuple[NameHash, int]:
    return hash_name(server.server_id), server.started_at_ms


def make_cold_servers(
    read_clock: Callable[[], float] = time.monotonic,
    find_name: Callable[[NameHash], str] = "{:016x}".format,
) -> ColdServers:
    """Return a collection without servers.

    :param read_clock: monotonic clock, in seconds.
    :param find_name: returns the id of a server with a hash, for the log.
    """
    return ColdServers(read_clock, find_name)
