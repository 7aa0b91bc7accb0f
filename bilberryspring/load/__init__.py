"""Load generator, experiments, policy replays and capacity measurements."""

from bilberryspring.load.results import RunResult, read_result, write_result
from bilberryspring.load.scenarios import Scenario, make_scenario, register_scenario
from bilberryspring.load.workload_mixes import WorkloadMix, find_mix

__all__ = [
    "WorkloadMix",
    "RunResult",
    "Scenario",
    "find_mix",
    "make_scenario",
    "read_result",
    "register_scenario",
    "write_result",
]
