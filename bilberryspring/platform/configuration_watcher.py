"""Watch the operator's configuration in the metadata store."""

from collections.abc import Callable

from bilberryspring.capability.routing import RoutingTable
from bilberryspring.connection.router_reports import SnapshotEntry
from bilberryspring.platform.document_decoders import decode_routing_table
from bilberryspring.platform.metadata_messages import StoreItem, StoreListing
from bilberryspring.platform.metadata_store import MetadataStore
from bilberryspring.platform.store_follower import follow_prefix
from bilberryspring.process.confirmation_age import make_confirmation_age
from bilberryspring.process.logs import log_event
from bilberryspring.request.errors import Failure

__all__ = ["ConfigurationWatcher"]

CONFIGURATION_KEY = "op/config"
# A watch on a silent connection reports no changes. The age of the last confirmation
# shows it long before the watch ends.
CONFIGURATION_WATCH_WAIT_S = 10.0
# Time within which a version must be in force, where the platform states none.
DEFAULT_APPLY_S = 2.0


class ConfigurationWatcher:
    """A watcher of the configuration, which ignores older versions.

    :param store: client of the store.
    :param apply_table: called with each routing table of a newer version.
    :param apply_s: time in seconds within which a version must be in force.
    :ivar confirmation: age of the store's confirmation that no version is newer.
    """

    def __init__(
        self,
        store: MetadataStore,
        apply_table: Callable[[RoutingTable], None],
        apply_s: float = DEFAULT_APPLY_S,
    ):
        self._store = store
        self._apply_table = apply_table
        self._version = -1
        self._refusal = ""
        self.confirmation = make_confirmation_age(apply_s)
        self.is_store_watcher: Callable[[], bool] = lambda: True
        self.entry: SnapshotEntry | None = None

    def apply_entry(self, entry: SnapshotEntry) -> None:
        """Apply the configuration entry that another router sent.

        :param entry: entry of the store as that router last read it.
        """
        self._apply_item(StoreItem(entry.key, entry.value, entry.position))

    async def run(self) -> None:
        """Watch the configuration until cancelled."""
        await follow_prefix(
            self._store,
            CONFIGURATION_KEY,
            max_wait_s=CONFIGURATION_WATCH_WAIT_S,
            pause_s=0.0,
            replace_all=self._apply_listing,
            apply_change=self._apply_item,
            report_availability=self._record_availability,
            is_store_watcher=lambda: self.is_store_watcher(),
            confirmation=self.confirmation,
        )

    def _record_availability(self, is_available: bool) -> None:
        if is_available:
            self.confirmation.confirm()

    def _apply_listing(self, listing: StoreListing) -> None:
        for item in listing.items:
            self._apply_item(item)

    def _apply_item(self, item: StoreItem) -> None:
        if item.key != CONFIGURATION_KEY or item.value is None:
            return
        table = decode_routing_table(item.value, item.position)
        if isinstance(table, Failure):
            # Each full list brings the same document again.
            if table.reason != self._refusal:
                log_event("update_refused", level="ERROR", reason=table.reason)
            self._refusal = table.reason
            return
        self._refusal = ""
        # The operator numbers versions, so their order does not depend on the history
        # of the store; a restored store may hold an older one.
        if table.version <= self._version:
            return
        self._version = table.version
        self.entry = SnapshotEntry(item.key, item.value, item.position)
        self._apply_table(table)
