"""Watch the list of backend servers in the metadata store."""

import asyncio
import math
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bilberryspring.connection.router_reports import SnapshotEntry
from bilberryspring.identifiers import InstanceId, StoreEpoch
from bilberryspring.platform.document_decoders import decode_server
from bilberryspring.platform.metadata_messages import StoreItem, StoreListing
from bilberryspring.platform.metadata_store import MetadataStore
from bilberryspring.platform.store_follower import follow_prefix
from bilberryspring.process.logs import log_event
from bilberryspring.process.router_peers import is_fresher_list
from bilberryspring.process.server_table import ServerTable
from bilberryspring.request.errors import Failure

__all__ = ["MissingEntry", "ServerListWatcher"]

SERVERS_PREFIX = "servers/"
# Servers write their entries at different times; the pause lets one response hold the
# changes of several servers.
SERVER_WATCH_PAUSE_S = 0.35
SERVER_WATCH_WAIT_S = 1.0
# Servers whose entries expired during an outage of the store write them again within
# about two seconds of its recovery. A server that left during the outage must receive
# no requests after that.
EXPIRED_ENTRY_GRACE_S = 1.9
# A list that was confirmed before that time doesn't show that an entry stayed missing.
# A later one is waited for no longer than this.
MAX_CONFIRMATION_DELAY_S = 0.5
# Entries expire only in an outage in which servers miss several of their reports. While
# the store is available, a watch confirms this to a router at least every 1.4 s, or a
# report of another router does so 0.3 s later. The time without a confirmation shows no
# outage by itself: connections that go silent take as long to show.
MIN_OUTAGE_S = 1.8
# Fraction of the drain grace period within which a missing entry must be written again;
# after that its server is removed.
DRAIN_GRACE_SHARE = 0.9
EXPIRY_CHECK_INTERVAL_S = 0.1
# A check delayed by more than this shows that the process was paused.
MIN_PROCESS_PAUSE_S = 0.5
# Fraction of the drain grace period. A router that relies on other routers' lists
# watches the store itself once their latest confirmation is older than this.
PEER_LIST_AGE_SHARE = 0.45


@dataclass(frozen=True, slots=True)
class MissingEntry:
    """An entry that expired in an outage of the store. Times are monotonic.

    :param due_s: time by which a sound server has written it again.
    :param latest_s: time at which its server is removed even if the store has not
        confirmed since ``due_s`` that the entry is missing.
    """

    due_s: float
    latest_s: float


class ServerListWatcher:
    """A watcher that updates the server table from the servers' entries.

    :param store: client of the store.
    :param servers: table to update.
    :param on_change: called after each change of the table.
    :param drain_grace_s: grace period in seconds, after which a server that has left
        must receive no more requests.
    """

    def __init__(
        self,
        store: MetadataStore,
        servers: ServerTable,
        on_change: Callable[[], None],
        drain_grace_s: float,
    ):
        self.set_drain_grace(drain_grace_s)
        self.is_store_watcher: Callable[[], bool] = lambda: True
        self._store = store
        self._servers = servers
        self._on_change = on_change
        self._is_store_unavailable = False
        self._store_recovered_s = 0.0
        self._missing_entries: dict[InstanceId, MissingEntry] = {}
        self._confirmed_s: float | None = None
        # Servers missing from the latest list were still listed at this confirmation.
        self._previous_confirmed_s = 0.0
        self._has_peer_entries = False
        self._last_check_s = time.monotonic()
        self._resumed_s = 0.0
        self.store_epoch: StoreEpoch | None = None
        self.entries: dict[InstanceId, SnapshotEntry] = {}
        # Why the entries of servers that are not listed could not be read.
        self._refusals: dict[InstanceId, str] = {}

    def set_drain_grace(self, drain_grace_s: float) -> None:
        """Set the grace period of servers that have left.

        :param drain_grace_s: time in seconds after which a server that has left must
            receive no more requests.
        """
        self._drain_grace_s = drain_grace_s * DRAIN_GRACE_SHARE
        self._max_peer_list_age_s = drain_grace_s * PEER_LIST_AGE_SHARE

    @property
    def has_server_list(self) -> bool:
        """Whether a list of servers has been received, from the store or a router."""
        return self._confirmed_s is not None

    @property
    def age_s(self) -> float:
        """Seconds since the store last confirmed the list, here or at another router.

        Negative if it never did.
        """
        if self._confirmed_s is None:
            return -1.0
        return time.monotonic() - self._confirmed_s

    def confirm(self, age_s: float) -> None:
        """Record that the store confirmed the list known here.

        :param age_s: seconds since that confirmation.
        """
        self._record_confirmation(time.monotonic() - age_s)

    def may_skip_watching(self) -> bool:
        """Return whether other routers confirmed the list recently enough."""
        return (
            not self.is_store_watcher() and 0 <= self.age_s < self._max_peer_list_age_s
        )

    def apply_peer_entries(
        self,
        entries: Iterable[SnapshotEntry],
        age_s: float,
        epoch: StoreEpoch | None = None,
    ) -> None:
        """Replace the list by another router's if that one is more recent.

        :param entries: server entries of the store as that router last read them.
        :param age_s: seconds since the store confirmed them; negative if it never did.
        :param epoch: history of the store in which it did; ``None`` if that is not
            known.
        """
        if not is_fresher_list(epoch, age_s, self.store_epoch, self.age_s):
            return
        self._record_confirmation(time.monotonic() - age_s)
        self._record_epoch(epoch)
        self._has_peer_entries = True
        self._replace_all(
            (StoreItem(entry.key, entry.value, entry.position) for entry in entries),
            is_from_router=True,
        )

    async def run(self) -> None:
        """Watch the server entries until cancelled."""
        await follow_prefix(
            self._store,
            SERVERS_PREFIX,
            max_wait_s=SERVER_WATCH_WAIT_S,
            pause_s=SERVER_WATCH_PAUSE_S,
            replace_all=self._apply_listing,
            apply_change=self._apply_change,
            report_availability=self._record_availability,
            may_skip_watching=self.may_skip_watching,
            needs_full_list=self._consume_needs_full_list,
            is_store_watcher=lambda: self.is_store_watcher(),
            is_urgent=lambda: bool(self._missing_entries),
        )

    def _consume_needs_full_list(self) -> bool:
        needs_full_list, self._has_peer_entries = self._has_peer_entries, False
        return needs_full_list

    def _record_availability(self, is_available: bool) -> None:
        if is_available and self._is_store_unavailable:
            log_event("dependency_regained", dependency="store", age_s=self.age_s)
        self._is_store_unavailable = not is_available
        if is_available:
            self._record_confirmation(time.monotonic())

    def _record_confirmation(self, confirmed_s: float) -> None:
        """Record when the store confirmed the list, here or at another router.

        An outage is assumed only if the store confirmed the list to no router for long,
        and failed a call of this one meanwhile: a router that alone cannot reach the
        store receives the departures of servers from the others in time, and one whose
        connections went silent reaches the store over new ones.
        """
        previous_s = self._confirmed_s
        if previous_s is not None:
            self._detect_process_pause()
            since_s = max(previous_s, self._resumed_s)
            if confirmed_s - since_s >= MIN_OUTAGE_S and self._store.failed_s > since_s:
                log_event(
                    "store_outage_ended",
                    lasted_s=round(confirmed_s - since_s, 3),
                    failed_s=round(confirmed_s - self._store.failed_s, 3),
                )
                self._store_recovered_s = confirmed_s
            self._previous_confirmed_s = previous_s
        self._confirmed_s = confirmed_s

    async def run_expiry(self) -> None:
        """Remove servers whose expired entries stay missing, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
            self._detect_process_pause()
            self._last_check_s = time.monotonic()
            self.remove_expired(self._last_check_s)
            if self._servers.expire_leavings():
                self._on_change()

    def _detect_process_pause(self) -> None:
        """Detect a pause of this process, which must not count as a store outage."""
        now_s = time.monotonic()
        if now_s - self._last_check_s > MIN_PROCESS_PAUSE_S:
            self._resumed_s = now_s

    def remove_expired(self, now_s: float) -> None:
        """Remove servers whose expired entries were not written again in time.

        :param now_s: current monotonic time in seconds.
        """
        confirmed_s = -math.inf if self._confirmed_s is None else self._confirmed_s
        for server_id, entry in list(self._missing_entries.items()):
            is_confirmed = confirmed_s >= entry.due_s
            if now_s >= (entry.due_s if is_confirmed else entry.latest_s):
                del self._missing_entries[server_id]
                self._servers.remove(
                    server_id,
                    "its expired entry was not written again",
                    self.store_epoch,
                )
                self._on_change()

    def _record_epoch(self, epoch: StoreEpoch | None) -> None:
        """Record the history of the list; a restored store may lack sound servers."""
        if None not in (epoch, self.store_epoch) and epoch != self.store_epoch:
            self._store_recovered_s = time.monotonic()
        self.store_epoch = epoch

    def _apply_listing(self, listing: StoreListing) -> None:
        self._record_epoch(listing.position.epoch)
        self._replace_all(listing.items)

    def _replace_all(
        self, items: Iterable[StoreItem], is_from_router: bool = False
    ) -> None:
        listed_ids = set()
        for item in items:
            listed_ids.add(_parse_server_id(item.key))
            self._apply_change(item, is_from_router)
        for server_id in [
            known_id for known_id in self.entries if known_id not in listed_ids
        ]:
            self._forget_entry(server_id)
        for server_id in [
            known_id for known_id in self._servers.records if known_id not in listed_ids
        ]:
            self._handle_missing_entry(server_id, self.store_epoch)
        self._on_change()

    def _apply_change(self, item: StoreItem, is_from_router: bool = False) -> None:
        server_id = _parse_server_id(item.key)
        # A change that is read late belongs to the history that it was read in, not to
        # that of a list which another router sent meanwhile.
        epoch = self.store_epoch if is_from_router else item.position.epoch
        if item.value is None:
            self._forget_entry(server_id)
            self._handle_missing_entry(server_id, epoch)
        else:
            server = decode_server(server_id, item.value)
            self._missing_entries.pop(server_id, None)
            if isinstance(server, Failure):
                self._refuse_entry(server_id, item, server.reason)
            else:
                self._refusals.pop(server_id, None)
                self.entries[server_id] = SnapshotEntry(
                    item.key, item.value, item.position
                )
                self._servers.put(server, epoch, is_from_router)
        self._on_change()

    def _refuse_entry(
        self, server_id: InstanceId, item: StoreItem, reason: str
    ) -> None:
        """Remove the server of an entry that cannot be read.

        Snapshots hold an empty value in its place, which any router refuses: the
        server is then neither listed nor missing there.
        """
        self.entries[server_id] = SnapshotEntry(item.key, b"", item.position)
        is_reported = self._refusals.get(server_id) == reason
        # An entry that another router could not read arrives here without its value.
        if not is_reported and (item.value or server_id not in self._refusals):
            log_event("update_refused", level="WARNING", reason=reason)
            self._refusals[server_id] = reason
        self._servers.remove(server_id, reason)

    def _forget_entry(self, server_id: InstanceId) -> None:
        self.entries.pop(server_id, None)
        self._refusals.pop(server_id, None)

    def _handle_missing_entry(
        self, server_id: InstanceId, epoch: StoreEpoch | None
    ) -> None:
        last_listed_s = max(self._previous_confirmed_s, self._store_recovered_s)
        drained_s = last_listed_s + self._drain_grace_s
        due_s = min(self._store_recovered_s + EXPIRED_ENTRY_GRACE_S, drained_s)
        if self._store_recovered_s and time.monotonic() < due_s:
            latest_s = min(due_s + MAX_CONFIRMATION_DELAY_S, drained_s)
            self._missing_entries.setdefault(server_id, MissingEntry(due_s, latest_s))
            self._servers.mark_unlisted(server_id)
        else:
            self._servers.remove(server_id, "its entry was removed", epoch)


def _parse_server_id(key: str) -> InstanceId:
    return InstanceId(key.removeprefix(SERVERS_PREFIX))
