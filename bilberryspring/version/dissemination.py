"""Distribution of accepted configuration versions to every process.

A fixed number of nodes in each zone watch the key-value service. When a node activates
a version, it announces the version with its delta to a fixed number of partners. Once
per second, each node also compares version numbers with one partner, which repairs
missed announcements. Announcements also name the history of the key-value service, so
that every node learns that the service was restored from a copy. The number of messages
that a node sends is therefore independent of the size of the fleet.
"""

import asyncio
import random
from collections.abc import Coroutine
from dataclasses import replace
from typing import Any

from bilberryspring.capability.instance_list import (
    Instance,
)
from bilberryspring.capability.store import (
    Store,
)
from bilberryspring.connection.peers import PeerPool
from bilberryspring.identifiers import AvailabilityZone, InstanceId, StoreHistoryId
from bilberryspring.process.accounting import Ledger
from bilberryspring.process.budget import measure_control_cpu
from bilberryspring.process.logs import log_event
from bilberryspring.process.membership import Members
from bilberryspring.process.settings import ProcessSettings
from bilberryspring.process.task_restarts import run_with_restarts
from bilberryspring.request.errors import ErrorKind, Failure, make_failure
from bilberryspring.version.head_watcher import make_head_watcher
from bilberryspring.version.holder import ConfigurationHolder
from bilberryspring.version.objects import Configuration
from bilberryspring.version.partners import choose_partners
from bilberryspring.version.peer_calls import make_version_calls
from bilberryspring.version.publish import (
    Publication,
    read_head,
    restore_version,
)
from bilberryspring.version.record import VersionRecord, compress_document
from bilberryspring.version.sources import (
    LoadedVersion,
    apply_deltas,
    apply_update,
    read_update,
)
from bilberryspring.version.startup import NO_VERSION, learn_first_version
from bilberryspring.version.updates import Announcement, DeltaLog, Update

__all__ = ["ConfigurationFollower", "make_follower"]

START_TIMEOUT_S = 2.0
REPAIR_INTERVAL_S = 1.0
FETCH_HEDGE_DELAY_S = 0.4
FETCH_TIMEOUT_S = 3.0
FETCH_RETRY_S = 0.2
MAX_FETCH_PEERS = 3


class ConfigurationFollower:
    """Follower that activates the accepted version and announces it to partners.

    :param settings: settings of the process.
    :param holder: holder of the active version, which this follower updates.
    :param key_value: client of the platform's key-value service.
    :param members: the process's view of the instance list.
    :param peers: connections to other processes.
    :param ledger: ledger that accounts for control traffic.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        holder: ConfigurationHolder,
        key_value: Store,
        members: Members,
        peers: PeerPool,
        ledger: Ledger,
    ) -> None:
        self.holder = holder
        self._own_id = InstanceId(settings.instance_id)
        self._zone = AvailabilityZone(settings.availability_zone)
        self._key_value = key_value
        self._members = members
        self._ledger = ledger
        self._calls = make_version_calls(peers, ledger)
        self._watcher = make_head_watcher(
            self._own_id, self._zone, key_value, members, self._handle_head_version
        )
        self._active = NO_VERSION
        self._delta_log = DeltaLog()
        self._target_version = 0
        self._announcing_peers: list[InstanceId] = []
        self._version_announced = asyncio.Event()
        self._repair_count = 0
        self._restoration: asyncio.Task[None] | None = None
        self._history_check: asyncio.Task[None] | None = None
        key_value.history.change_callbacks.append(self._announce_history)
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start to follow the accepted version.

        Returns when a version is active, or after ``START_TIMEOUT_S`` without one. In
        the latter case, the search continues in the background.
        """
        for run in (
            self._fetch_new_versions,
            self._compare_versions,
            self._watcher.run,
        ):
            self._start_task(run_with_restarts(run, REPAIR_INTERVAL_S))
        await self.holder.wait_for(1, START_TIMEOUT_S)

    async def close(self) -> None:
        """Stop following the accepted version."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def digest(self) -> str:
        """Digest of the active configuration; empty before the first version."""
        return self._active.digest

    def learn_version(self, version: int, from_instance: str) -> None:
        """Schedule the fetch of a version if it is newer than the active one.

        :param version: active version of another process, or version in the head.
        :param from_instance: id of that process, which is queried for the version
            first; empty to query the key-value service first.
        """
        if version <= self.holder.version:
            return
        if version > self._target_version:
            self._target_version = version
            self._announcing_peers.clear()
        if from_instance and len(self._announcing_peers) < MAX_FETCH_PEERS:
            self._announcing_peers.append(InstanceId(from_instance))
        self._version_announced.set()

    def learn_publication(
        self, publication: Publication, configuration: Configuration
    ) -> None:
        """Activate a version that this process has just published.

        :param publication: the accepted publication.
        :param configuration: the published configuration.
        """
        if not self.holder.version:
            self.learn_version(publication.version, "")
            return
        change = publication.change
        deltas = (change.delta,) if change.delta else ()
        loaded = LoadedVersion(
            publication.version, change.digest, configuration, deltas
        )
        self._adopt(loaded, "publication")

    def handle_announcement(
        self, announcement: Announcement, caller: InstanceId
    ) -> int:
        """Process an announcement of a peer.

        :param announcement: active version of the peer, with its delta.
        :param caller: id of the peer.
        :returns: active version of this process; zero for none.
        """
        active_version = self.holder.version
        if (
            active_version
            and announcement.delta
            and announcement.version == active_version + 1
        ):
            loaded = apply_deltas(self._active, (announcement.delta,))
            if isinstance(loaded, Failure):
                log_event("announcement_refused", caller=caller, reason=loaded.reason)
            else:
                self._adopt(loaded, caller)
        self.learn_version(announcement.version, caller)
        self._learn_history(announcement.history_id)
        return self.holder.version

    def _learn_history(self, history_id: StoreHistoryId) -> None:
        """Ask the key-value service if another process knows another history of it."""
        is_checking = self._history_check is not None and not self._history_check.done()
        if self._key_value.history.is_unseen(history_id) and not is_checking:
            self._history_check = self._start_task(self._read_history())

    async def _read_history(self) -> None:
        # Any reply states the history.
        await read_head(self._key_value)

    def _announce_history(self) -> None:
        log_event("key_value_restored", level="WARNING")
        for partner in self._list_partners():
            self._start_task(
                self._announce(partner, self._make_announcement(self.holder.version))
            )

    def _make_announcement(self, version: int, delta: bytes = b"") -> Announcement:
        return Announcement(version, delta, self._key_value.history.current_id)

    async def make_update(self, known_version: int) -> Update | Failure:
        """Return the update that another process needs to reach the active version.

        :param known_version: active version of the other process; zero for none.
        :returns: deltas or the full document, or a failure if the other process already
            has the active version or a newer one.
        """
        active = self._active
        if active.version <= known_version:
            reason = f"version {active.version} is the active version"
            return make_failure(ErrorKind.STALE_CONFIGURATION, reason)
        deltas = (
            self._delta_log.select(known_version, active.version)
            if known_version
            else ()
        )
        if deltas:
            return Update(active.version, active.digest, deltas)
        if not active.document:
            document = await asyncio.to_thread(compress_document, active.configuration)
            with_document = replace(active, document=document)
            if self._active is active:
                self._active = with_document
            active = with_document
        return Update(active.version, active.digest, document=active.document)

    def _handle_head_version(self, version: int) -> None:
        self.learn_version(version, "")
        is_restoring = self._restoration is not None and not self._restoration.done()
        if version < self.holder.version and not is_restoring:
            self._restoration = self._start_task(self._restore_in_background())

    async def restore_lost_version(self) -> None | Failure:
        """Write the active version to the key-value service if that has lost it.

        :returns: ``None`` if the service has this version or a newer one, or a failure.
        """
        active = self._active
        if not active.version:
            return None
        head = await read_head(self._key_value)
        if isinstance(head, Failure):
            return head
        if head is not None and head.version >= active.version:
            return None
        update = await self.make_update(0)
        if isinstance(update, Failure):
            return update
        record = VersionRecord(update.version, update.digest, update.document)
        is_written = await restore_version(self._key_value, record)
        if isinstance(is_written, Failure):
            return is_written
        if is_written:
            log_event("version_restored", level="WARNING", version=record.version)
        return None

    async def _restore_in_background(self) -> None:
        # After a failure, the next poll of the head tries again.
        await self.restore_lost_version()

    def _adopt(self, loaded: LoadedVersion, source: str) -> None:
        previous = self.holder.version
        if not self.holder.adopt(loaded.version, loaded.configuration):
            return
        self._active = loaded
        for number, delta in enumerate(
            loaded.deltas, loaded.version - len(loaded.deltas)
        ):
            self._delta_log.append(number + 1, delta)
        if not loaded.deltas:
            self._delta_log.append(loaded.version, b"")
        log_event(
            "configuration_adopted",
            version=loaded.version,
            previous=previous,
            source=source,
            digest=loaded.digest,
        )
        delta = loaded.deltas[-1] if loaded.deltas else b""
        for partner in self._list_partners():
            announcement = self._make_announcement(loaded.version, delta)
            self._start_task(self._announce(partner, announcement))

    def _list_partners(self) -> list[Instance]:
        nodes = self._members.all_nodes()
        return choose_partners(self._own_id, self._zone, nodes)

    async def _announce(self, node: Instance, announcement: Announcement) -> None:
        version = await self._calls.announce(node, announcement)
        if not isinstance(version, Failure):
            self.learn_version(version, node.instance_id)

    async def _compare_versions(self) -> None:
        """Compare version numbers with one partner at a time, in turn."""
        while True:
            await asyncio.sleep(REPAIR_INTERVAL_S * random.uniform(0.8, 1.2))
            partners = self._list_partners()
            if partners:
                self._repair_count += 1
                partner = partners[self._repair_count % len(partners)]
                announcement = self._make_announcement(self.holder.version)
                self._start_task(self._announce(partner, announcement))

    async def _fetch_new_versions(self) -> None:
        """Learn the first version, then fetch each newer version that is announced."""
        if not self.holder.version:
            first = await learn_first_version(
                self._own_id,
                self._key_value,
                self._members,
                self._calls,
                self._version_announced,
            )
            self._adopt(first, "start")
        while True:
            while self._target_version > self.holder.version:
                loaded = await self._fetch_from_any()
                if loaded is not None:
                    self._adopt(loaded, "fetch")
                    continue
                # No source has this version. Wait until it is announced again.
                self._target_version = 0
                await asyncio.sleep(FETCH_RETRY_S)
            await self._version_announced.wait()
            self._version_announced.clear()

    async def _fetch_from_any(self) -> LoadedVersion | None:
        """Fetch the newest version with hedged requests to several sources.

        Each source is asked ``FETCH_HEDGE_DELAY_S`` after the previous one unless a
        newer version has arrived. A version announced by peers is requested from those
        peers first, and a version seen in the head from the key-value service first.

        :returns: the version, or ``None`` if no source supplied a newer one in time.
        """
        listed = [self._members.find(name) for name in self._announcing_peers]
        sources: list[Instance | None] = [node for node in listed if node is not None]
        if sources:
            sources.append(None)
        else:
            sources = [None, *self._list_partners()[:MAX_FETCH_PEERS]]
        tasks = [
            asyncio.create_task(self._fetch_from(source, index * FETCH_HEDGE_DELAY_S))
            for index, source in enumerate(sources)
        ]
        try:
            for result in asyncio.as_completed(tasks, timeout=FETCH_TIMEOUT_S):
                loaded = await result
                if loaded is not None and loaded.version > self.holder.version:
                    return loaded
        except TimeoutError:
            pass
        finally:
            for task in tasks:
                task.cancel()
        return None

    async def _fetch_from(
        self, source: Instance | None, delay_s: float
    ) -> LoadedVersion | None:
        """Fetch from a peer, or from the key-value service if ``source`` is None."""
        await asyncio.sleep(delay_s)
        loaded = self._active
        if source is None:
            update = await read_update(self._key_value, loaded.version)
            return await self._apply_update(loaded, update, "key_value")
        update = await self._calls.fetch(source, loaded.version)
        return await self._apply_update(loaded, update, source.instance_id)

    async def _apply_update(
        self, loaded: LoadedVersion, update: Update | Failure | None, source: str
    ) -> LoadedVersion | None:
        if update is None or isinstance(update, Failure):
            return None
        result = await apply_update(loaded, update)
        if isinstance(result, Failure):
            log_event("update_refused", source=source, reason=result.reason)
            return None
        return result

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(measure_control_cpu(self._ledger, coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)
        return task

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = repr(task.exception())
            log_event("configuration_task_failed", level="ERROR", error=error)


def make_follower(
    settings: ProcessSettings,
    holder: ConfigurationHolder,
    key_value: Store,
    members: Members,
    peers: PeerPool,
    ledger: Ledger,
) -> ConfigurationFollower:
    """Return a follower that is not started.

    :param settings: settings of the process.
    :param holder: holder of the active version, which the follower updates.
    :param key_value: client of the platform's key-value service.
    :param members: the process's view of the instance list.
    :param peers: connections to other processes.
    :param ledger: ledger that accounts for control traffic.
    """
    return ConfigurationFollower(settings, holder, key_value, members, peers, ledger)
