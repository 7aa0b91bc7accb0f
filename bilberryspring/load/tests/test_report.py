"""Scenarios, results and the report of load runs."""

import pytest

from bilberryspring.load.measures import measure_skew
from bilberryspring.load.records import CallOutcome, CallRecord
from bilberryspring.load.report import read_runs, write_report
from bilberryspring.load.results import measure_run, write_result
from bilberryspring.load.scenarios import SCENARIOS, make_scenario
from bilberryspring.load.workload_mixes import RANK_NAMES, find_mix

DURATION_S = 100.0


def make_records(outcome=CallOutcome.DONE):
    mix = find_mix("lankverk")
    records = []
    for number in range(200):
        at_s = number / 2
        workspace = sorted(mix.workspace_shares)[number % len(mix.workspace_shares)]
        record = CallRecord(
            f"n{number}", "r", workspace, RANK_NAMES[number % 3], "chat", at_s
        )
        record.sent_s, record.first_token_s = at_s, at_s + 0.25
        record.finished_s, record.answer_tokens = at_s + 1, 10
        record.outcome, record.tries = outcome, 1
        records.append(record)
    return records


@pytest.mark.parametrize("name", sorted(SCENARIOS))
def test_scenario_lies_within_the_run(name):
    scenario = make_scenario(name, find_mix("lankverk"), DURATION_S)
    times = [action.at_s for action in scenario.actions]
    assert times == sorted(times)
    assert 0 < scenario.event_start_s < scenario.event_end_s < DURATION_S
    for surges in scenario.surges.values():
        assert all(surge.end_s <= DURATION_S for surge in surges)


def test_result_ignores_warm_up_and_separates_the_event():
    mix = find_mix("lankverk")
    scenario = make_scenario("surge", mix, DURATION_S)
    result = measure_run(mix, scenario, "random", 1, DURATION_S, make_records())
    assert sum(rank.offered for rank in result.ranks.values()) == 160
    assert sum(rank.offered for rank in result.event_ranks.values()) == 80
    assert result.small.offered + result.large.offered == 80
    assert result.small.offered == 4 * result.large.offered
    assert result.fairness == 1.0


def test_report_shows_each_run_with_its_figures(tmp_path):
    mix = find_mix("lankverk")
    for policy, outcome in (
        ("random", CallOutcome.DONE),
        ("least_loaded", CallOutcome.REFUSED),
    ):
        scenario = make_scenario("surge", mix, DURATION_S)
        records = make_records(outcome)
        result = measure_run(mix, scenario, policy, 1, DURATION_S, records)
        result.skew = measure_skew([[3, 1]], 1)
        write_result(tmp_path / f"{policy}.json", result)
    runs = read_runs(tmp_path.glob("*.json"))
    files = write_report(runs, tmp_path)
    assert all(path.stat().st_size for path in files)
    page = (tmp_path / "report.md").read_text(encoding="utf-8")
    assert "| surge | random | 1 | 1.5 |" in page
    assert "refused: 200" in page
    assert page.count("| surge | least_loaded |") == 6
