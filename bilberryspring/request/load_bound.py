"""Load bound of a backend server, relative to the mean load of its pool.

Load is unfinished work, queue included, in estimated tokens for engines and in
requests for services, divided by the instance's weight. With ``c`` the factor and
``mean`` the mean load over the pool, a request of a given cost is assigned if

* ``load + cost <= c * max(mean, floor)``, where ``mean`` counts the request, or
* ``load <= max(mean, floor)``: some backend server is always at or below the mean, so
  a request larger than the slack can still be admitted.

Right after an assignment, therefore, ``load <= max(c * max(mean, floor), max(mean,
floor) + cost)``: at most the bound plus one largest request. Between assignments a load
only falls, but the mean may fall faster: a backend server that received no new request
may then be above ``c * mean`` until it has finished enough work, and it is assigned
none until then. In a nearly idle pool the floor replaces the mean.

.. seealso:: Mirrokni, Thorup and Zadimoghaddam, Consistent Hashing with Bounded Loads.
"""

from dataclasses import dataclass

__all__ = ["LoadBound", "MeanEstimate", "compute_excess_load"]


@dataclass(frozen=True, slots=True)
class LoadBound:
    """Bound of one pool.

    :param factor: allowed multiple of the mean, at least one.
    :param floor: lower limit of the mean in the bound, in the pool's load unit.
    """

    factor: float
    floor: float


@dataclass(frozen=True, slots=True)
class MeanEstimate:
    """Low estimate of the mean load of a pool, which should not exceed the true mean.

    :param value: mean load per unit of weight, including this backend server.
    :param age_s: mean age of the samples that the estimate is based on.
    :param total_weight: sum of the weights of the pool's instances.
    :param own_weight: weight of this instance.
    """

    value: float
    age_s: float = 0.0
    total_weight: float = 1.0
    own_weight: float = 1.0


def compute_excess_load(
    load: float, cost: float, mean: MeanEstimate, bound: LoadBound
) -> float:
    """Return the load that must finish before a request fits under the bound.

    :param load: unfinished work of the backend server.
    :param cost: estimated work of the request.
    :param mean: mean load of the pool without the request.
    :param bound: the pool's bound.
    :returns: load in the pool's load unit; zero if the request fits now.

    >>> bound = LoadBound(factor=1.25, floor=100.0)
    >>> compute_excess_load(200.0, 30.0, MeanEstimate(190.0, total_weight=6.0), bound)
    0.0
    >>> compute_excess_load(240.0, 60.0, MeanEstimate(190.0, total_weight=6.0), bound)
    50.0
    """
    level = max(mean.value, bound.floor) * mean.own_weight
    if load <= level:
        return 0.0
    mean_after = mean.value + cost / mean.total_weight
    limit = bound.factor * max(mean_after, bound.floor) * mean.own_weight
    return max(0.0, min(load + cost - limit, load - level))
