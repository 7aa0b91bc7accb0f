"""Watch on the head in the key-value service, kept by a few nodes of each zone."""

import asyncio
from collections.abc import Callable

from bilberryspring.capability.store import (
    Store,
    WatchEvent,
)
from bilberryspring.identifiers import AvailabilityZone, InstanceId
from bilberryspring.process.accounting import ControlMechanism
from bilberryspring.process.logs import log_event
from bilberryspring.process.membership import Members
from bilberryspring.request.errors import Failure
from bilberryspring.version.partners import is_watcher
from bilberryspring.version.publish import read_head
from bilberryspring.version.record import HEAD_KEY, decode_head

__all__ = ["HeadWatcher", "make_head_watcher"]

# The head is also polled at this interval, since a watch can stop delivering changes
# without an error.
POLL_INTERVAL_S = 1.0


class HeadWatcher:
    """Watcher that reports the accepted version while its node is a selected watcher.

    :param instance_id: id of the process's instance.
    :param zone: its availability zone.
    :param key_value: client of the platform's key-value service.
    :param members: the process's view of the instance list.
    :param on_version: callback that receives each version read from the head; zero if
        there is none.
    """

    def __init__(
        self,
        instance_id: InstanceId,
        zone: AvailabilityZone,
        key_value: Store,
        members: Members,
        on_version: Callable[[int], None],
    ) -> None:
        self._instance_id = instance_id
        self._zone = zone
        self._key_value = key_value
        self._members = members
        self._on_version = on_version

    async def run(self) -> None:
        """Watch the head whenever this node is a selected watcher, without end."""
        while True:
            if self._is_selected():
                watch_task = asyncio.create_task(self._follow_changes())
                try:
                    await self._poll_while_selected(watch_task)
                finally:
                    watch_task.cancel()
                await self._log_failure(watch_task)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _log_failure(self, watch_task: asyncio.Task[None]) -> None:
        """Log an unexpected exception that ended a watch, which is then reopened."""
        for result in await asyncio.gather(watch_task, return_exceptions=True):
            if isinstance(result, Exception):
                log_event("watch_failed", level="ERROR", error=repr(result))

    def _is_selected(self) -> bool:
        nodes = self._members.all_nodes()
        return is_watcher(self._instance_id, self._zone, nodes)

    async def _poll_while_selected(self, watch_task: asyncio.Task[None]) -> None:
        while self._is_selected() and not watch_task.done():
            head = await read_head(self._key_value)
            if not isinstance(head, Failure):
                self._on_version(head.version if head else 0)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _follow_changes(self) -> None:
        # Polling finds changes that happen between two watches.
        changes = self._key_value.watch(
            HEAD_KEY, 0, mechanism=ControlMechanism.CONFIGURATION
        )
        async for change in changes:
            if not isinstance(change, WatchEvent) or not change.item.value:
                continue
            head = decode_head(change.item.value)
            if not isinstance(head, Failure):
                self._on_version(head.version)


def make_head_watcher(
    instance_id: InstanceId,
    zone: AvailabilityZone,
    key_value: Store,
    members: Members,
    on_version: Callable[[int], None],
) -> HeadWatcher:
    """Return a watcher that is not running.

    :param instance_id: id of the process's instance.
    :param zone: its availability zone.
    :param key_value: client of the platform's key-value service.
    :param members: the process's view of the instance list.
    :param on_version: callback that receives each version read from the head.
    """
    return HeadWatcher(instance_id, zone, key_value, members, on_version)
