"""Cost of deleting expired claims at the key-value service.

The production sweeper runs against the stand-in over loopback. Run ``python -m
bilberryspring.load.claim_sweep_costs`` for the table.
"""

import asyncio
import time
from dataclasses import dataclass

from loguru import logger

from bilberryspring.capability.store import (
    Put,
    Store,
)
from bilberryspring.identifiers import InstanceId, RouteName, WorkspaceName
from bilberryspring.load.key_value_rig import run_key_value_standin
from bilberryspring.process.accounting import (
    ControlMechanism,
    TrafficTotals,
    make_ledger,
)
from bilberryspring.request.claim_sweeps import ClaimSweeper, compute_sweep_interval
from bilberryspring.request.claim_values import make_claim_group
from bilberryspring.request.idempotency import make_idempotency_key

__all__ = ["SweepCost", "measure_sweep", "main"]

RETENTION_S = 86_400.0
KEY_VALUE_TIMEOUT_S = 20.0
CLAIM_AGE_S = 2 * RETENTION_S
PUTS_PER_CALL = 100
CLAIM_VALUE = b"v" * 100
ROUTE_COUNT = 2
SWEEP_CASES = ((10, 10), (340, 10), (3400, 0), (3400, 10))


@dataclass(frozen=True, slots=True)
class SweepCost:
    """Cost of one sweep.

    :param groups: number of claim groups, one for each pair of workspace and route.
    :param deleted: number of deleted claims.
    :param calls: calls that the key-value service counted.
    :param total_bytes: payload bytes sent and received.
    :param duration_s: duration in seconds, without the pauses between calls.
    """

    groups: int
    deleted: int
    calls: int
    total_bytes: int
    duration_s: float


async def measure_sweep(workspaces: int, claims_per_group: int) -> SweepCost:
    """Run one sweep against a stand-in in this process.

    :param workspaces: number of workspaces, with two routes each.
    :param claims_per_group: number of expired claims of each workspace on each route.
    """
    ledger = make_ledger()
    groups = [
        make_claim_group(RouteName(f"route-{route}"), WorkspaceName(f"workspace-{n}"))
        for route in range(ROUTE_COUNT)
        for n in range(workspaces)
    ]
    async with run_key_value_standin(ledger, KEY_VALUE_TIMEOUT_S) as (client, calls):
        await _store_old_claims(client, groups, claims_per_group)
        traffic = ledger.by_mechanism[ControlMechanism.CLAIMS]
        return await _sweep(client, groups, calls, traffic)


async def _store_old_claims(
    client: Store, groups: list[str], claims_per_group: int
) -> None:
    key_time_s = time.time() - CLAIM_AGE_S
    puts = [
        Put(group + make_idempotency_key(key_time_s), CLAIM_VALUE)
        for group in groups
        for _ in range(claims_per_group)
    ]
    for first in range(0, len(puts), PUTS_PER_CALL):
        batch = puts[first : first + PUTS_PER_CALL]
        await client.transact((), batch, mechanism=ControlMechanism.ADMINISTRATION)


async def _sweep(
    client: Store,
    groups: list[str],
    calls: dict[str, int],
    traffic: TrafficTotals,
) -> SweepCost:
    start_s = time.time() - compute_sweep_interval(RETENTION_S)
    first = _make_sweeper(client, "agent-1", groups, start_s)
    await first.sweep_if_due()
    calls_before = calls["reads"] + calls["writes"]
    bytes_before = traffic.sent_bytes + traffic.received_bytes
    started_s = time.monotonic()
    second = _make_sweeper(client, "agent-2", groups, time.time())
    deleted = await second.sweep_if_due()
    return SweepCost(
        len(groups),
        deleted or 0,
        calls["reads"] + calls["writes"] - calls_before,
        traffic.sent_bytes + traffic.received_bytes - bytes_before,
        time.monotonic() - started_s,
    )


def _make_sweeper(
    client: Store, name: str, groups: list[str], now_s: float
) -> ClaimSweeper:
    return ClaimSweeper(
        client,
        InstanceId(name),
        RETENTION_S,
        lambda: groups,
        pause_s=0.0,
        wall_clock=lambda: now_s,
    )


def main() -> None:
    """Measure all cases and print a table."""
    logger.disable("bilberryspring")
    print("| groups | claims deleted | calls | KB | s |\n|---|---|---|---|---|")
    for workspaces, claims in SWEEP_CASES:
        cost = asyncio.run(measure_sweep(workspaces, claims))
        print(
            f"| {cost.groups} | {cost.deleted} | {cost.calls} "
            f"| {cost.total_bytes / 1000:.1f} | {cost.duration_s:.2f} |"
        )


if __name__ == "__main__":
    main()
