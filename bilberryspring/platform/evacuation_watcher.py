"""Watch the operator's evacuations of availability zones in the metadata store."""

from collections.abc import Callable, Iterable

from bilberryspring.capability.store_position import StorePosition
from bilberryspring.identifiers import AvailabilityZone
from bilberryspring.platform.metadata_messages import (
    StoreChanges,
    StoreItem,
    StoreListing,
)
from bilberryspring.platform.metadata_store import MetadataStore
from bilberryspring.platform.store_follower import follow_prefix
from bilberryspring.process.confirmation_age import make_confirmation_age
from bilberryspring.process.logs import log_event
from bilberryspring.process.zone_evacuations import ZoneEvacuations
from bilberryspring.request.errors import Failure

__all__ = ["EvacuationWatcher"]

EVACUATIONS_PREFIX = "op/evacuate/"
# A watch on a silent connection reports no changes. The age of the last confirmation
# shows it long before the watch ends.
EVACUATION_WATCH_WAIT_S = 10.0
# Time within which an evacuation must be in force, where the platform states none.
DEFAULT_EVACUATE_S = 5.0


class EvacuationWatcher:
    """A watcher that records which zones the operator evacuates.

    The key alone asks for an evacuation: its value is not read, and a value or a
    revision that can't be read does not weaken the request.

    :param store: client of the store.
    :param evacuations: record to update.
    :param evacuate_s: time in seconds within which an evacuation must be in force.
    :ivar confirmation: age of the store's confirmation of the evacuations in force.
    """

    def __init__(
        self,
        store: MetadataStore,
        evacuations: ZoneEvacuations,
        evacuate_s: float = DEFAULT_EVACUATE_S,
    ):
        self._store = store
        self._evacuations = evacuations
        self._has_refused_key = False
        self.confirmation = make_confirmation_age(evacuate_s)
        self.is_store_watcher: Callable[[], bool] = lambda: True
        self.may_skip_watching: Callable[[], bool] = lambda: (
            not self.is_store_watcher() and not self.confirmation.is_due
        )

    async def run(self) -> None:
        """Watch the evacuations until cancelled."""
        await follow_prefix(
            _StoreWithRemovals(self._store, self._evacuations, self._apply_removals),
            EVACUATIONS_PREFIX,
            max_wait_s=EVACUATION_WATCH_WAIT_S,
            pause_s=0.0,
            replace_all=self._apply_listing,
            apply_change=self._apply_change,
            report_availability=self._record_availability,
            may_skip_watching=lambda: self.may_skip_watching(),
            is_store_watcher=lambda: self.is_store_watcher(),
            confirmation=self.confirmation,
        )

    def _record_availability(self, is_available: bool) -> None:
        if is_available:
            self.confirmation.confirm()

    def _apply_listing(self, listing: StoreListing) -> None:
        zones = {
            zone: item.position
            for item in listing.items
            if (zone := self._parse_zone(item)) is not None
        }
        self._evacuations.record_listing(zones, listing.position)

    def _apply_removals(self, items: Iterable[StoreItem]) -> None:
        removals = {}
        for item in items:
            zone = self._parse_zone(item)
            if zone is not None and item.value is None:
                removals[zone] = item.position
            elif zone is not None:
                removals.pop(zone, None)
        self._evacuations.record_former_removals(removals)

    def _apply_change(self, item: StoreItem) -> None:
        zone = self._parse_zone(item)
        if zone is not None:
            is_evacuated = item.value is not None
            self._evacuations.record_change(zone, item.position, is_evacuated)

    def _parse_zone(self, item: StoreItem) -> AvailabilityZone | None:
        name = item.key.removeprefix(EVACUATIONS_PREFIX)
        if name and name != item.key:
            return AvailabilityZone(name)
        if not self._has_refused_key:
            reason = f"the key {ascii(item.key[:80])} names no availability zone"
            log_event("update_refused", level="ERROR", reason=reason)
        self._has_refused_key = True
        return None


class _StoreWithRemovals:
    """A store whose first list after a restoration comes with removals before it.

    Without these, an entry that the store lost could not be told from one that the
    operator removed between the restoration and the list.

    :param store: client of the store.
    :param evacuations: evacuations from before the restoration.
    :param apply_removals: called with the changes before the list.
    """

    def __init__(
        self,
        store: MetadataStore,
        evacuations: ZoneEvacuations,
        apply_removals: Callable[[Iterable[StoreItem]], None],
    ):
        self.watch_prefix = store.watch_prefix
        self._store = store
        self._evacuations = evacuations
        self._apply_removals = apply_removals

    async def list_prefix(self, prefix: str) -> StoreListing | Failure:
        """Read all keys with a prefix.

        :param prefix: prefix of the keys.
        :returns: the items, or a failure.
        """
        listing = await self._store.list_prefix(prefix)
        if isinstance(listing, Failure):
            return listing
        epoch = listing.position.epoch
        revision = self._evacuations.find_former_revision(epoch)
        if revision is not None:
            since = StorePosition(epoch, revision)
            changes = await self._store.watch_prefix(prefix, since, 0.0)
            if isinstance(changes, StoreChanges):
                self._apply_removals(changes.items)
        return listing
