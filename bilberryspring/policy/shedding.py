"""Share of the requests that routers admit to a pool of servers.

Load pattern: a flood for seconds to minutes, at hundreds of routers before a few
servers with a few slots each. A router's part of the places is then less than one
request, so no limit on the requests of one router bounds the load without refusing most
of what could be served. Instead, all routers admit the same share of their requests,
the most urgent first, and adjust it by the load that the servers state. The error of
that load doesn't grow with the number of routers.
"""

import math

__all__ = [
    "MIN_ADMITTED_SHARE",
    "adjust_admitted_share",
    "compute_free_requests",
    "compute_shedding_position",
]

# Load up to which requests are admitted without loss: each slot is busy, and a short
# queue keeps it so.
TARGET_REQUESTS_PER_SLOT = 1.7
# An engine whose slots are all taken has no room for the chats that have their home
# there, and copies of these on other engines evict the parts of yet other chats.
TARGET_REQUESTS_PER_ENGINE_SLOT = 0.92
# An additive rise and a multiplicative fall lead all routers to the same share, however
# different their shares were before.
SHARE_RISE_PER_S = 0.4
MAX_SHARE_FALL_PER_S = 2.0
# Keeps a few requests coming, whose responses show that the load has fallen.
MIN_ADMITTED_SHARE = 0.05
# Fraction of the capacity that is given without regard to urgency, so that no rank is
# refused entirely in a flood of another.
UNRANKED_FRACTION = 0.1


def adjust_admitted_share(
    share: float, requests_per_slot: float, elapsed_s: float, is_engine: bool = False
) -> float:
    """Return the share of requests to admit from now on.

    :param share: share admitted so far, from zero to one.
    :param requests_per_slot: mean load of the pool's servers, running and queued.
    :param elapsed_s: time in seconds since the last adjustment.
    :param is_engine: whether the servers are engines, which run requests in batches.
    :returns: share from ``MIN_ADMITTED_SHARE`` to one.

    >>> adjust_admitted_share(0.5, 1.0, 0.25)
    0.6
    >>> 0.6 < adjust_admitted_share(1.0, 3.4, 0.25) < 0.7
    True
    """
    excess = requests_per_slot / _find_target(is_engine) - 1
    if excess > 0:
        share *= math.exp(-MAX_SHARE_FALL_PER_S * min(excess, 1.0) * elapsed_s)
    else:
        share += SHARE_RISE_PER_S * elapsed_s
    return min(max(share, MIN_ADMITTED_SHARE), 1.0)


def compute_free_requests(
    requests: float, slots: float, is_engine: bool = False
) -> float:
    """Return how many more requests a pool takes before requests are shed.

    :param requests: requests that the pool's servers run and queue.
    :param slots: number of requests that they run concurrently.
    :param is_engine: whether the servers are engines.
    :returns: number of requests; negative while requests are shed.

    >>> compute_free_requests(7.0, 10.0)
    10.0
    """
    return slots * _find_target(is_engine) - requests


def _find_target(is_engine: bool) -> float:
    return TARGET_REQUESTS_PER_ENGINE_SLOT if is_engine else TARGET_REQUESTS_PER_SLOT


def compute_shedding_position(
    more_urgent_share: float, own_share: float, draw: float
) -> float:
    """Return the admitted share from which on a request is admitted.

    :param more_urgent_share: share of the recent requests that are more urgent.
    :param own_share: share of the recent requests that are as urgent as this one.
    :param draw: number drawn for the request, uniform from zero to one.
    :returns: position from zero, always admitted, to one.

    >>> compute_shedding_position(0.5, 0.5, 0.5)
    0.75
    """
    ranked = more_urgent_share + own_share * draw
    if draw < UNRANKED_FRACTION:
        return min(ranked, draw / UNRANKED_FRACTION)
    return ranked
