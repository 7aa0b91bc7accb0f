"""Bounded retries of a claim transaction until the owner of the key is known."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from bilberryspring.request.claim_batches import SubmitTransaction
from bilberryspring.request.claim_protocol import (
    ClaimHeld,
    ClaimReleased,
    StoredResponse,
    interpret_claim_result,
    make_claim_transaction,
)
from bilberryspring.request.errors import Failure, Outcome
from bilberryspring.request.held_claims import Claim

__all__ = ["ClaimUndecided", "try_to_claim"]

MAX_ATTEMPTS = 4


@dataclass(frozen=True, slots=True)
class ClaimUndecided:
    """Result of a claim whose attempts all failed or lost a race for the key.

    :param failure: failure of the last failed attempt; ``None`` if none failed.
    :param may_take_effect: whether an attempt may still write the claim.
    """

    failure: Failure | None
    may_take_effect: bool


async def try_to_claim(
    submit: SubmitTransaction,
    claim: Claim,
    retry_until_s: float,
    clock: Callable[[], float],
    wall_clock: Callable[[], float],
) -> ClaimHeld | StoredResponse | Failure | ClaimUndecided:
    """Send the transaction of a claim until its result is known.

    :param submit: sends one transaction to the key-value service.
    :param claim: the claim; its attempt is updated in place, so that the caller can
        release the claim.
    :param retry_until_s: monotonic time after which no retry starts.
    :param clock: returns monotonic seconds.
    :param wall_clock: returns the seconds since the epoch.
    :returns: ``ClaimHeld`` if the claim holds the key; a ``StoredResponse`` or a
        ``Failure`` for the request if another request has the key;
        ``ClaimUndecided`` if the owner of the key is not known.
    """
    may_take_effect = False
    failure: Failure | None = None
    for _ in range(MAX_ATTEMPTS):
        result = await submit(make_claim_transaction(claim.attempt))
        if isinstance(result, Failure):
            failure = result
            may_take_effect |= result.outcome is not Outcome.NOT_RUN
            if result.outcome is Outcome.NOT_RUN or clock() >= retry_until_s:
                break
            continue
        decision = interpret_claim_result(claim.attempt, result, wall_clock())
        if not isinstance(decision, ClaimReleased):
            return decision
        # Earlier attempts compare with a value that the key no longer has.
        may_take_effect = False
        claim.attempt = replace(claim.attempt, base=decision)
    return ClaimUndecided(failure, may_take_effect)
