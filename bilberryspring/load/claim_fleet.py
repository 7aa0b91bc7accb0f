"""Cost of the claims of a large pool, sent directly and through batching agents.

The production claim stores, batchers and key-value clients run in one process against
the key-value stand-in over loopback. Calls between agents are function calls with an
added delay. Run ``python -m bilberryspring.load.claim_fleet`` for the table.
"""

import asyncio
import os
import random
import time
from dataclasses import dataclass
from types import SimpleNamespace

from loguru import logger

from bilberryspring.capability.instance_list import (
    Instance,
    InstanceState,
    Role,
)
from bilberryspring.identifiers import (
    AvailabilityZone,
    InstanceId,
    PoolName,
    Region,
    RouteName,
    WorkspaceName,
)
from bilberryspring.platform.keyvalue import (
    make_key_value_client,
)
from bilberryspring.process.accounting import ControlMechanism, make_ledger
from bilberryspring.request.at_most_once import (
    KeyedRequest,
    ServiceResponse,
    run_at_most_once,
)
from bilberryspring.request.claim_forwarding import ClaimFleet, handle_forwarded_claim
from bilberryspring.request.claims import ClaimStore, make_claim_store
from bilberryspring.request.errors import Failure
from bilberryspring.request.idempotency import make_idempotency_key
from bilberryspring.standin.key_value import (
    STANDIN,
    KeyValueSettings,
    make_key_value_application,
)
from bilberryspring.standin.serving import start_site

__all__ = ["FleetClaimCost", "measure_fleet_claims", "main"]

POOL_NAME = PoolName("desks")
RETENTION_S = 86_400.0
KEY_VALUE_TIMEOUT_S = 2.0
DEADLINE_S = 20.0
PEER_DELAY_S = 0.001
WARM_UP_S = 3.0
SERVICE_ANSWER = ServiceResponse(200, "application/json", b'{"recorded": 1}')
KEY_VALUE_WRITES_PER_S = 400.0
TABLE_HEADER = (
    "| agents | requests/s | way | served | writes/s | refused | p50 ms | p95 ms "
    "| mean B/s | most B/s in 10 s | most B in 1 s |"
)
FLEET_CASES = ((880, 100.0), (880, 200.0), (880, 400.0))


@dataclass(frozen=True, slots=True)
class FleetClaimCost:
    """Result of one run.

    :param served: share of the requests that ran.
    :param calls_per_s: write calls per second that reached the key-value service.
    :param refused_calls: calls that the key-value service rejected by its rate limit.
    :param claim_p50_ms: median time from a request until its claim is acquired.
    :param claim_p95_ms: 95th percentile of that time.
    :param mean_bytes_per_s: claim traffic of an agent, mean over agents.
    :param most_bytes_per_s: claim traffic of the agent with the most traffic.
    :param most_bytes_in_a_second: highest claim traffic of an agent in any one second.
    """

    served: float
    calls_per_s: float
    refused_calls: int
    claim_p50_ms: float
    claim_p95_ms: float
    mean_bytes_per_s: float
    most_bytes_per_s: float
    most_bytes_in_a_second: int


class _Agent:
    """An agent process reduced to the parts that claims and their batches need.

    :param index: position in the pool, which gives the instance identifier.
    :param address: address of the key-value stand-in.
    :param fleet: fleet that batches claims; ``None`` to send them directly.
    """

    def __init__(self, index: int, address: str, fleet: ClaimFleet | None):
        self.instance_id = InstanceId(f"agent-{index}")
        self.ledger = make_ledger()
        self.key_value = make_key_value_client(
            [address], KEY_VALUE_TIMEOUT_S, self.ledger
        )
        self.claims: ClaimStore = make_claim_store(
            self.key_value,
            self.instance_id,
            RETENTION_S,
            KEY_VALUE_TIMEOUT_S,
            self.ledger,
            fleet,
        )

    def count_bytes(self) -> int:
        spending = self.ledger.by_mechanism[ControlMechanism.CLAIMS]
        return spending.sent_bytes + spending.received_bytes


class _InProcessPeers:
    """Peer calls to agents of this process, by address."""

    def __init__(self, agents: dict[str, _Agent]):
        self._agents = agents

    async def call(
        self, address: str, method: str, payload: bytes, timeout_s: float
    ) -> bytes | Failure:
        await asyncio.sleep(PEER_DELAY_S)
        agent = self._agents[address]
        reply = await handle_forwarded_claim(agent, payload, InstanceId("peer"))
        await asyncio.sleep(PEER_DELAY_S)
        return reply


def _make_claim_fleet(agents: dict[str, _Agent], count: int) -> ClaimFleet:
    instances = [
        Instance(
            InstanceId(f"agent-{index}"),
            Role.AGENT,
            POOL_NAME,
            AvailabilityZone("zone-1"),
            Region("region-1"),
            f"agent-{index}",
            InstanceState.LIVE,
        )
        for index in range(count)
    ]
    members = SimpleNamespace(instances=lambda pool: instances)
    return ClaimFleet(POOL_NAME, members, _InProcessPeers(agents))


async def measure_fleet_claims(
    agent_count: int, requests_per_s: float, duration_s: float, *, batched: bool
) -> FleetClaimCost:
    """Run non-idempotent requests at a fixed rate, distributed evenly over agents.

    :param agent_count: number of agents of the pool.
    :param requests_per_s: rate of the Poisson arrivals.
    :param duration_s: duration of the measurement in seconds, after a warm-up.
    :param batched: whether agents forward their claims to batching agents.
    """
    address = f"127.{210 + os.getpid() // 256 % 40}.{os.getpid() % 256}.1:9000"
    settings = KeyValueSettings(
        address=address, writes_per_s=KEY_VALUE_WRITES_PER_S, reads_per_s=2000.0
    )
    application = make_key_value_application(settings)
    runner = await start_site(application, address)
    standin = application[STANDIN]
    agents: dict[str, _Agent] = {}
    fleet = _make_claim_fleet(agents, agent_count) if batched else None
    for index in range(agent_count):
        agents[f"agent-{index}"] = _Agent(index, address, fleet)
    for agent in agents.values():
        await agent.key_value.start()
        await agent.claims.start()
    await asyncio.sleep(WARM_UP_S)
    standin.calls.clear()
    bytes_before = {name: agent.count_bytes() for name, agent in agents.items()}
    claim_latencies_s: list[float] = []
    peak_bytes: list[int] = []
    peak_recording = asyncio.create_task(
        _record_peak_bytes(list(agents.values()), peak_bytes)
    )
    served = await _send_requests(
        list(agents.values()), requests_per_s, duration_s, claim_latencies_s
    )
    peak_recording.cancel()
    agent_bytes_per_s = [
        (agent.count_bytes() - bytes_before[name]) / duration_s
        for name, agent in agents.items()
    ]
    cost = FleetClaimCost(
        served=served,
        calls_per_s=standin.calls["writes"] / duration_s,
        refused_calls=standin.calls["refused"],
        claim_p50_ms=_compute_percentile(claim_latencies_s, 0.5) * 1000,
        claim_p95_ms=_compute_percentile(claim_latencies_s, 0.95) * 1000,
        mean_bytes_per_s=sum(agent_bytes_per_s) / len(agent_bytes_per_s),
        most_bytes_per_s=max(agent_bytes_per_s),
        most_bytes_in_a_second=max(peak_bytes),
    )
    for agent in agents.values():
        await agent.claims.close()
        await agent.key_value.close()
    await runner.cleanup()
    return cost


async def _record_peak_bytes(agents: list[_Agent], peak_bytes: list[int]) -> None:
    """Record, for each second, the claim bytes of the agent with the most traffic."""
    before = [agent.count_bytes() for agent in agents]
    while True:
        await asyncio.sleep(1.0)
        now = [agent.count_bytes() for agent in agents]
        peak_bytes.append(max(b - a for a, b in zip(before, now, strict=True)))
        before = now


async def _send_requests(
    agents: list[_Agent],
    requests_per_s: float,
    duration_s: float,
    claim_latencies_s: list[float],
) -> float:
    generator = random.Random(1)
    tasks: list[asyncio.Task[bool]] = []
    end_s = time.monotonic() + duration_s
    next_s = time.monotonic()
    while next_s < end_s:
        await asyncio.sleep(max(next_s - time.monotonic(), 0))
        run = _run_request(generator.choice(agents), claim_latencies_s)
        tasks.append(asyncio.create_task(run))
        next_s += generator.expovariate(requests_per_s)
    results = await asyncio.gather(*tasks)
    return sum(results) / len(results)


async def _run_request(agent: _Agent, claim_latencies_s: list[float]) -> bool:
    started_s = time.monotonic()
    request = KeyedRequest(
        WorkspaceName("workspace"),
        RouteName("route"),
        make_idempotency_key(time.time()),
        "d" * 32,
        started_s + DEADLINE_S,
    )

    async def send() -> ServiceResponse:
        claim_latencies_s.append(time.monotonic() - started_s)
        return SERVICE_ANSWER

    return await run_at_most_once(agent.claims, request, send) == SERVICE_ANSWER


def _compute_percentile(values: list[float], share: float) -> float:
    ordered = sorted(values) or [0.0]
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def main() -> None:
    """Measure all cases and print a table."""
    logger.disable("bilberryspring")
    print(TABLE_HEADER)
    for agent_count, requests_per_s in FLEET_CASES:
        for batched in (False, True):
            cost = asyncio.run(
                measure_fleet_claims(agent_count, requests_per_s, 10.0, batched=batched)
            )
            mode = "batched" if batched else "direct"
            print(
                f"| {agent_count} | {requests_per_s:.0f} | {mode} | {cost.served:.3f} "
                f"| {cost.calls_per_s:.0f} | {cost.refused_calls} "
                f"| {cost.claim_p50_ms:.1f} | {cost.claim_p95_ms:.1f} "
                f"| {cost.mean_bytes_per_s:.0f} | {cost.most_bytes_per_s:.0f} "
                f"| {cost.most_bytes_in_a_second} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
