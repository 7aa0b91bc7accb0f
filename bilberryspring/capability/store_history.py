"""The history of a store that may be restored from a copy.

A restoration begins a new history. Revisions and lease ids of the lost part of the
former one are given out again, so they mean nothing without the history that they
belong to. Identities of histories are not ordered.
"""

from collections.abc import Callable

from bilberryspring.identifiers import StoreHistoryId

__all__ = ["StoreHistory"]


class StoreHistory:
    """History that a process last saw a store in, and the former ones.

    :ivar current_id: identity of the history; empty before the first answer.
    :ivar change_callbacks: functions called after each change to another history, but
        not after the first answer.

    >>> history = StoreHistory()
    >>> history.observe(StoreHistoryId("a")), history.observe(StoreHistoryId("b"))
    (True, True)
    >>> history.observe(StoreHistoryId("a")), history.current_id
    (False, 'b')
    """

    def __init__(self) -> None:
        self.current_id = StoreHistoryId("")
        self.change_callbacks: list[Callable[[], None]] = []
        self._former_ids: set[StoreHistoryId] = set()

    def observe(self, history_id: StoreHistoryId) -> bool:
        """Take note of the history that an answer of the store belongs to.

        :param history_id: identity stated in the answer; empty if it states none.
        :returns: whether the answer is current; a late answer of a former history is
            not.
        """
        if not history_id or history_id == self.current_id:
            return True
        if history_id in self._former_ids:
            return False
        former_id, self.current_id = self.current_id, history_id
        if former_id:
            self._former_ids.add(former_id)
            for callback in self.change_callbacks:
                callback()
        return True

    def is_unseen(self, history_id: StoreHistoryId) -> bool:
        """Return whether a history is neither the current one nor a former one.

        :param history_id: identity that another process reports.
        """
        is_known = history_id == self.current_id or history_id in self._former_ids
        return bool(history_id) and not is_known
