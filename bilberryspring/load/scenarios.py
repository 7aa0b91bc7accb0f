"""Scenarios of an experiment: changes of load and fleet during a run."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum

from bilberryspring.load.arrivals import Surge
from bilberryspring.load.workload_mixes import RANK_NAMES, WorkloadMix

__all__ = [
    "SCENARIOS",
    "FleetAction",
    "FleetChange",
    "Scenario",
    "make_scenario",
    "register_scenario",
]

FLOOD_RATE_FACTORS = {RANK_NAMES[0]: 10.0, RANK_NAMES[2]: 10.0}
SURGE_RATE_FACTOR = 10.0
EVENT_START_SHARE = 0.35
EVENT_END_SHARE = 0.75
FAILING_ENGINE_RESTARTS = 4


class FleetChange(Enum):
    """Kind of change to the fleet during a run."""

    JOIN = "join"
    DRAIN = "drain"
    KILL = "kill"
    RESTART = "restart"
    FAIL_CALLS = "fail_calls"
    SERVE_CALLS = "serve_calls"
    KEY_VALUE_OUTAGE = "key_value_outage"
    KEY_VALUE_RECOVERY = "key_value_recovery"


@dataclass(frozen=True, slots=True)
class FleetAction:
    """A scheduled change to the fleet.

    :param at_s: time of the change in seconds from the start of the run.
    :param change: kind of change.
    :param engine_index: position of the affected engine, in the order of start; ignored
        by changes that affect no running engine.
    """

    at_s: float
    change: FleetChange
    engine_index: int = 0


@dataclass(frozen=True, slots=True)
class Scenario:
    """Changes of load and fleet during a run.

    :param name: name of the scenario.
    :param surges: surges by workspace and work rank; an empty string in the key matches
        all workspaces or all ranks.
    :param actions: changes of the fleet, in order of time.
    :param workspaces: workspaces that send requests; empty for all.
    :param event_start_s: start in seconds of the event that is measured separately.
    :param event_end_s: end of the event in seconds.
    """

    name: str
    surges: dict[tuple[str, str], Sequence[Surge]] = field(default_factory=dict)
    actions: Sequence[FleetAction] = ()
    workspaces: Sequence[str] = ()
    event_start_s: float = 0.0
    event_end_s: float = 0.0

    def find_surges(self, workspace: str, rank: str) -> Sequence[Surge]:
        """Return the surges of the requests of a workspace in a work rank."""
        for key in ((workspace, rank), (workspace, ""), ("", rank)):
            if key in self.surges:
                return self.surges[key]
        return ()


ScenarioFactory = Callable[[WorkloadMix, float], Scenario]
SCENARIOS: dict[str, ScenarioFactory] = {}


def register_scenario(name: str) -> Callable[[ScenarioFactory], ScenarioFactory]:
    """Register the decorated function as the factory of a scenario.

    :param name: name of the scenario.
    :returns: the decorator.
    """

    def register(factory: ScenarioFactory) -> ScenarioFactory:
        SCENARIOS[name] = factory
        return factory

    return register


def make_scenario(name: str, mix: WorkloadMix, duration_s: float) -> Scenario:
    """Return a registered scenario, adapted to a deployment and length of the run.

    :param name: name of the scenario.
    :param mix: deployment and its load.
    :param duration_s: length of the run in seconds.
    :raises KeyError: if no scenario of that name is registered.
    """
    return SCENARIOS[name](mix, duration_s)


@register_scenario("steady")
def make_steady(mix: WorkloadMix, duration_s: float) -> Scenario:
    """Make a scenario with base load on an unchanged fleet."""
    return Scenario(
        "steady",
        event_start_s=EVENT_START_SHARE * duration_s,
        event_end_s=EVENT_END_SHARE * duration_s,
    )


@register_scenario("churn")
def make_churn(mix: WorkloadMix, duration_s: float) -> Scenario:
    """Make a scenario in which engines leave, join, fail and restart repeatedly."""
    schedule = (
        (0.30, FleetChange.DRAIN, 0),
        (0.40, FleetChange.JOIN, 0),
        (0.50, FleetChange.KILL, 1),
        (0.55, FleetChange.RESTART, 1),
        (0.60, FleetChange.KILL, 1),
        (0.65, FleetChange.RESTART, 1),
    )
    actions = [FleetAction(part * duration_s, *change) for part, *change in schedule]
    return Scenario(
        "churn",
        actions=actions,
        event_start_s=0.30 * duration_s,
        event_end_s=0.65 * duration_s,
    )


def _make_flood(name: str, rank: str, duration_s: float) -> Scenario:
    start_s, end_s = EVENT_START_SHARE * duration_s, EVENT_END_SHARE * duration_s
    surge = Surge(start_s, end_s, FLOOD_RATE_FACTORS[rank])
    return Scenario(
        name,
        surges={("", rank): [surge]},
        event_start_s=start_s,
        event_end_s=end_s,
    )


@register_scenario("flood-least")
def make_flood_least(mix: WorkloadMix, duration_s: float) -> Scenario:
    """Make a scenario that overloads the fleet with the least urgent work rank."""
    return _make_flood("flood-least", RANK_NAMES[-1], duration_s)


@register_scenario("flood-urgent")
def make_flood_urgent(mix: WorkloadMix, duration_s: float) -> Scenario:
    """Make a scenario that overloads the fleet with the most urgent work rank."""
    return _make_flood("flood-urgent", RANK_NAMES[0], duration_s)


@register_scenario("surge")
def make_surge(mix: WorkloadMix, duration_s: float) -> Scenario:
    """Make a scenario in which the large workspaces send ten times their base load."""
    start_s, end_s = EVENT_START_SHARE * duration_s, EVENT_END_SHARE * duration_s
    surge = Surge(start_s, end_s, SURGE_RATE_FACTOR)
    return Scenario(
        "surge",
        surges={(workspace, ""): [surge] for workspace in mix.large_workspaces},
        event_start_s=start_s,
        event_end_s=end_s,
    )


@register_scenario("small-alone")
def make_small_alone(mix: WorkloadMix, duration_s: float) -> Scenario:
    """Make a scenario in which only the small workspaces send requests.

    It is the baseline for the service of small workspaces in the ``surge`` scenario.
    """
    small = [name for name in mix.workspace_shares if name not in mix.large_workspaces]
    return Scenario(
        "small-alone",
        workspaces=small,
        event_start_s=EVENT_START_SHARE * duration_s,
        event_end_s=EVENT_END_SHARE * duration_s,
    )


@register_scenario("key-value-outage")
def make_key_value_outage(mix: WorkloadMix, duration_s: float) -> Scenario:
    """Make a scenario in which the key-value service is down during the event."""
    start_s, end_s = EVENT_START_SHARE * duration_s, EVENT_END_SHARE * duration_s
    actions = [
        FleetAction(start_s, FleetChange.KEY_VALUE_OUTAGE),
        FleetAction(end_s, FleetChange.KEY_VALUE_RECOVERY),
    ]
    return Scenario(
        "key-value-outage", actions=actions, event_start_s=start_s, event_end_s=end_s
    )


@register_scenario("third-failing")
def make_third_failing(mix: WorkloadMix, duration_s: float) -> Scenario:
    """Make a scenario in which a third of the engines fails during the event.

    Every second one of them aborts its response streams; the others stop and restart
    repeatedly. The base load is then near the decode capacity of the healthy engines.
    """
    start_s, end_s = EVENT_START_SHARE * duration_s, EVENT_END_SHARE * duration_s
    failing_engines = range(max(1, round(mix.engine_count / 3)))
    cutting_engines, restarting_engines = failing_engines[::2], failing_engines[1::2]
    actions = [
        FleetAction(at_s, change, instance)
        for at_s, change in (
            (start_s, FleetChange.FAIL_CALLS),
            (end_s, FleetChange.SERVE_CALLS),
        )
        for instance in cutting_engines
    ]
    step_s = (end_s - start_s) / (2 * FAILING_ENGINE_RESTARTS)
    actions += [
        FleetAction(start_s + step_s * number, change, instance)
        for number in range(2 * FAILING_ENGINE_RESTARTS)
        for change in [(FleetChange.KILL, FleetChange.RESTART)[number % 2]]
        for instance in restarting_engines
    ]
    return Scenario(
        "third-failing",
        actions=sorted(actions, key=lambda action: action.at_s),
        event_start_s=start_s,
        event_end_s=end_s,
    )
