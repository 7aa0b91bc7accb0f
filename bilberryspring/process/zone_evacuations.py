"""Record of the availability zones that the operator evacuates.

Nothing new is sent to the servers of an evacuated zone until the operator takes the
evacuation back. Some routers follow the store, and all tell each other what they know.
What counts is the position in the store's history at which a zone was evacuated or
taken back, not the order in which news of it arrive. A store that was restored from a
copy neither ends an evacuation that it lost nor revives one that it got from the copy:
such a zone changes again when the store writes or removes its entry.
"""

import struct
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

import xxhash

from bilberryspring.capability.store_position import StorePosition
from bilberryspring.connection.evacuation_messages import EvacuationReport
from bilberryspring.connection.load_messages import NameHash, hash_name
from bilberryspring.identifiers import AvailabilityZone, StoreEpoch
from bilberryspring.process.logs import log_event

__all__ = [
    "EvacuationSource",
    "ZoneEvacuation",
    "ZoneEvacuations",
    "make_zone_evacuations",
]

# For how long the end of an evacuation is remembered, so that late news of the
# evacuation are known to be late.
RETURN_LIFETIME_S = 600.0
# For how long the end of an evacuation is put into reports.
RETURN_REPORTED_S = 30.0
# An evacuation that a restored store does not list is in force for this time, unless
# the operator asks for it again.
UNLISTED_LIFETIME_S = 600.0
# A change is put into this many reports ahead of the others.
NEWS_REPORTS = 4
# Zones that are kept, about 300 bytes each.
MAX_ZONES = 1024
# Log lines in a period on zones in which no server is known.
MAX_UNKNOWN_LINES = 16
UNKNOWN_LINES_PERIOD_S = 60.0
MAX_LOGGED_CHARACTERS = 80


class EvacuationSource(Enum):
    """Who said that a zone is evacuated, or taken back."""

    STORE = "store"
    ROUTER = "router"


@dataclass(slots=True)
class ZoneEvacuation:
    """What is known of the latest evacuation of one zone.

    :param evacuated_at: change of the store that asked for it.
    :param returned_at: position at which it had ended; ``None`` while it is in force.
    :param is_written: whether a router saw the store write it.
    :param learnt_s: monotonic time at which the first router learnt its state.
    :param source: who said so.
    :param reported_by: router that reported it; empty if this one read the store.
    :param unsent_reports: reports that it is still to be put into as news.
    :param sent_count: number of reports that it was put into.
    :param unlisted_since_s: monotonic time at which a restored store was first read
        without it; ``None`` if none was.
    """

    evacuated_at: StorePosition
    returned_at: StorePosition | None
    is_written: bool
    learnt_s: float
    source: EvacuationSource
    reported_by: str = ""
    unsent_reports: int = NEWS_REPORTS
    sent_count: int = 0
    unlisted_since_s: float | None = None

    @property
    def is_in_force(self) -> bool:
        """Whether nothing new may be sent to the zone's servers."""
        return self.returned_at is None

    @property
    def position(self) -> StorePosition:
        """Position in the store's history of the latest change."""
        return self.returned_at or self.evacuated_at

    def supersedes(self, held: "ZoneEvacuation | None") -> bool:
        """Return whether this state of a zone is later than another one.

        :param held: the other state; ``None`` if there is none.
        """
        if held is None:
            return True
        if _is_copy(self, held):
            return False
        if _is_copy(held, self):
            return True
        return self.position > held.position


def _is_copy(evacuation: ZoneEvacuation, ended: ZoneEvacuation) -> bool:
    """Return whether a restored store lists an evacuation that had ended before."""
    return (
        evacuation.is_in_force
        and not ended.is_in_force
        and not evacuation.is_written
        and evacuation.evacuated_at.epoch > ended.returned_at.epoch
        and evacuation.evacuated_at.revision == ended.evacuated_at.revision
    )


class ZoneEvacuations:
    """Evacuations of availability zones, the latest learnt last.

    :param read_clock: monotonic clock, in seconds.
    :param count_servers: returns the number of known servers in the zone with a hash.
    :param find_name: returns the name of the zone with a hash, for the log.
    :ivar change_callbacks: called when a zone is evacuated or returns.
    :ivar news_callbacks: called when other routers are to learn of a change soon.
    """

    def __init__(
        self,
        read_clock: Callable[[], float] = time.monotonic,
        count_servers: Callable[[NameHash], int] = lambda zone: 0,
        find_name: Callable[[NameHash], str] = "{:016x}".format,
    ):
        self._read_clock = read_clock
        self._count_servers = count_servers
        self._find_name = find_name
        self._zones: OrderedDict[NameHash, ZoneEvacuation] = OrderedDict()
        self._in_force: set[NameHash] = set()
        # Position up to which the store was read without a gap.
        self._read_position: StorePosition | None = None
        self._unknown_lines = 0
        self._unknown_lines_since_s = 0.0
        self.change_callbacks: list[Callable[[], None]] = []
        self.news_callbacks: list[Callable[[], None]] = []

    def __len__(self) -> int:
        return len(self._zones)

    def is_evacuated(self, zone: AvailabilityZone) -> bool:
        """Return whether nothing new may be sent to the servers of a zone.

        :param zone: name of the zone.
        """
        return bool(self._in_force) and hash_name(zone) in self._in_force

    def find(self, zone: AvailabilityZone) -> ZoneEvacuation | None:
        """Return what is known of the evacuation of a zone, in force or ended.

        :param zone: name of the zone.
        """
        return self._zones.get(hash_name(zone))

    def describe(self, zone: AvailabilityZone) -> tuple[str, float, StoreEpoch] | None:
        """Return who said that a zone is evacuated, when, and in which history.

        :param zone: name of the zone.
        :returns: source, age in seconds and history of the store; ``None`` if the zone
            is not evacuated.
        """
        held = self.find(zone) if self._in_force else None
        if held is None or not held.is_in_force:
            return None
        source = held.reported_by or held.source.value
        return source, self._read_clock() - held.learnt_s, held.evacuated_at.epoch

    def compute_age_s(self) -> float:
        """Return for how long the zone is evacuated that was evacuated last.

        :returns: seconds; zero if no zone with servers is evacuated.
        """
        now_s = self._read_clock()
        return min(
            (
                max(now_s - self._zones[zone].learnt_s, 0.0)
                for zone in self._in_force
                if self._count_servers(zone)
            ),
            default=0.0,
        )

    def count_in_force(self) -> int:
        """Return the number of zones that are evacuated."""
        return len(self._in_force)

    def compute_digest(self) -> int:
        """Return a digest of the evacuations in force; zero if there are none."""
        if not self._in_force:
            return 0
        content = b"".join(
            struct.pack("<QQQ", zone, at.epoch, at.revision)
            for zone in sorted(self._in_force)
            for at in (self._zones[zone].evacuated_at,)
        )
        return xxhash.xxh3_64_intdigest(content)

    def record_listing(
        self,
        listed: Mapping[AvailabilityZone, StorePosition],
        position: StorePosition,
    ) -> None:
        """Record all zones that the store names.

        :param listed: position of the entry of each zone.
        :param position: position at which the store was read.
        """
        entries = {hash_name(zone): (zone, at) for zone, at in listed.items()}
        known_first = sorted(entries, key=lambda zone: not self._count_servers(zone))
        changes = [
            self._record_evacuated(zone, *entries[zone], is_written=False)
            for zone in known_first[:MAX_ZONES]
        ]
        if len(entries) > MAX_ZONES:
            reason = f"{len(entries)} evacuated zones, {MAX_ZONES} are kept"
            log_event("update_refused", level="ERROR", reason=reason)
        for zone in self._in_force - entries.keys():
            changes.append(self._record_unlisted(zone, position))
        self._read_position = position
        self._announce(any(changes))

    def find_former_revision(self, epoch: StoreEpoch) -> int | None:
        """Return the oldest revision of evacuations from before a restoration.

        :param epoch: present history of the store.
        :returns: revision after which the present history may have ended them; ``None``
            if none is in force, or a list without them was read before.
        """
        return min(
            (
                held.evacuated_at.revision
                for held in map(self._zones.__getitem__, self._in_force)
                if held.evacuated_at.epoch < epoch and held.unlisted_since_s is None
            ),
            default=None,
        )

    def record_former_removals(
        self, removals: Mapping[AvailabilityZone, StorePosition]
    ) -> None:
        """Record that a restored store removed entries that were written before.

        :param removals: position of the removal of each zone's entry.
        """
        changes = []
        for zone, position in removals.items():
            name = hash_name(zone)
            held = self._zones.get(name)
            # Lower revisions may be of removals that the copy contained.
            if (
                held is not None
                and held.is_in_force
                and position.epoch > held.evacuated_at.epoch
                and position.revision > held.evacuated_at.revision
            ):
                reason = "the operator took it back"
                changes.append(self._record_returned(name, position, reason))
        self._announce(any(changes))

    def record_change(
        self, zone: AvailabilityZone, position: StorePosition, is_evacuated: bool
    ) -> None:
        """Record that the store wrote or removed the entry of a zone.

        :param zone: name of the zone.
        :param position: position of the change.
        :param is_evacuated: whether the entry was written.
        """
        name = hash_name(zone)
        if is_evacuated:
            is_change = self._record_evacuated(name, zone, position, is_written=True)
        else:
            is_change = self._record_returned(
                name, position, "the operator took it back"
            )
        if self._read_position is None or position > self._read_position:
            self._read_position = position
        self._announce(is_change)

    def merge(self, reports: Iterable[EvacuationReport], sender: str) -> None:
        """Add what another router reports.

        :param reports: evacuations that it knows.
        :param sender: the reporting router.
        """
        now_s, is_change, is_late = self._read_clock(), False, False
        for report in reports:
            reported = ZoneEvacuation(
                report.evacuated_at,
                report.returned_at,
                report.is_written,
                now_s - report.age_s,
                EvacuationSource.ROUTER,
                sender,
            )
            held = self._zones.get(report.zone)
            if held is None and self._has_ended(reported):
                # The sender missed the end, which no router may remember.
                reported.returned_at = self._read_position
                self._put(report.zone, reported, "it is not in the store")
                is_late = True
            elif reported.supersedes(held):
                if reported.is_in_force or report.age_s < RETURN_LIFETIME_S:
                    is_change |= self._put(report.zone, reported, "reported")
            elif held.position != reported.position and not held.is_in_force:
                held.unsent_reports = NEWS_REPORTS
                is_late = True
        self._announce(is_change, is_late)

    def _has_ended(self, reported: ZoneEvacuation) -> bool:
        """Return whether the store, as it was read later, lacks an evacuation."""
        read = self._read_position
        return (
            reported.is_in_force
            and read is not None
            and read.epoch == reported.evacuated_at.epoch
            and reported.evacuated_at <= read
            and len(self._zones) < MAX_ZONES
        )

    def remove_expired(self) -> None:
        """Forget ends of evacuations, and end those that the store lost long ago."""
        now_s, is_change = self._read_clock(), False
        for zone, held in list(self._zones.items()):
            if not held.is_in_force:
                if now_s - held.learnt_s >= RETURN_LIFETIME_S:
                    del self._zones[zone]
            elif (
                held.unlisted_since_s is not None
                and now_s - held.unlisted_since_s >= UNLISTED_LIFETIME_S
            ):
                reason = "the restored store has not listed it for long"
                is_change |= self._record_returned(zone, self._read_position, reason)
        self._announce(is_change)

    def list_reports(self, count: int) -> tuple[EvacuationReport, ...]:
        """Return evacuations to report to other routers, news first.

        Zones with servers go before others, and those that were reported least often
        before the rest.

        :param count: maximum number of evacuations.
        """
        if not self._zones:
            return ()
        now_s = self._read_clock()
        needed = [
            (zone, held)
            for zone, held in self._zones.items()
            if held.is_in_force
            or held.unsent_reports
            or now_s - held.learnt_s < RETURN_REPORTED_S
        ]
        needed.sort(
            key=lambda each: (
                not self._count_servers(each[0]),
                not each[1].unsent_reports,
                each[1].sent_count,
            )
        )
        return tuple(
            EvacuationReport(
                zone,
                held.evacuated_at,
                held.returned_at,
                held.is_written,
                max(now_s - held.learnt_s, 0.0),
            )
            for zone, held in needed[:count]
        )

    def mark_reported(self, reports: Iterable[EvacuationReport]) -> None:
        """Record that evacuations were put into a report that was sent.

        :param reports: the evacuations.
        """
        for report in reports:
            held = self._zones.get(report.zone)
            if held is not None:
                held.sent_count += 1
                held.unsent_reports = max(held.unsent_reports - 1, 0)

    @property
    def has_news(self) -> bool:
        """Whether changes on zones with servers are still to be reported as news."""
        return any(
            held.unsent_reports and self._count_servers(zone)
            for zone, held in self._zones.items()
        )

    def _record_evacuated(
        self,
        name: NameHash,
        zone: AvailabilityZone,
        position: StorePosition,
        *,
        is_written: bool,
    ) -> bool:
        """Record an entry of the store; return whether it changed anything."""
        held = self._zones.get(name)
        evacuation = ZoneEvacuation(
            position, None, is_written, self._read_clock(), EvacuationSource.STORE
        )
        if not evacuation.supersedes(held):
            if held.is_in_force and position == held.evacuated_at:
                # Another router read it in the store before this one.
                held.source, held.reported_by = EvacuationSource.STORE, ""
            return False
        if held is not None and held.is_in_force:
            evacuation.learnt_s = held.learnt_s
        return self._put(name, evacuation, "the operator asked for it", zone)

    def _record_returned(
        self, name: NameHash, position: StorePosition, reason: str
    ) -> bool:
        """Record the end of an evacuation; return whether it changed anything."""
        held = self._zones.get(name)
        evacuated_at = position if held is None else min(held.evacuated_at, position)
        ended = ZoneEvacuation(
            evacuated_at,
            position,
            held is not None and held.is_written,
            self._read_clock(),
            EvacuationSource.STORE,
        )
        return ended.supersedes(held) and self._put(name, ended, reason)

    def _record_unlisted(self, name: NameHash, position: StorePosition) -> bool:
        """Record that the store was read without an evacuation that is in force."""
        held = self._zones[name]
        if held.evacuated_at.epoch == position.epoch:
            return self._record_returned(name, position, "it is not in the store")
        if held.evacuated_at.epoch < position.epoch and held.unlisted_since_s is None:
            held.unlisted_since_s = self._read_clock()
            log_event(
                "zone_evacuation_lost",
                level="WARNING",
                zone=self._find_name(name),
                epoch=position.epoch,
                former=held.evacuated_at.epoch,
                servers=self._count_servers(name),
            )
        return False

    def _put(
        self,
        name: NameHash,
        evacuation: ZoneEvacuation,
        reason: str,
        zone: AvailabilityZone | None = None,
    ) -> bool:
        """Store the state of a zone; return whether it changed what may be sent."""
        held = self._zones.get(name)
        if held is None and len(self._zones) >= MAX_ZONES and not self._make_room(name):
            return False
        self._zones[name] = evacuation
        self._zones.move_to_end(name)
        was_in_force = name in self._in_force
        if evacuation.is_in_force == was_in_force:
            return False
        (self._in_force.add if evacuation.is_in_force else self._in_force.discard)(name)
        self._log_change(name, evacuation, held, reason, zone)
        return True

    def _make_room(self, name: NameHash) -> bool:
        """Forget a zone without servers, or one that is not evacuated any more."""
        if not self._count_servers(name):
            return False
        for each, held in self._zones.items():
            if not held.is_in_force or not self._count_servers(each):
                del self._zones[each]
                self._in_force.discard(each)
                return True
        return False

    def _log_change(
        self,
        name: NameHash,
        evacuation: ZoneEvacuation,
        held: ZoneEvacuation | None,
        reason: str,
        zone: AvailabilityZone | None,
    ) -> None:
        servers, now_s = self._count_servers(name), self._read_clock()
        if not servers:
            if now_s - self._unknown_lines_since_s >= UNKNOWN_LINES_PERIOD_S:
                self._unknown_lines, self._unknown_lines_since_s = 0, now_s
            self._unknown_lines += 1
            if self._unknown_lines > MAX_UNKNOWN_LINES:
                return
        shown = self._find_name(name) if zone is None else zone
        lasted_s = {}
        if held is not None and held.is_in_force:
            lasted_s = {"lasted_s": round(evacuation.learnt_s - held.learnt_s, 3)}
        level = "INFO" if servers else "WARNING"
        fields = {
            "zone": ascii(shown)[1:-1][:MAX_LOGGED_CHARACTERS],
            "servers": servers,
            "source": evacuation.source,
            "age_s": round(now_s - evacuation.learnt_s, 3),
            "reason": reason,
            "reported_by": evacuation.reported_by,
            "epoch": evacuation.position.epoch,
            "revision": evacuation.position.revision,
            **lasted_s,
        }
        if evacuation.is_in_force:
            log_event("zone_evacuated", level=level, **fields)
        else:
            log_event("zone_returned", level=level, **fields)

    def _announce(self, is_change: bool, is_late: bool = False) -> None:
        if is_change:
            for changed in self.change_callbacks:
                changed()
        if is_change or is_late:
            for tell in self.news_callbacks:
                tell()


def make_zone_evacuations(
    read_clock: Callable[[], float] = time.monotonic,
    count_servers: Callable[[NameHash], int] = lambda zone: 0,
    find_name: Callable[[NameHash], str] = "{:016x}".format,
) -> ZoneEvacuations:
    """Return an empty record.

    :param read_clock: monotonic clock, in seconds.
    :param count_servers: returns the number of known servers in the zone with a hash.
    :param find_name: returns the name of the zone with a hash, for the log.

    >>> make_zone_evacuations().is_evacuated(AvailabilityZone("z1"))
    False
    """
    return ZoneEvacuations(read_clock, count_servers, find_name)
