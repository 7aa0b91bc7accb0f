"""Result of one run, as a dataclass in memory and as a JSON document on disk."""

import json
from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path

from bilberryspring.load.cache_oracle import (
    EngineRecords,
    OracleReuse,
    measure_oracle_reuse,
)
from bilberryspring.load.measures import (
    RankMeasures,
    Reuse,
    Skew,
    measure_fairness,
    measure_rank,
    measure_reuse,
)
from bilberryspring.load.records import CallOutcome, CallRecord
from bilberryspring.load.retry_costs import (
    RetryCosts,
    RouterRecords,
    measure_retries,
)
from bilberryspring.load.scenarios import Scenario
from bilberryspring.load.workload_mixes import WorkloadMix

__all__ = [
    "ControlOverhead",
    "FleetRecords",
    "RunResult",
    "measure_run",
    "read_result",
    "write_result",
]

CHAT_ROUTE = "chat"
WARM_UP_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class ControlOverhead:
    """Resources that the control plane used during a run.

    :param mean_bytes_per_s: control traffic of a node, mean over nodes.
    :param max_bytes_per_s: control traffic of the node with the most traffic.
    :param max_cpu_ratio: highest CPU time of control work of a node, as a ratio of one
        core.
    :param max_memory_bytes: highest resident memory of a node.
    :param key_value_reads_per_s: read calls that the key-value service counted.
    :param key_value_writes_per_s: write calls that the key-value service counted.
    """

    mean_bytes_per_s: float = 0.0
    max_bytes_per_s: float = 0.0
    max_cpu_ratio: float = 0.0
    max_memory_bytes: float = 0.0
    key_value_reads_per_s: float = 0.0
    key_value_writes_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class FleetRecords:
    """Records of the engines and routers of a run.

    :param engines: records of each engine, by instance.
    :param routers: logs and retry ratio of the routers.
    """

    engines: Mapping[str, EngineRecords]
    routers: RouterRecords


@dataclass(slots=True)
class RunResult:
    """Measures of one run.

    The warm-up at the start of the run is left out, except for ``problems``. Fields
    that count requests of the event cover those whose intended send time lies in it.

    :param deployment: name of the deployment.
    :param scenario: name of the scenario.
    :param policy: placement policy of the engine pool.
    :param seed: seed of the request plan.
    :param duration_s: length of the run in seconds.
    :param ranks: chats by work rank, over the run.
    :param event_ranks: chats by work rank, over the event.
    :param services: requests to plain services by route, over the run.
    :param small: chats of small workspaces, over the event.
    :param large: chats of large workspaces, over the event.
    :param reuse: prompt tokens that were served from prefix caches.
    :param reuse_ratio: cached tokens over reusable tokens.
    :param oracle: reuse compared with an oracle; ``None`` without records of the fleet.
    :param oracle_ratio: reuse ratio of the oracle; ``None`` if nothing was compared.
    :param oracle_gap_points: percentage points by which the reuse ratio stays below the
        ratio of the oracle; ``None`` if nothing was compared.
    :param fairness: Jain's index over the served shares of the workspaces.
    :param skew: skew of the loads of the agents, including their queues; ``None`` if
        not sampled.
    :param engine_skew: skew of the unfinished tokens in the engines; ``None`` if not
        sampled.
    :param bound_skew: skew of the loads of the agents while their mean is above the
        load floor, where the load bound applies; ``None`` if not sampled.
    :param control: resources that the control plane used.
    :param retries: attempts and runs of the requests of the event; ``None`` without
        records of the fleet.
    :param tries_per_request: attempts that may consume retry budget for each request of
        the event; ``None`` without records of the fleet.
    :param runs_per_chat: runs at engines for each chat request of the event; ``None``
        without records of the fleet.
    :param problems: number of unsuccessful requests by error kind, over the whole run.
    :param decode_use: tokens of completed responses as a share of the decode capacity.
    """

    deployment: str
    scenario: str
    policy: str
    seed: int
    duration_s: float
    ranks: dict[str, RankMeasures] = field(default_factory=dict)
    event_ranks: dict[str, RankMeasures] = field(default_factory=dict)
    services: dict[str, RankMeasures] = field(default_factory=dict)
    small: RankMeasures | None = None
    large: RankMeasures | None = None
    reuse: Reuse = Reuse(0, 0)
    reuse_ratio: float = 0.0
    oracle: OracleReuse | None = None
    oracle_ratio: float | None = None
    oracle_gap_points: float | None = None
    fairness: float = 0.0
    skew: Skew | None = None
    engine_skew: Skew | None = None
    bound_skew: Skew | None = None
    control: ControlOverhead = ControlOverhead()
    retries: RetryCosts | None = None
    tries_per_request: float | None = None
    runs_per_chat: float | None = None
    problems: dict[str, int] = field(default_factory=dict)
    decode_use: float = 0.0


def measure_run(
    mix: WorkloadMix,
    scenario: Scenario,
    policy: str,
    seed: int,
    duration_s: float,
    records: Sequence[CallRecord],
    fleet_records: FleetRecords | None = None,
) -> RunResult:
    """Compute the measures of a run from its records.

    :param mix: deployment and its load.
    :param scenario: scenario of the run.
    :param policy: placement policy of the engine pool.
    :param seed: seed of the request plan.
    :param duration_s: length of the run in seconds.
    :param records: one record for each request, made by the caller.
    :param fleet_records: records of engines and routers; ``None`` if not available.
    """
    warm_up_s = WARM_UP_SHARE * duration_s
    warm_records = [record for record in records if record.intended_s >= warm_up_s]
    chats = [record for record in warm_records if record.route == CHAT_ROUTE]
    event_chats = [r for r in chats if _is_during_event(scenario, r)]
    large_names = set(mix.large_workspaces)
    warm_duration_s = duration_s - warm_up_s
    event_duration_s = (scenario.event_end_s - scenario.event_start_s) or 1.0
    result = RunResult(mix.name, scenario.name, policy, seed, duration_s)
    result.ranks = _measure_groups(chats, warm_duration_s, "rank")
    result.event_ranks = _measure_groups(event_chats, event_duration_s, "rank")
    result.services = _measure_groups(
        [r for r in warm_records if r.route != CHAT_ROUTE], warm_duration_s, "route"
    )
    small_records = [r for r in event_chats if r.workspace not in large_names]
    result.small = measure_rank(small_records, event_duration_s)
    result.large = measure_rank(
        [r for r in event_chats if r.workspace in large_names], event_duration_s
    )
    result.reuse = measure_reuse(chats)
    result.reuse_ratio = round(result.reuse.ratio, 4)
    if fleet_records is not None:
        event_requests = [r for r in warm_records if _is_during_event(scenario, r)]
        _add_fleet_measures(result, chats, event_requests, fleet_records)
    result.fairness = measure_fairness(chats)
    result.problems = _count_problems(records)
    done_tokens = sum(r.answer_tokens for r in chats if r.outcome is CallOutcome.DONE)
    capacity_tokens = (
        mix.engine_parameters.decode_tokens_per_s * mix.engine_count * warm_duration_s
    )
    result.decode_use = round(done_tokens / capacity_tokens, 4)
    return result


def _add_fleet_measures(
    result: RunResult,
    chats: Sequence[CallRecord],
    event_requests: Sequence[CallRecord],
    fleet_records: FleetRecords,
) -> None:
    result.oracle = measure_oracle_reuse(chats, fleet_records.engines)
    if result.oracle.requests:
        result.oracle_ratio = round(result.oracle.oracle_ratio, 4)
        result.oracle_gap_points = result.oracle.gap_points
    run_ids = [
        str(run["request_id"])
        for engine in fleet_records.engines.values()
        for run in engine.runs
    ]
    result.retries = measure_retries(event_requests, fleet_records.routers, run_ids)
    result.tries_per_request = round(result.retries.tries_per_request, 4)
    result.runs_per_chat = round(result.retries.runs_per_chat, 4)


def _is_during_event(scenario: Scenario, record: CallRecord) -> bool:
    return scenario.event_start_s <= record.intended_s < scenario.event_end_s


def _measure_groups(
    records: Sequence[CallRecord], duration_s: float, attribute: str
) -> dict[str, RankMeasures]:
    names = sorted({getattr(record, attribute) for record in records})
    return {
        name: measure_rank(
            [r for r in records if getattr(r, attribute) == name], duration_s
        )
        for name in names
    }


def _count_problems(records: Sequence[CallRecord]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for record in records:
        if record.outcome is not CallOutcome.DONE:
            name = record.problem or record.outcome.value
            counts[name] = counts.get(name, 0) + 1
    return dict(sorted(counts.items()))


def write_result(path: Path, result: RunResult) -> None:
    """Write a result to a JSON file.

    :param path: file to write.
    :param result: measures of a run.
    """
    text = json.dumps(asdict(result), indent=1, ensure_ascii=False)
    path.write_text(text + "\n", encoding="utf-8")


def read_result(path: Path) -> dict[str, object]:
    """Read the JSON document of a run.

    :param path: file to read.
    :returns: fields of :class:`RunResult` by name.
    """
    return json.loads(path.read_text(encoding="utf-8"))
