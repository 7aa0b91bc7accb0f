"""Placement of requests by routers that call backend servers without an agent.

Load pattern: multi-turn chats whose prompts share long prefixes, mixed with short
requests, while servers slow down, reach capacity or stop responding. Every router ranks
the servers for a prompt with the same hash, so all routers agree on the home server,
which caches the prompt's shared parts, without exchanging messages. A router selects
another server when the predicted wait at the home exceeds the time that a prefill of
the shared parts elsewhere takes.
"""

import heapq
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from functools import lru_cache

import xxhash

from bilberryspring.policy.registry import Registry, make_registry

__all__ = [
    "DIRECT_PLACEMENT_POLICIES",
    "PREFERRED_HOMES",
    "SAMPLED_ENGINES",
    "ServerCandidate",
    "choose_server",
    "compute_load_limit",
    "draw_uniform",
    "sample_servers",
    "rank_homes",
    "compute_home_wait",
    "compute_off_home_penalties",
    "compute_unsampled_penalties",
]

DEFAULT_DIRECT_PLACEMENT_POLICY = "shortest_start"
# The mean load of a nearly idle pool is close to zero. This margin keeps the load limit
# above zero there.
LOAD_LIMIT_MARGIN_REQUESTS = 2.0


@dataclass(frozen=True, slots=True)
class ServerCandidate:
    """A candidate backend server for one request.

    :param server_id: id of the server.
    :param requests: estimated number of requests that all routers have at the server.
    :param predicted_start_s: predicted time in seconds until the response starts, plus
        any placement penalty.
    :param is_same_zone: whether the server is in the router's availability zone.
    """

    server_id: str
    requests: float
    predicted_start_s: float
    is_same_zone: bool


DirectPlacementPolicy = Callable[[Sequence[ServerCandidate]], ServerCandidate]

DIRECT_PLACEMENT_POLICIES: Registry[DirectPlacementPolicy] = make_registry()

# Ranked homes of a chat. The first usable ones are preferred, so that a chat's shared
# parts are kept on few engines; the others take the place of those that are avoided or
# leave the pool.
MAX_HOMES = 4
PREFERRED_HOMES = 2
# Two random choices balance the load even when load reports are stale. With more
# choices, routers select the same servers again.
SAMPLED_SERVERS = 2
# Engines besides a chat's homes among which a request is placed that its homes have no
# room for. Some have no memory left, so there are more of them.
SAMPLED_ENGINES = 4

# Placing a request off its homes stores a further copy of the shared parts, in KV cache
# that other chats need. The penalty of such a server is the number of shared tokens
# divided by this rate; each rank below the first home adds a share of that penalty.
OFF_HOME_TOKENS_PER_S = 12_000.0
PENALTY_SHARE_PER_RANK = 0.2

# Share of the time until the latency target that a request may wait for a home engine;
# the rest is for the prefill there.
HOME_WAIT_SLACK_SHARE = 0.5

# Penalty of a server in another availability zone: twice the one-way latency between
# zones.
CROSS_ZONE_PENALTY_S = 0.002


@DIRECT_PLACEMENT_POLICIES.register("shortest_start")
def choose_shortest_start(views: Sequence[ServerCandidate]) -> ServerCandidate:
    """Choose the server with the earliest start, preferring the router's own zone."""
    return min(
        views,
        key=lambda view: (
            view.predicted_start_s
            + (0.0 if view.is_same_zone else CROSS_ZONE_PENALTY_S),
            view.server_id,
        ),
    )


@DIRECT_PLACEMENT_POLICIES.register("least_requests")
def choose_least_requests(views: Sequence[ServerCandidate]) -> ServerCandidate:
    """Choose the server with the fewest requests; the baseline."""
    return min(views, key=lambda view: (view.requests, view.server_id))


def compute_load_limit(
    load_factor: float,
    usable_requests: Sequence[float],
    failing_requests: Sequence[float] = (),
) -> float:
    """Return the number of requests up to which a server gets another one.

    The bound is a multiple of the mean over the whole pool. While most of its servers
    fail, the others could not serve their requests within that bound, and the mean is
    theirs alone.

    :param load_factor: load bound, as a multiple of the mean number of requests.
    :param usable_requests: number of requests at each server that doesn't fail, whether
        or not it has room for this request.
    :param failing_requests: the same for each server that is avoided, in a pause, or
        whose rate limit allows no request now.

    >>> compute_load_limit(1.5, [15, 15, 1, 1, 1, 3])
    11.0
    """
    counted = [*usable_requests]
    if not counted or len(failing_requests) <= len(counted):
        counted += failing_requests
    mean = sum(counted) / max(len(counted), 1)
    return load_factor * mean + LOAD_LIMIT_MARGIN_REQUESTS


def choose_server(
    policy: str, views: Sequence[ServerCandidate], limit_requests: float
) -> ServerCandidate | None:
    """Choose among the servers whose load is within the load bound.

    :param policy: name of a registered placement policy.
    :param views: servers of the pool that have room for one more request.
    :param limit_requests: result of :func:`compute_load_limit` for the whole pool.
    :returns: the chosen server, or ``None`` if no server with room is within the bound.

    >>> views = [ServerCandidate("a", 9, 0.1, True), ServerCandidate("b", 0, 0.2, True)]
    >>> choose_server("shortest_start", views, 8.75).server_id
    'b'
    """
    bounded = [view for view in views if view.requests <= limit_requests]
    return DIRECT_PLACEMENT_POLICIES[policy](bounded) if bounded else None


def rank_homes(part_id: str, server_ids: Sequence[str]) -> list[str]:
    """Return the home servers of a prompt's shared parts, in rendezvous order.

    The second server was the home before the first one joined the pool, and becomes the
    home when the first one leaves.

    :param part_id: id of the last shared part of the prompt.
    :param server_ids: ids of the servers of the pool.
    :returns: at most ``MAX_HOMES`` ids, the home first. Every router with the same
        server list returns the same ids.

    >>> rank_homes("5c1e07a2", ["b", "a"]) == rank_homes("5c1e07a2", ["a", "b"])
    True
    """
    return heapq.nlargest(
        MAX_HOMES, server_ids, key=lambda each: _score_home(part_id, each)
    )


def sample_servers(
    request_key: str, server_ids: Sequence[str], count: int = SAMPLED_SERVERS
) -> list[str]:
    """Sample servers for a request, pseudo-randomly by hash.

    Load reports between routers are delayed. If every router chose the server with the
    lowest reported load, that server would be overloaded until the next reports.

    :param request_key: unique key of the request.
    :param server_ids: ids of the candidate servers.
    :param count: number of servers to sample.
    :returns: the sampled ids, the same in every call for the same arguments.

    >>> len(sample_servers("q1", ["a", "b", "c"]))
    2
    """
    return heapq.nlargest(
        count, server_ids, key=lambda each: _hash(f"{request_key}/{each}")
    )


def draw_uniform(request_key: str, server_id: str) -> float:
    """Return a pseudo-random number for a request and a server.

    :param request_key: unique key of the request.
    :param server_id: id of the server.
    :returns: a number from zero to one, uniformly distributed over requests and the
        same in every call for the same arguments.

    >>> 0.0 <= draw_uniform("q1", "a") < 1.0
    True
    """
    return _hash(f"chance/{request_key}/{server_id}") / 2**64


def compute_off_home_penalties(
    homes: Sequence[str], slowness: Mapping[str, float], shared_tokens: int
) -> dict[str, float]:
    """Return the placement penalty of each engine, added to its predicted start.

    The first home has no penalty, a home of a lower rank a small one, and every other
    engine the full penalty, which grows with the length of the shared parts.

    :param homes: ids of the home engines of the prompt's shared parts, in rank order;
        empty if the prompt has no shared parts, which makes every penalty zero.
    :param slowness: ratio of measured to expected time of each candidate engine, by id.
    :param shared_tokens: number of tokens in the shared parts.
    :returns: penalty in seconds by engine id.

    >>> compute_off_home_penalties(["a", "b"], {"a": 1.0, "b": 1.0, "c": 1.0}, 12_000)
    {'a': 0.0, 'b': 0.2, 'c': 1.0}
    """
    if not homes:
        return dict.fromkeys(slowness, 0.0)
    off_home_s = shared_tokens / OFF_HOME_TOKENS_PER_S
    others = [value for each, value in slowness.items() if each != homes[0]]
    if homes[0] in slowness and others:
        # A home that is slower than the mean of the others loses its preference.
        ratio = slowness[homes[0]] * len(others) / sum(others)
        off_home_s /= max(ratio, 1.0) ** 2
    ranks = {server_id: rank for rank, server_id in enumerate(homes)}
    return {
        each: off_home_s * PENALTY_SHARE_PER_RANK * ranks[each]
        if each in ranks
        else off_home_s
        for each in slowness
    }


def compute_home_wait(shared_tokens: int, target_s: float, start_s: float) -> float:
    """Return how long a request may wait for capacity of one of its home engines.

    A copy of the shared parts elsewhere evicts parts of other chats, which then have to
    be read again. A wait costs nothing while the response still begins within its
    target.

    :param shared_tokens: number of tokens in the shared parts.
    :param target_s: latency target of the first token, in seconds.
    :param start_s: expected time in seconds from dispatch to the first token.
    :returns: longest wait in seconds since the arrival.

    >>> compute_home_wait(12_000, 1.2, 0.2), compute_home_wait(0, 1.2, 0.2)
    (0.5, 0.0)
    """
    slack_s = max(target_s - start_s, 0.0) * HOME_WAIT_SLACK_SHARE
    return min(slack_s, shared_tokens / OFF_HOME_TOKENS_PER_S)


def compute_unsampled_penalties(
    request_key: str,
    server_ids: Sequence[str],
    service_s: float,
    count: int = SAMPLED_SERVERS,
) -> dict[str, float]:
    """Return the placement penalty of each server that is not sampled for a request.

    Sampled servers have no penalty, so the others are chosen only when the sampled
    servers are busy.

    :param request_key: unique key of the request.
    :param server_ids: ids of the candidate servers.
    :param service_s: mean service time in seconds, the penalty of a server that is not
        sampled.
    :param count: number of servers to sample.
    :returns: penalty in seconds by server id.
    """
    sampled = sample_servers(request_key, server_ids, count)
    return {each: 0.0 if each in sampled else service_s for each in server_ids}


@lru_cache(maxsize=65_536)
def _score_home(part_id: str, server_id: str) -> int:
    return _hash(f"{part_id}/{server_id}")


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
