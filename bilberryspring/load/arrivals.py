"""Arrival times of an open-loop load.

Arrival times are drawn before the run starts and do not depend on responses, so a slow
system is offered the same load as a fast one.
"""

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

__all__ = ["Surge", "draw_arrivals"]


@dataclass(frozen=True, slots=True)
class Surge:
    """An interval with a multiplied arrival rate.

    :param start_s: start of the interval in seconds from the start of the run.
    :param end_s: end of the interval, exclusive.
    :param rate_factor: multiple of the base rate.
    """

    start_s: float
    end_s: float
    rate_factor: float


def draw_arrivals(
    generator: random.Random,
    rate_per_s: float,
    duration_s: float,
    surges: Sequence[Surge] = (),
) -> Iterator[float]:
    """Yield the arrival times of a Poisson process, by thinning.

    :param generator: seeded random number generator.
    :param rate_per_s: base rate outside of surges; zero yields no arrivals.
    :param duration_s: end of the run in seconds, exclusive.
    :param surges: intervals with another rate, which must not overlap.
    :returns: times in seconds from the start of the run, in order.

    >>> times = list(draw_arrivals(random.Random(1), 100, 10))
    >>> 850 < len(times) < 1150 and times == sorted(times)
    True
    """
    peak_rate_per_s = rate_per_s * max([1.0, *(surge.rate_factor for surge in surges)])
    if peak_rate_per_s <= 0:
        return
    now_s = generator.expovariate(peak_rate_per_s)
    while now_s < duration_s:
        if generator.random() * peak_rate_per_s < rate_per_s * _find_rate_factor(
            surges, now_s
        ):
            yield now_s
        now_s += generator.expovariate(peak_rate_per_s)


def _find_rate_factor(surges: Sequence[Surge], now_s: float) -> float:
    for surge in surges:
        if surge.start_s <= now_s < surge.end_s:
            return surge.rate_factor
    return 1.0
