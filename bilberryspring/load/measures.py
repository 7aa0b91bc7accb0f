"""Measures of a run: latency percentiles, goodput, cache reuse, skew and fairness."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from bilberryspring.load.records import CallOutcome, CallRecord

__all__ = [
    "Percentiles",
    "RankMeasures",
    "Reuse",
    "Skew",
    "compute_percentiles",
    "compute_jain_index",
    "measure_fairness",
    "measure_rank",
    "measure_reuse",
    "measure_skew",
]

MAX_DURATION_US = 600_000_000
SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True, slots=True)
class Percentiles:
    """Percentiles of a set of durations; all are zero if the set is empty.

    :param count: number of durations.
    :param p50_s: median in seconds.
    :param p95_s: 95th percentile in seconds.
    :param p99_s: 99th percentile in seconds.
    """

    count: int
    p50_s: float
    p95_s: float
    p99_s: float


@dataclass(frozen=True, slots=True)
class RankMeasures:
    """Service of a group of requests, such as those of one work rank.

    :param offered: number of requests.
    :param done: requests with a complete response.
    :param refused: requests whose last attempt was rejected without being run.
    :param failed: requests with another error or a truncated response.
    :param refused_first: requests whose first attempt was rejected.
    :param returned: of these, requests completed by a later attempt.
    :param returned_once: of these, requests completed by the second attempt.
    :param first_token: latency from the intended send time to the first token.
    :param between_tokens: time between consecutive tokens.
    :param completion: latency from the intended send time to the last byte.
    :param refusal: latency from sending to rejection, of requests with one attempt.
    :param goodput_tokens_per_s: tokens of complete responses per second.
    :param goodput_requests_per_s: complete responses per second.
    """

    offered: int
    done: int
    refused: int
    failed: int
    refused_first: int
    returned: int
    returned_once: int
    first_token: Percentiles
    between_tokens: Percentiles
    completion: Percentiles
    refusal: Percentiles
    goodput_tokens_per_s: float
    goodput_requests_per_s: float


@dataclass(frozen=True, slots=True)
class Reuse:
    """Prompt tokens that were reused from prefix caches.

    :param reusable_tokens: prompt tokens that an earlier turn of the chat had computed.
    :param cached_tokens: of these, tokens that the engines served from their caches.
    """

    reusable_tokens: int
    cached_tokens: int

    @property
    def ratio(self) -> float:
        """Cached tokens over reusable tokens; one if no tokens were reusable."""
        if not self.reusable_tokens:
            return 1.0
        return self.cached_tokens / self.reusable_tokens


@dataclass(frozen=True, slots=True)
class Skew:
    """Skew of the load over instances; all ratios are zero without samples.

    :param samples: number of samples whose mean load reached the floor.
    :param max_over_mean: ratio of highest to mean load, averaged over the samples.
    :param max_over_mean_p99: 99th percentile of that ratio over the samples.
    :param p99_over_mean: 99th percentile over all loads of the ratio of a load to the
        mean of its sample.
    """

    samples: int
    max_over_mean: float
    max_over_mean_p99: float
    p99_over_mean: float


def compute_percentiles(durations_s: Iterable[float]) -> Percentiles:
    """Compute percentiles with an HDR histogram of microseconds.

    :param durations_s: durations in seconds, clamped to the range from one microsecond
        to ten minutes.

    >>> round(compute_percentiles([0.1] * 99 + [2.0]).p50_s, 3)
    0.1
    """
    histogram = HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)
    for duration_s in durations_s:
        histogram.record_value(min(max(round(duration_s * 1e6), 1), MAX_DURATION_US))
    if not histogram.get_total_count():
        return Percentiles(0, 0.0, 0.0, 0.0)
    values = (histogram.get_value_at_percentile(p) / 1e6 for p in (50, 95, 99))
    return Percentiles(histogram.get_total_count(), *(round(v, 6) for v in values))


def measure_rank(records: Sequence[CallRecord], duration_s: float) -> RankMeasures:
    """Measure the service of a group of requests.

    :param records: records of the requests.
    :param duration_s: time in seconds over which rates are computed.
    """
    done = [record for record in records if record.outcome is CallOutcome.DONE]
    refused_outcome = CallOutcome.REFUSED
    refused = [record for record in records if record.outcome is refused_outcome]
    gaps_s = (gap_s for record in done for gap_s in record.gaps_s)
    return RankMeasures(
        offered=len(records),
        done=len(done),
        refused=len(refused),
        failed=len(records) - len(done) - len(refused),
        refused_first=sum(r.tries > 1 or r.outcome is refused_outcome for r in records),
        returned=sum(record.tries > 1 for record in done),
        returned_once=sum(record.tries == 2 for record in done),
        first_token=compute_percentiles(
            r.first_token_s - r.intended_s for r in done if r.first_token_s
        ),
        between_tokens=compute_percentiles(gaps_s),
        completion=compute_percentiles(r.finished_s - r.intended_s for r in done),
        refusal=compute_percentiles(
            r.finished_s - r.sent_s for r in refused if r.tries == 1
        ),
        goodput_tokens_per_s=round(sum(r.answer_tokens for r in done) / duration_s, 2),
        goodput_requests_per_s=round(len(done) / duration_s, 2),
    )


def measure_reuse(records: Iterable[CallRecord]) -> Reuse:
    """Compare cached prompt tokens with reusable prompt tokens.

    Only complete responses count, since only they report their cached tokens.

    :param records: records of chat requests.
    """
    done = [r for r in records if r.outcome is CallOutcome.DONE and r.prompt_tokens]
    cached = (min(r.cached_tokens, r.reusable_tokens) for r in done)
    return Reuse(sum(r.reusable_tokens for r in done), sum(cached))


def measure_skew(samples: Iterable[Sequence[float]], floor: float) -> Skew:
    """Measure how unevenly the load is distributed over instances.

    :param samples: loads of all instances, one sequence for each sampling time.
    :param floor: minimum mean load of a sample; samples below it are left out.

    >>> measure_skew([[2.0, 1.0, 0.0], [1.0, 1.0, 1.0]], 0.5).max_over_mean
    1.5
    """
    max_ratios, load_ratios = [], []
    for loads in samples:
        mean = sum(loads) / len(loads) if loads else 0.0
        if mean >= floor and mean > 0:
            max_ratios.append(max(loads) / mean)
            load_ratios.extend(load / mean for load in loads)
    if not max_ratios:
        return Skew(0, 0.0, 0.0, 0.0)
    return Skew(
        len(max_ratios),
        round(sum(max_ratios) / len(max_ratios), 3),
        round(_compute_quantile(max_ratios, 0.99), 3),
        round(_compute_quantile(load_ratios, 0.99), 3),
    )


def _compute_quantile(values: Iterable[float], quantile: float) -> float:
    ordered = sorted(values)
    return ordered[min(int(quantile * len(ordered)), len(ordered) - 1)]


def compute_jain_index(values: Sequence[float]) -> float:
    """Return Jain's fairness index, which is one if all values are equal.

    :param values: amount of service for each party; the index is one if all are zero.

    >>> compute_jain_index([1.0, 1.0]), compute_jain_index([1.0, 0.0])
    (1.0, 0.5)

    .. seealso:: Jain, Chiu, Hawe (1984), A quantitative measure of fairness.
    """
    squares = sum(value * value for value in values)
    if not squares:
        return 1.0
    return sum(values) ** 2 / (len(values) * squares)


def measure_fairness(records: Iterable[CallRecord]) -> float:
    """Return Jain's fairness index over the served shares of the workspaces.

    The served share of a workspace is the share of its requests that completed.

    :param records: records of the requests of all workspaces.
    """
    offered: dict[str, int] = {}
    done: dict[str, int] = {}
    for record in records:
        offered[record.workspace] = offered.get(record.workspace, 0) + 1
        if record.outcome is CallOutcome.DONE:
            done[record.workspace] = done.get(record.workspace, 0) + 1
    return round(
        compute_jain_index([done.get(w, 0) / n for w, n in offered.items()]), 4
    )
