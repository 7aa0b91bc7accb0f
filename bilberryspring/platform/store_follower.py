"""Follow the keys with a prefix in the metadata store."""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable

from bilberryspring.capability.store_position import StorePosition
from bilberryspring.platform.metadata_messages import (
    HistoryCompacted,
    HistoryReplaced,
    StoreChanges,
    StoreItem,
    StoreListing,
)
from bilberryspring.platform.metadata_store import MetadataStore
from bilberryspring.process.confirmation_age import ConfirmationAge
from bilberryspring.process.logs import log_event
from bilberryspring.request.errors import Failure

__all__ = ["follow_prefix"]

STORE_RETRY_DELAY_S = 0.15
# Routers that watch for all others retry without a backoff. The others hear from them
# when the store is back; without a backoff, their calls would grow with the fleet.
MAX_RETRY_DELAY_S = 1.5
PEER_LIST_POLL_S = 0.1
# Longest wait for a response, and pause after one, while the caller needs changes soon.
URGENT_WAIT_S = 0.2
URGENT_PAUSE_S = 0.1


async def follow_prefix(
    store: MetadataStore,
    prefix: str,
    *,
    max_wait_s: float,
    pause_s: float,
    replace_all: Callable[[StoreListing], None],
    apply_change: Callable[[StoreItem], None],
    report_availability: Callable[[bool], None],
    may_skip_watching: Callable[[], bool] | None = None,
    needs_full_list: Callable[[], bool] = lambda: False,
    is_store_watcher: Callable[[], bool] = lambda: True,
    confirmation: ConfirmationAge | None = None,
    is_urgent: Callable[[], bool] = lambda: False,
) -> None:
    """Keep a view of all keys with a prefix up to date, until cancelled.

    :param store: client of the store.
    :param prefix: prefix of the keys; a whole key is allowed.
    :param max_wait_s: longest time in seconds that the store holds a watch request
        without a change.
    :param pause_s: pause in seconds after a response with changes, so that the next
        response holds several changes.
    :param replace_all: called with each full list.
    :param apply_change: called with each change that a watch returns.
    :param report_availability: called after each call of the store; true if the store
        responded.
    :param may_skip_watching: returns true while other routers watch the prefix for
        this one; ``None`` if each router watches it.
    :param needs_full_list: returns true if the view was replaced by another router's
        since the last call. Changes since the last position known here could then
        replace newer items by older ones.
    :param is_store_watcher: returns true if this router reads the store for others
        too; it then repeats failed calls without a backoff.
    :param confirmation: age of the view, to be kept below its bound while a watch
        waits; ``None`` if the wait is short enough.
    :param is_urgent: returns true while each change, or that there is none, must be
        known soon.
    """
    position = None
    failures = 0
    while True:
        if may_skip_watching is not None and may_skip_watching():
            await asyncio.sleep(PEER_LIST_POLL_S)
            continue
        if needs_full_list():
            position = None
        if position is None:
            result = await store.list_prefix(prefix)
            if not isinstance(result, Failure):
                failures = 0
                report_availability(True)
                replace_all(result)
                position = result.position
                continue
        else:
            # A router that others inform asks only whether they missed a change, and
            # after a failure each does, since a watch may wait in vain.
            waits = may_skip_watching is None or is_store_watcher()
            waits = waits and not failures
            wait_s = min(max_wait_s, URGENT_WAIT_S) if is_urgent() else max_wait_s
            result = await _watch_prefix(
                store, prefix, position, wait_s if waits else 0.0, confirmation
            )
            if isinstance(result, HistoryCompacted | HistoryReplaced):
                is_replaced = isinstance(result, HistoryReplaced)
                reason = "history replaced" if is_replaced else "history compacted"
                log_event("dependency_lost", dependency=prefix, reason=reason)
                position = None
                continue
            if not isinstance(result, Failure):
                failures = 0
                # The response confirms the view only if it was not replaced meanwhile.
                is_replaced = needs_full_list()
                if not is_replaced:
                    report_availability(True)
                for item in result.items:
                    apply_change(item)
                position = None if is_replaced else result.position
                rest_s = min(pause_s, URGENT_PAUSE_S) if is_urgent() else pause_s
                await asyncio.sleep(rest_s if result.items else 0)
                continue
        report_availability(False)
        log_event(
            "dependency_lost",
            level="WARNING",
            dependency=f"store {prefix}",
            reason=result.reason,
        )
        failures = 1 if is_store_watcher() else failures + 1
        await asyncio.sleep(_draw_retry_delay_s(failures))


async def _watch_prefix(
    store: MetadataStore,
    prefix: str,
    position: StorePosition,
    max_wait_s: float,
    confirmation: ConfirmationAge | None,
) -> StoreChanges | HistoryCompacted | HistoryReplaced | Failure:
    """Wait for changes, and ask the store for them when the view is due.

    A watch that waits shows neither that there is no change nor that its connection
    still works, so it is given up if the store names a change that it did not report.

    :param store: client of the store.
    :param prefix: prefix of the keys.
    :param position: position after which changes are reported.
    :param max_wait_s: longest time in seconds that the store holds the watch.
    :param confirmation: age of the view; ``None`` if the wait is short enough.
    :returns: as :meth:`MetadataStore.watch_prefix`.
    """
    if confirmation is None or not max_wait_s:
        return await store.watch_prefix(prefix, position, max_wait_s)
    watch = asyncio.ensure_future(store.watch_prefix(prefix, position, max_wait_s))
    try:
        while not watch.done():
            await asyncio.wait({watch}, timeout=PEER_LIST_POLL_S)
            if watch.done() or not confirmation.is_due:
                continue
            asked_s = time.monotonic()
            result = await store.watch_prefix(prefix, position, 0.0)
            if not isinstance(result, StoreChanges) or result.items:
                return watch.result() if watch.done() else result
            confirmation.confirm(time.monotonic() - asked_s)
        return watch.result()
    finally:
        watch.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watch


def _draw_retry_delay_s(failures: int) -> float:
    """Draw the pause before a failed call of the store is repeated.

    :param failures: number of calls that failed in succession.
    """
    delay_s = min(STORE_RETRY_DELAY_S * 2.0 ** (failures - 1), MAX_RETRY_DELAY_S)
    return delay_s * random.uniform(0.75, 1.25)
