"""Claims that an agent holds until the key-value service has stored their outcome."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from bilberryspring.capability.store import (
    Transaction,
)
from bilberryspring.identifiers import IdempotencyKey
from bilberryspring.request.claim_batches import SubmitTransaction
from bilberryspring.request.claim_final_writes import FinalWrite, FinalWriter
from bilberryspring.request.claim_protocol import (
    ClaimAttempt,
    continue_restore,
    make_restore_transaction,
)
from bilberryspring.request.claim_values import ClaimValue
from bilberryspring.request.idempotency import MAX_CLOCK_SKEW_S, read_key_time

__all__ = ["Claim", "ClaimPhase", "HeldClaims"]


class ClaimPhase(Enum):
    """Progress of the holder with its claim."""

    HELD = "held"
    SENDING = "sending"
    ENDED = "ended"


@dataclass(slots=True, eq=False)
class Claim:
    """Claim of this agent on a key, for one request.

    :param attempt: the claim as sent to the key-value service.
    :param key: idempotency key of the caller.
    :param deadline_monotonic_s: monotonic time after which the request must not be
        sent.
    :param phase: progress of the holder with the claim.
    :param history_number: number of changes of the store's history before the claim.
    :param outcome: recorded outcome of the request; ``None`` before it is known and
        for a released claim.
    """

    attempt: ClaimAttempt
    key: IdempotencyKey
    deadline_monotonic_s: float
    phase: ClaimPhase = ClaimPhase.HELD
    history_number: int = 0
    outcome: ClaimValue | None = None

    @property
    def current_value(self) -> ClaimValue:
        """Outcome of the claim if it is known, otherwise the claim itself."""
        return self.outcome or self.attempt.value


class HeldClaims:
    """Claims that one agent holds, by key, and the writer of their final states.

    :param submit: sends one transaction to the key-value service.
    :param retention_s: how long a claim is kept.
    :param wall_clock: returns the seconds since the epoch.
    """

    def __init__(
        self,
        submit: SubmitTransaction,
        retention_s: float,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._retention_s = retention_s
        self._by_path: dict[str, Claim] = {}
        self.final_writer = FinalWriter(submit, self._remove_written, wall_clock)

    def __len__(self) -> int:
        return len(self._by_path)

    def find(self, path: str) -> Claim | None:
        """Return the claim that this agent holds on a key, if any.

        :param path: key in the key-value service.
        """
        return self._by_path.get(path)

    def list_sent(self) -> list[Claim]:
        """Return the claims whose requests were sent."""
        return [
            claim
            for claim in self._by_path.values()
            if claim.phase is ClaimPhase.SENDING or claim.outcome is not None
        ]

    def add(self, claim: Claim) -> None:
        """Add a claim that took effect."""
        self._by_path[claim.attempt.path] = claim

    def finalize(self, claim: Claim, transaction: Transaction) -> FinalWrite:
        """Write the final state of a claim in the background.

        :param claim: a claim that has not ended; it need not have taken effect.
        :param transaction: releases the claim or records its outcome.
        :returns: the pending write, whose ``completed`` event is set after it.
        """
        assert claim.phase is not ClaimPhase.ENDED
        claim.phase = ClaimPhase.ENDED
        attempt = claim.attempt
        if claim.outcome is None:
            self._remove(claim)
        expires_s = read_key_time(claim.key) + self._retention_s + MAX_CLOCK_SKEW_S
        final_write = FinalWrite(attempt.path, transaction, expires_s)
        self.final_writer.add(final_write)
        return final_write

    def restore(self, claim: Claim) -> None:
        """Write a claim again, in the background, if the store has lost it.

        :param claim: a claim whose request was sent.
        """
        expires_s = read_key_time(claim.key) + self._retention_s + MAX_CLOCK_SKEW_S
        attempt, value = claim.attempt, claim.current_value
        self.final_writer.add(
            FinalWrite(
                attempt.path,
                make_restore_transaction(attempt.path, value),
                expires_s,
                lambda result: continue_restore(attempt, value, result),
            )
        )

    def _remove_written(self, final_write: FinalWrite) -> None:
        claim = self._by_path.get(final_write.path)
        if claim is not None and claim.phase is ClaimPhase.ENDED:
            self._remove(claim)

    def _remove(self, claim: Claim) -> None:
        if self._by_path.get(claim.attempt.path) is claim:
            del self._by_path[claim.attempt.path]
