"""Checks of the load bound against the journals of engine stand-ins."""

import statistics
from dataclasses import dataclass, field

from bilberryspring.process.load_table import FRESH_AGE_S
from bilberryspring.standin.journal import InflightHistory, InflightSample

__all__ = ["EngineHistory", "Assignment", "read_engine_history", "list_assignments"]

# An agent decides by a mean load up to FRESH_AGE_S old, and its request takes some time
# to reach the engine.
DECISION_WINDOW_S = FRESH_AGE_S + 0.5
WINDOW_STEPS = 15
# Requests that other agents have assigned count although they reach their engines a
# little later.
IN_FLIGHT_DELAY_S = 0.05
# The fleet learns within this time that an instance joined or left.
MEMBERSHIP_DELAY_S = 3.0


@dataclass(slots=True)
class EngineHistory:
    """Journal of one agent's engine stand-in, and the time it was in the pool.

    All times are on the monotonic clock, in seconds.

    :param name: instance id of the agent.
    :param runs: journal entries of the runs.
    :param history: load of the engine over time.
    :param joined_s: time at which the agent began to serve; zero for before the test.
    :param left_s: time at which the test began to stop it or killed it; infinity for
        never.
    :param absences: start and end of each interval in which it was down.
    """

    name: str
    runs: list[dict]
    history: InflightHistory
    joined_s: float = 0.0
    left_s: float = float("inf")
    absences: list[tuple[float, float]] = field(default_factory=list)

    def is_in_pool(self, at_s: float, margin_s: float) -> bool:
        """Return whether the engine is in the pool at a time.

        :param at_s: time on the monotonic clock.
        :param margin_s: time by which each period of its membership is extended at both
            ends, in seconds; a negative value shortens the periods.
        """
        if not self.joined_s - margin_s <= at_s < self.left_s + margin_s:
            return False
        return not any(
            start_s + margin_s <= at_s < end_s - margin_s
            for start_s, end_s in self.absences
        )


@dataclass(frozen=True, slots=True)
class Assignment:
    """One run, and the loads right after its request arrived at the engine.

    :param engine: instance id of the engine's agent.
    :param request_id: id of the request.
    :param at_s: arrival time on the monotonic clock.
    :param load_tokens: load of the engine, including the request.
    :param mean_load_tokens: highest mean load of the pool in the time in which the
        agent can have decided.
    """

    engine: str
    request_id: str
    at_s: float
    load_tokens: float
    mean_load_tokens: float

    def is_within_bound(
        self, factor: float, floor_tokens: float, largest_tokens: int
    ) -> bool:
        """Return whether the load is within the bound plus one largest request.

        :param factor: allowed multiple of the mean load.
        :param floor_tokens: lowest mean load by which the bound is computed.
        :param largest_tokens: load of the largest request.
        """
        return (
            self.load_tokens
            <= factor * max(self.mean_load_tokens, floor_tokens) + largest_tokens
        )


async def read_engine_history(fleet, node) -> EngineHistory:
    """Return the journalled history of an agent's engine.

    :param fleet: fleet under test.
    :param node: an agent of an engine.
    """
    journal = await fleet.read_journal(node)
    history = InflightHistory()
    for sample in journal["samples"]:
        history.add(InflightSample(*sample))
    return EngineHistory(node.instance_id, journal["runs"], history)


def list_assignments(engines: list[EngineHistory]) -> list[Assignment]:
    """Return every run of every engine with the loads at its arrival.

    The mean load is the highest one over the time in which the agent can have decided,
    whether or not the agent already knew of instances that joined or left in the last
    ``MEMBERSHIP_DELAY_S``. A request on its way to another engine counts as load of
    that engine.

    :param engines: every engine of the pool.
    """
    assignments = []
    for engine in engines:
        for run in engine.runs:
            at_s = run["received_s"]
            times_s = [at_s + IN_FLIGHT_DELAY_S] + [
                at_s - DECISION_WINDOW_S * step / WINDOW_STEPS
                for step in range(WINDOW_STEPS + 1)
            ]
            mean_loads_tokens = [
                _compute_mean_load(engines, view_s, margin_s)
                for view_s in times_s
                for margin_s in (-MEMBERSHIP_DELAY_S, 0.0, MEMBERSHIP_DELAY_S)
            ]
            load_tokens = engine.history.read_at(at_s + 0.001).unfinished
            assignments.append(
                Assignment(
                    engine.name,
                    run["request_id"],
                    at_s,
                    load_tokens,
                    max(mean_loads_tokens),
                )
            )
    return assignments


def _compute_mean_load(
    engines: list[EngineHistory], at_s: float, margin_s: float
) -> float:
    loads = [
        engine.history.read_at(at_s).unfinished
        for engine in engines
        if engine.is_in_pool(at_s, margin_s)
    ]
    return statistics.fmean(loads) if loads else 0.0
