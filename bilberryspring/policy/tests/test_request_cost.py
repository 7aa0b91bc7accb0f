"""Estimates of what requests cost, and their use, in replays of mixed costs."""

import math
import random
from dataclasses import replace

import pytest

from bilberryspring.policy.request_cost import (
    GUESSED_START_COEFFICIENTS,
    StartCoefficients,
    StartTerms,
    correct_start,
    predict_start_s,
)
from bilberryspring.request import cost_estimates
from bilberryspring.request.cost_estimates import make_cost_estimates
from bilberryspring.request.tests.relay_fixtures import (
    make_prompt,
    make_request,
    make_route,
)

# An engine of half the guessed speed.
SLOW = StartCoefficients(0.12, 1 / 64_200, 1 / 64_200, 0.004, 1 / 5_000_000)
TARGET_FACTOR = 1.5


def draw_terms(rng):
    tokens = rng.choice([130, 1_300, 11_800])
    return StartTerms(tokens, rng.choice([0, 0, 360, 11_800]), rng.randrange(20))


def measure_p90_factor(coefficients, actual, rng):
    errors = sorted(
        abs(
            math.log(
                predict_start_s(coefficients, terms) / predict_start_s(actual, terms)
            )
        )
        for terms in (draw_terms(rng) for _ in range(500))
    )
    return math.exp(errors[450])


def test_estimate_follows_a_change_of_speed_within_a_hundred_observations():
    rng = random.Random(1)
    coefficients = GUESSED_START_COEFFICIENTS
    for actual in (SLOW, GUESSED_START_COEFFICIENTS, SLOW):
        for _ in range(100):
            terms = draw_terms(rng)
            taken_s = predict_start_s(actual, terms) * rng.uniform(0.8, 1.25)
            coefficients = correct_start(coefficients, terms, taken_s)
        assert measure_p90_factor(coefficients, actual, rng) < TARGET_FACTOR


def test_guess_alone_misses_the_target_for_other_engines():
    factor = measure_p90_factor(GUESSED_START_COEFFICIENTS, SLOW, random.Random(1))
    assert factor > TARGET_FACTOR


@pytest.mark.parametrize("taken_s", [-1.0, 0.0, 1e-9, 1e9, math.inf])
@pytest.mark.parametrize("tokens", [0, 1_000_000])
def test_odd_observation_changes_a_prediction_little(taken_s, tokens):
    guess = GUESSED_START_COEFFICIENTS
    learned = correct_start(guess, StartTerms(tokens, 0, 0), taken_s)
    for terms in (StartTerms(130, 0, 1), StartTerms(11_800, 11_800, 20)):
        ratio = predict_start_s(learned, terms) / predict_start_s(guess, terms)
        assert 0.9 < ratio < 1.11


def make_hinted(workspace, hint, reserved=500):
    prompt = make_prompt(("own", 100), output_tokens=reserved)
    prompt = replace(prompt, hinted_output_tokens=hint)
    request = make_request(make_route(), prompt=prompt)
    request.workspace = workspace
    return request


def test_hints_wrong_by_a_hundred_change_little_for_others():
    costs = make_cost_estimates(lambda: 0.0)
    before = costs.predict_output_tokens(make_hinted("sound", 200))
    for _ in range(200):
        costs.record_output(make_hinted("wrong", 3), 300)
        costs.record_output(make_hinted("sound", 200), 200)
    assert 100 < costs.predict_output_tokens(make_hinted("wrong", 3)) <= 500
    after = costs.predict_output_tokens(make_hinted("sound", 200))
    assert before / TARGET_FACTOR < after < before * TARGET_FACTOR


@pytest.mark.parametrize("hint", [0, 1, 1_000_000])
@pytest.mark.parametrize("reserved", [0, 500])
def test_any_hint_gives_a_positive_prediction_within_the_reservation(hint, reserved):
    request = make_hinted("team", hint, reserved)
    predicted = make_cost_estimates(lambda: 0.0).predict_output_tokens(request)
    assert 1 <= predicted <= (reserved or max(hint, 1))


def test_corrections_are_bounded_and_fade(monkeypatch):
    monkeypatch.setattr(cost_estimates, "MAX_CORRECTIONS", 50)
    now_s = 0.0
    costs = make_cost_estimates(lambda: now_s)
    for number in range(500):
        costs.record_output(make_hinted(f"w{number}", 10), 1_000)
    assert len(costs._corrections) == 50
    assert costs.predict_output_tokens(make_hinted("w499", 10)) > 20
    now_s = 600.0
    assert costs.predict_output_tokens(make_hinted("w499", 10)) == 10
