"""Figures computed from the records of a load run."""

import random

import pytest

from bilberryspring.load.arrivals import Surge, draw_arrivals
from bilberryspring.load.measures import (
    measure_fairness,
    measure_rank,
    measure_reuse,
    measure_skew,
)
from bilberryspring.load.records import CallOutcome, CallRecord
from bilberryspring.load.request_plans import compute_decode_utilization, draw_plan
from bilberryspring.load.workload_mixes import (
    WORKLOAD_MIXES,
    find_mix,
    make_configuration_document,
)
from bilberryspring.version.objects import Configuration


def make_record(workspace, outcome, **members):
    record = CallRecord("n", "r", workspace, "urgent", "chat", 1.0)
    record.outcome = outcome
    for name, value in members.items():
        setattr(record, name, value)
    return record


DONE = {"sent_s": 1.5, "first_token_s": 2.0, "finished_s": 3.0, "answer_tokens": 10}


def test_latency_is_measured_from_the_intended_time():
    records = [
        make_record("a", CallOutcome.DONE, tries=1, gaps_s=[0.5, 0.5], **DONE),
        make_record("a", CallOutcome.DONE, tries=2, **DONE),
        make_record("b", CallOutcome.REFUSED, sent_s=1.0, finished_s=1.1, tries=1),
        make_record("b", CallOutcome.TRUNCATED, first_token_s=9.0, answer_tokens=5),
    ]
    measures = measure_rank(records, 10.0)
    assert (measures.offered, measures.done, measures.returned) == (4, 2, 1)
    assert (measures.refused, measures.failed) == (1, 1)
    assert (measures.refused_first, measures.returned_once) == (2, 1)
    assert measures.first_token.p99_s == pytest.approx(1.0, rel=0.01)
    assert measures.completion.p50_s == pytest.approx(2.0, rel=0.01)
    assert measures.between_tokens.count == 2
    assert measures.refusal.p50_s == pytest.approx(0.1, rel=0.01)
    assert measures.goodput_tokens_per_s == 2.0
    assert measure_fairness(records) == 0.5


def test_reuse_ignores_failed_requests_and_unexpected_hits():
    records = [
        make_record("a", CallOutcome.DONE, prompt_tokens=50, cached_tokens=40),
        make_record(
            "a",
            CallOutcome.DONE,
            prompt_tokens=100,
            reusable_tokens=80,
            cached_tokens=60,
        ),
        make_record("a", CallOutcome.REFUSED, reusable_tokens=80),
    ]
    assert measure_reuse(records).ratio == 0.75


def test_skew_ignores_samples_below_the_floor():
    skew = measure_skew([[0, 0], [0, 0.1], [3, 1], [2, 2]], floor=1)
    assert (skew.samples, skew.max_over_mean, skew.max_over_mean_p99) == (2, 1.25, 1.5)


def test_surge_multiplies_only_its_interval():
    surge = Surge(10, 20, 5)
    times = list(draw_arrivals(random.Random(3), 50, 30, [surge]))
    inside = sum(10 <= time_s < 20 for time_s in times)
    assert 2300 < inside < 2700
    assert 900 < len(times) - inside < 1100


@pytest.mark.parametrize("name", sorted(WORKLOAD_MIXES))
def test_mix_matches_its_configuration_and_engine_capacity(name):
    mix = find_mix(name)
    document = make_configuration_document(mix, "bounded_rendezvous")
    configuration = Configuration.model_validate(document)
    ranks = {rank.name for rank in configuration.work_ranks}
    assert {work.rank for work in (*mix.chats, *mix.service_calls)} <= ranks
    assert {work.route for work in mix.service_calls} < {
        r.name for r in configuration.routes
    }
    assert (
        0.5 < compute_decode_utilization(draw_plan(mix, 1, 30), mix, start_s=10) < 0.9
    )
    assert set(mix.large_workspaces) < set(mix.workspace_shares)


def test_surge_does_not_change_requests_of_other_workspaces():
    mix = find_mix("lankverk")
    large = mix.large_workspaces

    def find_surges(workspace, rank):
        return [Surge(5, 10, 10)] if workspace in large else []

    usual, surged = draw_plan(mix, 3, 20), draw_plan(mix, 3, 20, find_surges)
    small = set(mix.workspace_shares) - set(large)
    alone = draw_plan(mix, 3, 20, workspaces=sorted(small))

    def select(plan):
        return {c.name: c for c in (*plan.chats, *plan.calls) if c.workspace in small}

    assert select(usual) == select(surged) == select(alone)
    assert len(surged.chats) > 2 * len(usual.chats)
    for chat in surged.chats:
        times = [turn.at_s for turn in chat.turns]
        assert times == sorted(times) and times[-1] < 20
