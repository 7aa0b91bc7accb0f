"""Prometheus metrics of a process: counters, gauges and latency histograms.

Latencies are recorded in HDR histograms and exported as Prometheus histograms with
fixed buckets, which can be summed over the fleet.

.. seealso:: the Prometheus text exposition format.
"""

import bisect
from collections.abc import Callable, Iterator, Mapping

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from bilberryspring.process.accounting import Ledger
from bilberryspring.process.budget import check_budget

__all__ = ["Counter", "LatencyHistogram", "Metrics", "make_metrics", "render_metrics"]

PREFIX = "bilberryspring_"
MIN_LATENCY_US = 10
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
BUCKETS_S = (
    *(0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5),
    *(1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0),
)


class Counter:
    """Monotonic counter with labels.

    :param name: metric name without the prefix, ending in the unit if it has one.
    :param description: help text of the metric.
    :param label_names: names of the labels, in the order of their values.
    """

    def __init__(
        self, name: str, description: str, label_names: tuple[str, ...]
    ) -> None:
        self._name = name
        self._description = description
        self._label_names = label_names
        self.totals: dict[tuple[str, ...], float] = {}

    def add(self, *label_values: str, amount: float = 1) -> None:
        """Increment the total for a combination of label values.

        :param label_values: one value per label.
        :param amount: increment, not negative.
        """
        self.totals[label_values] = self.totals.get(label_values, 0) + amount

    def collect(self) -> Iterator[Metric]:
        """Yield the totals as a Prometheus metric."""
        family = CounterMetricFamily(
            PREFIX + self._name, self._description, labels=self._label_names
        )
        for label_values, total in self.totals.items():
            family.add_metric(label_values, total)
        yield family


class LatencyHistogram:
    """Histogram of durations with labels.

    :param name: metric name without the prefix, ending in ``_seconds``.
    :param description: help text of the metric.
    :param label_names: names of the labels, in the order of their values.
    """

    def __init__(
        self, name: str, description: str, label_names: tuple[str, ...]
    ) -> None:
        self._name = name
        self._description = description
        self._label_names = label_names
        self._sums_s: dict[tuple[str, ...], float] = {}
        self.histograms: dict[tuple[str, ...], HdrHistogram] = {}

    def observe(self, duration_s: float, *label_values: str) -> None:
        """Record one duration.

        :param duration_s: duration in seconds; the buckets and percentiles treat more
            than an hour as an hour, the sum does not.
        :param label_values: one value per label.
        """
        histogram = self.histograms.get(label_values)
        if histogram is None:
            histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self.histograms[label_values] = histogram
            self._sums_s[label_values] = 0.0
        self._sums_s[label_values] += duration_s
        histogram.record_value(min(int(duration_s * 1e6), MAX_LATENCY_US))

    def percentile_s(self, percentile: float, *label_values: str) -> float:
        """Return a percentile of the recorded durations in seconds.

        :param percentile: percentile from 0 to 100.
        :param label_values: one value per label.
        :returns: the percentile, or zero if nothing was recorded.

        >>> latency = LatencyHistogram("x_seconds", "x", ())
        >>> latency.observe(0.5)
        >>> round(latency.percentile_s(95), 2)
        0.5
        """
        histogram = self.histograms.get(label_values)
        if histogram is None:
            return 0.0
        return histogram.get_value_at_percentile(percentile) / 1e6

    def collect(self) -> Iterator[Metric]:
        """Yield the histograms as a Prometheus metric."""
        family = HistogramMetricFamily(
            PREFIX + self._name, self._description, labels=self._label_names
        )
        for label_values, histogram in self.histograms.items():
            buckets = _count_buckets(histogram)
            family.add_metric(label_values, buckets, self._sums_s[label_values])
        yield family


def _count_buckets(histogram: HdrHistogram) -> list[tuple[str, float]]:
    counts = [0] * (len(BUCKETS_S) + 1)
    for item in histogram.get_recorded_iterator():
        index = bisect.bisect_left(BUCKETS_S, item.value_iterated_to / 1e6)
        counts[index] += item.count_added_in_this_iter_step
    cumulative, buckets = 0, []
    for bound, count in zip((*map(str, BUCKETS_S), "+Inf"), counts, strict=True):
        cumulative += count
        buckets.append((bound, float(cumulative)))
    return buckets


class _CallbackGauge:
    def __init__(
        self,
        name: str,
        description: str,
        label_names: tuple[str, ...],
        read: Callable[[], float | Mapping[tuple[str, ...], float]],
    ) -> None:
        self._name = name
        self._description = description
        self._label_names = label_names
        self._read = read

    def collect(self) -> Iterator[Metric]:
        family = GaugeMetricFamily(
            PREFIX + self._name, self._description, labels=self._label_names
        )
        values = self._read()
        if not isinstance(values, Mapping):
            values = {(): values}
        for label_values, value in values.items():
            family.add_metric(label_values, value)
        yield family


class _ControlUsageCollector:
    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger

    def collect(self) -> Iterator[Metric]:
        calls = Counter("control_calls", "Control calls", ("mechanism",))
        transferred = Counter(
            "control_bytes", "Control payload bytes", ("mechanism", "direction")
        )
        for mechanism, totals in self._ledger.by_mechanism.items():
            calls.add(mechanism.value, amount=totals.calls)
            transferred.add(mechanism.value, "sent", amount=totals.sent_bytes)
            transferred.add(mechanism.value, "received", amount=totals.received_bytes)
        yield from calls.collect()
        yield from transferred.collect()
        used = GaugeMetricFamily(
            PREFIX + "budget_used", "Spending of each budget", labels=("budget",)
        )
        limits = GaugeMetricFamily(
            PREFIX + "budget_limit", "Limit of each budget", labels=("budget",)
        )
        for usage in check_budget(self._ledger):
            used.add_metric((usage.budget.value,), usage.used)
            limits.add_metric((usage.budget.value,), usage.limit)
        yield used
        yield limits


class Metrics:
    """Registry of all metrics of a process.

    It exports the control usage of the process and its budget as well.

    :param ledger: control usage of the process.
    """

    def __init__(self, ledger: Ledger) -> None:
        self._names: set[str] = set()
        self._registry = CollectorRegistry()
        self._registry.register(_ControlUsageCollector(ledger))

    def add_counter(self, name: str, description: str, *label_names: str) -> Counter:
        """Register and return a new counter.

        :param name: metric name without the prefix, ending in the unit if it has one.
        :param description: help text of the metric.
        :param label_names: names of the labels.
        :raises ValueError: if the name is already registered.
        """
        counter = Counter(name, description, label_names)
        self._register(name, counter)
        return counter

    def add_latency_histogram(
        self, name: str, description: str, *label_names: str
    ) -> LatencyHistogram:
        """Register and return a new latency histogram.

        :param name: metric name without the prefix, ending in ``_seconds``.
        :param description: help text of the metric.
        :param label_names: names of the labels; each should have few distinct values,
            since every combination has its own histogram.
        :raises ValueError: if the name is already registered.
        """
        histogram = LatencyHistogram(name, description, label_names)
        self._register(name, histogram)
        return histogram

    def add_gauge(
        self,
        name: str,
        description: str,
        read: Callable[[], float | Mapping[tuple[str, ...], float]],
        *label_names: str,
    ) -> None:
        """Register a gauge whose value is read at each scrape.

        :param name: metric name without the prefix, ending in the unit if it has one.
        :param description: help text of the metric.
        :param read: returns the value of a gauge without labels, or a mapping from
            label values to values.
        :param label_names: names of the labels.
        :raises ValueError: if the name is already registered.
        """
        self._register(name, _CallbackGauge(name, description, label_names, read))

    def _register(self, name: str, collector: Collector) -> None:
        if name in self._names:
            raise ValueError(f"metric {name} is already registered")
        self._names.add(name)
        self._registry.register(collector)

    def render(self) -> str:
        """Return all metrics in Prometheus text format."""
        return generate_latest(self._registry).decode()


def make_metrics(ledger: Ledger) -> Metrics:
    """Return a metrics registry that exports the control usage of the process.

    :param ledger: control usage of the process.

    >>> from bilberryspring.process.accounting import make_ledger
    >>> metrics = make_metrics(make_ledger())
    >>> requests = metrics.add_counter("requests", "Requests by outcome", "outcome")
    >>> requests.add("done")
    >>> 'bilberryspring_requests_total{outcome="done"} 1.0' in metrics.render()
    True
    """
    return Metrics(ledger)


def render_metrics(metrics: Metrics) -> str:
    """Return all metrics in Prometheus text format.

    :param metrics: metrics registry of the process.
    """
    return metrics.render()
