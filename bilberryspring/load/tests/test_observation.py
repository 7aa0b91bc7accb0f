"""Figures read from the metrics pages of nodes."""

from bilberryspring.load.observation import (
    FleetTotals,
    compute_control_overhead,
    parse_metrics,
)
from bilberryspring.process.accounting import ControlMechanism, make_ledger
from bilberryspring.process.budget import Budget
from bilberryspring.process.metrics import make_metrics


def make_totals(at_s, control_bytes, reads, writes):
    names = control_bytes.keys()
    return FleetTotals(
        at_s,
        control_bytes,
        dict.fromkeys(names, 0.004),
        dict.fromkeys(names, 7e7),
        reads,
        writes,
    )


def test_control_overhead_ignores_restarted_nodes():
    before = make_totals(10.0, {"a": 1_000, "b": 2_000, "restarted": 9_000}, 100, 10)
    after = make_totals(
        20.0, {"a": 11_000, "b": 32_000, "restarted": 50, "new": 70}, 150, 30
    )
    overhead = compute_control_overhead(before, after)
    assert overhead.mean_bytes_per_s == 2_000
    assert overhead.max_bytes_per_s == 3_000
    assert (overhead.key_value_reads_per_s, overhead.key_value_writes_per_s) == (5, 2)
    assert overhead.max_cpu_ratio == 0.004


def test_metrics_page_is_read_by_name_and_labels():
    ledger = make_ledger()
    ledger.count(ControlMechanism.CLAIMS, sent_bytes=30)
    metrics = make_metrics(ledger)
    metrics.add_gauge("load", "Unfinished work", lambda: 12.5)
    samples = parse_metrics(metrics.render())
    assert samples["load"] == 12.5
    assert samples['control_bytes_total{direction="sent",mechanism="claims"}'] == 30
    assert samples[f'budget_limit{{budget="{Budget.BYTES_PER_S.value}"}}'] == 10_000
