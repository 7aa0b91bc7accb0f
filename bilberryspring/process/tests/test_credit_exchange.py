"""Credit for limited servers, given by one router to all others."""

import asyncio
import math
from contextlib import contextmanager

import pytest

from bilberryspring.connection.limit_messages import (
    CreditMessage,
    LimitReport,
    decode_credit_message,
    encode_credit_message,
)
from bilberryspring.connection.load_messages import hash_name
from bilberryspring.load.virtual_clock import run_on_virtual_clock
from bilberryspring.policy.rate_credits import compute_bucket_size
from bilberryspring.process.cold_servers import make_cold_servers
from bilberryspring.process.credit_exchange import (
    START_DELAY_S,
    CreditState,
    make_credit_exchange,
)
from bilberryspring.process.server_limits import make_server_limits
from bilberryspring.process.server_rates import make_server_rates
from bilberryspring.request.errors import ErrorKind
from bilberryspring.request.tests.relay_fixtures import make_server

SERVER = make_server("a")
KEY = hash_name("a"), SERVER.started_at_ms
DELAY_S = 0.001


class Fleet:
    """Credit exchanges of several routers on a network without loss."""

    def __init__(self, count):
        self.exchanges = {}
        self.limits = {}
        self.cold = {}
        self.messages = 0
        for number in range(count):
            self.start(f"10.0.0.{number}")

    def start(self, ip):
        loop = asyncio.get_running_loop()
        self.limits[ip] = make_server_limits(loop.time)
        self.cold[ip] = make_cold_servers(loop.time)
        self.exchanges[ip] = make_credit_exchange(
            ip,
            make_server_rates(self.limits[ip], self.cold[ip]),
            lambda: [*self.exchanges],
            lambda data, to, ip=ip: self.send(data, ip, to),
            loop.time,
        )

    def send(self, data, sender, to):
        self.messages += 1
        loop = asyncio.get_running_loop()
        loop.call_later(DELAY_S, self.deliver, data, sender, to)

    def deliver(self, data, sender, to):
        if to in self.exchanges:
            self.exchanges[to].receive(data, sender)

    def state_limit(self, rate_per_s):
        now_s = asyncio.get_running_loop().time()
        for limits in self.limits.values():
            limits.record_answer(SERVER, rate_per_s, now_s)

    def rank(self):
        exchange = next(iter(self.exchanges.values()))
        exchange._rankings.clear()
        return exchange._rank_routers(KEY)

    async def send_for(self, duration_s, ips=None):
        """Send all that credit allows; return when each request was sent."""
        loop, sent_s = asyncio.get_running_loop(), []
        end_s = loop.time() + duration_s

        async def use(ip):
            while loop.time() < end_s:
                exchange = self.exchanges.get(ip)
                if exchange is None:
                    return
                if exchange.get_state(SERVER) is CreditState.UNKNOWN:
                    await exchange.request(SERVER)
                if exchange.get_state(SERVER) is CreditState.HELD:
                    assert exchange.spend(SERVER)
                    sent_s.append(loop.time())
                await asyncio.sleep(0.01)

        await asyncio.gather(*(use(ip) for ip in ips or list(self.exchanges)))
        return sent_s


def run(test):
    return run_on_virtual_clock(test())


@contextmanager
def no_time():
    begun_s = asyncio.get_running_loop().time()
    yield
    assert asyncio.get_running_loop().time() == begun_s


def test_server_without_a_limit_needs_no_credit():
    async def check():
        fleet = Fleet(3)
        exchange = fleet.exchanges["10.0.0.1"]
        assert exchange.get_state(SERVER) is CreditState.UNLIMITED
        assert exchange.spend(SERVER)
        assert fleet.messages == 0

    run(check)


@pytest.mark.parametrize("rate_per_s", [0.5, 5.0, 50.0])
@pytest.mark.parametrize("count", [1, 5, 68])
def test_routers_send_together_what_a_limit_allows(count, rate_per_s):
    async def check():
        fleet = Fleet(count)
        await asyncio.sleep(START_DELAY_S)
        fleet.state_limit(rate_per_s)
        sent_s = await fleet.send_for(12.0)
        allowed = 12.0 * rate_per_s
        assert 0.9 * allowed - 1 <= len(sent_s) <= allowed + 1

    run(check)


def test_one_router_gets_the_whole_limit_where_the_others_have_no_demand():
    async def check():
        fleet = Fleet(30)
        await asyncio.sleep(START_DELAY_S)
        fleet.state_limit(10.0)
        assert len(await fleet.send_for(6.0, ["10.0.0.7"])) >= 0.9 * 60

    run(check)


@pytest.mark.parametrize("down_s", [1.0, 100.0])
def test_credit_goes_on_at_the_limit_when_its_keeper_is_killed(down_s):
    async def check():
        fleet, loop = Fleet(9), asyncio.get_running_loop()
        await asyncio.sleep(START_DELAY_S)
        fleet.state_limit(10.0)
        keeper = fleet.rank()[0]

        def kill():
            del fleet.exchanges[keeper]
            loop.call_later(down_s, fleet.start, keeper)

        others = [ip for ip in fleet.exchanges if ip != keeper]
        loop.call_later(2.0, kill)
        sent_s = await fleet.send_for(10.0, others)
        allowed = 4.0 * 10.0
        for begin_s in sent_s:
            count = sum(begin_s <= at_s <= begin_s + 4.0 for at_s in sent_s)
            assert count <= 1.2 * allowed + 3
        assert len(sent_s) >= 0.7 * 100

    run(check)


def test_router_that_joins_first_in_rank_does_not_double_the_credit():
    async def check():
        fleet, loop = Fleet(5), asyncio.get_running_loop()
        await asyncio.sleep(START_DELAY_S)
        fleet.state_limit(10.0)
        number = 5
        while fleet.rank()[0] != f"10.0.0.{number - 1}":
            number += 1
            fleet.start(f"10.0.0.{number - 1}")
        joining = fleet.rank()[0]
        fleet.exchanges.pop(joining)
        await asyncio.sleep(1.0)
        fleet.state_limit(10.0)
        loop.call_later(2.0, fleet.start, joining)
        sent_s = await fleet.send_for(8.0)
        for begin_s in sent_s:
            count = sum(begin_s <= at_s <= begin_s + 4.0 for at_s in sent_s)
            assert count <= 1.2 * 40 + 3
        assert len(sent_s) >= 0.6 * 80

    run(check)


def test_credit_that_nobody_asks_for_is_not_kept():
    async def check():
        fleet = Fleet(5)
        await asyncio.sleep(START_DELAY_S)
        fleet.state_limit(10.0)
        await fleet.send_for(1.0)
        await asyncio.sleep(30.0)
        assert len(await fleet.send_for(0.1)) <= compute_bucket_size(10.0) + 2

    run(check)


def test_credit_of_a_request_that_was_not_sent_can_be_used_by_another():
    async def check():
        fleet = Fleet(1)
        fleet.state_limit(1.0)
        (exchange,) = fleet.exchanges.values()
        await asyncio.sleep(1.5)
        await exchange.request(SERVER)
        await asyncio.sleep(1.5)
        await exchange.request(SERVER)
        assert exchange.spend(SERVER)
        assert not exchange.spend(SERVER)
        exchange.return_credit(SERVER)
        assert exchange.spend(SERVER)

    run(check)


def test_malformed_message_is_ignored():
    async def check():
        fleet = Fleet(2)
        for content in (b"", b"\xff" * 5, b"\xff" * 5 + b"\x10\x05", bytes(100)):
            with no_time():
                fleet.exchanges["10.0.0.0"].receive(content, "10.0.0.1")
        assert fleet.messages == 0

    run(check)


@pytest.mark.parametrize("rate_per_s", [-5.0, 1e-9, math.inf, math.nan])
def test_message_with_an_impossible_limit_is_refused(rate_per_s):
    report = LimitReport(*KEY, rate_per_s, 0.2, 0.1, 9)
    message = CreditMessage(*KEY, 1, False, 1, statement=report)
    refusal = decode_credit_message(encode_credit_message(message))
    assert refusal.kind is ErrorKind.MALFORMED_REQUEST
