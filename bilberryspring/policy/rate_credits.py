"""Credit for requests to a backend server that limits their rate.

Load pattern: hundreds of routers with uneven demand send to a server that takes a few
requests a second from all of them together. An equal share of the rate is far below one
request a second there, and routers that are owed whole requests each send them at once.
Instead one router hands out the credit of a server, for one request or a few at a
time, to the routers that ask for it.
"""

import math

__all__ = ["compute_bucket_size", "compute_credit", "compute_denial_s"]

# Credit that nobody asked for is kept up to one request and that of this time.
MAX_UNUSED_S = 0.3
# A router that was refused credit asks again after a share, drawn between these two, of
# the time in which all that compete would have their turn: credit is not left unused
# when one of them no longer needs it.
RETURN_SHARE = (0.4, 0.9)
# A router asks again after this time even if many others compete.
MAX_DENIAL_S = 4.0
MIN_DENIAL_S = 0.02


def compute_bucket_size(rate_per_s: float) -> float:
    """Return up to how many requests unused credit is kept.

    :param rate_per_s: limit of the server, in requests per second.

    >>> compute_bucket_size(10.0)
    4.0
    """
    return 1.0 + MAX_UNUSED_S * rate_per_s


def compute_credit(credit: float, rate_per_s: float, elapsed_s: float) -> float:
    """Return the credit after some time without requests.

    :param credit: credit at the beginning, in requests.
    :param rate_per_s: limit of the server, in requests per second.
    :param elapsed_s: time in seconds.

    >>> compute_credit(0.25, 5.0, 0.1), compute_credit(0.25, 5.0, 60.0)
    (0.75, 2.5)
    """
    accrued = credit + rate_per_s * max(elapsed_s, 0.0)
    return min(accrued, compute_bucket_size(rate_per_s))


def compute_denial_s(
    credit: float, rate_per_s: float, askers: int, draw: float
) -> float:
    """Return when a router that gets no credit may ask again.

    :param credit: credit that is left, below one request.
    :param rate_per_s: limit of the server, in requests per second.
    :param askers: number of routers that asked lately.
    :param draw: number drawn for the router, uniform from zero to one.
    :returns: time in seconds.

    >>> compute_denial_s(0.0, 5.0, 1, 0.0), compute_denial_s(0.0, 5.0, 20, 0.0)
    (0.2, 1.6)
    """
    next_s = (1.0 - credit) / rate_per_s
    low, high = RETURN_SHARE
    turn_s = askers / rate_per_s * (low + (high - low) * draw)
    wait_s = max(next_s, min(turn_s, MAX_DENIAL_S), MIN_DENIAL_S)
    return wait_s if math.isfinite(wait_s) else MAX_DENIAL_S
