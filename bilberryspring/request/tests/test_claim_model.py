"""Model checking of the claim protocol, and of its rules by mutation."""

import pytest
from loguru import logger

from bilberryspring.capability.store import (
    Delete,
    Get,
    Transaction,
    key_present,
    value_is,
)
from bilberryspring.request.claim_protocol import (
    ClaimHeld,
    ClaimReleased,
    interpret_claim_result,
    make_claim_transaction,
)
from bilberryspring.request.claim_values import ClaimState, decode_claim_value
from bilberryspring.request.errors import ErrorKind, Failure
from bilberryspring.request.tests.claim_model import (
    Bounds,
    ViolationError,
    explore,
)


@pytest.fixture(autouse=True)
def disable_logging():
    logger.disable("bilberryspring")
    yield
    logger.enable("bilberryspring")


@pytest.mark.parametrize(
    "bounds, fewest_states",
    [
        (Bounds(agents=(1, 2), losses=2, kills=0, time_steps=0), 4000),
        (Bounds(agents=(1, 1), losses=1, kills=1, time_steps=1), 4000),
        (Bounds(agents=(1, 2), losses=1, kills=1, time_steps=1), 4000),
        (Bounds(agents=(1, 2), losses=1, kills=0, time_steps=3, sweeps=1), 4000),
        (Bounds(agents=(1, 2, 1), losses=0, kills=1, time_steps=0), 1000),
        (Bounds(agents=(1, 2), losses=1, kills=0, time_steps=1, lease_drops=1), 4000),
    ],
)
def test_invariants_hold_in_every_reachable_state(bounds, fewest_states):
    assert explore(bounds) >= fewest_states


def take_over_after_deadline(attempt, result, now_s):
    decision = interpret_claim_result(attempt, result, now_s)
    if isinstance(decision, Failure) and decision.kind is ErrorKind.OUTCOME_UNKNOWN:
        return ClaimReleased(result.responses[0].items[0].mod_revision)
    return decision


def hold_without_token(attempt, result, now_s):
    if not result.succeeded and result.responses[0].items:
        stored = decode_claim_value(result.responses[0].items[0].value)
        if stored.state is ClaimState.CLAIMED:
            return ClaimHeld()
    return interpret_claim_result(attempt, result, now_s)


def release_by_deletion(attempt):
    raw = make_claim_transaction(attempt).success[0].value
    is_claimed = value_is(attempt.path, raw)
    return Transaction((is_claimed,), (Delete(attempt.path),), (Get(attempt.path),))


def release_nothing(attempt):
    return Transaction((key_present(attempt.path),), (), ())


async def release_after_no_response(store, claim):
    return await store.release(claim)


@pytest.mark.parametrize(
    "target, mutant, bounds, rule",
    [
        (
            "claim_attempts.interpret_claim_result",
            take_over_after_deadline,
            Bounds((1, 2), losses=0, kills=0, time_steps=1),
            "ran twice",
        ),
        (
            "claim_attempts.interpret_claim_result",
            hold_without_token,
            Bounds((1, 2), losses=0, kills=0, time_steps=0),
            "ran twice",
        ),
        (
            "claims.make_release_transaction",
            release_by_deletion,
            Bounds((1,), losses=2, kills=0, time_steps=1),
            "key held although nothing was sent",
        ),
        (
            "claims.make_release_transaction",
            release_nothing,
            Bounds((1,), losses=1, kills=0, time_steps=1),
            "key held although nothing was sent",
        ),
        (
            "claims.ClaimStore.record_unknown",
            release_after_no_response,
            Bounds((1, 2), losses=1, kills=0, time_steps=0),
            "ran twice",
        ),
        (
            "claims.check_key_age",
            lambda key, now_s, retention_s: None,
            Bounds((1, 2), losses=0, kills=0, time_steps=3, sweeps=1),
            "ran twice",
        ),
        (
            "claim_sweeps.compute_cutoff",
            lambda last_sweep, now_s, retention_s: now_s - retention_s,
            Bounds((1, 2), losses=0, kills=0, time_steps=2, sweeps=1),
            "ran twice",
        ),
    ],
)
def test_model_detects_a_disabled_rule(monkeypatch, target, mutant, bounds, rule):
    explore(bounds)
    monkeypatch.setattr(f"bilberryspring.request.{target}", mutant)
    with pytest.raises(ViolationError) as caught:
        explore(bounds)
    assert caught.value.rule == rule
