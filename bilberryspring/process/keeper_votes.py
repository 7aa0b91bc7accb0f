"""Votes of routers on which of them gives the credit of a cold server.

A vote counts for a short time from when it was asked for, and binds its voter for
longer from when it was given. A router that starts has forgotten its votes, so it gives
none until the longest of them has ended.
"""

import time
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from bilberryspring.connection.load_messages import NameHash
from bilberryspring.process.logs import log_event

__all__ = ["KeeperVotes", "make_keeper_votes"]

ServerKey = tuple[NameHash, int]
ROUND_INTERVAL_S = 0.2
# Two rounds may be lost.
VOTE_LIFETIME_S = 0.65
VOTE_BINDS_S = 0.85
# A router that is down or cut off counts among the voters for this long.
ROUTER_MEMORY_S = 60.0
MAX_ROUTERS = 4096
MAX_VOTES = 4096
MAX_ROUNDS = 8


@dataclass(slots=True)
class _Ballot:
    """Votes for this router as the keeper of one server; times are monotonic.

    :param rounds: when each of the latest rounds was asked, by number.
    :param asked_s: for each voter, when the vote was asked that it gave last.
    :param has_majority: whether there was one at the last look.
    """

    rounds: OrderedDict[int, float] = field(default_factory=OrderedDict)
    asked_s: dict[str, float] = field(default_factory=dict)
    has_majority: bool = True


class KeeperVotes:
    """Votes that this router has, and those that it gave.

    :param ip: IP address of this router.
    :param read_clock: monotonic clock, in seconds.
    """

    def __init__(self, ip: str, read_clock: Callable[[], float] = time.monotonic):
        self._ip = ip
        self._read_clock = read_clock
        self._started_s = read_clock()
        self._known_s: OrderedDict[str, float] = OrderedDict()
        self._ballots: OrderedDict[ServerKey, _Ballot] = OrderedDict()
        self._given: OrderedDict[ServerKey, tuple[str, float]] = OrderedDict()

    def add_routers(self, ips: Iterable[str]) -> None:
        """Record which routers there are.

        :param ips: IP addresses.
        """
        now_s = self._read_clock()
        for ip in ips:
            self._known_s[ip] = now_s
            self._known_s.move_to_end(ip)
        while len(self._known_s) > MAX_ROUTERS or (
            next(iter(self._known_s.values())) < now_s - ROUTER_MEMORY_S
        ):
            self._known_s.popitem(last=False)

    def list_routers(self) -> list[str]:
        """Return the routers that there are or lately were, with this one."""
        return [*{**self._known_s, self._ip: 0.0}]

    def has_ballot(self, key: ServerKey) -> bool:
        """Return whether this router asked for votes lately.

        :param key: hash and start of the server.
        """
        return key in self._ballots

    def is_round_due(self, key: ServerKey) -> bool:
        """Return whether the voters have to be asked again.

        :param key: hash and start of the server.
        """
        ballot = self._ballots.get(key)
        if ballot is None or not ballot.rounds:
            return True
        latest_s = next(reversed(ballot.rounds.values()))
        return self._read_clock() >= latest_s + ROUND_INTERVAL_S

    def begin_round(self, key: ServerKey, number: int) -> None:
        """Record that the voters are asked now.

        :param key: hash and start of the server.
        :param number: number of the question.
        """
        ballot = self._ballots.setdefault(key, _Ballot())
        self._ballots.move_to_end(key)
        ballot.rounds[number] = self._read_clock()
        while len(ballot.rounds) > MAX_ROUNDS:
            ballot.rounds.popitem(last=False)
        while len(self._ballots) > MAX_VOTES:
            self._ballots.popitem(last=False)

    def record_vote(self, key: ServerKey, number: int, ip: str) -> None:
        """Record a vote for this router.

        :param key: hash and start of the server.
        :param number: number of the question that the voter answers.
        :param ip: IP address of the voter.
        """
        ballot = self._ballots.get(key)
        asked_s = None if ballot is None else ballot.rounds.get(number)
        if asked_s is not None and (ip in self._known_s or ip == self._ip):
            ballot.asked_s[ip] = max(asked_s, ballot.asked_s.get(ip, asked_s))

    def has_majority(self, key: ServerKey, voters: Sequence[str]) -> bool:
        """Return whether more than half of the voters vote for this router.

        :param key: hash and start of the server.
        :param voters: IP addresses of the voters.
        """
        ballot = self._ballots[key]
        since_s = self._read_clock() - VOTE_LIFETIME_S
        votes = sum(ballot.asked_s.get(ip, since_s) > since_s for ip in voters)
        has_majority = votes > len(voters) / 2
        # Voters that were asked in a few rounds lately have had time to answer.
        has_asked = sum(at_s > since_s for at_s in ballot.rounds.values()) > 2
        if has_asked and ballot.has_majority and not has_majority:
            log_event("credit_votes_missing", votes=votes, voters=len(voters))
        ballot.has_majority = has_majority or (ballot.has_majority and not has_asked)
        return has_majority

    def release(self, key: ServerKey) -> bool:
        """Give up the votes for this router.

        :param key: hash and start of the server.
        :returns: whether there may have been any.
        """
        self.take_back(key, self._ip)
        return self._ballots.pop(key, None) is not None

    def take_back(self, key: ServerKey, ip: str) -> None:
        """End the vote that this router gave, if it gave it to a certain one.

        :param key: hash and start of the server.
        :param ip: IP address of the router that gives it back.
        """
        if self._given.get(key, ("", 0.0))[0] == ip:
            del self._given[key]

    def vote_for(self, key: ServerKey, ip: str) -> bool:
        """Return whether this router votes for another one, or for itself.

        :param key: hash and start of the server.
        :param ip: IP address of the router that asks.
        """
        now_s = self._read_clock()
        held_by, until_s = self._given.get(key, (ip, 0.0))
        if held_by != ip and now_s < until_s:
            return False
        if now_s < self._started_s + VOTE_BINDS_S and self._knows_others():
            return False
        self._given[key] = ip, now_s + VOTE_BINDS_S
        self._given.move_to_end(key)
        while len(self._given) > MAX_VOTES:
            self._given.popitem(last=False)
        return True

    def _knows_others(self) -> bool:
        return any(ip != self._ip for ip in self._known_s)


def make_keeper_votes(
    ip: str, read_clock: Callable[[], float] = time.monotonic
) -> KeeperVotes:
    """Return votes of a router that has none.

    :param ip: IP address of this router.
    :param read_clock: monotonic clock, in seconds.
    """
    return KeeperVotes(ip, read_clock)
