"""Share of a pool's requests that this router admits, adjusted to the servers' load."""

from bilberryspring.policy.shedding import (
    adjust_admitted_share,
    compute_shedding_position,
)
from bilberryspring.request.decaying_sum import DecayingSum

__all__ = ["Deferrals", "LoadShedder", "make_deferrals", "make_load_shedder"]

# Load reports of routers and statements of servers arrive about as often.
ADJUSTMENT_INTERVAL_S = 0.25
# After a longer time without requests, the share doesn't follow from the load before.
MAX_ELAPSED_S = 1.0
MIX_TIME_CONSTANT_S = 5.0
# Time over which the deferred requests that were sent are averaged, and for which one
# that waited in vain counts against others.
DEFERRAL_TIME_S = 5.0
MIN_EXPIRED = 0.2

PriorityKey = tuple[int, int, bool]


class LoadShedder:
    """Admitted share of one pool, and the mix of its recent requests by urgency.

    :ivar admitted_share: share of the requests that are admitted, from zero to one.
    """

    def __init__(self) -> None:
        self.admitted_share = 1.0
        self._adjusted_s: float | None = None
        self._recent_by_key: dict[PriorityKey, DecayingSum] = {}

    def is_due(self, now_s: float) -> bool:
        """Return whether the share should be adjusted to the load.

        :param now_s: monotonic time.
        """
        return (
            self._adjusted_s is None
            or now_s - self._adjusted_s >= ADJUSTMENT_INTERVAL_S
        )

    def adjust(
        self, requests_per_slot: float, now_s: float, is_engine: bool = False
    ) -> None:
        """Adjust the share to the load.

        :param requests_per_slot: mean load of the pool's servers, running and queued.
        :param now_s: monotonic time.
        :param is_engine: whether the servers are engines.
        """
        if self._adjusted_s is not None:
            elapsed_s = min(now_s - self._adjusted_s, MAX_ELAPSED_S)
            self.admitted_share = adjust_admitted_share(
                self.admitted_share, requests_per_slot, elapsed_s, is_engine
            )
        self._adjusted_s = now_s

    def admits(self, priority_key: PriorityKey, draw: float, now_s: float) -> bool:
        """Return whether a new request is admitted, and count it in the mix.

        :param priority_key: sort key of its urgency; lower is more urgent.
        :param draw: number drawn for the request, uniform from zero to one.
        :param now_s: monotonic time.
        """
        recent = self._recent_by_key.setdefault(
            priority_key, DecayingSum(MIX_TIME_CONSTANT_S)
        )
        recent.add(1.0, now_s)
        if self.admitted_share >= 1.0:
            return True
        counts = {key: each.value(now_s) for key, each in self._recent_by_key.items()}
        total = sum(counts.values())
        urgent = sum(count for key, count in counts.items() if key < priority_key)
        position = compute_shedding_position(
            urgent / total, counts[priority_key] / total, draw
        )
        return position < self.admitted_share


class Deferrals:
    """Deferred requests of one pool: what recently became of them."""

    def __init__(self) -> None:
        self._released = DecayingSum(DEFERRAL_TIME_S)
        self._expired = DecayingSum(DEFERRAL_TIME_S)

    def record(self, *, is_released: bool, now_s: float) -> None:
        """Record the end of a deferral.

        :param is_released: whether the request was sent, or else waited in vain.
        :param now_s: monotonic time.
        """
        (self._released if is_released else self._expired).add(1.0, now_s)

    def get_released_per_s(self, now_s: float) -> float:
        """Return the recent rate at which deferred requests were sent.

        :param now_s: monotonic time.
        """
        return self._released.rate(now_s)

    def has_expired(self, now_s: float) -> bool:
        """Return whether a deferred request waited in vain recently.

        :param now_s: monotonic time.

        >>> deferrals = make_deferrals()
        >>> deferrals.record(is_released=False, now_s=0.0)
        >>> deferrals.has_expired(0.0), deferrals.has_expired(10.0)
        (True, False)
        """
        return self._expired.value(now_s) >= MIN_EXPIRED


def make_deferrals() -> Deferrals:
    """Return the deferrals of a pool that had none."""
    return Deferrals()


def make_load_shedder() -> LoadShedder:
    """Return a shedder that admits every request.

    >>> shedder = make_load_shedder()
    >>> shedder.admits((0, 0, False), 0.99, now_s=0.0)
    True
    """
    return LoadShedder()
