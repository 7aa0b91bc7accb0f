"""Rates of requests to backend servers that have just started.

Load pattern: all servers of an availability zone return at once, with empty caches, as
the home of the busiest chats, while a burst lasts. Each of them takes a stated rate for
a stated time, from all routers together, and crashes well above it. When that time
ends, the load of all its chats returns to it.
"""

__all__ = [
    "COLD_START_FACTOR",
    "compute_rate_in_force",
    "compute_steady_rate",
]

# After the cold time, the rate doubles at this interval until the server takes its
# whole share.
DOUBLING_S = 0.7
RAMP_S = 2.0
# What may arrive in one second beyond the rate: unused credit that is kept, credit that
# routers hold, and requests whose sending was delayed, as a share of the rate and as a
# number.
BURST_SHARE = 0.6
BURST_REQUESTS = 2.0
MIN_RATE_PER_S = 0.1
# Predicted time to the response of a plain server that is cold, over the usual time.
COLD_START_FACTOR = 1.5


def compute_steady_rate(
    rate_per_s: float, overage_factor: float, slack_requests: float
) -> float:
    """Return the rate that keeps the bound in any one second.

    :param rate_per_s: requests per second that the server takes while it is cold.
    :param overage_factor: multiple of the rate that may arrive in one second.
    :param slack_requests: requests that may arrive in one second beyond that.

    >>> compute_steady_rate(13.0, 1.5, 5.0), compute_steady_rate(13.0, 1.0, 5.0)
    (13.0, 10.0)
    """
    bound = rate_per_s * overage_factor + slack_requests
    highest_per_s = (bound - BURST_REQUESTS) / (1 + BURST_SHARE)
    return max(min(rate_per_s, highest_per_s), MIN_RATE_PER_S)


def compute_rate_in_force(steady_per_s: float, remaining_s: float) -> float | None:
    """Return the rate that a server takes now, ``None`` if it takes any.

    :param steady_per_s: rate while it is cold, in requests per second.
    :param remaining_s: seconds until it is warm; negative after that.

    >>> compute_rate_in_force(8.0, 1.0), compute_rate_in_force(8.0, -1.4)
    (8.0, 32.0)
    >>> compute_rate_in_force(8.0, -2.0) is None
    True
    """
    if remaining_s > 0:
        return steady_per_s
    if remaining_s <= -RAMP_S:
        return None
    return steady_per_s * 2 ** (-remaining_s / DOUBLING_S)
