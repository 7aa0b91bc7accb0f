"""Metrics of a router that calls backend servers directly.

Request handling only appends an observation to a queue; a periodic task adds the queued
observations to counters and histograms. The metrics libraries are imported at the first
of these runs instead of at startup, so that they do not delay it.
"""

from collections import deque
from dataclasses import dataclass
from importlib import import_module
from types import ModuleType

from bilberryspring.process.server_table import ServerTable

__all__ = ["RequestObservation", "RouterMetrics", "make_router_metrics"]

# Upper bound of the queue, which is processed every half second.
MAX_OBSERVATIONS = 20_000


@dataclass(frozen=True, slots=True)
class RequestObservation:
    """Result of one request, answered or refused.

    :param rank_order: order number of the request's work rank.
    :param status: HTTP status code of the response.
    :param kind: error kind; empty for a complete answer.
    :param attempts: number of times the request was sent to a server.
    :param first_part_s: seconds from the arrival of the request to the first part of
        its answer; None if there was no answer.
    :param total_s: seconds from the arrival of the request to its end.
    :param is_complete: whether the caller got a complete answer from a server.
    """

    rank_order: int
    status: int
    kind: str
    attempts: int
    first_part_s: float | None
    total_s: float
    is_complete: bool


class RouterMetrics:
    """Request metrics of a router, and gauges that are read at each scrape.

    :param servers: table of the servers whose request counts are exported.
    :ivar gauges: description, read function and label names of further gauges, by
        metric name; they must be added before the first :meth:`process_observations`.
    """

    def __init__(self, servers: ServerTable):
        self._servers = servers
        self._observations: deque[RequestObservation] = deque(maxlen=MAX_OBSERVATIONS)
        self._metrics = None
        self._dropped_observations = 0
        self.gauges: dict[str, tuple] = {}

    def observe(self, observation: RequestObservation) -> None:
        """Queue one observation; never block.

        If the queue is full, the oldest observation is dropped and counted.

        :param observation: result of a request.
        """
        if len(self._observations) == MAX_OBSERVATIONS:
            self._dropped_observations += 1
        self._observations.append(observation)

    def process_observations(self) -> None:
        """Move the queued observations to the counters and histograms."""
        if self._metrics is None:
            self._create_metrics(import_module("bilberryspring.process.metrics"))
        while self._observations:
            observation = self._observations.popleft()
            rank = str(observation.rank_order)
            outcome = "complete" if observation.is_complete else "failed"
            self._request_counter.add(
                rank, str(observation.status), observation.kind, outcome
            )
            self._attempt_counter.add(rank, amount=observation.attempts)
            if observation.first_part_s is not None:
                self._first_part_latency.observe(observation.first_part_s, rank)
            self._request_latency.observe(observation.total_s, rank, outcome)

    def _create_metrics(self, metrics_module: ModuleType) -> None:
        from bilberryspring.process.accounting import make_ledger

        metrics = self._metrics = metrics_module.make_metrics(make_ledger())
        self._request_counter = metrics.add_counter(
            "requests",
            "Requests by rank and answer",
            "rank",
            "status",
            "kind",
            "outcome",
        )
        self._attempt_counter = metrics.add_counter(
            "tries", "Requests sent to servers", "rank"
        )
        self._first_part_latency = metrics.add_latency_histogram(
            "first_part_seconds", "Time to the first part of an answer", "rank"
        )
        self._request_latency = metrics.add_latency_histogram(
            "request_seconds", "Time to the end of an answer", "rank", "outcome"
        )
        metrics.add_gauge(
            "server_requests",
            "Requests of all routers at a server, as far as is known",
            lambda: {
                (server_id,): record.total_requests
                for server_id, record in self._servers.records.items()
            },
            "server",
        )
        metrics.add_gauge(
            "observations_left_out",
            "Requests not counted",
            lambda: self._dropped_observations,
        )
        for name, (description, read, *label_names) in self.gauges.items():
            metrics.add_gauge(name, description, read, *label_names)

    def render(self) -> str:
        """Return all metrics in Prometheus text format."""
        self.process_observations()
        return self._metrics.render()


def make_router_metrics(servers: ServerTable) -> RouterMetrics:
    """Return router metrics without observations.

    :param servers: table of the servers whose request counts are exported.

    >>> from bilberryspring.process.server_table import make_server_table
    >>> metrics = make_router_metrics(make_server_table())
    >>> metrics.observe(RequestObservation(2, 200, "", 1, 0.1, 0.2, True))
    >>> 'status="200"' in metrics.render()
    True
    """
    return RouterMetrics(servers)
