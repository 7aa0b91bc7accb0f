"""Metrics page, resource budget and CPU time of the control mechanisms."""

import asyncio
import gc
import time

import pytest
from prometheus_client.parser import text_string_to_metric_families

from bilberryspring.process.accounting import ControlMechanism, make_ledger
from bilberryspring.process.budget import Budget, check_budget, measure_control_cpu
from bilberryspring.process.metrics import make_metrics, render_metrics


def read_samples(text):
    return {
        (sample.name, *sorted(sample.labels.values())): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def test_rendered_metrics_parse_with_their_values():
    ledger = make_ledger()
    ledger.count(ControlMechanism.CLAIMS, calls=3, sent_bytes=120, received_bytes=7)
    metrics = make_metrics(ledger)
    requests = metrics.add_counter("requests", "Requests", "rank", "outcome")
    requests.add("urgent", 'do"ne')
    requests.add("urgent", 'do"ne', amount=2)
    first_token = metrics.add_latency_histogram(
        "first_token_seconds", "First token", "rank"
    )
    for duration_s in (0.0, 0.0004, 0.0031, 0.4, 7200.0):
        first_token.observe(duration_s, "urgent")
    metrics.add_gauge("queued", "Queued", lambda: {("urgent",): 4}, "rank")
    metrics.add_gauge("version", "Version", lambda: 9)
    samples = read_samples(render_metrics(metrics))
    prefix = "bilberryspring_"
    assert samples[(prefix + "requests_total", 'do"ne', "urgent")] == 3
    assert samples[(prefix + "control_calls_total", "claims")] == 3
    assert samples[(prefix + "control_bytes_total", "claims", "sent")] == 120
    assert samples[(prefix + "queued", "urgent")] == 4
    assert samples[(prefix + "version",)] == 9
    bucket = prefix + "first_token_seconds_bucket"
    for bound, count in (("0.0005", 2), ("0.005", 3), ("0.5", 4), ("+Inf", 5)):
        assert samples[(bucket, *sorted((bound, "urgent")))] == count
    assert samples[(prefix + "first_token_seconds_count", "urgent")] == 5
    assert samples[(prefix + "first_token_seconds_sum", "urgent")] > 7200
    assert first_token.percentile_s(50, "urgent") == pytest.approx(0.0031, rel=0.02)
    assert first_token.percentile_s(50, "other") == 0


def test_registering_a_metric_name_twice_raises():
    metrics = make_metrics(make_ledger())
    metrics.add_counter("requests", "Requests")
    with pytest.raises(ValueError):
        metrics.add_counter("requests", "Requests")


@pytest.mark.parametrize(
    ("elapsed_s", "sent_bytes", "cpu_s", "exceeded"),
    [
        (100, 990_000, 1.6, set()),
        (100, 1_100_000, 1.6, {Budget.BYTES_PER_S}),
        (100, 990_000, 1.8, {Budget.CPU_RATIO}),
    ],
)
def test_budget_reports_which_limits_are_exceeded(
    elapsed_s, sent_bytes, cpu_s, exceeded
):
    ledger = make_ledger()
    ledger.started_monotonic_s -= elapsed_s
    ledger.count(ControlMechanism.LOAD_EXCHANGE, sent_bytes=sent_bytes)
    ledger.control_cpu_s = cpu_s
    usages = {usage.budget: usage for usage in check_budget(ledger)}
    assert usages[Budget.MEMORY_BYTES].used > 1_000_000
    del usages[Budget.MEMORY_BYTES]
    assert {
        usage.budget for usage in usages.values() if not usage.is_within_limit
    } == exceeded


async def burn_cpu(cpu_s):
    started_s = time.thread_time()
    while time.thread_time() - started_s < cpu_s:
        pass
    return cpu_s


async def test_only_cpu_time_of_the_wrapped_coroutine_counts_as_control():
    ledger = make_ledger()

    async def control():
        await burn_cpu(0.02)
        await asyncio.sleep(0.01)
        return await burn_cpu(0.02)

    result, _ = await asyncio.gather(
        measure_control_cpu(ledger, control()), burn_cpu(0.3)
    )
    assert result == 0.02
    assert 0.04 <= ledger.control_cpu_s < 0.3


async def test_wrapped_coroutine_propagates_errors_and_cancellation():
    ledger = make_ledger()

    async def fail():
        await asyncio.sleep(0)
        raise KeyError("x")

    with pytest.raises(KeyError):
        await measure_control_cpu(ledger, fail())
    task = asyncio.create_task(measure_control_cpu(ledger, asyncio.sleep(60)))
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


@pytest.mark.filterwarnings("error")
async def test_wrapped_coroutine_can_be_cancelled_before_its_first_step():
    """A process that closes cancels tasks that it has just created.

    Without a wrapper that implements the coroutine protocol, the wrapped coroutine
    would never be awaited, which raises a warning.
    """
    ledger = make_ledger()
    task = asyncio.create_task(measure_control_cpu(ledger, burn_cpu(0.0)))
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    gc.collect()
    assert ledger.control_cpu_s < 0.01
