"""Bounded table of the freshest load samples of one pool, and their mean."""

import heapq
import math
import statistics
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from bilberryspring.connection.load_messages import LoadSample, NameHash
from bilberryspring.request.load_bound import MeanEstimate

__all__ = ["KnownLoad", "PoolSize", "LoadTable", "estimate_mean"]

MAX_SAMPLES = 64
MAX_SAMPLE_AGE_S = 5.0
# Samples up to this age count in full: the estimate bounds the mean of this long ago.
FRESH_AGE_S = 1.0
# In a small pool samples are younger. A sample older than this multiple of the median
# age comes from an agent that no longer sends any.
MEDIAN_AGE_FACTOR = 2.0
MIN_FRESH_AGE_S = 0.4
# From this many fresh samples on, they represent the rest of the pool.
MIN_REPRESENTATIVE_SAMPLES = 16


@dataclass(frozen=True, slots=True)
class KnownLoad:
    """Load sample with the local time at which it was taken.

    :param load: unfinished work, in the pool's load unit.
    :param drain_rate: how fast the load may fall, in load units per second.
    :param taken_s: monotonic time of the sample.
    :param leaving: whether the agent accepts no work.
    """

    load: float
    drain_rate: float
    taken_s: float
    leaving: bool

    def compute_lower_bound(self, now_s: float, fresh_age_s: float) -> float:
        """Return a lower bound of the load at a recent time.

        :param now_s: monotonic time.
        :param fresh_age_s: how long before now; a sample that is not older counts in
            full.
        :returns: lower bound; zero for a sample that is too old.
        """
        age_s = now_s - self.taken_s
        if age_s > MAX_SAMPLE_AGE_S:
            return 0.0
        return max(0.0, self.load - self.drain_rate * max(age_s - fresh_age_s, 0.0))


@dataclass(frozen=True, slots=True)
class PoolSize:
    """Weights of the instances of a pool that count for its mean load.

    :param weights: weight of each other instance that counts.
    :param own_weight: weight of this instance.
    :param down: instances whose samples are ignored.
    """

    weights: Mapping[NameHash, float]
    own_weight: float
    down: Collection[NameHash] = ()


class LoadTable:
    """Freshest samples of the other agents of one pool."""

    def __init__(self):
        self._samples: dict[NameHash, KnownLoad] = {}

    def __len__(self) -> int:
        return len(self._samples)

    def merge(self, sample: LoadSample, now_s: float) -> bool:
        """Store a sample if it is fresher than the stored one.

        :param sample: received sample.
        :param now_s: monotonic time that the sample's age refers to.
        :returns: whether it was stored.
        """
        taken_s = now_s - sample.age_ms / 1000
        previous = self._samples.get(sample.instance)
        if previous is not None and previous.taken_s >= taken_s:
            return False
        if not (math.isfinite(sample.load) and math.isfinite(sample.drain_rate)):
            return False
        self._samples[sample.instance] = KnownLoad(
            max(sample.load, 0.0),
            max(sample.drain_rate, 0.0),
            taken_s,
            sample.is_leaving,
        )
        if len(self._samples) > MAX_SAMPLES:
            stalest = min(self._samples, key=lambda name: self._samples[name].taken_s)
            del self._samples[stalest]
        return True

    def find(self, instance: NameHash) -> KnownLoad | None:
        """Return the sample of an instance, ``None`` if there is none.

        :param instance: hash of the instance's id.
        """
        return self._samples.get(instance)

    def forget(self, instance: NameHash) -> None:
        """Remove the sample of an instance, if there is one.

        :param instance: hash of the instance's id.
        """
        self._samples.pop(instance, None)

    def select(self, count: int, now_s: float) -> list[LoadSample]:
        """Return the freshest samples, to forward them to a peer.

        :param count: maximum number of samples.
        :param now_s: monotonic time.
        """
        chosen = heapq.nlargest(
            count, self.list_fresh(now_s), key=lambda name: self._samples[name].taken_s
        )
        return [
            LoadSample(
                name,
                self._samples[name].load,
                self._samples[name].drain_rate,
                int((now_s - self._samples[name].taken_s) * 1000),
                self._samples[name].leaving,
            )
            for name in chosen
        ]

    def list_fresh(self, now_s: float) -> list[NameHash]:
        """Return the instances with a sample of at most ``MAX_SAMPLE_AGE_S``.

        :param now_s: monotonic time.
        """
        since_s = now_s - MAX_SAMPLE_AGE_S
        return [
            name for name, sample in self._samples.items() if sample.taken_s > since_s
        ]


def estimate_mean(
    table: LoadTable, size: PoolSize, own_load: float, now_s: float
) -> MeanEstimate:
    """Estimate the mean load of a pool without exceeding it.

    Each sample counts with a lower bound of its load at a recent time, at most
    ``FRESH_AGE_S`` ago, so the estimate does not exceed the mean of that time. An
    instance without a sample counts as zero. If enough other instances have a fresh
    sample, these represent it instead, and one standard error is subtracted.

    :param table: samples of the other agents.
    :param size: weights of the pool's instances.
    :param own_load: exact load of this agent.
    :param now_s: monotonic time.
    """
    counted = _choose_counted(table, size, now_s)
    weights = {name: size.weights.get(name, 1.0) for name in counted}
    samples = {name: table.find(name) for name in counted}
    ages_s = [
        MAX_SAMPLE_AGE_S if sample is None else max(now_s - sample.taken_s, 0.0)
        for sample in samples.values()
    ]
    fresh_age_s = _choose_fresh_age(ages_s)
    loads = [
        0.0
        if sample is None
        else sample.compute_lower_bound(now_s, fresh_age_s) / weights[name]
        for name, sample in samples.items()
    ]
    total_weight = max(sum(size.weights.values()), sum(weights.values()))
    others_mean = _weighted_mean(loads, list(weights.values()))
    others_mean -= _standard_error(loads, max(len(size.weights), len(loads)))
    own_weight = size.own_weight
    weight_sum = total_weight + own_weight
    value = (max(others_mean, 0.0) * total_weight + own_load) / weight_sum
    age_s = sum(ages_s) / len(ages_s) if ages_s else 0.0
    return MeanEstimate(value, age_s, weight_sum, own_weight)


def _choose_fresh_age(ages_s: list[float]) -> float:
    """Return the age up to which samples count in full, in seconds.

    A mean of loads from different times may never have occurred. So this age is as low
    as the pool's exchange of samples allows.

    :param ages_s: ages of the samples.

    >>> _choose_fresh_age([0.1, 0.25, 0.9])
    0.5
    """
    median_s = statistics.median(ages_s) if ages_s else 0.0
    return min(max(MEDIAN_AGE_FACTOR * median_s, MIN_FRESH_AGE_S), FRESH_AGE_S)


def _choose_counted(
    table: LoadTable, size: PoolSize, now_s: float
) -> Collection[NameHash]:
    fresh = {
        name
        for name in table.list_fresh(now_s)
        if name not in size.down and not table.find(name).leaving
    }
    if len(fresh) >= MIN_REPRESENTATIVE_SAMPLES:
        return fresh
    return fresh | size.weights.keys()


def _weighted_mean(values: list[float], weights: list[float]) -> float:
    total = sum(weights)
    if total <= 0:
        return 0.0
    return sum(v * w for v, w in zip(values, weights, strict=True)) / total


def _standard_error(values: list[float], population: int) -> float:
    count = len(values)
    if count < 2 or count >= population:
        return 0.0
    mean = sum(values) / count
    variance = sum((value - mean) ** 2 for value in values) / (count - 1)
    return math.sqrt(variance / count * (1 - count / population))
