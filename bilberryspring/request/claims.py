"""Idempotency claims: a non-idempotent request runs at most once for each key.

The agent claims the key before it sends the first byte to the backend server. No other
agent takes over a claim while its holder may still act, regardless of how long that
takes. A key can be claimed again only after its holder has released it without sending
the request.
"""

import asyncio
import secrets
import time
from collections.abc import Callable, Iterable
from contextlib import suppress

from bilberryspring.capability.store import (
    Store,
)
from bilberryspring.capability.store_history import StoreHistory
from bilberryspring.identifiers import (
    IdempotencyKey,
    InstanceId,
    RouteName,
    WorkspaceName,
)
from bilberryspring.process.accounting import ControlMechanism, Ledger
from bilberryspring.process.logs import log_event
from bilberryspring.request.circuit_breaker import CircuitBreaker
from bilberryspring.request.claim_attempts import ClaimUndecided, try_to_claim
from bilberryspring.request.claim_batches import (
    SubmitTransaction,
    TransactionBatcher,
)
from bilberryspring.request.claim_final_writes import FinalWrite
from bilberryspring.request.claim_forwarding import ClaimFleet, ClaimForwarder
from bilberryspring.request.claim_protocol import (
    ClaimAttempt,
    ClaimHeld,
    StoredResponse,
    make_record_transaction,
    make_release_transaction,
    resolve_existing_claim,
)
from bilberryspring.request.claim_sweeps import ClaimSweeper
from bilberryspring.request.claim_values import (
    CLAIM_PREFIX,
    ClaimValue,
    make_claim_path,
    make_claimed_value,
    make_recorded_value,
    make_unknown_value,
)
from bilberryspring.request.errors import ErrorKind, Failure, Outcome, make_failure
from bilberryspring.request.held_claims import Claim, ClaimPhase, HeldClaims
from bilberryspring.request.idempotency import check_key_age
from bilberryspring.request.remembered_claims import RememberedClaims

__all__ = ["Claim", "ClaimStore", "StoredResponse", "make_claim_store"]

TOKEN_BYTES = 12
MAX_OPEN_CLAIMS = 1000
MAX_RECORD_WAIT_S = 1.0
CLOSE_TIMEOUT_S = 5.0
# In this time after a restoration of the store, every agent learns of it and writes the
# claims of its requests again.
RESTORATION_GRACE_S = 10.0


def make_claim_token() -> bytes:
    """Return a random token of 96 bits."""
    return secrets.token_bytes(TOKEN_BYTES)


class ClaimStore:
    """Claims of one agent.

    :param instance_id: this agent.
    :param retention_s: how long a claim is kept; older keys are refused.
    :param submit: sends one transaction to the key-value service.
    :param breaker: refuses claims while the key-value service is down.
    :param call_timeout_s: longest duration of one call to the key-value service.
    :param clock: returns monotonic seconds.
    :param wall_clock: returns the seconds since the epoch.
    :param batcher: started and closed with the store; ``None`` if there is none.
    :param sweeper: deletes old claims; started and closed with the store; ``None`` if
        there is none.
    :param make_token: returns a different token at each call.
    :param record_wait_s: longest wait until a response is stored; zero does not wait.
    :param history: history of the key-value service; ``None`` if it is never restored.
    """

    def __init__(
        self,
        instance_id: InstanceId,
        retention_s: float,
        submit: SubmitTransaction,
        breaker: CircuitBreaker,
        call_timeout_s: float,
        *,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        batcher: TransactionBatcher | None = None,
        sweeper: ClaimSweeper | None = None,
        make_token: Callable[[], bytes] = make_claim_token,
        record_wait_s: float = MAX_RECORD_WAIT_S,
        history: StoreHistory | None = None,
    ) -> None:
        self._instance_id = instance_id
        self._retention_s = retention_s
        self._submit = submit
        self._call_timeout_s = call_timeout_s
        self._clock = clock
        self._wall_clock = wall_clock
        self._breaker = breaker
        self._make_token = make_token
        self._record_wait_s = record_wait_s
        self._history_number = 0
        self._trusted_from_s = 0.0
        self.held = HeldClaims(submit, retention_s, wall_clock)
        self.remembered = RememberedClaims(retention_s)
        if history is not None:
            history.change_callbacks.append(self._handle_restoration)
        self.batcher = batcher
        self.sweeper = sweeper

    async def start(self) -> None:
        """Start the background tasks."""
        if self.batcher is not None:
            await self.batcher.start()
        await self.held.final_writer.start()
        if self.sweeper is not None:
            await self.sweeper.start()

    async def close(self) -> None:
        """Stop the background tasks.

        Pending final states are written first, for at most ``CLOSE_TIMEOUT_S``.
        """
        if self.sweeper is not None:
            await self.sweeper.close()
        await self._breaker.close()
        await self.held.final_writer.close(CLOSE_TIMEOUT_S)
        if self.batcher is not None:
            await self.batcher.close()

    @property
    def pending_final_writes(self) -> int:
        """Number of claims whose final state is not stored yet."""
        return len(self.held.final_writer.pending)

    async def claim(
        self,
        workspace: WorkspaceName,
        route: RouteName,
        key: IdempotencyKey,
        content_digest: str,
        deadline_monotonic_s: float,
    ) -> Claim | StoredResponse | Failure:
        """Claim a key for one request.

        :param workspace: workspace of the caller.
        :param route: route of the request.
        :param key: a parsed key.
        :param content_digest: digest of all content that determines what the request
            does.
        :param deadline_monotonic_s: monotonic time after which the request must not be
            sent.
        :returns: the claim; the stored response if a request with this key has run; or
            a failure. ``CLAIM_STORE_UNAVAILABLE`` means that this attempt did not run.
        """
        path = make_claim_path(route, workspace, key)
        existing = self.held.find(path) or self.remembered.find(
            path, self._wall_clock()
        )
        if existing is not None:
            return resolve_existing_claim(
                existing.current_value, content_digest, self._wall_clock()
            )
        failure = self._check_before_claim(key, deadline_monotonic_s)
        if failure is not None:
            return failure
        value = self._make_value(content_digest, deadline_monotonic_s)
        attempt = ClaimAttempt(path, value)
        claim = Claim(
            attempt, key, deadline_monotonic_s, history_number=self._history_number
        )
        try:
            result = await self._acquire(claim)
            if result is claim and self._is_of_former_history(claim):
                return self._withdraw(claim)
            return result
        except asyncio.CancelledError:
            self.held.finalize(claim, make_release_transaction(claim.attempt))
            raise

    def begin_send(self, claim: Claim) -> None | Failure:
        """Check a claim immediately before the first byte is sent.

        The process may have been suspended since it sent the claim. After the
        retention the claim may have been deleted and the key claimed by another
        request, so the age of the key is checked again.

        :param claim: a claim in the phase ``HELD``.
        :returns: ``None`` if the request may be sent; otherwise a failure, and the
            claim is released.
        """
        assert claim.phase is ClaimPhase.HELD
        if self._is_of_former_history(claim):
            return self._withdraw(claim)
        now_s = self._clock()
        failure = check_key_age(claim.key, self._wall_clock(), self._retention_s)
        if failure is None and now_s >= claim.deadline_monotonic_s:
            reason = "the deadline passed before the request was sent"
            failure = make_failure(
                ErrorKind.DEADLINE_EXCEEDED, reason, outcome=Outcome.NOT_RUN
            )
        if failure is None:
            claim.phase = ClaimPhase.SENDING
            return None
        self.held.finalize(claim, make_release_transaction(claim.attempt))
        return failure

    def _is_of_former_history(self, claim: Claim) -> bool:
        return claim.history_number != self._history_number

    def _withdraw(self, claim: Claim) -> Failure:
        """Release a claim that the store may have lost, before anything is sent."""
        self.held.finalize(claim, make_release_transaction(claim.attempt))
        return self._make_restoration_failure()

    def _make_restoration_failure(self) -> Failure:
        wait_s = max(self._trusted_from_s - self._clock(), 1.0)
        return _make_unavailable_failure(
            "the key-value service was restored from a copy", wait_s
        )

    def _handle_restoration(self) -> None:
        """Write the claims of sent requests again, and refuse new ones meanwhile.

        Other agents do the same, so that claims which the copy lacks are in the store
        before this agent trusts it.
        """
        self._history_number += 1
        self._trusted_from_s = self._clock() + RESTORATION_GRACE_S
        sent = self.held.list_sent()
        paths = {claim.attempt.path for claim in sent}
        sent += [
            claim
            for claim in self.remembered.list_newest_first(self._wall_clock())
            if claim.attempt.path not in paths
        ]
        log_event("claims_restored", level="WARNING", claims=len(sent))
        for claim in sent:
            self.held.restore(claim)

    async def release(self, claim: Claim) -> None | Failure:
        """Release a claim whose request was not sent.

        The release is written in the background and retried until it succeeds.

        :param claim: a claim of which no byte was sent to the backend server.
        """
        self.held.finalize(claim, make_release_transaction(claim.attempt))
        return None

    async def record(
        self, claim: Claim, status: int, content_type: str, body: bytes
    ) -> None | Failure:
        """Store the response to the request.

        Waits until the response is stored, so that any agent can return it for a
        repeated request. If that takes longer than ``record_wait_s``, or the key-value
        service is down, the write continues in the background.

        :param claim: a claim whose request was sent.
        :param status: HTTP status code of the backend server's response.
        :param content_type: media type of the response.
        :param body: the whole body; only the digest of a large body is stored.
        """
        value = claim.attempt.value
        final_write = self._record_outcome(
            claim, make_recorded_value(value, status, content_type, body)
        )
        if self._record_wait_s > 0 and self._breaker.get_retry_after_s() is None:
            with suppress(TimeoutError):
                async with asyncio.timeout(self._record_wait_s):
                    await final_write.completed.wait()
        return None

    async def record_unknown(self, claim: Claim) -> None | Failure:
        """Store in the background that the request was sent and got no response.

        :param claim: a claim whose request was sent.
        """
        self._record_outcome(claim, make_unknown_value(claim.attempt.value))
        return None

    def _record_outcome(self, claim: Claim, outcome: ClaimValue) -> FinalWrite:
        assert claim.phase is ClaimPhase.SENDING
        claim.outcome = outcome
        self.remembered.add(claim)
        final_write = self.held.finalize(
            claim, make_record_transaction(claim.attempt, outcome)
        )
        if self._is_of_former_history(claim):
            self.held.restore(claim)
        return final_write

    def _check_before_claim(
        self, key: IdempotencyKey, deadline_monotonic_s: float
    ) -> Failure | None:
        failure = check_key_age(key, self._wall_clock(), self._retention_s)
        if failure is not None:
            return failure
        if self._clock() >= deadline_monotonic_s:
            return make_failure(ErrorKind.DEADLINE_EXCEEDED, outcome=Outcome.NOT_RUN)
        if len(self.held) + self.pending_final_writes >= MAX_OPEN_CLAIMS:
            return _make_unavailable_failure("too many claims are open", 1.0)
        if self._clock() < self._trusted_from_s:
            return self._make_restoration_failure()
        wait_s = self._breaker.get_retry_after_s()
        if wait_s is not None:
            return _make_unavailable_failure("the key-value service is down", wait_s)
        return None

    def _make_value(self, digest: str, deadline_monotonic_s: float) -> ClaimValue:
        remaining_s = deadline_monotonic_s - self._clock()
        deadline_ms = int((self._wall_clock() + remaining_s) * 1000)
        token = self._make_token()
        return make_claimed_value(token, self._instance_id, digest, deadline_ms)

    async def _acquire(self, claim: Claim) -> Claim | StoredResponse | Failure:
        retry_until_s = min(
            claim.deadline_monotonic_s, self._clock() + self._call_timeout_s
        )
        result = await try_to_claim(
            self._submit, claim, retry_until_s, self._clock, self._wall_clock
        )
        if isinstance(result, ClaimHeld):
            self.held.add(claim)
            return claim
        if not isinstance(result, ClaimUndecided):
            return result
        if result.may_take_effect:
            self.held.finalize(claim, make_release_transaction(claim.attempt))
        if result.failure is None:
            return _make_unavailable_failure(
                "the owner of the key changed too often", 1.0
            )
        return self._report_outage(result.failure)

    def _report_outage(self, failure: Failure) -> Failure:
        wait_s = self._breaker.report_failure()
        log_event("claim_refused", level="WARNING", reason=failure.reason)
        return _make_unavailable_failure(failure.reason, wait_s)


def _make_unavailable_failure(reason: str, retry_after_s: float) -> Failure:
    """Return the failure of an attempt that sent nothing to the backend server."""
    return make_failure(
        ErrorKind.CLAIM_STORE_UNAVAILABLE,
        f"this attempt was not run ({reason}); retry it with the same key",
        retry_after_s=retry_after_s,
    )


def make_claim_store(
    key_value: Store,
    instance_id: InstanceId,
    retention_s: float,
    call_timeout_s: float,
    ledger: Ledger,
    fleet: ClaimFleet | None = None,
    list_groups: Callable[[], Iterable[str]] = tuple,
) -> ClaimStore:
    """Return the claim store of an agent, not started.

    :param key_value: started client of the key-value service.
    :param instance_id: this agent.
    :param retention_s: how long a claim is kept.
    :param call_timeout_s: longest duration of one call to the key-value service.
    :param ledger: counts calls to other agents and their bytes.
    :param fleet: the other agents of the pool; ``None`` sends every claim directly.
    :param list_groups: returns the key prefixes under which claims are expected.
    """

    async def probe() -> bool:
        found = await key_value.get(CLAIM_PREFIX, mechanism=ControlMechanism.CLAIMS)
        return not isinstance(found, Failure)

    batcher = TransactionBatcher(key_value, call_timeout_s)
    forwarder = ClaimForwarder(
        instance_id,
        fleet,
        batcher,
        call_timeout_s,
        ledger,
        history=key_value.history,
    )
    sweeper = ClaimSweeper(key_value, instance_id, retention_s, list_groups)
    return ClaimStore(
        instance_id,
        retention_s,
        forwarder.submit,
        CircuitBreaker("key_value", probe),
        call_timeout_s,
        batcher=batcher,
        sweeper=sweeper,
        history=key_value.history,
    )
