"""Gossip among routers: their loads on servers and the age of their server lists.

Each router sends a short report to a bounded number of other routers, so the cost per
router does not grow with the fleet. A router that receives reports from only a part of
the others extrapolates from these to all. A router whose configuration is behind, or
that cannot reach the metadata store, requests a snapshot from another router.
"""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from bilberryspring.connection.limit_messages import CREDIT_PREFIX
from bilberryspring.connection.load_messages import NameHash, hash_name
from bilberryspring.connection.router_reports import (
    MAX_CACHED_PARTS,
    MAX_COLD_SERVERS,
    MAX_EVACUATIONS,
    MAX_LEAVINGS,
    MAX_LIMITS,
    MAX_LOADS,
    MAX_STATEMENTS,
    MAX_SUSPECTS,
    RouterLoad,
    RouterReport,
    ServerStatement,
    StoreSnapshot,
    decode_report,
    encode_report,
)
from bilberryspring.identifiers import InstanceId, StoreEpoch
from bilberryspring.process.addresses import is_unicast_ip
from bilberryspring.process.confirmation_age import ConfirmationAge
from bilberryspring.process.logs import log_event
from bilberryspring.process.router_snapshots import fetch_snapshot, serve_snapshots
from bilberryspring.process.server_table import (
    STATEMENT_LIFETIME_S,
    PeerLoad,
    ServerTable,
)
from bilberryspring.request.errors import Failure
from bilberryspring.request.suspect_contents import SuspectContents

__all__ = ["PeerView", "RouterPeers", "is_fresher_list", "make_router_peers"]

REPORT_INTERVAL_S = 0.25
# News of crashes are reported after this time, with others that arrive meanwhile.
NEWS_DELAY_S = 0.02
# A router sends news no sooner than this after its last report of news.
MIN_NEWS_INTERVAL_S = 0.1
MAX_FANOUT = 10
MIN_FANOUT = 3
# A node may spend 10 KB/s on control traffic; the rest is left for snapshots.
MAX_REPORT_BYTES_PER_S = 9_000
# Unspent bytes that a router may spend later on news.
MAX_BUDGET_BYTES = MAX_REPORT_BYTES_PER_S * REPORT_INTERVAL_S
DATAGRAM_HEADER_BYTES = 28
# The load of a router counts for this long after its last report.
REPORT_LIFETIME_S = 1.5
# A router that sent no report for this long gets no more reports.
PEER_TIMEOUT_S = 10.0
# A reported suspicion is ignored if the server responded here within this time.
RECENT_RESPONSE_S = 0.3
REPORTED_AVOIDANCE_S = 1.0
# For how long the configuration may be behind before the router requests a snapshot.
CATCH_UP_DELAY_S = 0.3
MIN_SNAPSHOT_INTERVAL_S = 0.5
# Routers that a report can name.
MAX_ROUTERS = 4096
# Routers that watch the server list in the store; the others get it from them.
WATCHER_COUNT = 2
MAX_LOGGED_CHARACTERS = 80
# Entries on parts of prompts that a report has place for besides many loads.
MIN_CACHED_PARTS = 4


@dataclass(slots=True)
class PeerView:
    """Latest report of another router.

    :param ip: IP address of the router.
    :param report_received_s: monotonic time of the report's arrival; zero for never.
    :param report: the report; ``None`` before the first.
    """

    ip: str
    report_received_s: float = 0.0
    report: RouterReport | None = None

    def compute_servers_age_s(self, now_s: float) -> float:
        """Return the current age of that router's server list.

        :param now_s: monotonic time.
        :returns: seconds since the store confirmed the list; negative if it never did.
        """
        reported_s = self.report.servers_age_s
        return (
            reported_s
            if reported_s < 0
            else reported_s + now_s - self.report_received_s
        )


class ServerListFreshness(Protocol):
    """Age of the server list that this router holds, and the store's history of it."""

    @property
    def store_epoch(self) -> StoreEpoch | None:
        """History of the store in which it confirmed the list; ``None`` if unknown."""

    @property
    def age_s(self) -> float:
        """Seconds since the store confirmed the list; negative if it never did."""

    def confirm(self, age_s: float) -> None:
        """Record that the store confirmed the list that this router holds.

        :param age_s: seconds since the confirmation.
        """


class RouterPeers(asyncio.DatagramProtocol):
    """Exchange of reports and snapshots with the other routers.

    :param instance_id: id of this router.
    :param ip: IP address of this router.
    :param port: port that all routers use, for datagrams and for snapshots.
    :param servers: table that receives the loads of the other routers.
    :param read_version: returns the configuration version in force, -1 for none.
    :param make_snapshot: returns a snapshot of this router's state; its argument says
        whether to include the configuration.
    :param feed: source of the server list and of the list's age.
    :param apply_snapshot: applies a snapshot of another router.
    :param suspects: evidence on contents of requests that may crash servers.
    :param has_fast_link: whether other routers should prefer this one for snapshots and
        as a watcher.
    :param read_clock: monotonic clock, in seconds.
    :ivar configuration_confirmation: age of the store's confirmation of the
        configuration in force; ``None`` if this router reads none.
    :ivar evacuations_confirmation: as ``configuration_confirmation``, of the
        evacuations in force.
    :ivar on_credit_message: called with each credit message and its sender's address.
    """

    def __init__(
        self,
        instance_id: InstanceId,
        ip: str,
        port: int,
        servers: ServerTable,
        read_version: Callable[[], int],
        make_snapshot: Callable[[bool], StoreSnapshot],
        feed: ServerListFreshness,
        apply_snapshot: Callable[[StoreSnapshot], None],
        suspects: SuspectContents,
        has_fast_link: bool = True,
        read_clock: Callable[[], float] = time.monotonic,
    ):
        self._read_clock = read_clock
        self._instance_id = instance_id
        self._ip = ip
        self._port = port
        self._servers = servers
        self._read_version = read_version
        self._make_snapshot = make_snapshot
        self._feed = feed
        self._apply_snapshot = apply_snapshot
        self._suspects = suspects
        suspects.news_callbacks.append(self._report_soon)
        servers.limits.news_callbacks.append(self._report_soon)
        servers.evacuations.news_callbacks.append(self._report_soon)
        servers.cold.news_callbacks.append(self._report_soon)
        self._has_fast_link = has_fast_link
        self.configuration_confirmation: ConfirmationAge | None = None
        self.evacuations_confirmation: ConfirmationAge | None = None
        self.on_credit_message: Callable[[bytes, str], None] = lambda data, ip: None
        self._started_at_ms = round(time.time() * 1000)
        self._sequence = 0
        self._news_timer: asyncio.TimerHandle | None = None
        self._news_sent_s = 0.0
        self._budget_bytes = MAX_BUDGET_BYTES
        self._budgeted_s = read_clock()
        self._fanout = MAX_FANOUT
        self._peer_views: dict[str, PeerView] = {}
        self._address_added_s: dict[str, float] = {}
        self._refused_addresses: set[str] = set()
        self._transport: asyncio.DatagramTransport | None = None
        self._snapshot_server: asyncio.Server | None = None
        self._snapshot_requested_s = 0.0
        self._snapshot_requests: set[asyncio.Task[None]] = set()
        self._behind_since_s: float | None = None

    async def start(self) -> None:
        """Listen for reports and for snapshot requests.

        :raises OSError: if the port cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._ip, self._port)
        )
        self._snapshot_server = await serve_snapshots(
            self._ip, self._port, self._make_snapshot
        )

    def close(self) -> None:
        """Stop listening and cancel open snapshot requests."""
        for task in self._snapshot_requests:
            task.cancel()
        if self._news_timer is not None:
            self._news_timer.cancel()
            self._news_timer = None
        if self._transport is not None:
            self._transport.close()
        if self._snapshot_server is not None:
            self._snapshot_server.close()

    def add_addresses(self, ips: list[str]) -> None:
        """Add addresses of possible routers as targets of reports.

        :param ips: IP addresses; one that is not added again expires after
            ``PEER_TIMEOUT_S`` unless a router there sends reports.
        """
        now_s = self._read_clock()
        refused = {ip for ip in ips if not is_unicast_ip(ip)}
        if refused - self._refused_addresses:
            first = min(refused - self._refused_addresses)[:MAX_LOGGED_CHARACTERS]
            reason = f"{len(refused)} addresses of routers, such as {ascii(first)}"
            log_event("update_refused", level="WARNING", reason=reason)
        self._refused_addresses = refused
        for ip in ips:
            if ip != self._ip and ip not in refused:
                self._address_added_s[ip] = now_s

    def send_datagram(self, data: bytes, ip: str) -> None:
        """Send a datagram to another router; it may be lost.

        :param data: content of the datagram.
        :param ip: IP address of the router.
        """
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, (ip, self._port))

    def list_addresses(self) -> list[str]:
        """Return the IP addresses of the other routers that are known."""
        return [*{*self._peer_views, *self._address_added_s}]

    def count_routers(self) -> int:
        """Return the estimated number of routers, including this one."""
        return self._find_router_count(self._read_clock())[0]

    def _find_router_count(self, now_s: float) -> tuple[int, float]:
        """Return the highest number that some router counted lately.

        In a large fleet each router hears from a part of the others within that time.
        A number that another router was told itself keeps its age, so that routers
        don't keep each other from forgetting those that were lost.

        :param now_s: monotonic time.
        :returns: number of routers, and seconds since it was counted.
        """
        recent = self._list_recent_views(now_s, PEER_TIMEOUT_S)
        counts = [(len(recent) + 1, 0.0)]
        for view in recent:
            age_s = max(view.report.router_count_age_s, 0.0)
            age_s += now_s - view.report_received_s
            if age_s <= PEER_TIMEOUT_S:
                counts.append((min(view.report.router_count, MAX_ROUTERS), age_s))
        return max(counts, key=lambda counted: (counted[0], -counted[1]))

    def error_received(self, exc: OSError) -> None:
        """Ignore an unreachable router; it expires because it sends no reports."""

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Store a report, unless it is malformed or older than the stored one.

        A message about credit is passed on.

        :param data: content of the datagram.
        :param address: IP address and port of the sender.
        """
        if data.startswith(CREDIT_PREFIX):
            self.on_credit_message(data, address[0])
            return
        report = decode_report(data)
        if isinstance(report, Failure):
            log_event("bad_frame", level="WARNING", peer=address[0], why=report.reason)
            return
        if report.sender != self._instance_id:
            self._apply_report(report, address[0])

    def _apply_report(self, report: RouterReport, ip: str) -> None:
        view = self._peer_views.setdefault(ip, PeerView(ip))
        previous = view.report
        if previous is not None and (report.started_at_ms, report.sequence) <= (
            previous.started_at_ms,
            previous.sequence,
        ):
            return
        view.report = report
        view.report_received_s = self._read_clock()
        for statement in report.statements:
            record = self._servers.find_by_hash(statement.server)
            if record is not None:
                self._servers.add_statement(record, statement.requests, statement.age_s)
        self._suspects.merge(report.suspects)
        self._servers.merge_leavings(report.leavings)
        self._servers.limits.merge(report.limits, report.sender)
        self._servers.evacuations.merge(report.evacuations, report.sender)
        self._servers.cold.merge(report.cold_servers, report.sender)
        self._servers.cached_parts.merge(report.cached_parts)
        self._adopt_confirmations(report)

    def _adopt_confirmations(self, report: RouterReport) -> None:
        """Adopt the store's confirmations of what this router holds too."""
        # A version that is newest at another router is not newer than the one here.
        if (
            self.configuration_confirmation is not None
            and report.config_version <= self._read_version()
        ):
            self.configuration_confirmation.confirm(report.config_age_s)
        if (
            self.evacuations_confirmation is not None
            and report.evacuations_digest == self._servers.evacuations.compute_digest()
        ):
            self.evacuations_confirmation.confirm(report.evacuations_age_s)

    async def run(self) -> None:
        """Send reports and apply received ones periodically, until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S * random.uniform(0.9, 1.1))
            now_s = self._read_clock()
            self._remove_expired(now_s)
            self._send_report(now_s)
            self._update_peer_loads(now_s)
            self._request_if_behind(now_s)

    def _report_soon(self) -> None:
        """Report news ahead of the next regular report."""
        if self._news_timer is not None or self._transport is None:
            return
        next_s = self._news_sent_s + MIN_NEWS_INTERVAL_S
        delay_s = max(NEWS_DELAY_S, next_s - self._read_clock())
        loop = asyncio.get_running_loop()
        self._news_timer = loop.call_later(delay_s, self._report_news)

    def _report_news(self) -> None:
        self._news_timer = None
        self._news_sent_s = self._read_clock()
        self._send_report(self._news_sent_s, is_news=True)
        servers = self._servers
        if any(
            each.has_news
            for each in (servers.limits, servers.evacuations, servers.cold)
        ):
            self._report_soon()

    def _remove_expired(self, now_s: float) -> None:
        for ip, view in list(self._peer_views.items()):
            if now_s - view.report_received_s > PEER_TIMEOUT_S:
                del self._peer_views[ip]
        for ip, added_s in list(self._address_added_s.items()):
            if now_s - added_s > PEER_TIMEOUT_S:
                del self._address_added_s[ip]

    def _send_report(self, now_s: float, is_news: bool = False) -> None:
        targets = sorted({*self._peer_views, *self._address_added_s})
        if not targets or self._transport is None or self._transport.is_closing():
            return
        self._budget_bytes = min(
            self._budget_bytes + (now_s - self._budgeted_s) * MAX_REPORT_BYTES_PER_S,
            MAX_BUDGET_BYTES,
        )
        self._budgeted_s = now_s
        loads = [
            RouterLoad(
                hash_name(server_id),
                record.requests,
                max(record.prompt_tokens, 0),
                max(record.held_tokens, 0),
                record.is_suspected_locally(now_s),
            )
            for server_id, record in self._servers.records.items()
            if record.requests or record.is_suspected_locally(now_s)
        ]
        loads.sort(key=lambda load: (not load.is_suspected, -load.requests))
        suspects = self._suspects.list_reports(MAX_SUSPECTS)
        leavings = self._servers.leavings.list_reports(
            MAX_LEAVINGS, self._feed.store_epoch
        )
        limits = self._servers.limits.list_reports(MAX_LIMITS)
        evacuations = self._servers.evacuations.list_reports(MAX_EVACUATIONS)
        cold_servers = self._servers.cold.list_reports(MAX_COLD_SERVERS)
        cached_parts = self._servers.cached_parts.list_reports(
            min(max(MAX_LOADS - len(loads), MIN_CACHED_PARTS), MAX_CACHED_PARTS)
        )
        self._sequence += 1
        router_count, router_count_age_s = self._find_router_count(now_s)
        data = encode_report(
            RouterReport(
                self._instance_id,
                self._started_at_ms,
                self._sequence,
                self._read_version(),
                router_count,
                tuple(loads[:MAX_LOADS]),
                self._servers.digest,
                self._feed.age_s,
                suspects,
                self._has_fast_link,
                self._list_statements(now_s),
                self._feed.store_epoch,
                leavings,
                limits,
                evacuations,
                cold_servers,
                cached_parts,
                _read_age_s(self.configuration_confirmation),
                _read_age_s(self.evacuations_confirmation),
                self._servers.evacuations.compute_digest(),
                router_count_age_s,
            )
        )
        size_bytes = len(data) + DATAGRAM_HEADER_BYTES
        fanout = min(_choose_fanout(size_bytes), len(targets))
        has_news = evacuations or cold_servers or cached_parts
        if suspects or leavings or limits or has_news:
            affordable = max(int(self._budget_bytes // size_bytes), 0)
            fanout = min(fanout, affordable if is_news else max(affordable, 1))
        if not is_news:
            self._fanout = fanout
        self._budget_bytes -= fanout * size_bytes
        if fanout:
            self._servers.limits.mark_reported(limits)
            self._servers.evacuations.mark_reported(evacuations)
            self._servers.cold.mark_reported(cold_servers)
            self._servers.cached_parts.mark_reported(cached_parts)
        for ip in random.sample(targets, fanout):
            self._transport.sendto(data, (ip, self._port))

    def _list_statements(self, now_s: float) -> tuple[ServerStatement, ...]:
        """Return the latest statements of servers on their load, the newest first."""
        records = [
            record
            for record in self._servers.records.values()
            if record.statement is not None
            and now_s - record.statement.stated_s < STATEMENT_LIFETIME_S
        ]
        records.sort(key=lambda record: -record.statement.stated_s)
        return tuple(
            ServerStatement(
                hash_name(record.server.server_id),
                record.statement.requests,
                max(now_s - record.statement.stated_s, 0.0),
            )
            for record in records[:MAX_STATEMENTS]
        )

    def _list_recent_views(self, now_s: float, lifetime_s: float) -> list[PeerView]:
        return [
            view
            for view in self._peer_views.values()
            if view.report is not None and now_s - view.report_received_s <= lifetime_s
        ]

    def _update_peer_loads(self, now_s: float) -> None:
        recent = self._list_recent_views(now_s, self._report_lifetime_s)
        if not recent:
            return
        # The reported loads are extrapolated to all routers.
        scale = max(1.0, (self.count_routers() - 1) / len(recent))
        sums: dict[NameHash, list[float]] = {}
        for view in recent:
            for load in view.report.loads:
                total = sums.setdefault(load.server, [0.0, 0.0, 0.0])
                total[0] += load.requests
                total[1] += load.prompt_tokens
                total[2] += load.held_tokens
                if (
                    load.is_suspected
                    and now_s - view.report_received_s <= 2 * REPORT_INTERVAL_S
                ):
                    self._apply_suspicion(load.server, view, now_s)
        self._servers.update_peer_loads(
            {
                server: PeerLoad(*(value * scale for value in total))
                for server, total in sums.items()
            },
            1 / scale,
        )

    def _apply_suspicion(self, server: NameHash, view: PeerView, now_s: float) -> None:
        record = self._servers.find_by_hash(server)
        if record is not None and now_s - record.last_response_s > RECENT_RESPONSE_S:
            record.avoid_on_report(now_s + REPORTED_AVOIDANCE_S, view.report.sender)

    def is_watcher(self) -> bool:
        """Return whether this router watches the server list in the store.

        Routers rank each other by a hash, those with a fast link first. A router that
        has received no reports ranks itself first, so there may be more watchers than
        needed for a while, but not fewer for long.
        """
        now_s = self._read_clock()
        own = _make_watcher_key(self._has_fast_link, self._instance_id)
        recent = [
            view.report
            for view in self._list_recent_views(now_s, self._report_lifetime_s)
        ]
        rank = sum(
            _make_watcher_key(each.has_fast_link, each.sender) < own for each in recent
        )
        return rank < WATCHER_COUNT

    @property
    def _report_lifetime_s(self) -> float:
        # In a large fleet, reports of one router arrive here rarely.
        return max(
            REPORT_LIFETIME_S,
            len(self._peer_views) / self._fanout * REPORT_INTERVAL_S * 3,
        )

    def _request_if_behind(self, now_s: float) -> None:
        recent = self._list_recent_views(now_s, self._report_lifetime_s)
        ahead = [v for v in recent if v.report.config_version > self._read_version()]
        if ahead:
            self._behind_since_s = self._behind_since_s or now_s
        else:
            self._behind_since_s = None
        is_behind = bool(ahead) and now_s - self._behind_since_s >= CATCH_UP_DELAY_S
        candidates = ahead if is_behind else self._find_fresher_peers(recent, now_s)
        if (
            not candidates
            or now_s - self._snapshot_requested_s < MIN_SNAPSHOT_INTERVAL_S
        ):
            return
        self._snapshot_requested_s = now_s
        fast = [view for view in candidates if view.report.has_fast_link]
        view = random.choice(fast or candidates)
        # Runs as a task, because other routers need reports of the load meanwhile.
        task = asyncio.create_task(self._request_snapshot(view.ip, is_behind))
        self._snapshot_requests.add(task)
        task.add_done_callback(self._finish_snapshot_request)

    def _finish_snapshot_request(self, task: asyncio.Task[None]) -> None:
        self._snapshot_requests.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = repr(task.exception())
            log_event("task_failed", level="ERROR", error=error)

    async def _request_snapshot(self, ip: str, with_configuration: bool) -> None:
        snapshot = await fetch_snapshot(ip, self._port, with_configuration)
        if isinstance(snapshot, Failure):
            log_event("call_failed", level="WARNING", error=snapshot.reason)
            return
        self._apply_snapshot(snapshot)

    def _find_fresher_peers(
        self, recent: list[PeerView], now_s: float
    ) -> list[PeerView]:
        """Return peers with other entries that the store confirmed more recently.

        A more recent confirmation of the entries held here is adopted.
        """
        candidates = []
        for view in recent:
            if not self._is_fresher(view, now_s):
                continue
            epochs = {view.report.store_epoch, self._feed.store_epoch} - {None}
            is_same_list = view.report.servers_digest == self._servers.digest
            if is_same_list and len(epochs) <= 1:
                self._feed.confirm(view.compute_servers_age_s(now_s))
            else:
                candidates.append(view)
        # A later confirmation may have made the held list fresher than a candidate.
        return [view for view in candidates if self._is_fresher(view, now_s)]

    def _is_fresher(self, view: PeerView, now_s: float) -> bool:
        return is_fresher_list(
            view.report.store_epoch,
            view.compute_servers_age_s(now_s),
            self._feed.store_epoch,
            self._feed.age_s,
        )


def is_fresher_list(
    epoch: StoreEpoch | None,
    age_s: float,
    held_epoch: StoreEpoch | None,
    held_age_s: float,
) -> bool:
    """Return whether a list of servers is more recent than the held one.

    A list that the store confirmed before it was restored is older than any that it
    confirmed since, whatever their ages seem to be.

    :param epoch: history of the store in which it confirmed the list; ``None`` if that
        is not known.
    :param age_s: seconds since it did; negative if it never did.
    :param held_epoch: as ``epoch``, of the held list.
    :param held_age_s: as ``age_s``, of the held list.

    >>> is_fresher_list(StoreEpoch(1), 0.1, StoreEpoch(2), 0.4)
    False
    """
    if age_s < 0 or held_age_s < 0:
        return age_s >= 0
    if epoch is not None and held_epoch is not None and epoch != held_epoch:
        return epoch > held_epoch
    return age_s < held_age_s


def _choose_fanout(size_bytes: int) -> int:
    """Return how many routers each report is sent to.

    :param size_bytes: size of the datagram.

    >>> _choose_fanout(128), _choose_fanout(428), _choose_fanout(1428)
    (10, 5, 3)
    """
    bytes_per_s = size_bytes / REPORT_INTERVAL_S
    return int(min(max(MAX_REPORT_BYTES_PER_S // bytes_per_s, MIN_FANOUT), MAX_FANOUT))


def _read_age_s(confirmation: ConfirmationAge | None) -> float:
    return -1.0 if confirmation is None else confirmation.age_s


def _make_watcher_key(has_fast_link: bool, instance_id: InstanceId) -> tuple[bool, int]:
    return not has_fast_link, hash_name(f"watcher/{instance_id}")


def make_router_peers(
    instance_id: InstanceId,
    ip: str,
    port: int,
    servers: ServerTable,
    read_version: Callable[[], int],
    make_snapshot: Callable[[bool], StoreSnapshot],
    feed: ServerListFreshness,
    apply_snapshot: Callable[[StoreSnapshot], None],
    suspects: SuspectContents,
    has_fast_link: bool = True,
    read_clock: Callable[[], float] = time.monotonic,
) -> RouterPeers:
    """Return an exchange that is not started.

    :param instance_id: id of this router.
    :param ip: IP address of this router.
    :param port: port that all routers use, for datagrams and for snapshots.
    :param servers: table that receives the loads of the other routers.
    :param read_version: returns the configuration version in force, -1 for none.
    :param make_snapshot: returns a snapshot of this router's state; its argument says
        whether to include the configuration.
    :param feed: source of the server list and of the list's age.
    :param apply_snapshot: applies a snapshot of another router.
    :param suspects: evidence on contents of requests that may crash servers.
    :param has_fast_link: whether other routers should prefer this one for snapshots and
        as a watcher.
    :param read_clock: monotonic clock, in seconds.
    """
    return RouterPeers(
        instance_id,
        ip,
        port,
        servers,
        read_version,
        make_snapshot,
        feed,
        apply_snapshot,
        suspects,
        has_fast_link,
        read_clock,
    )
