"""Metrics of a router that calls backend servers itself.

The path of a request only appends an observation; they are folded into histograms from
time to time. The libraries behind them are loaded some time after the start, so that
they do not delay it.
"""

from collections import deque
from dataclasses import dataclass
from importlib import import_module
from types import ModuleType

from bilberryspring.process.server_table import ServerTable

__all__ = ["Observation", "RouterMetrics", "make_router_metrics"]

# Observations kept between two folds; a fold comes each half second.
MAX_OBSERVATIONS = 20_000


@dataclass(frozen=True, slots=True)
class Observation:
    """One answered or refused request.

    :param first_s: time to the first part of the answer, ``None`` if there was none.
    :param whole_s: time to its end.
    :param is_complete: the caller got a whole answer of a server.
    """

    rank_order: int
    status: int
    kind: str
    tries: int
    first_s: float | None
    whole_s: float
    is_complete: bool


class RouterMetrics:
    """Counts requests, and reads what the router knows at each scrape.

    :param servers: servers whose loads are told.
    """

    def __init__(self, servers: ServerTable):
        self._servers = servers
        self._observations: deque[Observation] = deque(maxlen=MAX_OBSERVATIONS)
        self._metrics = None
        self._left_out = 0
        self.gauges: dict[str, tuple[str, object]] = {}

    def observe(self, observation: Observation) -> None:
        """Keep one observation; never waits.

        :param observation: what became of a request.
        """
        if len(self._observations) == MAX_OBSERVATIONS:
            self._left_out += 1
        self._observations.append(observation)

    def fold(self) -> None:
        """Add the observations to the counters and histograms."""
        if self._metrics is None:
            self._build(import_module("bilberryspring.process.metrics"))
        while self._observations:
            each = self._observations.popleft()
            rank = str(each.rank_order)
            outcome = "complete" if each.is_complete else "failed"
            self._requests.add(rank, str(each.status), each.kind, outcome)
            self._tries.add(rank, amount=each.tries)
            if each.first_s is not None:
                self._first.observe(each.first_s, rank)
            self._whole.observe(each.whole_s, rank, outcome)

    def _build(self, module: ModuleType) -> None:
        from bilberryspring.process.accounting import make_ledger

        metrics = self._metrics = module.make_metrics(make_ledger())
        self._requests = metrics.add_counter(
            "requests",
            "Requests by rank and answer",
            "rank",
            "status",
            "kind",
            "outcome",
        )
        self._tries = metrics.add_counter("tries", "Requests sent to servers", "rank")
        self._first = metrics.add_latency(
            "first_part_seconds", "Time to the first part of an answer", "rank"
        )
        self._whole = metrics.add_latency(
            "request_seconds", "Time to the end of an answer", "rank", "outcome"
        )
        metrics.add_gauge(
            "server_requests",
            "Requests of all routers at a server, as far as is known",
            lambda: {
                (server_id,): record.all_requests
                for server_id, record in self._servers.records.items()
            },
            "server",
        )
        metrics.add_gauge(
            "observations_left_out", "Requests not counted", lambda: self._left_out
        )
        for name, (description, read) in self.gauges.items():
            metrics.add_gauge(name, description, read)

    def render(self) -> str:
        """Return the metrics in Prometheus text format."""
        self.fold()
        return self._metrics.render()


def make_router_metrics(servers: ServerTable) -> RouterMetrics:
    """Return metrics without observations.

    :param servers: servers whose loads are told.

    >>> from bilberryspring.process.server_table import make_server_table
    >>> metrics = make_router_metrics(make_server_table())
    >>> metrics.observe(Observation(2, 200, "", 1, 0.1, 0.2, True))
    >>> 'status="200"' in metrics.render()
    True
    """
    return RouterMetrics(servers)
