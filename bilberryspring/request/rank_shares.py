"""Order among work ranks: the most urgent first, with minimum shares for each.

Each dispatch credits every rank that has queued work with its minimum share of the
dispatched cost. A rank with positive credit goes ahead of more urgent ones and pays
with its credit, so over time a rank with queued work gets at least its share,
short by no more than one largest request.

.. seealso:: Shreedhar and Varghese, Efficient Fair Queuing using Deficit Round Robin.
"""

from collections.abc import Collection, Sequence

from bilberryspring.identifiers import RankName

__all__ = ["RankShares"]


class RankShares:
    """Credits of the ranks of one queue.

    :param minimum_shares: share of each rank, the most urgent rank first.

    >>> shares = RankShares({"urgent": 0.0, "batch": 0.25})
    >>> order = []
    >>> for _ in range(8):
    ...     rank = shares.choose_rank(["urgent", "batch"])
    ...     shares.record_dispatch(rank, 10.0, ["urgent", "batch"])
    ...     order.append(rank)
    >>> order.count("batch")
    2
    """

    def __init__(self, minimum_shares: dict[RankName, float]):
        self._shares = minimum_shares
        self._credits = dict.fromkeys(minimum_shares, 0.0)

    def choose_rank(
        self, backlogged: Sequence[RankName], satisfied_ranks: Collection[RankName] = ()
    ) -> RankName:
        """Return the rank to serve next.

        :param backlogged: ranks with queued work, the most urgent first; not empty.
        :param satisfied_ranks: ranks that hold their share right now; none of them goes ahead
            of more urgent ones.
        """
        waiting = [rank for rank in backlogged if rank not in satisfied_ranks]
        neediest = max(waiting, key=self._credits.__getitem__, default=backlogged[0])
        return neediest if self.is_below_share(neediest) else backlogged[0]

    def is_below_share(self, rank: RankName) -> bool:
        """Return whether a rank has had less than its minimum share."""
        return self._credits[rank] > 0.0

    def record_dispatch(
        self, rank: RankName, cost: float, backlogged: Sequence[RankName]
    ) -> None:
        """Account for a dispatch.

        :param rank: rank of the dispatched work.
        :param cost: its cost.
        :param backlogged: ranks that had queued work before the dispatch.
        """
        by_credit = self.is_below_share(rank)
        for waiting in backlogged:
            self._credits[waiting] += self._shares[waiting] * cost
        if by_credit:
            self._credits[rank] -= cost
        else:
            # Service in the order of urgency is no debt.
            self._credits[rank] = min(self._credits[rank], 0.0)

    def reset_unused_credit(self, rank: RankName) -> None:
        """Note that a rank has no queued work left: unused credit is lost."""
        self._credits[rank] = min(self._credits[rank], 0.0)
