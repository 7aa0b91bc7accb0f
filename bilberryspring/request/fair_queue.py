"""Fair queue of one work rank over workspaces.

Each workspace has a virtual counter of the cost served to it, divided by its weight;
the backlogged workspace with the lowest counter is served next. A workspace that
becomes backlogged starts at the queue's virtual time, so idle time earns no credit.
Usage of other backend servers is charged to the counter too, up to a bounded debt.

.. seealso:: Sheng et al., Fairness in Serving Large Language Models;
    Goyal, Vin and Cheng, Start-time Fair Queuing.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from bilberryspring.identifiers import WorkspaceName

__all__ = ["QueuedWork", "FairQueue"]

MAX_IDLE_COUNTERS = 4096


class QueuedWork(Protocol):
    """Attributes that a queue entry must have."""

    @property
    def workspace(self) -> WorkspaceName:
        """Workspace that is charged."""

    @property
    def cost(self) -> float:
        """Estimated work in the pool's load unit."""

    @property
    def queued_s(self) -> float:
        """Monotonic time at which it entered the queue."""


@dataclass(slots=True)
class _WorkspaceQueue:
    entries: list[QueuedWork]
    cost: float = 0.0


class FairQueue:
    """Queued work of one rank.

    :param get_weight: returns the weight of a workspace, above zero.
    :param get_sort_key: returns the sort key of an entry; the entry of a workspace with
        the lowest key is served first.
    :ivar cost: total cost of the queued entries.
    """

    def __init__(
        self,
        get_weight: Callable[[WorkspaceName], float],
        get_sort_key: Callable[[QueuedWork], Any],
    ):
        self._get_weight = get_weight
        self._get_sort_key = get_sort_key
        self._backlogged: dict[WorkspaceName, _WorkspaceQueue] = {}
        self._counters: dict[WorkspaceName, float] = {}
        self._virtual_time = 0.0
        self._entry_count = 0
        self.cost = 0.0

    def __len__(self) -> int:
        return self._entry_count

    def push(self, entry: QueuedWork) -> None:
        """Append an entry to the queue of its workspace."""
        queue = self._backlogged.get(entry.workspace)
        if queue is None:
            queue = self._backlogged[entry.workspace] = _WorkspaceQueue([])
            counter = self._counters.get(entry.workspace, 0.0)
            self._counters[entry.workspace] = max(counter, self._virtual_time)
        queue.entries.append(entry)
        self._adjust_totals(queue, 1, entry.cost)

    def peek(self) -> QueuedWork:
        """Return the entry that is served next; the queue must not be empty."""
        return min(
            self._backlogged[self._choose_workspace()].entries, key=self._get_sort_key
        )

    def list_oldest_entries(self) -> list[QueuedWork]:
        """Return the entry that was queued first, for each workspace."""
        return [queue.entries[0] for queue in self._backlogged.values()]

    def dequeue(self, entry: QueuedWork) -> None:
        """Remove an entry that is served now and charge its workspace.

        :param entry: a queued entry.
        """
        workspace = entry.workspace
        queue = self._backlogged[workspace]
        queue.entries.remove(entry)
        self._adjust_totals(queue, -1, -entry.cost)
        self._virtual_time = max(self._virtual_time, self._counters[workspace])
        self._counters[workspace] += entry.cost / self._get_weight(workspace)
        self._remove_if_empty(workspace)

    def remove(self, entry: QueuedWork) -> None:
        """Remove an entry that will not be served; nothing if it is not queued."""
        queue = self._backlogged.get(entry.workspace)
        if queue is None or entry not in queue.entries:
            return
        queue.entries.remove(entry)
        self._adjust_totals(queue, -1, -entry.cost)
        self._remove_if_empty(entry.workspace)

    def charge(
        self, workspace: WorkspaceName, cost: float, max_debt: float = float("inf")
    ) -> None:
        """Charge a workspace for cost used elsewhere, or refund it if negative.

        :param workspace: workspace whose counter changes.
        :param cost: cost to charge, before the division by the workspace's weight;
            negative for a refund.
        :param max_debt: bound on how far a charge moves the counter beyond the virtual
            time.
        """
        counter = self._counters.get(workspace, self._virtual_time)
        charged = counter + cost / self._get_weight(workspace)
        if cost > 0:
            charged = max(counter, min(charged, self._virtual_time + max_debt))
        self._counters[workspace] = charged

    def count_queued(self, workspace: WorkspaceName) -> int:
        """Return the number of queued entries of a workspace."""
        queue = self._backlogged.get(workspace)
        return len(queue.entries) if queue is not None else 0

    def list_entries_ahead(self, entry: QueuedWork) -> list[QueuedWork]:
        """Return the entries of the same workspace that are served before one.

        :param entry: an entry, queued or not.
        """
        queue = self._backlogged.get(entry.workspace)
        if queue is None:
            return []
        key = self._get_sort_key(entry)
        return [
            each
            for each in queue.entries
            if each is not entry and self._get_sort_key(each) <= key
        ]

    def compute_cost_ahead(self, entry: QueuedWork) -> float:
        """Return the queued cost that is served before an entry.

        :param entry: an entry, queued or not.
        """
        workspace = entry.workspace
        own_cost = sum(each.cost for each in self.list_entries_ahead(entry))
        start = max(self._counters.get(workspace, 0.0), self._virtual_time)
        # The entry is served when its workspace's counter reaches this value.
        start_tag = start + own_cost / self._get_weight(workspace)
        cost_ahead = own_cost
        for name, queue in self._backlogged.items():
            if name != workspace:
                cost_until_start = (
                    start_tag - self._counters[name]
                ) * self._get_weight(name)
                cost_ahead += min(queue.cost, max(cost_until_start, 0.0))
        return cost_ahead

    def drain(self) -> list[QueuedWork]:
        """Remove and return every entry."""
        entries = [
            entry for queue in self._backlogged.values() for entry in queue.entries
        ]
        self._backlogged.clear()
        self._entry_count = 0
        self.cost = 0.0
        return entries

    def _choose_workspace(self) -> WorkspaceName:
        return min(self._backlogged, key=self._counters.__getitem__)

    def _adjust_totals(self, queue: _WorkspaceQueue, count: int, cost: float) -> None:
        self._entry_count += count
        self.cost += cost
        queue.cost += cost

    def _remove_if_empty(self, workspace: WorkspaceName) -> None:
        if self._backlogged[workspace].entries:
            return
        del self._backlogged[workspace]
        if not self._entry_count:
            self.cost = 0.0
        if len(self._counters) > MAX_IDLE_COUNTERS:
            self._evict_idle_counters()

    def _evict_idle_counters(self) -> None:
        self._counters = {
            workspace: counter
            for workspace, counter in self._counters.items()
            if workspace in self._backlogged or counter > self._virtual_time
        }
