"""Positions in the history of a store that may be restored from a copy.

A restoration begins a new epoch: revisions and lease ids that the lost part of the
former history had used are given out again.
"""

from dataclasses import dataclass

from bilberryspring.identifiers import StoreEpoch

__all__ = ["StorePosition"]


@dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """A revision together with the history that it belongs to.

    :param epoch: identity of the history; it rises with each restoration.
    :param revision: revision within that history.

    >>> StorePosition(StoreEpoch(1), 90) < StorePosition(StoreEpoch(2), 70)
    True
    """

    epoch: StoreEpoch
    revision: int
