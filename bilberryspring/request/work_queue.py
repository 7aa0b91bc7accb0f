"""Queue of one agent: work ranks by urgency and share, workspaces fairly inside."""

from collections.abc import Callable, Collection, Mapping

from bilberryspring.identifiers import RankName, WorkspaceName
from bilberryspring.policy.ordering import (
    DEFAULT_ORDER,
    ORDERS,
    OrderKey,
    QueuedRequest,
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
# How far use on other backend servers may put a workspace behind the others here.
MAX_DEBT_S = 10.0
# Of a rank that is not configured.
DEFAULT_TARGET_WAIT_S = 10.0


class RankedWork(QueuedWork):
    """Queue entry that also has a work rank."""

    @property
    def rank(self) -> RankName:
        """Work rank that the entry is queued in."""

    @property
    def is_scheduled_retry(self) -> bool:
        """Whether its caller was refused before and came back when told."""

    @property
    def is_continuation(self) -> bool:
        """Whether its caller already has a part of the answer."""


class WorkQueue:
    """Queued work of an agent in the order of service.

    :param index: configuration in force.
    :param clock: monotonic time in seconds.
    :param order_policy: registered order of one workspace's requests in a rank.
    """

    def __init__(
        self,
        index: ConfigurationIndex,
        clock: Callable[[], float],
        order_policy: str | None = None,
    ):
        self._clock = clock
        self._index = index
        self._order_policy = order_policy or DEFAULT_ORDER
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
        """Take over ranks, shares, weights and order of another version.

        :param index: configuration in force. Work of a rank that it no longer has is
            queued in the least urgent rank.
        :param order_policy: registered order; the default one if ``None``.
        """
        self._index = index
        self._order_policy = order_policy or DEFAULT_ORDER
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

    def peek(self, served: Collection[RankName] = ()) -> RankedWork | None:
        """Return the entry that is served next, ``None`` if nothing is queued.

        :param served: ranks that hold their share right now.
        """
        backlogged = self._list_backlogged_ranks()
        if not backlogged:
            return None
        return self._queues[self._shares.choose_rank(backlogged, served)].peek()

    def list_oldest_entries(self) -> list[RankedWork]:
        """Return the entry of each rank and workspace that was queued first."""
        return [
            entry
            for queue in self._queues.values()
            for entry in queue.list_oldest_entries()
        ]

    def dequeue(self, entry: RankedWork) -> None:
        """Take out an entry that is served now, and charge its rank and workspace.

        The choice is made once, by :meth:`peek`: the order may change as time goes on.

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
        """Take out an entry that will not be served."""
        rank = self.resolve_rank(entry.rank)
        self._queues[rank].remove(entry)
        self._reset_credit_if_empty(rank)

    def drain(self) -> list[RankedWork]:
        """Take out every entry."""
        return [entry for queue in self._queues.values() for entry in queue.drain()]

    def refund(self, entry: RankedWork, cost: float) -> None:
        """Give a workspace back what its request was charged but did not use."""
        self._queues[self.resolve_rank(entry.rank)].charge(entry.workspace, -cost)

    def charge_remote_usage(
        self, usage_rates: Mapping[WorkspaceName, float], elapsed_s: float, rate: float
    ) -> None:
        """Charge workspaces for their use of other backend servers.

        :param usage_rates: cost a second of each workspace elsewhere.
        :param elapsed_s: time since the last charge.
        :param rate: service rate here, cost a second; it scales the highest debt.
        """
        for queue in self._queues.values():
            for workspace, used in usage_rates.items():
                queue.charge(workspace, used * elapsed_s, max_debt=MAX_DEBT_S * rate)

    def list_usage(self, limit: int) -> list[tuple[WorkspaceName, float]]:
        """Return the workspaces that used most lately, with their cost a second.

        :param limit: number of workspaces at most.
        """
        now_s = self._clock()
        rates = [(name, used.rate(now_s)) for name, used in self._usage.items()]
        rates.sort(key=lambda entry: entry[1], reverse=True)
        self._usage = {name: self._usage[name] for name, rate in rates if rate > 1e-3}
        return [(name, rate) for name, rate in rates[:limit] if rate > 1e-3]

    def list_entries_ahead(self, entry: RankedWork) -> list[RankedWork]:
        """Return what is queued of the same rank and workspace and served before.

        :param entry: an entry that need not be queued.
        """
        return self._queues[self.resolve_rank(entry.rank)].list_entries_ahead(entry)

    def count_queued(self, workspace: WorkspaceName) -> int:
        """Return the number of queued entries of a workspace over all ranks."""
        return sum(queue.count_queued(workspace) for queue in self._queues.values())

    def count_by_rank(self) -> dict[RankName, int]:
        """Return the number of queued entries of each rank."""
        return {rank: len(queue) for rank, queue in self._queues.items()}

    def predict_wait(self, entry: RankedWork, rate: float) -> float:
        """Return the predicted wait of an entry behind what is queued, in seconds.

        :param entry: an entry that need not be queued.
        :param rate: service rate, cost a second.
        """
        rank = self.resolve_rank(entry.rank)
        ahead = self._queues[rank].compute_cost_ahead(entry)
        return predict_wait(
            rank, ahead, self._get_rank_backlogs(), self.ranks_by_urgency, rate
        )

    def compute_rank_rate(self, rank: RankName, rate: float) -> float:
        """Return the cost a second that a rank can expect.

        :param rank: the rank.
        :param rate: service rate, cost a second.
        """
        rank = self.resolve_rank(rank)
        return compute_rank_rate(
            rank, self._get_rank_backlogs(), self.ranks_by_urgency, rate
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

    def _get_sort_key(self, entry: RankedWork) -> OrderKey:
        waited_s = self._clock() - entry.queued_s
        target_wait_s = self.get_target_wait(entry.rank)
        return ORDERS[self._order_policy](
            QueuedRequest(
                entry.cost,
                waited_s,
                target_wait_s,
                entry.is_scheduled_retry,
                entry.is_continuation,
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
