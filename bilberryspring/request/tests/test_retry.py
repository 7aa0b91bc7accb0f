"""Retry budgets of the pools of one process."""

from bilberryspring.request.retry import BURST_RETRIES, make_pool_retry_budgets

RATIO = 0.2


# Guards against a budget of a process for all pools, from which the retries at a small
# pool are paid for by the requests for a large one.
def test_first_attempts_at_one_pool_pay_for_no_retry_at_another():
    budgets = make_pool_retry_budgets(RATIO)
    while budgets.spend("small"):
        pass
    for _ in range(1_000):
        budgets.record_first_attempt("large")
    assert not budgets.spend("small")
    for _ in range(5):
        budgets.record_first_attempt("small")
    assert [budgets.spend("small"), budgets.spend("small")] == [True, False]
    assert budgets.spend("large")


def test_pool_whose_budget_is_whole_again_is_forgotten():
    budgets = make_pool_retry_budgets(RATIO)
    assert budgets.spend("a")
    for _ in range(int(BURST_RETRIES)):
        budgets.record_first_attempt("a")
    assert not budgets._budgets
