"""Exchange of credit for backend servers that limit the rate of requests.

For each limited server, one router keeps the credit: the first of all routers by a hash
that every router computes alike. The others ask it for credit, by datagram, for each
request that they would send. A router whose question is not answered sends its request
elsewhere, and asks the next router by the hash. That one gives credit only once the
first has not answered its questions either, so that no two routers do at a time.

Credit that is given twice for a cold server makes it crash. There the keeper also needs
the votes of most of the first routers by the hash, for a short time; each of them votes
for one router at a time. So a router that is cut off from these gives no credit.
"""

import asyncio
import random
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from enum import Enum

import xxhash

from bilberryspring.capability.routing import BackendServer
from bilberryspring.connection.cold_messages import ColdReport
from bilberryspring.connection.limit_messages import (
    MAX_CREDITS,
    CreditMessage,
    LimitReport,
    decode_credit_message,
    encode_credit_message,
)
from bilberryspring.connection.load_messages import NameHash, hash_name
from bilberryspring.policy.rate_credits import compute_credit, compute_denial_s
from bilberryspring.process.keeper_votes import make_keeper_votes
from bilberryspring.process.logs import log_event
from bilberryspring.process.server_rates import ServerRates
from bilberryspring.request.decaying_sum import DecayingSum
from bilberryspring.request.errors import Failure

__all__ = ["CreditExchange", "CreditState", "ServerKey", "make_credit_exchange"]

# A question to a sound router is answered within a few round trips.
ANSWER_TIMEOUT_S = 0.1
# A router that did not answer is not asked again for this time, unless it sends
# something; the time doubles with each further question without an answer.
SILENCE_BACKOFF_S = 0.5
MAX_SILENCE_BACKOFF_S = 8.0
# A router counts as alive for this long after its last message, and then has to answer
# one of several probes.
ALIVE_S = 0.5
PROBES = 3
PROBE_INTERVAL_S = 0.15
# A router that answered none counts as down for this long, and is then probed again.
DOWN_S = 3.0
TAKEOVER_RETRY_S = 0.15
# Routers that vote on the keeper of a cold server's credit.
VOTERS = 9
# Votes arrive within a round trip.
VOTES_RETRY_S = 0.03
# Ranks of the routers are computed again after this time.
RANKING_LIFETIME_S = 0.25
# Besides the routers that are listed, those count that sent something within this time.
HEARD_LIFETIME_S = 5.0
# A router that starts gives no credit before it knows the others.
START_DELAY_S = 1.5
# Credit that was given for a request which went elsewhere is kept for others.
CREDIT_LIFETIME_S = 0.2
# A router asks for what it spends in this time: a high limit takes few messages.
QUESTION_INTERVAL_S = 0.1
SPENDING_TIME_S = 1.0
# Routers that asked within this time compete for the credit.
COMPETITION_S = 4.0
# Bounds on what is kept for each limited server and for each router.
MAX_ACCOUNTS = 4096
MAX_KNOWN_ROUTERS = 4096
MAX_RANKINGS = 64

ServerKey = tuple[NameHash, int]


class CreditState(Enum):
    """Whether a request may be sent to a server.

    ``UNKNOWN`` means that credit has to be asked for first, ``DENIED`` that there is
    none for now.
    """

    UNLIMITED = "unlimited"
    HELD = "held"
    UNKNOWN = "unknown"
    DENIED = "denied"


@dataclass(slots=True)
class _Account:
    """Credit of one server, at the router that gives it; times are monotonic.

    :param credit: requests that may be sent now.
    :param updated_s: when the credit was computed.
    :param asked_s: when each router last asked, the latest last.
    """

    credit: float
    updated_s: float
    asked_s: OrderedDict[str, float] = field(default_factory=OrderedDict)


@dataclass(slots=True)
class _Purse:
    """Credit of this router for one server; times are monotonic.

    :param expires_s: end of each request's credit, the earliest first.
    :param denied_until_s: until when no credit is to be had.
    :param denied_rate_per_s: limit of the server at that denial.
    :param waiting: open questions by number.
    :param spent: requests that credit was spent on lately.
    """

    expires_s: list[float] = field(default_factory=list)
    denied_until_s: float = 0.0
    denied_rate_per_s: float = 0.0
    waiting: dict[int, "asyncio.Future[bool]"] = field(default_factory=dict)
    spent: DecayingSum = field(default_factory=lambda: DecayingSum(SPENDING_TIME_S))


@dataclass(slots=True)
class _Router:
    """What is known of another router; times are monotonic.

    :param heard_s: when it last sent a message.
    :param silent_until_s: until when it is not asked.
    :param unanswered: questions without an answer since it last sent a message.
    :param probes_left: probes that are still to be sent, one more than that while the
        last one may be answered; zero if it is not probed.
    :param down_until_s: until when it counts as down; it does until it sends something
        while it is probed again.
    """

    heard_s: float = -1e9
    silent_until_s: float = 0.0
    unanswered: int = 0
    probes_left: int = 0
    down_until_s: float | None = None


class CreditExchange:
    """Credit of this router for limited servers, and of others that ask it.

    :param ip: IP address of this router.
    :param rates: lowest rate in force at each server.
    :param list_addresses: returns the IP addresses of the other routers.
    :param send: sends a datagram to the router at an address.
    :param read_clock: monotonic clock, in seconds.
    :ivar credit_callbacks: called with a server's key when credit for it arrives.
    """

    def __init__(
        self,
        ip: str,
        rates: ServerRates,
        list_addresses: Callable[[], list[str]],
        send: Callable[[bytes, str], None],
        read_clock: Callable[[], float] = time.monotonic,
    ):
        self._ip = ip
        self._rates = rates
        self._list_addresses = list_addresses
        self._read_clock = read_clock
        self._send_datagram = send
        self._started_s = read_clock()
        self._accounts: OrderedDict[ServerKey, _Account] = OrderedDict()
        self._purses: OrderedDict[ServerKey, _Purse] = OrderedDict()
        self._routers: OrderedDict[str, _Router] = OrderedDict()
        self._rankings: OrderedDict[ServerKey, tuple[float, list[str]]] = OrderedDict()
        self._votes = make_keeper_votes(ip, read_clock)
        self._next_number = random.getrandbits(31)
        self.credit_callbacks: list[Callable[[ServerKey], None]] = []

    def get_state(self, server: BackendServer) -> CreditState:
        """Return whether a request may be sent to a server.

        :param server: the server.
        """
        rate_per_s = self._rates.find_rate_per_s(server)
        if rate_per_s is None:
            return CreditState.UNLIMITED
        now_s = self._read_clock()
        purse = self._purses.get(_make_key(server))
        if purse is None:
            return CreditState.UNKNOWN
        if purse.expires_s and purse.expires_s[-1] > now_s:
            return CreditState.HELD
        # A denial that was made for a lower limit says nothing.
        if now_s < purse.denied_until_s and rate_per_s <= purse.denied_rate_per_s:
            return CreditState.DENIED
        return CreditState.UNKNOWN

    def is_asking(self, server: BackendServer) -> bool:
        """Return whether a question about a server is not answered yet.

        :param server: the server.
        """
        purse = self._purses.get(_make_key(server))
        return purse is not None and bool(purse.waiting)

    def spend(self, server: BackendServer) -> bool:
        """Use credit for one request.

        :param server: the server that the request is sent to.
        :returns: whether the request may be sent.
        """
        if self._rates.find_rate_per_s(server) is None:
            return True
        purse = self._purses.get(_make_key(server))
        now_s = self._read_clock()
        while purse is not None and purse.expires_s:
            if purse.expires_s.pop(0) > now_s:
                purse.spent.add(1.0, now_s)
                return True
        return False

    def return_credit(self, server: BackendServer) -> None:
        """Give back credit for a request that was not sent.

        :param server: the server.
        """
        if self._rates.find_rate_per_s(server) is not None:
            self._add_credit(_make_key(server), 1)

    async def request(self, server: BackendServer) -> bool:
        """Ask for credit for one request, and wait for the reply.

        :param server: the server.
        :returns: whether credit arrived; it is held for a short time.
        """
        answer = self.ask(server)
        if answer is None:
            return self.get_state(server) is CreditState.HELD
        return await answer

    def ask(self, server: BackendServer) -> "asyncio.Future[bool] | None":
        """Ask for credit for one request, or a few, without waiting.

        :param server: the server.
        :returns: whether credit arrived, later; ``None`` if that is known now.
        """
        key = _make_key(server)
        purse = self._get_purse(key)
        keeper = self._find_keeper(key)
        self._next_number += 1
        number = self._next_number & 0xFFFF_FFFF
        limit, cold = self._rates.find_reports(*key)
        wanted = 1 + int(purse.spent.rate(self._read_clock()) * QUESTION_INTERVAL_S)
        question = CreditMessage(
            *key,
            number,
            False,
            min(wanted, MAX_CREDITS),
            statement=limit,
            cold=cold,
        )
        if keeper == self._ip:
            self._apply_reply(self._answer(question, self._ip), self._ip)
            return None
        loop = asyncio.get_running_loop()
        answer = loop.create_future()
        purse.waiting[number] = answer
        loop.call_later(ANSWER_TIMEOUT_S, self._give_up, key, number, keeper)
        self._send(question, keeper)
        return answer

    def _give_up(self, key: ServerKey, number: int, keeper: str) -> None:
        purse = self._purses.get(key)
        answer = None if purse is None else purse.waiting.pop(number, None)
        if answer is None or answer.done():
            return
        answer.set_result(False)
        router, now_s = self._get_router(keeper), self._read_clock()
        if now_s < router.silent_until_s or router.heard_s > now_s - ANSWER_TIMEOUT_S:
            return
        backoff_s = min(SILENCE_BACKOFF_S * 2**router.unanswered, MAX_SILENCE_BACKOFF_S)
        router.unanswered = min(router.unanswered + 1, 16)
        router.silent_until_s = now_s + backoff_s
        if router.unanswered > 1:
            log_event("credit_keeper_silent", peer=keeper, pause_s=backoff_s)

    def _find_keeper(self, key: ServerKey) -> str:
        """Return the router that this router asks for credit."""
        now_s = self._read_clock()
        for ip in self._rank_routers(key):
            router = self._routers.get(ip)
            if ip == self._ip or router is None:
                return ip
            if now_s >= router.silent_until_s and router.down_until_s is None:
                return ip
        return self._ip

    def _rank_routers(self, key: ServerKey) -> list[str]:
        """Return the addresses of all routers, the keeper of the credit first."""
        now_s = self._read_clock()
        ranking = self._rankings.get(key)
        if ranking is None or now_s >= ranking[0]:
            addresses = {*self._list_addresses(), self._ip}
            addresses |= {
                ip
                for ip, router in self._routers.items()
                if now_s - router.heard_s < HEARD_LIFETIME_S
            }
            self._votes.add_routers(addresses)
            ranked = _rank(key, addresses)
            ranking = self._rankings[key] = now_s + RANKING_LIFETIME_S, ranked
            while len(self._rankings) > MAX_RANKINGS:
                self._rankings.popitem(last=False)
        return ranking[1]

    def receive(self, data: bytes, ip: str) -> None:
        """Answer a question, or apply the reply to one.

        :param data: content of the datagram.
        :param ip: IP address of the sender.
        """
        message = decode_credit_message(data)
        if isinstance(message, Failure):
            log_event("bad_frame", level="WARNING", peer=ip, why=message.reason)
            return
        router, now_s = self._get_router(ip), self._read_clock()
        if now_s - router.heard_s > HEARD_LIFETIME_S:
            self._rankings.clear()
        if message.is_starting:
            # The next one by the hash goes on giving credit meanwhile.
            router.silent_until_s = now_s + SILENCE_BACKOFF_S
        else:
            router.heard_s = now_s
            router.silent_until_s = 0.0
            router.unanswered = 0
            router.probes_left = 0
            router.down_until_s = None
        self._rates.merge(message.statement, message.cold, ip)
        if message.is_reply and message.has_vote:
            key = message.server, message.started_at_ms
            self._votes.record_vote(key, message.number, ip)
        if message.is_reply:
            self._apply_reply(message, ip)
        elif message.releases_vote:
            self._votes.take_back((message.server, message.started_at_ms), ip)
        else:
            self._send(self._answer(message, ip), ip)

    def _answer(self, question: CreditMessage, ip: str) -> CreditMessage:
        """Give credit, or say when another question may be granted."""
        key = question.server, question.started_at_ms
        if question.has_vote and self._votes.has_ballot(key):
            ranked = self._rank_routers(key)
            if ip in ranked[: ranked.index(self._ip)]:
                # It is back, and the others ask only that one.
                self._release_votes(key)
        granted, retry_s = 0, 0.0
        reports: tuple[LimitReport | None, ColdReport | None] = None, None
        if question.credits:
            reports = self._rates.find_reports(*key)
            rate_per_s = self._rates.find_rate_by_key(*key)
            if rate_per_s is not None:
                granted, retry_s = self._give_credit(
                    key, rate_per_s, ip, question.credits
                )
        return CreditMessage(
            *key,
            question.number,
            True,
            granted,
            retry_s,
            *reports,
            question.has_vote and self._votes.vote_for(key, ip),
        )

    def _give_credit(
        self, key: ServerKey, rate_per_s: float, ip: str, wanted: int
    ) -> tuple[int, float]:
        now_s = self._read_clock()
        if not self._may_give_credit(key, now_s):
            self._accounts.pop(key, None)
            self._release_votes(key)
            return 0, TAKEOVER_RETRY_S * random.uniform(1.0, 2.0)
        if self._rates.needs_votes(*key) and not self._has_votes(key):
            self._accounts.pop(key, None)
            return 0, VOTES_RETRY_S * random.uniform(1.0, 2.0)
        account = self._accounts.get(key)
        if account is None:
            account = self._accounts[key] = _Account(0.0, now_s)
            while len(self._accounts) > MAX_ACCOUNTS:
                self._accounts.popitem(last=False)
        elapsed_s = now_s - account.updated_s
        account.credit = compute_credit(account.credit, rate_per_s, elapsed_s)
        account.updated_s = now_s
        account.asked_s.pop(ip, None)
        account.asked_s[ip] = now_s
        while next(iter(account.asked_s.values())) < now_s - COMPETITION_S:
            account.asked_s.popitem(last=False)
        if account.credit >= 1.0:
            granted = min(wanted, int(account.credit))
            account.credit -= granted
            return granted, 0.0
        return 0, compute_denial_s(
            account.credit, rate_per_s, len(account.asked_s), random.random()
        )

    def _may_give_credit(self, key: ServerKey, now_s: float) -> bool:
        """Return whether no router before this one gives credit for a server."""
        ranked = self._rank_routers(key)
        if len(ranked) == 1:
            return True
        if self._is_starting():
            return False
        number = ranked.index(self._ip)
        if key not in self._accounts:
            # The next ones learn that this router is back.
            for ip in ranked[number + 1 : number + 3]:
                self._send(self._make_probe(key), ip)
        if not self._rates.needs_votes(*key):
            return all(self._is_down(key, ip, now_s) for ip in ranked[:number])
        # Votes keep two routers from giving credit, so that one probe each is enough.
        before = [(self._is_down(key, ip, now_s), ip) for ip in ranked[:number]]
        return all(is_down or self._is_silent(ip) for is_down, ip in before)

    def _is_silent(self, ip: str) -> bool:
        """Return whether a router did not answer the first of several probes."""
        return 0 < self._get_router(ip).probes_left < PROBES

    def _list_voters(self, key: ServerKey) -> list[str]:
        return _rank(key, self._votes.list_routers())[:VOTERS]

    def _release_votes(self, key: ServerKey) -> None:
        """Let the voters vote for a router before this one at once."""
        if not self._votes.release(key):
            return
        for ip in self._list_voters(key):
            self._next_number += 1
            number = self._next_number & 0xFFFF_FFFF
            if ip != self._ip:
                message = CreditMessage(*key, number, False, 0, releases_vote=True)
                self._send(message, ip)

    def _has_votes(self, key: ServerKey) -> bool:
        """Return whether this router alone gives credit; ask for votes if needed."""
        voters = self._list_voters(key)
        if self._votes.is_round_due(key):
            self._next_number += 1
            number = self._next_number & 0xFFFF_FFFF
            self._votes.begin_round(key, number)
            for ip in voters:
                if ip == self._ip:
                    if self._votes.vote_for(key, ip):
                        self._votes.record_vote(key, number, ip)
                else:
                    question = CreditMessage(*key, number, False, 0, has_vote=True)
                    self._send(question, ip)
        return self._votes.has_majority(key, voters)

    def _is_down(self, key: ServerKey, ip: str, now_s: float) -> bool:
        """Return whether a router answered no probe; probe it if that is unknown."""
        router = self._get_router(ip)
        if now_s - router.heard_s < ALIVE_S:
            return False
        is_down = router.down_until_s is not None
        if not router.probes_left and not (is_down and now_s < router.down_until_s):
            router.probes_left = PROBES + 1
            self._probe(key, ip)
        return is_down

    def _probe(self, key: ServerKey, ip: str) -> None:
        """Send one of several probes, unless the router has answered meanwhile."""
        router = self._get_router(ip)
        if not router.probes_left:
            return
        router.probes_left -= 1
        if not router.probes_left:
            if router.down_until_s is None:
                log_event("credit_keeper_down", peer=ip)
            router.down_until_s = self._read_clock() + DOWN_S
            return
        self._send(self._make_probe(key), ip)
        loop = asyncio.get_running_loop()
        loop.call_later(PROBE_INTERVAL_S, self._probe, key, ip)

    def _make_probe(self, key: ServerKey) -> CreditMessage:
        self._next_number += 1
        return CreditMessage(*key, self._next_number & 0xFFFF_FFFF, False, 0)

    def _apply_reply(self, message: CreditMessage, ip: str) -> None:
        key = message.server, message.started_at_ms
        purse = self._purses.get(key)
        if purse is None:
            return
        answer = purse.waiting.pop(message.number, None)
        credits = min(message.credits, MAX_CREDITS)
        if credits:
            purse.denied_until_s = 0.0
            self._add_credit(key, credits)
        elif message.is_starting:
            pass
        elif answer is not None or ip == self._ip:
            rate_per_s = self._rates.find_rate_by_key(*key)
            if rate_per_s is not None:
                purse.denied_until_s = self._read_clock() + message.retry_s
                purse.denied_rate_per_s = rate_per_s
        if answer is not None and not answer.done():
            answer.set_result(credits > 0)
        if credits:
            for callback in self.credit_callbacks:
                callback(key)

    def _add_credit(self, key: ServerKey, credits: int) -> None:
        purse = self._get_purse(key)
        until_s = self._read_clock() + CREDIT_LIFETIME_S
        purse.expires_s += [until_s] * credits
        del purse.expires_s[:-MAX_CREDITS]

    def _get_purse(self, key: ServerKey) -> _Purse:
        purse = self._purses.get(key)
        if purse is None:
            purse = self._purses[key] = _Purse()
            while len(self._purses) > MAX_ACCOUNTS:
                self._purses.popitem(last=False)
        return purse

    def _get_router(self, ip: str) -> _Router:
        router = self._routers.get(ip)
        if router is None:
            router = self._routers[ip] = _Router()
            while len(self._routers) > MAX_KNOWN_ROUTERS:
                self._routers.popitem(last=False)
        return router

    def _is_starting(self) -> bool:
        """Return whether this router does not know the others well enough yet."""
        return self._read_clock() < self._started_s + START_DELAY_S

    def _send(self, message: CreditMessage, ip: str) -> None:
        if self._is_starting() and self._rates.needs_votes(
            message.server, message.started_at_ms
        ):
            message = replace(message, is_starting=True)
        self._send_datagram(encode_credit_message(message), ip)


def _rank(key: ServerKey, addresses: Iterable[str]) -> list[str]:
    """Return addresses in the order in which all routers rank them for a server."""
    seed = key[0] ^ key[1]
    return sorted(addresses, key=lambda ip: xxhash.xxh3_64_intdigest(ip.encode(), seed))


def _make_key(server: BackendServer) -> ServerKey:
    return hash_name(server.server_id), server.started_at_ms


def _drop(data: bytes, ip: str) -> None:
    """Send nothing, where there are no other routers."""


def make_credit_exchange(
    ip: str,
    rates: ServerRates,
    list_addresses: Callable[[], list[str]] = list,
    send: Callable[[bytes, str], None] = _drop,
    read_clock: Callable[[], float] = time.monotonic,
) -> CreditExchange:
    """Return an exchange without credit.

    :param ip: IP address of this router.
    :param rates: lowest rate in force at each server.
    :param list_addresses: returns the IP addresses of the other routers; by default,
        there are none, and this router keeps the credit of all servers.
    :param send: sends a datagram to the router at an address.
    :param read_clock: monotonic clock, in seconds.
    """
    return CreditExchange(ip, rates, list_addresses, send, read_clock)
