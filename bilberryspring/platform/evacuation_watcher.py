"""Watch the operator's evacuations of availability zones in the metadata store."""

from collections.abc import Callable

from bilberryspring.identifiers import AvailabilityZone
from bilberryspring.platform.metadata_messages import StoreItem, StoreListing
from bilberryspring.platform.metadata_store import MetadataStore
from bilberryspring.platform.store_follower import follow_prefix
from bilberryspring.process.logs import log_event
from bilberryspring.process.zone_evacuations import ZoneEvacuations

__all__ = ["EvacuationWatcher"]

EVACUATIONS_PREFIX = "op/evacuate/"
# The watch of the servers, with a shorter wait, closes stalled connections of both.
EVACUATION_WATCH_WAIT_S = 10.0


class EvacuationWatcher:
    """A watcher that records which zones the operator evacuates.

    The key alone asks for an evacuation: its value is not read, and a value or a
    revision that can't be read does not weaken the request.

    :param store: client of the store.
    :param evacuations: record to update.
    """

    def __init__(self, store: MetadataStore, evacuations: ZoneEvacuations):
        self._store = store
        self._evacuations = evacuations
        self._has_refused_key = False
        self.may_skip_watching: Callable[[], bool] = lambda: False
        self.is_store_watcher: Callable[[], bool] = lambda: True

    async def run(self) -> None:
        """Watch the evacuations until cancelled."""
        await follow_prefix(
            self._store,
            EVACUATIONS_PREFIX,
            max_wait_s=EVACUATION_WATCH_WAIT_S,
            pause_s=0.0,
            replace_all=self._apply_listing,
            apply_change=self._apply_change,
            report_availability=lambda _: None,
            may_skip_watching=lambda: self.may_skip_watching(),
            retries_steadily=lambda: self.is_store_watcher(),
        )

    def _apply_listing(self, listing: StoreListing) -> None:
        zones = {
            zone: item.position
            for item in listing.items
            if (zone := self._parse_zone(item)) is not None
        }
        self._evacuations.record_listing(zones, listing.position)

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
