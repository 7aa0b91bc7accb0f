"""Admission of a new request to the queue, or its immediate refusal.

Load pattern: arrivals above capacity for minutes. A queue that is bounded only by its
length fills with requests that miss their target after a long wait.
"""

from collections.abc import Callable
from dataclasses import dataclass

from bilberryspring.policy.registry import Registry, make_registry

__all__ = ["NewRequest", "Refusal", "WAITING_POLICIES", "DEFAULT_WAITING_POLICY"]

DEFAULT_WAITING_POLICY = "predicted_finish"
# Fraction of the target that is added to the wait limit of a caller that retries at the
# time that it was given.
RETURNING_WAIT_EXTENSION = 0.5
# Queue length at which the first-come baseline refuses requests.
BASELINE_MAX_QUEUED = 200


@dataclass(frozen=True, slots=True)
class NewRequest:
    """A request that finds no free slot, with its predictions.

    :param predicted_wait_s: predicted time in seconds until it gets a slot.
    :param predicted_service_s: predicted time in seconds that it occupies the slot.
    :param target_wait_s: latency target of its work rank, in seconds.
    :param remaining_s: time in seconds until its deadline.
    :param is_scheduled_retry: whether the caller retries, at the time that it was
        given, a request that was refused earlier.
    :param queued_requests: number of requests that already wait for this backend
        server.
    """

    predicted_wait_s: float
    predicted_service_s: float
    target_wait_s: float
    remaining_s: float
    is_scheduled_retry: bool
    queued_requests: int

    @property
    def allowed_wait_s(self) -> float:
        """Wait limit in seconds: the target, extended for returning callers."""
        extension = RETURNING_WAIT_EXTENSION if self.is_scheduled_retry else 0.0
        return self.target_wait_s * (1.0 + extension)


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal to queue a request.

    :param reason: one line that gives the values that led to the refusal.
    """

    reason: str


WaitingPolicy = Callable[[NewRequest], Refusal | None]

WAITING_POLICIES: Registry[WaitingPolicy] = make_registry()


@WAITING_POLICIES.register("queue_length")
def limit_queue_length(request: NewRequest) -> Refusal | None:
    """Refuse a request only when the queue is full; the baseline.

    :param request: the request and its predictions.
    :returns: the refusal, or ``None`` if the request may wait.
    """
    if request.queued_requests < BASELINE_MAX_QUEUED:
        return None
    return Refusal(f"{request.queued_requests} requests are already queued")


@WAITING_POLICIES.register("predicted_wait")
def limit_predicted_wait(request: NewRequest) -> Refusal | None:
    """Refuse a request that would get its slot after its target or its deadline.

    :param request: the request and its predictions.
    :returns: the refusal, or ``None`` if the request may wait.
    """
    wait_s, allowed_s = request.predicted_wait_s, request.allowed_wait_s
    if wait_s <= min(allowed_s, request.remaining_s):
        return None
    return Refusal(
        f"predicted wait of {wait_s:.1f} s exceeds the limit of {allowed_s:.1f} s"
    )


@WAITING_POLICIES.register("predicted_finish")
def limit_predicted_finish(request: NewRequest) -> Refusal | None:
    """Refuse a request that would start after its target or end after its deadline.

    :param request: the request and its predictions.
    :returns: the refusal, or ``None`` if the request may wait.
    """
    refusal = limit_predicted_wait(request)
    finish_s = request.predicted_wait_s + request.predicted_service_s
    if refusal is not None or finish_s <= request.remaining_s:
        return refusal
    return Refusal(
        f"predicted end in {finish_s:.1f} s is after the deadline"
        f" in {request.remaining_s:.1f} s"
    )
