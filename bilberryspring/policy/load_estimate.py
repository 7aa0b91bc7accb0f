"""Estimate of how many requests the other routers have at a backend server.

Load pattern: many routers, each with few requests, share the servers. A router hears
reports of a part of the others only and scales them up; the error of that sum grows
with the number of routers. A server states its own load with each response, exactly
but for one moment; routers pass the latest statements on. Both kinds of evidence age
while requests come and go.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from bilberryspring.policy.registry import Registry, make_registry

__all__ = [
    "DEFAULT_LOAD_ESTIMATOR",
    "LOAD_ESTIMATORS",
    "LoadEvidence",
    "LoadEstimator",
    "predict_work_time_ratio",
]

DEFAULT_LOAD_ESTIMATOR = "weighted"
# Time after which most requests that a server had have ended, and others have begun.
TURNOVER_S = 1.0
# Mean age of the reports of other routers that are used.
REPORT_AGE_S = 0.25
# Keeps the weights finite for evidence without an error.
MIN_VARIANCE = 0.01
# Other work on a server's machine comes and goes within fractions of a second.
WORK_TIME_HALF_LIFE_S = 0.3


@dataclass(frozen=True, slots=True)
class LoadEvidence:
    """What is known of the requests that other routers have at a server.

    :param reported_requests: sum of the other routers' reports, extrapolated from those
        that were heard to all.
    :param heard_share: fraction of the other routers whose reports the sum contains.
    :param stated_requests: number by the server's latest statement, without this
        router's own requests at that time; ``None`` if there is no statement.
    :param stated_age_s: age of the statement in seconds.
    """

    reported_requests: float
    heard_share: float
    stated_requests: float | None
    stated_age_s: float


LoadEstimator = Callable[[LoadEvidence], float]

LOAD_ESTIMATORS: Registry[LoadEstimator] = make_registry()


@LOAD_ESTIMATORS.register("highest")
def take_highest(evidence: LoadEvidence) -> float:
    """Return the highest number of the evidence; the baseline."""
    return max(evidence.reported_requests, evidence.stated_requests or 0.0)


@LOAD_ESTIMATORS.register("weighted")
def weight_by_variance(evidence: LoadEvidence) -> float:
    """Return the mean of the evidence, weighted by the inverse of its variance.

    The variances are relative to the number of requests: a sum over a share ``h`` of
    the routers has ``(1 - h) / h``, and requests that come and go add up to two.

    >>> weight_by_variance(LoadEvidence(20.0, 0.1, 5.0, 0.0)) < 5.1
    True
    >>> weight_by_variance(LoadEvidence(6.0, 1.0, None, 0.0))
    6.0
    """
    if evidence.stated_requests is None:
        return evidence.reported_requests
    share = min(max(evidence.heard_share, 1e-3), 1.0)
    reported_variance = (1 - share) / share + _compute_turnover(REPORT_AGE_S)
    stated_variance = _compute_turnover(evidence.stated_age_s)
    weight = 1 / max(reported_variance, MIN_VARIANCE)
    stated_weight = 1 / max(stated_variance, MIN_VARIANCE)
    return (
        evidence.reported_requests * weight + evidence.stated_requests * stated_weight
    ) / (weight + stated_weight)


def _compute_turnover(age_s: float) -> float:
    return 2 * (1 - math.exp(-max(age_s, 0.0) / TURNOVER_S))


def predict_work_time_ratio(stated_ratio: float, age_s: float) -> float:
    """Predict how long work takes at a server now, from what it stated before.

    :param stated_ratio: stated time of work, as a multiple of the usual time.
    :param age_s: age of the statement in seconds.
    :returns: multiple of the usual time, the nearer to one the older the statement.

    >>> predict_work_time_ratio(2.5, 0.3)
    1.75
    """
    return 1.0 + (stated_ratio - 1.0) * 0.5 ** (max(age_s, 0.0) / WORK_TIME_HALF_LIFE_S)
