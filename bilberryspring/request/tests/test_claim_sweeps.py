"""Sweeps of old claims against the key-value stand-in.

A sweeper that finds no record of a previous sweep deletes nothing and only writes the
record. The tests therefore call a sweeper one interval before the sweep that they
check.
"""

import itertools
import time

import pytest
from aiohttp.test_utils import TestServer

from bilberryspring.platform.keyvalue import (
    make_key_value_client,
)
from bilberryspring.process.accounting import ControlMechanism, make_ledger
from bilberryspring.request.claim_sweeps import (
    GROUPS_PER_CALL,
    SWEEP_RECORD_KEY,
    ClaimSweeper,
    compute_sweep_interval,
)
from bilberryspring.request.claim_values import CLAIM_PREFIX, make_claim_path
from bilberryspring.request.idempotency import (
    MAX_CLOCK_SKEW_S,
    make_idempotency_key,
    read_key_time,
)
from bilberryspring.standin.key_value import (
    STANDIN,
    KeyValueFaults,
    KeyValueSettings,
    make_key_value_application,
)

NOW_S = time.time()
RETENTION_S = 86_400.0
SWEEP_INTERVAL_S = compute_sweep_interval(RETENTION_S)
# A sweep deletes claims of this age if the previous sweep was one interval ago.
SWEPT_AGE_S = RETENTION_S + MAX_CLOCK_SKEW_S + 2 * SWEEP_INTERVAL_S
TIMEOUT_S = 2.0
ROUTE = "print-orders"
GROUPS = [f"{CLAIM_PREFIX}{ROUTE}/ward-{n}/" for n in range(2 * GROUPS_PER_CALL + 3)]


class SweepHarness:
    """Key-value stand-in, its client, and a factory of sweepers."""

    def __init__(self, standin, client):
        self.standin = standin
        self.client = client

    def make_sweeper(self, name, now_s, retention_s=RETENTION_S, groups=GROUPS):
        return ClaimSweeper(
            self.client,
            name,
            retention_s,
            lambda: groups,
            pause_s=0.0,
            wall_clock=lambda: now_s,
        )

    async def put_claims(self, ages_s, workspaces=("ward-1",)):
        keys = [make_idempotency_key(NOW_S - age_s) for age_s in ages_s]
        for workspace, key in itertools.product(workspaces, keys):
            path = make_claim_path(ROUTE, workspace, key)
            await self.client.put(path, b"claim", mechanism=ControlMechanism.CLAIMS)

    async def read_keys(self):
        found = await self.client.get_prefix(
            CLAIM_PREFIX, mechanism=ControlMechanism.CLAIMS
        )
        return [item.key for item in found.items]


@pytest.fixture
async def harness():
    settings = KeyValueSettings(address="127.0.0.1:1", writes_per_s=1e6)
    application = make_key_value_application(settings)
    server = TestServer(application)
    await server.start_server()
    address = f"{server.host}:{server.port}"
    client = make_key_value_client([address], TIMEOUT_S, make_ledger())
    await client.start()
    yield SweepHarness(application[STANDIN], client)
    await client.close()
    await server.close()


async def test_only_claims_that_every_agent_refuses_are_deleted(harness):
    # The last sweep was one interval ago, and its record limits the cutoff.
    youngest_swept_s = RETENTION_S + MAX_CLOCK_SKEW_S + SWEEP_INTERVAL_S
    kept_ages_s = [-50.0, 0.0, RETENTION_S, youngest_swept_s - 60.0]
    # "ward-1/x" and "ward-100" are workspaces that the configuration does not contain.
    workspaces = ["ward-0", "ward-1", "ward-66", "ward-1/x", "ward-100", "a", "~"]
    swept_ages_s = [youngest_swept_s + 60.0, 2 * youngest_swept_s]
    await harness.put_claims(kept_ages_s + swept_ages_s, workspaces)
    first = harness.make_sweeper("agent-1", NOW_S - SWEEP_INTERVAL_S)
    second = harness.make_sweeper("agent-2", NOW_S)
    assert await first.sweep_if_due() is None
    assert await second.sweep_if_due() == 2 * len(workspaces)
    keys = await harness.read_keys()
    assert len(keys) == len(kept_ages_s) * len(workspaces)
    ages_s = [NOW_S - read_key_time(key.rpartition("/")[2]) for key in keys]
    assert max(ages_s) < youngest_swept_s
    assert await harness.make_sweeper("agent-1", NOW_S).sweep_if_due() is None


async def test_key_that_is_not_a_claim_is_kept(harness):
    other_keys = [f"{CLAIM_PREFIX}0", f"{CLAIM_PREFIX}a/b", f"{CLAIM_PREFIX}~/b/c/d"]
    for key in other_keys:
        await harness.client.put(key, b"", mechanism=ControlMechanism.CLAIMS)
    await harness.put_claims([SWEPT_AGE_S, 0.0], ["", "unnamed"])
    await harness.make_sweeper("agent-1", NOW_S - SWEEP_INTERVAL_S).sweep_if_due()
    assert await harness.make_sweeper("agent-2", NOW_S).sweep_if_due() == 2
    keys = await harness.read_keys()
    assert set(other_keys) < set(keys) and len(keys) == len(other_keys) + 2


@pytest.mark.parametrize("wrong_first", [True, False])
async def test_single_wrong_clock_deletes_no_claim_in_use(harness, wrong_first):
    await harness.put_claims([0.0, RETENTION_S])
    ahead_s = NOW_S + 10 * RETENTION_S
    clocks = [("agent-1", ahead_s), ("agent-2", NOW_S), ("agent-1", ahead_s)]
    if not wrong_first:
        clocks = [("agent-2", NOW_S - SWEEP_INTERVAL_S), *clocks]
    for name, now_s in clocks:
        await harness.make_sweeper(name, now_s).sweep_if_due()
        # The agent that performed the last sweep waits longer than the others.
        next_s = now_s + 1.5 * SWEEP_INTERVAL_S
        assert await harness.make_sweeper(name, next_s).sweep_if_due() is None
    assert len(await harness.read_keys()) == 2


async def test_longest_retention_of_any_agent_applies(harness):
    await harness.put_claims([1.5 * RETENTION_S])
    longer_s = 2 * RETENTION_S
    await harness.make_sweeper("agent-1", NOW_S - SWEEP_INTERVAL_S).sweep_if_due()
    longer = harness.make_sweeper("agent-3", NOW_S - SWEEP_INTERVAL_S, longer_s)
    assert await longer.sweep_if_due() is None
    assert await harness.make_sweeper("agent-2", NOW_S).sweep_if_due() == 0
    later_s = NOW_S + 2 * SWEEP_INTERVAL_S
    assert await harness.make_sweeper("agent-1", later_s).sweep_if_due() == 0
    assert len(await harness.read_keys()) == 1


@pytest.mark.parametrize("faults", [{"unavailable": True}, {"outage": True}])
async def test_sweep_that_fails_in_an_outage_is_repeated_later(harness, faults):
    await harness.put_claims([SWEPT_AGE_S])
    # Writes the sweep record.
    await harness.make_sweeper("agent-1", NOW_S - SWEEP_INTERVAL_S).sweep_if_due()
    harness.standin.faults = KeyValueFaults(**faults)
    assert await harness.make_sweeper("agent-2", NOW_S).sweep_if_due() is None
    harness.standin.faults = KeyValueFaults()
    assert await harness.make_sweeper("agent-2", NOW_S).sweep_if_due() == 1


async def test_invalid_sweep_record_is_replaced_without_a_sweep(harness):
    await harness.put_claims([SWEPT_AGE_S])
    await harness.client.put(SWEEP_RECORD_KEY, b"{", mechanism=ControlMechanism.CLAIMS)
    assert await harness.make_sweeper("agent-2", NOW_S).sweep_if_due() is None
    later = harness.make_sweeper("agent-1", NOW_S + SWEEP_INTERVAL_S)
    assert await later.sweep_if_due() == 1
