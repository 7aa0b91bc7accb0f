"""Scheduling of work ranks: the most urgent first, with a minimum share for each.

Each dispatch credits every rank that has queued work with its minimum share of the
dispatched cost. A rank with positive credit is served before more urgent ones, and the
cost is deducted from its credit. Over time a rank with queued work therefore receives
at least its share, less at most the cost of one largest request.

.. seealso:: Shreedhar and Varghese, Efficient Fair Queuing using Deficit Round Robin.
"""

from collections.abc import Collection, Sequence

from bilberryspring.identifiers import RankName

__all__ = ["RankShares"]


class RankShares:
    """Credit counters of the ranks of one queue.

    :param minimum_shares: minimum share of each rank, the most urgent rank first.

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
        :param satisfied_ranks: ranks that hold at least their minimum share of the
            slots; their credit does not put them before more urgent ones.
        """
        eligible = [rank for rank in backlogged if rank not in satisfied_ranks]
        most_underserved = max(
            eligible, key=self._credits.__getitem__, default=backlogged[0]
        )
        return (
            most_underserved if self.is_below_share(most_underserved) else backlogged[0]
        )

    def is_below_share(self, rank: RankName) -> bool:
        """Return whether a rank has received less than its minimum share."""
        return self._credits[rank] > 0.0

    def record_dispatch(
        self, rank: RankName, cost: float, backlogged: Sequence[RankName]
    ) -> None:
        """Update the credits after a dispatch.

        :param rank: rank of the dispatched work.
        :param cost: its cost.
        :param backlogged: ranks that had queued work before the dispatch.
        """
        by_credit = self.is_below_share(rank)
        for backlogged_rank in backlogged:
            self._credits[backlogged_rank] += self._shares[backlogged_rank] * cost
        if by_credit:
            self._credits[rank] -= cost
        else:
            # Service in order of urgency is not charged as debt.
            self._credits[rank] = min(self._credits[rank], 0.0)

    def reset_unused_credit(self, rank: RankName) -> None:
        """Discard unused credit of a rank that has no queued work left."""
        self._credits[rank] = min(self._credits[rank], 0.0)
