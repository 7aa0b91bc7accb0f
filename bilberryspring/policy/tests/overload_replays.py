"""Replays of overload traces, shared by the tests of several policies."""

import functools

from bilberryspring.load.replay import replay_trace
from bilberryspring.load.replay_results import ReplayResult
from bilberryspring.load.replay_trace import ArrivalTrace, draw_trace

SEEDS = (1, 2, 3)


@functools.cache
def draw_small_trace(name, seed) -> ArrivalTrace:
    return draw_trace(name, seed, servers=3, slots=4, duration_s=80.0)


@functools.cache
def replay(name, seed, **policies) -> ReplayResult:
    return replay_trace(draw_small_trace(name, seed), **policies)


def mean_over_seeds(name, read, **policies):
    """Return the mean of a measurement over all seeds.

    :param name: name of the overload trace.
    :param read: function that returns the measurement of a replay result.
    :param policies: policies to replace, as in ``replay_trace``.
    """
    values = [read(replay(name, seed, **policies)) for seed in SEEDS]
    return sum(values) / len(values)
