"""Slope cases of an agent's admission queue."""

import itertools
from collections.abc import Callable

from bilberryspring.identifiers import InstanceId, RankName, RequestId, WorkspaceName
from bilberryspring.load.slope_cases import make_large_configuration
from bilberryspring.load.slopes import register_cpu_case, register_memory_case
from bilberryspring.request.admission import (
    Admission,
    Ticket,
    WorkItem,
    make_admission,
)
from bilberryspring.request.errors import Failure
from bilberryspring.request.load_bound import MeanEstimate
from bilberryspring.version.index import make_index
from bilberryspring.version.objects import Pool, PoolKind

__all__ = ["PermissivePoolLoad"]

FAR_DEADLINE_S = 1e12
COST_TOKENS = 400.0
QUEUE_SIZES = (100, 400, 1600)


class PermissivePoolLoad:
    """Pool load whose mean is so high that the load bound admits every request."""

    def mean_load(self) -> MeanEstimate:
        """Return a mean load that no single server exceeds."""
        return MeanEstimate(1e12)

    def least_loaded(self, count: int) -> list[InstanceId]:
        """Return no alternative servers."""
        return []


def _make_admission(workspaces: int) -> Admission:
    pool = Pool(name="pool-0", kind=PoolKind.ENGINE, max_running=32)
    return make_admission(
        pool, make_index(make_large_configuration(workspaces)), PermissivePoolLoad()
    )


def _make_work_item(number: int, workspaces: int) -> WorkItem:
    return WorkItem(
        RequestId(f"request-{number:024d}"),
        WorkspaceName(f"workspace-{number % workspaces}"),
        RankName(f"r{number % 3}"),
        COST_TOKENS,
        FAR_DEADLINE_S,
    )


def _submit_requests(admission: Admission, count: int, workspaces: int) -> list[Ticket]:
    tickets = [admission.submit(_make_work_item(i, workspaces)) for i in range(count)]
    assert not any(isinstance(ticket, Failure) for ticket in tickets)
    return tickets


@register_memory_case("admission queue", "queued request", QUEUE_SIZES)
def build_queue(size: int) -> object:
    """Build an admission queue with requests of 400 workspaces."""
    admission = _make_admission(400)
    return admission, _submit_requests(admission, size, 400)


@register_memory_case("workspace counters of an agent", "workspace", (425, 1700, 3400))
def build_workspace_counters(size: int) -> Admission:
    """Build an idle admission controller that has served every workspace once."""
    admission = _make_admission(size)
    for number in range(size):
        admission.submit(_make_work_item(number, size)).finish()
    return admission


@register_cpu_case("admit and end a request", "queued request", (0, *QUEUE_SIZES))
def prepare_admission(size: int) -> Callable[[], object]:
    """Prepare the admission of a request beside queued ones of 400 workspaces."""
    admission = _make_admission(400)
    _submit_requests(admission, size, 400)
    numbers = itertools.count(size)

    def admit() -> Ticket:
        ticket = admission.submit(_make_work_item(next(numbers), 400))
        ticket.finish()
        return ticket

    return admit
