"""Agent queue: work ranks by urgency and minimum share, workspaces fairly inside."""

from collections.abc import Callable, Collection, Mapping

from bilberryspring.identifiers import RankName, WorkspaceName
from bilberryspring.policy.ordering import (
    DEFAULT_ORDER_POLICY,
    ORDER_POLICIES,
    QueuedRequest,
    SortKey,
)
from bilberryspring.request.decaying_sum import DecayingSum
from bilberryspring.request.fair_queue import FairQueue, QueuedWork
from bilberryspring.request.rank_shares import RankShares
from bilberryspring.request.wait_prediction import (
    RankBacklog,
    compute_rank_rate,
    predict_wait,
)
from bilberryspring.version.index import ConfigurationIndex

__all__ = ["RankedWork", "WorkQueue"]

DISPATCH_TIME_CONSTANT_S = 10.0
USAGE_TIME_CONSTANT_S = 10.0
# Bound on the debt for usage of other backend servers, as service time here.
MAX_DEBT_S = 10.0
# Applies to a rank that is not configured.
DEFAULT_TARGET_WAIT_S = 10.0


class RankedWork(QueuedWork):
    """Queue entry that also has a work rank."""

    @property
    def rank(self) -> RankName:
        """Work rank that the entry is queued in."""

    @property
    def is_scheduled_retry(self) -> bool:
        """Whether it is the retry of a refused request, at the assigned time."""

    @property
    def has_partial_response(self) -> bool:
        """Whether its caller already received a part of the response."""


class WorkQueue:
    """Queued work of an agent, in the order in which it is served.

    :param index: configuration in force.
    :param clock: monotonic time in seconds.
    :param order_policy: registered policy that orders the requests of one workspace in
        a rank; the default one if ``None``.
    """

    def __init__(
        self,
        index: ConfigurationIndex,
        clock: Callable[[], float],
        order_policy: str | None = None,
    ):
        self._clock = clock
        self._index = index
        self._order_policy = order_policy or DEFAULT_ORDER_POLICY
        self._queues: dict[RankName, FairQueue] = {}
        self._dispatched: dict[RankName, DecayingSum] = {}
        self._usage: dict[WorkspaceName, DecayingSum] = {}
        self._shares = RankShares({})
        self.reconfigure(index, order_policy)

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    @property
    def ranks_by_urgency(self) -> list[RankName]:
        """Ranks, the most urgent first."""
        return list(self._queues)

    def reconfigure(
        self, index: ConfigurationIndex, order_policy: str | None = None
    ) -> None:
        """Apply another version of the configuration.

        :param index: configuration in force. Queued work of a rank that it no longer
            has moves to the least urgent rank.
        :param order_policy: registered policy; the default one if ``None``.
        """
        self._index = index
        self._order_policy = order_policy or DEFAULT_ORDER_POLICY
        previous = self._queues
        shares = {RankName(r.name): r.minimum_share for r in index.ranks_by_order}
        # A pool may be served before any rank is configured.
        shares = shares or {RankName(""): 0.0}
        self._queues = {
            name: previous.pop(name, None)
            or FairQueue(self._get_weight, self._get_sort_key)
            for name in shares
        }
        self._dispatched = {
            name: self._dispatched.get(name) or DecayingSum(DISPATCH_TIME_CONSTANT_S)
            for name in shares
        }
        self._shares = RankShares(shares)
        for queue in previous.values():
            for entry in queue.drain():
                self.push(entry)

    def resolve_rank(self, rank: RankName) -> RankName:
        """Return the rank itself, or the least urgent one if it is not configured."""
        return rank if rank in self._queues else self.ranks_by_urgency[-1]

    def push(self, entry: RankedWork) -> None:
        """Queue an entry."""
        self._queues[self.resolve_rank(entry.rank)].push(entry)

    def peek(self, satisfied_ranks: Collection[RankName] = ()) -> RankedWork | None:
        """Return the entry that is served next, ``None`` if nothing is queued.

        :param satisfied_ranks: ranks that hold at least their minimum share of the
            slots.
        """
        backlogged = self._list_backlogged_ranks()
        if not backlogged:
            return None
        return self._queues[
            self._shares.choose_rank(backlogged, satisfied_ranks)
        ].peek()

    def list_oldest_entries(self) -> list[RankedWork]:
        """Return the entry that was queued first, for each rank and workspace."""
        return [
            entry
            for queue in self._queues.values()
            for entry in queue.list_oldest_entries()
        ]

    def dequeue(self, entry: RankedWork) -> None:
        """Remove an entry that is served now, and charge its rank and workspace.

        The order depends on the time, so the entry is passed in as :meth:`peek`
        returned it instead of being chosen again.

        :param entry: a queued entry.
        """
        rank = self.resolve_rank(entry.rank)
        backlogged = self._list_backlogged_ranks()
        self._queues[rank].dequeue(entry)
        self._shares.record_dispatch(rank, entry.cost, backlogged)
        self._reset_credit_if_empty(rank)
        now_s = self._clock()
        self._dispatched[rank].add(entry.cost, now_s)
        usage = self._usage.setdefault(
            entry.workspace, DecayingSum(USAGE_TIME_CONSTANT_S)
        )
        usage.add(entry.cost, now_s)

    def remove(self, entry: RankedWork) -> None:
        """Remove an entry that will not be served; nothing if it is not queued."""
        rank = self.resolve_rank(entry.rank)
        self._queues[rank].remove(entry)
        self._reset_credit_if_empty(rank)

    def drain(self) -> list[RankedWork]:
        """Remove and return every entry."""
        return [entry for queue in self._queues.values() for entry in queue.drain()]

    def refund(self, entry: RankedWork, cost: float) -> None:
        """Refund a workspace for cost that its request was charged but did not use."""
        self._queues[self.resolve_rank(entry.rank)].charge(entry.workspace, -cost)

    def charge_remote_usage(
        self,
        usage_rates: Mapping[WorkspaceName, float],
        elapsed_s: float,
        service_rate: float,
    ) -> None:
        """Charge workspaces for their usage of other backend servers.

        :param usage_rates: cost per second of each workspace on the others.
        :param elapsed_s: time since the last charge.
        :param service_rate: cost per second here; it scales the maximum debt.
        """
        for queue in self._queues.values():
            for workspace, used in usage_rates.items():
                queue.charge(
                    workspace, used * elapsed_s, max_debt=MAX_DEBT_S * service_rate
                )

    def list_usage(self, limit: int) -> list[tuple[WorkspaceName, float]]:
        """Return the workspaces with the highest recent usage, as cost per second.

        :param limit: maximum number of workspaces.
        """
        now_s = self._clock()
        rates = [(name, used.rate(now_s)) for name, used in self._usage.items()]
        rates.sort(key=lambda entry: entry[1], reverse=True)
        self._usage = {name: self._usage[name] for name, rate in rates if rate > 1e-3}
        return [(name, rate) for name, rate in rates[:limit] if rate > 1e-3]

    def list_entries_ahead(self, entry: RankedWork) -> list[RankedWork]:
        """Return the entries of the same rank and workspace that are served before one.

        :param entry: an entry, queued or not.
        """
        return self._queues[self.resolve_rank(entry.rank)].list_entries_ahead(entry)

    def count_queued(self, workspace: WorkspaceName) -> int:
        """Return the number of queued entries of a workspace over all ranks."""
        return sum(queue.count_queued(workspace) for queue in self._queues.values())

    def count_by_rank(self) -> dict[RankName, int]:
        """Return the number of queued entries of each rank."""
        return {rank: len(queue) for rank, queue in self._queues.items()}

    def predict_wait(self, entry: RankedWork, service_rate: float) -> float:
        """Return the predicted wait of an entry behind what is queued, in seconds.

        :param entry: an entry, queued or not.
        :param service_rate: cost per second of the backend server.
        """
        rank = self.resolve_rank(entry.rank)
        cost_ahead = self._queues[rank].compute_cost_ahead(entry)
        return predict_wait(
            rank,
            cost_ahead,
            self._get_rank_backlogs(),
            self.ranks_by_urgency,
            service_rate,
        )

    def compute_rank_rate(self, rank: RankName, service_rate: float) -> float:
        """Return the cost per second that a rank can expect to be served.

        :param rank: name of the work rank.
        :param service_rate: cost per second of the backend server.
        """
        rank = self.resolve_rank(rank)
        return compute_rank_rate(
            rank, self._get_rank_backlogs(), self.ranks_by_urgency, service_rate
        )

    def _get_rank_backlogs(self) -> dict[RankName, RankBacklog]:
        now_s = self._clock()
        return {
            rank: RankBacklog(
                queue.cost, self._dispatched[rank].rate(now_s), self._get_share(rank)
            )
            for rank, queue in self._queues.items()
        }

    def _get_share(self, rank: RankName) -> float:
        configured = self._index.work_ranks.get(rank)
        return configured.minimum_share if configured is not None else 0.0

    def get_target_wait(self, rank: RankName) -> float:
        """Return the latency target of a rank, in seconds.

        :param rank: name of the rank.
        """
        configured = self._index.work_ranks.get(self.resolve_rank(rank))
        return DEFAULT_TARGET_WAIT_S if configured is None else configured.target_wait_s

    def _get_sort_key(self, entry: RankedWork) -> SortKey:
        waited_s = self._clock() - entry.queued_s
        target_wait_s = self.get_target_wait(entry.rank)
        return ORDER_POLICIES[self._order_policy](
            QueuedRequest(
                entry.cost,
                waited_s,
                target_wait_s,
                entry.is_scheduled_retry,
                entry.has_partial_response,
            )
        )

    def _get_weight(self, workspace: WorkspaceName) -> float:
        configured = self._index.workspaces.get(workspace)
        return configured.weight if configured is not None else 1.0

    def _list_backlogged_ranks(self) -> list[RankName]:
        return [rank for rank, queue in self._queues.items() if len(queue)]

    def _reset_credit_if_empty(self, rank: RankName) -> None:
        if not len(self._queues[rank]):
            self._shares.reset_unused_credit(rank)
