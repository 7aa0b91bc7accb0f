"""Runs a scenario against a fleet of real processes and stand-in services."""

import asyncio
import itertools
import tempfile
from dataclasses import dataclass
from pathlib import Path

from bilberryspring.load.cache_oracle import EngineRecords
from bilberryspring.load.load_client import run_plan
from bilberryspring.load.measures import measure_skew
from bilberryspring.load.observation import (
    LoadSamples,
    compute_control_overhead,
    fetch_totals,
    sample_loads,
)
from bilberryspring.load.request_plans import draw_plan
from bilberryspring.load.results import FleetRecords, RunResult, measure_run
from bilberryspring.load.retry_costs import RouterRecords
from bilberryspring.load.scenarios import (
    FleetAction,
    FleetChange,
    Scenario,
    make_scenario,
)
from bilberryspring.load.workload_mixes import (
    LOAD_FLOOR_TOKENS,
    WorkloadMix,
    make_configuration_document,
)
from bilberryspring.process.settings import RouterSettings
from bilberryspring.standin.cache_journal import find_cache_journal, read_cache_journal
from bilberryspring.standin.fleet import Fleet, Node, make_fleet

__all__ = ["ExperimentFleet", "ExperimentOptions", "run_experiment"]

ROUTER_COUNT = 3
DELAYED_LINKS = ("peer", "caller")
CLIENT_DELAY_S = 0.001
# A failing engine aborts each response stream after this number of events.
EVENTS_BEFORE_CUT = 2
SETTLE_TIME_S = 1.0
INSTANCE_LIST_LAG_S = 1.0
SERVICE_TIME_S = 0.02
# Samples with a lower mean load are left out of the skew.
SKEW_FLOOR_TOKENS = 500.0


@dataclass(frozen=True, slots=True)
class ExperimentOptions:
    """Options of an experiment besides scenario and placement policy.

    :param follows_retry_after: whether a caller retries a rejected request after the
        delay of the ``Retry-After`` header.
    :param retry_ratio: retries that the budget of a router allows for each first
        attempt; the routers' default if ``None``.
    :param has_zone_delays: whether connections to routers and agents pass a proxy that
        adds the one-way delay between availability zones, or to clients.
    """

    follows_retry_after: bool = False
    retry_ratio: float | None = None
    has_zone_delays: bool = False

    @property
    def proxied_links(self) -> tuple[str, ...]:
        """Names of the links of each node that pass a proxy; empty without delays."""
        return DELAYED_LINKS if self.has_zone_delays else ()


class ExperimentFleet:
    """The fleet of one deployment during an experiment.

    :param fleet: test harness that runs the processes.
    :param mix: deployment and its load.
    :param options: options of the experiment.
    """

    def __init__(
        self, fleet: Fleet, mix: WorkloadMix, options: ExperimentOptions
    ) -> None:
        self.fleet = fleet
        self.mix = mix
        self.options = options
        self.routers: list[Node] = []
        self.engines: list[Node] = []
        self._zone_cycle = itertools.cycle(mix.availability_zones)

    async def start(self, policy: str) -> None:
        """Start every process and publish the configuration.

        :param policy: placement policy of the engine pool.
        """
        mix = self.mix
        await self.fleet.start_platform(instances={"lag_s": INSTANCE_LIST_LAG_S})
        await self.fleet.publish(make_configuration_document(mix, policy))
        for _ in range(ROUTER_COUNT):
            self.routers.append(await self._add_router())
        for _ in range(mix.engine_count):
            self.engines.append(await self._add_engine())
        for _ in range(mix.service_count):
            await self._add_service()
        await self.fleet.wait_ready()
        await asyncio.sleep(INSTANCE_LIST_LAG_S + SETTLE_TIME_S)

    async def _add_router(self) -> Node:
        ratio = self.options.retry_ratio
        settings = {} if ratio is None else {"retry_ratio": ratio}
        proxied = self.options.proxied_links
        node = await self.fleet.add_router(
            next(self._zone_cycle), proxied=proxied, **settings
        )
        await self._set_link_delays(node)
        return node

    async def _add_engine(self) -> Node:
        parameters = self.mix.engine_parameters
        node = await self.fleet.add_engine(
            self.mix.engine_pool,
            next(self._zone_cycle),
            models=[self.mix.model],
            prefill_tokens_per_s=parameters.prefill_tokens_per_s,
            decode_interval_s=parameters.decode_interval_s,
            max_batch=parameters.max_batch,
            cache_tokens=parameters.cache_tokens,
            proxied=self._agent_links,
        )
        await self._set_link_delays(node)
        return node

    async def _add_service(self) -> None:
        node = await self.fleet.add_service(
            self.mix.service_pool,
            next(self._zone_cycle),
            service_time_s=SERVICE_TIME_S,
            proxied=self._agent_links,
        )
        await self._set_link_delays(node)

    @property
    def _agent_links(self) -> tuple[str, ...]:
        return tuple(link for link in self.options.proxied_links if link != "caller")

    async def _set_link_delays(self, node: Node) -> None:
        """Set the delays of the proxies of a node."""
        delays_s = {"peer": self.mix.zone_delay_s, "caller": CLIENT_DELAY_S}
        for link, proxy in node.proxies.items():
            # The setting takes effect when the proxy restarts, the fault at once.
            proxy.settings["delay_s"] = delays_s[link]
            await self.fleet.wait_ready(proxy)
            await self.fleet.set_faults(proxy, delay_s=delays_s[link])

    def map_administration_addresses(self) -> dict[str, str]:
        """Return the administration address of every node by instance identifier."""
        return {
            name: node.administration_address for name, node in self.fleet.nodes.items()
        }

    async def apply_action(self, action: FleetAction) -> None:
        """Apply one change to the fleet.

        :param action: change to apply; its time is ignored.
        """
        change = action.change
        if change is FleetChange.JOIN:
            node = await self._add_engine()
            self.engines.append(node)
        elif change is FleetChange.DRAIN:
            await self._drain(self.engines[action.engine_index])
        elif change is FleetChange.KILL:
            for process in self.engines[action.engine_index].processes:
                process.kill()
        elif change is FleetChange.RESTART:
            for process in self.engines[action.engine_index].processes:
                process.start()
        elif change is FleetChange.FAIL_CALLS:
            await self.fleet.set_faults(
                self.engines[action.engine_index].backend,
                cut_each_after_events=EVENTS_BEFORE_CUT,
            )
        elif change is FleetChange.SERVE_CALLS:
            await self.fleet.set_faults(self.engines[action.engine_index].backend)
        else:
            is_down = change is FleetChange.KEY_VALUE_OUTAGE
            await self.fleet.set_platform_faults(outage=is_down)

    def read_engine_records(self) -> dict[str, EngineRecords]:
        """Return the records of each engine by instance, including stopped engines."""
        return {
            node.instance_id: self._read_engine_record(node) for node in self.engines
        }

    def _read_engine_record(self, node: Node) -> EngineRecords:
        journal_path = node.backend.settings["journal_path"]
        return EngineRecords(
            read_cache_journal(find_cache_journal(journal_path)),
            self.fleet.read_runs(node),
            node.backend.kill_times_s,
        )

    def read_router_records(self) -> RouterRecords:
        """Return the logs of the routers and the retry ratio of their budgets."""
        ratio = self.options.retry_ratio
        if ratio is None:
            ratio = RouterSettings.model_fields["retry_ratio"].default
        return RouterRecords([r.process.read_log() for r in self.routers], ratio)

    async def _drain(self, node: Node) -> None:
        node.entry["state"] = "leaving"
        await self.fleet.update_instance_list()
        await node.process.stop()
        node.backend.kill()
        self.fleet.unlisted.add(node.instance_id)
        await self.fleet.update_instance_list()


async def run_experiment(
    mix: WorkloadMix,
    scenario_name: str,
    policy: str,
    seed: int,
    duration_s: float,
    options: ExperimentOptions = ExperimentOptions(),
) -> RunResult:
    """Start a fleet, send it the load of one scenario and return the measurements.

    :param mix: deployment and its load.
    :param scenario_name: name of a registered scenario.
    :param policy: placement policy of the engine pool.
    :param seed: seed of the request plan.
    :param duration_s: length of the run in seconds.
    :param options: options besides scenario and placement policy.
    """
    scenario = make_scenario(scenario_name, mix, duration_s)
    plan = draw_plan(mix, seed, duration_s, scenario.find_surges, scenario.workspaces)
    samples = LoadSamples()
    with tempfile.TemporaryDirectory(prefix="bilberryspring-load-") as directory:
        async with make_fleet(Path(directory), mix.region) as fleet:
            experiment_fleet = ExperimentFleet(fleet, mix, options)
            await experiment_fleet.start(policy)
            session, administration_addresses = (
                fleet.session,
                experiment_fleet.map_administration_addresses(),
            )
            before = await fetch_totals(
                session, administration_addresses, fleet.key_value_address
            )
            agent_addresses = [
                node.administration_address for node in experiment_fleet.engines
            ]
            engine_addresses = [
                node.backend.settings["address"] for node in experiment_fleet.engines
            ]
            sampling = asyncio.create_task(
                sample_loads(session, agent_addresses, engine_addresses, samples)
            )
            pending_actions = asyncio.create_task(
                _apply_actions(experiment_fleet, scenario)
            )
            records = await run_plan(
                plan,
                [node.caller_address for node in experiment_fleet.routers],
                mix.model,
                seed=seed,
                follows_retry_after=options.follows_retry_after,
            )
            await pending_actions
            after = await fetch_totals(
                session, administration_addresses, fleet.key_value_address
            )
            sampling.cancel()
            await asyncio.gather(sampling, return_exceptions=True)
            fleet_records = FleetRecords(
                experiment_fleet.read_engine_records(),
                experiment_fleet.read_router_records(),
            )
    result = measure_run(
        mix, scenario, policy, seed, duration_s, records, fleet_records
    )
    result.control = compute_control_overhead(before, after)
    result.skew = measure_skew(samples.agent_loads, SKEW_FLOOR_TOKENS)
    result.bound_skew = measure_skew(samples.agent_loads, LOAD_FLOOR_TOKENS)
    result.engine_skew = measure_skew(samples.engine_loads, SKEW_FLOOR_TOKENS)
    return result


async def _apply_actions(experiment_fleet: ExperimentFleet, scenario: Scenario) -> None:
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    pending = []
    for action in scenario.actions:
        await asyncio.sleep(max(started_s + action.at_s - loop.time(), 0))
        pending.append(asyncio.create_task(experiment_fleet.apply_action(action)))
    await asyncio.gather(*pending)
