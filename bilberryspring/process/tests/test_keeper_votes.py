"""Credit of a cold server is given by one router at a time, whatever links fail."""

import asyncio

import pytest

from bilberryspring.capability.routing import PoolLimits
from bilberryspring.policy.tests.fleet_replay import seeded
from bilberryspring.process import keeper_votes
from bilberryspring.process.credit_exchange import START_DELAY_S
from bilberryspring.process.keeper_votes import make_keeper_votes
from bilberryspring.process.tests.test_credit_exchange import KEY, SERVER, Fleet, run

RATE_PER_S = 10.0
POOL = PoolLimits(SERVER.pool, 10, None, cold_start_s=60.0, cold_per_s=RATE_PER_S)
BOUND = 1.5 * RATE_PER_S + 5


class SplitFleet(Fleet):
    """Routers of which some reach others only on their own side."""

    sides = ()

    def send(self, data, sender, to):
        if not self.sides or any({sender, to} <= side for side in self.sides):
            super().send(data, sender, to)

    def turn_cold(self):
        for cold in self.cold.values():
            cold.set_pools({POOL.name: POOL})
            cold.set_bound(1.5, 5.0)
            cold.record_answer(SERVER, 60.0, asyncio.get_running_loop().time())


def find_most(sent_s):
    return max(sum(at_s <= each < at_s + 1.0 for each in sent_s) for at_s in sent_s)


@pytest.mark.parametrize("cut_off", [1, 2, 4])
@pytest.mark.parametrize("with_keeper", [True, False])
def test_only_the_larger_side_of_a_split_fleet_gives_credit(cut_off, with_keeper):
    async def check():
        fleet, loop = SplitFleet(9), asyncio.get_running_loop()
        await asyncio.sleep(START_DELAY_S)
        fleet.turn_cold()
        ranked = fleet.rank()
        smaller = set(ranked[:cut_off] if with_keeper else ranked[-cut_off:])
        larger = set(ranked) - smaller

        def split():
            fleet.sides = smaller, larger

        loop.call_later(2.0, split)
        results = await asyncio.gather(
            fleet.send_for(8.0, smaller), fleet.send_for(8.0, larger)
        )
        split_s = START_DELAY_S + 2.0
        assert find_most([*results[0], *results[1]]) <= BOUND
        assert not [at_s for at_s in results[0] if at_s > split_s + 1.0]
        late = [at_s for at_s in results[1] if at_s > split_s + 2.5]
        assert len(late) >= 0.9 * 3.5 * RATE_PER_S

    run(check)


def test_two_routers_that_do_not_hear_each_other_do_not_both_give_credit():
    async def check():
        fleet = SplitFleet(9)
        await asyncio.sleep(START_DELAY_S)
        fleet.turn_cold()
        first, second, *others = fleet.rank()
        fleet.sides = {first, *others}, {second, *others}
        sent_s = await fleet.send_for(8.0)
        assert find_most(sent_s) <= BOUND
        assert len(sent_s) >= 0.7 * 8.0 * RATE_PER_S

    run(check)


def test_router_that_starts_alone_gives_no_credit():
    async def check():
        fleet = SplitFleet(3)
        await asyncio.sleep(START_DELAY_S)
        lone = "10.0.0.3"
        fleet.sides = {lone}, set(fleet.exchanges)
        fleet.start(lone)
        fleet.turn_cold()
        assert not await fleet.send_for(5.0, [lone])
        assert len(await fleet.send_for(3.0, ["10.0.0.0"])) >= 0.6 * 3.0 * RATE_PER_S

    run(check)


def test_only_router_of_a_fleet_gives_credit():
    async def check():
        fleet = SplitFleet(1)
        fleet.turn_cold()
        assert len(await fleet.send_for(3.0)) >= 0.9 * 3.0 * RATE_PER_S

    run(check)


def test_vote_binds_longer_than_it_counts():
    class Clock:
        now_s = 100.0

    clock = Clock()
    voter = make_keeper_votes("v", lambda: clock.now_s)
    voter.add_routers(["v", "a", "b"])
    # A router that has just started may have voted before.
    assert not voter.vote_for(KEY, "a")
    clock.now_s += keeper_votes.VOTE_BINDS_S
    assert voter.vote_for(KEY, "a")
    keeper = make_keeper_votes("a", lambda: clock.now_s)
    keeper.add_routers(["v", "a", "b"])
    keeper.begin_round(KEY, 1)
    keeper.record_vote(KEY, 1, "v")
    keeper.record_vote(KEY, 1, "a")
    assert keeper.has_majority(KEY, ["v", "a", "b"])
    clock.now_s += keeper_votes.VOTE_LIFETIME_S
    assert not keeper.has_majority(KEY, ["v", "a", "b"])
    assert not voter.vote_for(KEY, "b")
    clock.now_s += keeper_votes.VOTE_BINDS_S - keeper_votes.VOTE_LIFETIME_S
    assert voter.vote_for(KEY, "b") and not voter.vote_for(KEY, "a")


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5])
def test_credit_goes_on_when_the_keeper_comes_back(seed):
    async def check():
        fleet, loop = SplitFleet(9), asyncio.get_running_loop()
        await asyncio.sleep(START_DELAY_S)
        fleet.turn_cold()
        keeper, *others = fleet.rank()

        def start():
            fleet.start(keeper)
            fleet.turn_cold()

        loop.call_later(1.0, fleet.exchanges.pop, keeper)
        loop.call_later(3.0, start)
        sent_s = await fleet.send_for(7.0, others)
        assert find_most(sent_s) <= BOUND
        # The others give credit until it knows the fleet, and it gives credit then.
        back_s = 2 * START_DELAY_S + 3.0
        gaps_s = [
            later - earlier
            for earlier, later in zip(sent_s, sent_s[1:], strict=False)
            if later > back_s - START_DELAY_S
        ]
        # The returned keeper doesn't wait for the others' votes to end.
        assert max(gaps_s) < keeper_votes.VOTE_BINDS_S

    with seeded(seed):
        run(check)
