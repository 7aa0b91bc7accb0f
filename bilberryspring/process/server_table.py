"""Per-server state that a router uses to choose a backend server for a request."""

import time
from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

import xxhash

from bilberryspring.capability.backend_calls import ServerLoad
from bilberryspring.capability.routing import BackendServer, PartId, Prompt
from bilberryspring.connection.load_messages import NameHash, hash_name
from bilberryspring.connection.router_reports import LeavingReport
from bilberryspring.identifiers import (
    AvailabilityZone,
    InstanceId,
    PoolName,
    Region,
    StoreEpoch,
)
from bilberryspring.policy.cached_parts import PartHolder, choose_fetch_source
from bilberryspring.policy.load_estimate import (
    DEFAULT_LOAD_ESTIMATOR,
    LOAD_ESTIMATORS,
    LoadEstimator,
    LoadEvidence,
    predict_work_time_ratio,
)
from bilberryspring.process.cached_parts import make_cached_parts
from bilberryspring.process.cold_servers import make_cold_servers
from bilberryspring.process.logs import log_event
from bilberryspring.process.server_leavings import (
    LeavingSource,
    make_server_leavings,
)
from bilberryspring.process.server_limits import make_server_limits
from bilberryspring.process.server_pauses import ServerPause, make_server_pauses
from bilberryspring.process.server_rates import make_server_rates
from bilberryspring.process.zone_evacuations import make_zone_evacuations

__all__ = [
    "NO_HOLDERS",
    "LoadStatement",
    "PartHolders",
    "PeerLoad",
    "ServerRecord",
    "ServerTable",
    "make_server_table",
]

# A server that sends nothing for this long while requests are in flight is avoided.
# Engines send several events of each stream within this time.
SILENCE_TIMEOUT_S = 0.6
# Weight of the newest response in the moving average of a server's failure rate. With
# these values a server is avoided from its second consecutive failure on, not after
# isolated failures.
FAILURE_RATE_SMOOTHING = 0.2
AVOIDANCE_FAILURE_RATE = 0.35
# Backoff after a failure; it doubles with each further failure, up to the maximum.
INITIAL_AVOIDANCE_S = 0.5
MAX_AVOIDANCE_S = 4.0
# For how long a statement of a server on its own load is used and passed on.
STATEMENT_LIFETIME_S = 1.0
# Changes of the number of own requests that are kept per server, to tell how many there
# were when a statement was made.
MAX_REQUEST_CHANGES = 32
# Prompt parts kept per server, at about a hundred bytes each.
MAX_PROMPT_PARTS = 4096
# Weight of the newest sample in the moving average of a server's slowness.
SLOWNESS_SMOOTHING = 0.25
# A slow server must get requests again, so its slowness decays towards one: without
# samples, its logarithm halves in this time.
SLOWNESS_HALF_LIFE_S = 3.0
MAX_SLOWNESS = 20.0
MIN_SLOWNESS = 0.5


@dataclass(slots=True)
class PeerLoad:
    """Load that the other routers put on a server.

    :param requests: their requests in flight there.
    :param prompt_tokens: prompt tokens that the server has not read yet.
    :param held_tokens: tokens that their requests occupy in the server's KV cache.
    """

    requests: float = 0.0
    prompt_tokens: float = 0.0
    held_tokens: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadStatement:
    """Load that a server stated with a response, to this or another router.

    :param requests: requests of all routers that it was running or had queued.
    :param stated_s: monotonic time of the statement.
    """

    requests: int
    stated_s: float


@dataclass(slots=True)
class ServerRecord:
    """This router's view of the state of one backend server; times are monotonic.

    :param server: the server as it is listed; not ready if it is known to have left.
    :param listed_s: when it was first listed.
    :param requests: requests of this router that are in flight there.
    :param prompt_tokens: prompt tokens of these requests that it has not read yet.
    :param held_tokens: tokens of these requests in its KV cache, read and generated.
    :param peer_load: load of the other routers, estimated from their reports and the
        server's statements.
    :param peer_reported_requests: requests in flight of the other routers, by their
        reports.
    :param heard_share: fraction of the other routers that these reports come from.
    :param own_requests_at_report: requests of this router at the time of these reports.
    :param statement: latest statement of the server; ``None`` if there is none.
    :param request_changes: latest changes of ``requests``: time and new value.
    :param work_time_ratio: time that work takes there by the server's latest word to
        this router, as a multiple of the usual time.
    :param work_time_stated_s: monotonic time of that word.
    :param awaited_since_s: for each request in flight, when it was sent or when the
        latest part of its response arrived.
    :param last_response_s: when the server last sent anything.
    :param consecutive_failures: failures that made it avoided since the last success.
    :param failure_rate: moving average of the share of failed requests.
    :param avoided_until_s: end of the current backoff; in the past if there is none.
    :param suspected_until_s: end of the backoff after this router's own observations,
        without that which other routers' reports added.
    :param slowness: moving average of the response time over the expected time.
    :param slowness_sampled_s: when the slowness was last sampled.
    :param sent_parts: prompt parts that this router sent there, the latest last.
    :param epoch: history of the store in which ``server`` was listed.
    :param pause: time for which it wants no requests of this router.
    :param is_evacuated: whether its availability zone is evacuated, as of the latest
        index of the table.
    """

    server: BackendServer
    listed_s: float = 0.0
    requests: int = 0
    prompt_tokens: int = 0
    held_tokens: int = 0
    peer_load: PeerLoad = field(default_factory=PeerLoad)
    peer_reported_requests: float = 0.0
    own_requests_at_report: int = 0
    heard_share: float = 1.0
    statement: LoadStatement | None = None
    request_changes: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_REQUEST_CHANGES)
    )
    work_time_ratio: float = 1.0
    work_time_stated_s: float = 0.0
    awaited_since_s: dict[object, float] = field(default_factory=dict)
    last_response_s: float = 0.0
    consecutive_failures: int = 0
    failure_rate: float = 0.0
    avoided_until_s: float = 0.0
    suspected_until_s: float = 0.0
    slowness: float = 1.0
    slowness_sampled_s: float = 0.0
    sent_parts: OrderedDict[PartId, None] = field(default_factory=OrderedDict)
    epoch: StoreEpoch | None = None
    pause: ServerPause = field(default_factory=ServerPause)
    is_evacuated: bool = False

    @property
    def accepts_work(self) -> bool:
        """Whether it is neither leaving nor in an evacuated availability zone."""
        return self.server.is_ready and not self.is_evacuated

    @property
    def total_requests(self) -> float:
        """Requests of all routers in flight there, by the latest reports received."""
        return self.requests + self.peer_load.requests

    def change_requests(self, change: int, now_s: float) -> None:
        """Add to the number of this router's requests in flight there.

        :param change: requests that were sent, negative for requests that ended.
        :param now_s: monotonic time.
        """
        self.requests += change
        self.request_changes.append((now_s, self.requests))

    def update_peer_load(
        self,
        reported: PeerLoad,
        heard_share: float,
        now_s: float,
        estimator: LoadEstimator = LOAD_ESTIMATORS[DEFAULT_LOAD_ESTIMATOR],
    ) -> None:
        """Update the load of the other routers from their reports.

        :param reported: sum of the loads that they reported, extrapolated to all.
        :param heard_share: fraction of the other routers that reported.
        :param now_s: monotonic time.
        :param estimator: estimator of their number of requests.
        """
        self.peer_reported_requests = reported.requests
        self.heard_share = heard_share
        self.own_requests_at_report = self.requests
        self.peer_load = reported
        self._estimate_peer_requests(now_s, estimator)

    def update_statement(
        self,
        statement: LoadStatement,
        now_s: float,
        estimator: LoadEstimator = LOAD_ESTIMATORS[DEFAULT_LOAD_ESTIMATOR],
    ) -> None:
        """Update the load of the other routers from a statement of the server.

        A statement that is older than the latest one is ignored.

        :param statement: the statement.
        :param now_s: monotonic time.
        :param estimator: estimator of the other routers' number of requests.
        """
        if self.statement is not None and statement.stated_s <= self.statement.stated_s:
            return
        self.statement = statement
        self._estimate_peer_requests(now_s, estimator)

    def _estimate_peer_requests(self, now_s: float, estimator: LoadEstimator) -> None:
        stated_requests, age_s = None, 0.0
        if self.statement is not None:
            age_s = now_s - self.statement.stated_s
            if age_s < STATEMENT_LIFETIME_S:
                own = self._count_own_requests_at(self.statement.stated_s)
                stated_requests = float(max(self.statement.requests - own, 0))
        self.peer_load.requests = estimator(
            LoadEvidence(
                self.peer_reported_requests, self.heard_share, stated_requests, age_s
            )
        )

    def _count_own_requests_at(self, at_s: float) -> int:
        """Return how many requests this router had there at a recent time."""
        count = self.requests
        for changed_s, requests in reversed(self.request_changes):
            if changed_s <= at_s:
                return requests
            count = requests
        return count

    def is_silent(self, now_s: float, timeout_s: float = SILENCE_TIMEOUT_S) -> bool:
        """Return whether it sent nothing for too long while requests are in flight.

        :param now_s: monotonic time.
        :param timeout_s: longest silence in seconds.
        """
        if not self.awaited_since_s:
            return False
        return (
            now_s - max(self.last_response_s, min(self.awaited_since_s.values()))
            >= timeout_s
        )

    def is_avoided(self, now_s: float) -> bool:
        """Return whether it gets no new requests while another server is available.

        :param now_s: monotonic time.
        """
        return now_s < self.avoided_until_s or self.is_silent(now_s)

    def can_be_fetched_from(self, now_s: float) -> bool:
        """Return whether other engines may fetch cached parts from it.

        A transfer is work for it, so a server in a pause or in an evacuated zone is no
        source.

        :param now_s: monotonic time.
        """
        return not (
            self.is_evacuated or self.is_avoided(now_s) or self.pause.is_active(now_s)
        )

    def is_suspected_locally(self, now_s: float) -> bool:
        """Return whether this router itself observed failures or a timeout of it.

        Reports of other routers don't count: routers that repeat each other's reports
        would avoid it for ever.

        :param now_s: monotonic time.
        """
        return now_s < self.suspected_until_s or self.is_silent(now_s)

    def avoid_on_report(self, until_s: float, sender: str) -> None:
        """Avoid it because another router reports that it fails.

        :param until_s: end of the avoidance, monotonic time; an end before that of the
            current backoff has no effect.
        :param sender: the reporting router.
        """
        if until_s <= self.avoided_until_s:
            return
        if self.avoided_until_s < time.monotonic():
            log_event(
                "instance_suspected",
                server=self.server.server_id,
                reason=f"{sender} reports that it fails",
            )
        self.avoided_until_s = until_s

    def compute_slowness(self, now_s: float) -> float:
        """Return its slowness: the response time over the expected time.

        :param now_s: monotonic time.
        :returns: a value above one decays towards one as the last sample ages; a value
            of at most one does not change with time.
        """
        age_s = max(0.0, now_s - self.slowness_sampled_s)
        weight = 0.5 ** (age_s / SLOWNESS_HALF_LIFE_S)
        return self.slowness**weight if self.slowness > 1 else self.slowness

    def predict_work_time_ratio(self, now_s: float) -> float:
        """Predict how long work takes there now, as a multiple of the usual time.

        :param now_s: monotonic time.
        """
        age_s = now_s - self.work_time_stated_s
        return predict_work_time_ratio(self.work_time_ratio, age_s)

    def count_cached_tokens(self, prompt: Prompt) -> int:
        """Return how many tokens of a prompt's prefix were sent there before.

        :param prompt: prompt of the next request.
        """
        cached = 0
        for part in prompt.parts:
            if part.part_id not in self.sent_parts:
                break
            cached += part.tokens
        return cached

    def record_sent(self, token: object, prompt: Prompt | None, now_s: float) -> None:
        """Record that a request was sent.

        :param token: identifies the request.
        :param prompt: its prompt if the server is an engine; ``None`` otherwise.
        :param now_s: monotonic time.
        """
        self.awaited_since_s[token] = now_s
        for part in prompt.parts if prompt else ():
            self.sent_parts.pop(part.part_id, None)
            self.sent_parts[part.part_id] = None
        while len(self.sent_parts) > MAX_PROMPT_PARTS:
            self.sent_parts.popitem(last=False)

    def record_response(self, token: object, now_s: float) -> None:
        """Record that a response or a part of one arrived.

        :param token: identifies the request.
        :param now_s: monotonic time.
        """
        self.awaited_since_s[token] = now_s
        self.last_response_s = now_s

    def record_ended(self, token: object) -> None:
        """Record that a request ended: no further part of its response is expected.

        :param token: identifies the request; an unknown one is ignored.
        """
        self.awaited_since_s.pop(token, None)

    def record_response_time(
        self, taken_s: float, expected_s: float, now_s: float
    ) -> None:
        """Update the slowness from one response.

        :param taken_s: time to the first part of the response.
        :param expected_s: predicted time for a server of average speed.
        :param now_s: monotonic time.
        """
        sample = taken_s / max(expected_s, 1e-3)
        sample = min(max(sample, MIN_SLOWNESS), MAX_SLOWNESS)
        previous = self.compute_slowness(now_s)
        self.slowness = previous + SLOWNESS_SMOOTHING * (sample - previous)
        self.slowness_sampled_s = now_s

    def record_success(self) -> None:
        """Record a successful response and end the backoff."""
        self.consecutive_failures = 0
        self.failure_rate *= 1 - FAILURE_RATE_SMOOTHING
        self.avoided_until_s = self.suspected_until_s = 0.0

    def record_failure(
        self, reason: str, now_s: float, *, is_down: bool = False
    ) -> None:
        """Record a failure; back off unless it is an isolated one.

        :param reason: what failed, for the log.
        :param now_s: monotonic time.
        :param is_down: whether the server could not be reached; the backoff then begins
            with the first failure.
        """
        self.failure_rate += FAILURE_RATE_SMOOTHING * (1 - self.failure_rate)
        if not is_down and self.failure_rate < AVOIDANCE_FAILURE_RATE:
            return
        self.consecutive_failures += 1
        pause_s = min(
            INITIAL_AVOIDANCE_S * 2 ** (self.consecutive_failures - 1), MAX_AVOIDANCE_S
        )
        was_avoided = now_s < self.avoided_until_s
        self.suspected_until_s = now_s + pause_s
        self.avoided_until_s = max(self.avoided_until_s, self.suspected_until_s)
        if not was_avoided:
            log_event(
                "instance_suspected",
                level="WARNING",
                server=self.server.server_id,
                reason=reason,
                failures=self.consecutive_failures,
                pause_s=pause_s,
            )


@dataclass(frozen=True, slots=True)
class PartHolders:
    """Engines that are known to hold the first shared parts of a prompt.

    :param tokens: number of tokens of the prompt that each holds, by server id.
    :param source: engine for others to fetch from; ``None`` if there is none.
    :param source_tokens: number of tokens that the source holds.
    """

    tokens: Mapping[InstanceId, int] = field(default_factory=dict)
    source: ServerRecord | None = None
    source_tokens: int = 0


NO_HOLDERS = PartHolders()

_BOUND_REASONS = {
    LeavingSource.STORE: "it left later than the list that names it was read",
    LeavingSource.SERVER: "it stated that it leaves",
    LeavingSource.ROUTER: "another router reported that it leaves",
}


@dataclass(frozen=True, slots=True)
class _ListedServer:
    """A server as the store lists it.

    :param server: the server.
    :param epoch: history of the store that the list is of; ``None`` if unknown.
    :param is_from_router: whether another router sent the list.
    """

    server: BackendServer
    epoch: StoreEpoch | None
    is_from_router: bool


class ServerTable:
    """Records of all listed backend servers, with an index by pool.

    The index is rebuilt on first use after a change, since one update of the server
    list changes many records.

    :param load_estimator: registered name of the estimator of other routers' requests.
    :param read_clock: monotonic clock, in seconds.
    :ivar leavings: servers that left.
    :ivar limits: rates of requests that servers stated as their limit.
    :ivar regions: region of each availability zone.
    :ivar evacuations: availability zones whose servers get nothing new.
    :ivar cold: servers that have just started.
    :ivar rates: lowest rate in force at each server.
    :ivar cached_parts: parts of prompts that engines hold.
    """

    def __init__(
        self,
        load_estimator: str = DEFAULT_LOAD_ESTIMATOR,
        read_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._load_estimator = LOAD_ESTIMATORS[load_estimator]
        self._read_clock = read_clock
        self._records_by_hash: dict[NameHash, ServerRecord] = {}
        self.records: dict[InstanceId, ServerRecord] = {}
        self.leavings = make_server_leavings(read_clock)
        self.limits = make_server_limits(read_clock, self._find_name)
        self.evacuations = make_zone_evacuations(
            read_clock, self._count_servers_in_zone, self._find_zone_name
        )
        self.evacuations.change_callbacks.append(self._invalidate_index)
        self.cold = make_cold_servers(read_clock, self._find_name)
        self.rates = make_server_rates(self.limits, self.cold)
        self.regions: Mapping[AvailabilityZone, Region] = {}
        self.cached_parts = make_cached_parts(read_clock)
        self._listed: dict[InstanceId, _ListedServer] = {}
        self._ready_by_pool: dict[PoolName, list[ServerRecord]] = {}
        self._all_by_pool: dict[PoolName, list[ServerRecord]] = {}
        self._zone_names: dict[NameHash, AvailabilityZone] = {}
        self._zone_sizes: Counter[AvailabilityZone] = Counter()
        self._digest = 0
        self._is_index_current = False
        self._pauses = make_server_pauses()
        self._found_holders: tuple[Prompt | None, float, PartHolders] = (
            None,
            0.0,
            NO_HOLDERS,
        )

    def put(
        self,
        server: BackendServer,
        epoch: StoreEpoch | None = None,
        is_from_router: bool = False,
    ) -> None:
        """Add a server, or update its entry.

        :param server: the server. A changed start time, address or pool means that it
            restarted without its state, so its record starts afresh.
        :param epoch: history of the store in which it is listed; ``None`` if unknown.
        :param is_from_router: whether another router sent the list.
        """
        if self.regions:
            server = replace(server, region=self.regions.get(server.availability_zone))
        listed = self._listed.get(server.server_id)
        if listed is None or listed.server != server:
            self._is_index_current = False
        self._listed[server.server_id] = _ListedServer(server, epoch, is_from_router)
        record = self.records.get(server.server_id)
        if record is not None and _is_rewritten(listed, server, epoch):
            # Its writer runs, whatever its clock showed at its start.
            record.epoch = epoch
        if self._is_superseded(server, epoch):
            return
        is_new_start = record is None or _is_restarted(record.server, server)
        self.cold.record_entry(server, is_from_router, is_new_start, epoch)
        if not server.is_ready:
            self.leavings.record(server, epoch)
        elif not self.leavings.is_bound(server, epoch, is_from_router):
            self.leavings.forget(server.server_id)
        self._update_record(server.server_id)

    def mark_unlisted(self, server_id: InstanceId) -> None:
        """Record that the store lists a server no more; its record is kept for now.

        :param server_id: its id; an unknown one is ignored.
        """
        if self._listed.pop(server_id, None) is not None:
            self._is_index_current = False

    def _is_superseded(self, server: BackendServer, epoch: StoreEpoch | None) -> bool:
        """Return whether a later start of the server was listed in another history."""
        record = self.records.get(server.server_id)
        return (
            record is not None
            and epoch != record.epoch
            and 0 < server.started_at_ms < record.server.started_at_ms
        )

    def _update_record(self, server_id: InstanceId) -> None:
        """Update a server's record from its entry and from what is known of it."""
        listed = self._listed[server_id]
        server, epoch = listed.server, listed.epoch
        if self._is_superseded(server, epoch):
            return
        reason = None
        if server.is_ready and self.leavings.is_bound(
            server, epoch, listed.is_from_router
        ):
            server = replace(server, is_ready=False)
            reason = _BOUND_REASONS[self.leavings.get_source(server_id)]
        record = self.records.get(server_id)
        is_changed = record is None or record.server != server
        if record is None or _is_restarted(record.server, server):
            if record is not None:
                self.cached_parts.forget(hash_name(server_id))
            pause = self._pauses.get(server)
            record = ServerRecord(server, self._read_clock(), pause=pause)
            self.records[server_id] = record
        record.server, record.epoch = server, epoch
        if not is_changed:
            return
        details = {} if reason is None else {"reason": reason}
        log_event(
            "backend_state",
            server=server_id,
            pool=server.pool,
            address=f"{server.host}:{server.port}",
            is_ready=server.is_ready,
            **details,
        )
        self._is_index_current = False

    def remove(
        self,
        server_id: InstanceId,
        reason: str,
        left_in: StoreEpoch | None = None,
    ) -> None:
        """Remove a server.

        :param server_id: its id; an unknown one is ignored.
        :param reason: why it is removed, for the log.
        :param left_in: history of the store in which it left; ``None`` if that is
            unknown, or if it is removed for another reason.
        """
        self._listed.pop(server_id, None)
        record = self.records.pop(server_id, None)
        if record is None:
            return
        self.cached_parts.forget(hash_name(server_id))
        if left_in is not None:
            self.leavings.record(record.server, left_in)
        log_event("backend_state", server=server_id, is_ready=False, reason=reason)
        self._is_index_current = False

    def record_statement_of_leaving(self, record: ServerRecord) -> None:
        """Send a server no new requests, since it stated in a response that it leaves.

        :param record: the server's record when the request was sent.
        """
        self.leavings.record_statement(record.server)
        server_id = record.server.server_id
        if server_id in self._listed:
            self._update_record(server_id)
        elif self.records.get(server_id) is record:
            # It is kept for now although the store lists it no more.
            record.server = replace(record.server, is_ready=False)
            self._is_index_current = False

    def merge_leavings(self, reports: Iterable[LeavingReport]) -> None:
        """Add the leavings of servers that another router reports.

        :param reports: leavings that it knows.
        """
        self._update_records(self.leavings.merge(reports))

    def expire_leavings(self) -> bool:
        """Let servers return whose leavings were not confirmed for long.

        :returns: whether there were any.
        """
        expired = self.leavings.remove_expired()
        self._update_records(expired)
        return bool(expired)

    def _update_records(self, names: Iterable[NameHash]) -> None:
        for name in names:
            record = self.find_by_hash(name)
            if record is not None and record.server.server_id in self._listed:
                self._update_record(record.server.server_id)

    def _rebuild_index(self) -> None:
        """Rebuild the index by pool if any server changed since the last call."""
        if self._is_index_current:
            return
        self._is_index_current = True
        self._ready_by_pool, self._all_by_pool = {}, {}
        self._records_by_hash = {
            hash_name(server_id): record for server_id, record in self.records.items()
        }
        servers = sorted(str(listed.server) for listed in self._listed.values())
        self._digest = xxhash.xxh3_64_intdigest("\n".join(servers).encode())
        self._zone_sizes = Counter(
            record.server.availability_zone for record in self.records.values()
        )
        self._zone_names = {hash_name(zone): zone for zone in self._zone_sizes}
        evacuated = {
            zone for zone in self._zone_sizes if self.evacuations.is_evacuated(zone)
        }
        for record in self.records.values():
            self._all_by_pool.setdefault(record.server.pool, []).append(record)
            record.is_evacuated = record.server.availability_zone in evacuated
            if record.accepts_work:
                self._ready_by_pool.setdefault(record.server.pool, []).append(record)

    def _invalidate_index(self) -> None:
        self._is_index_current = False

    def _count_servers_in_zone(self, zone: NameHash) -> int:
        self._rebuild_index()
        name = self._zone_names.get(zone)
        return 0 if name is None else self._zone_sizes[name]

    def _find_zone_name(self, zone: NameHash) -> str:
        self._rebuild_index()
        return self._zone_names.get(zone, f"{zone:016x}")

    def is_evacuated(self, record: ServerRecord) -> bool:
        """Return whether nothing new may be sent to a server for its zone's sake.

        :param record: the server's record, which the table may hold no more.
        """
        return self.evacuations.is_evacuated(record.server.availability_zone)

    @property
    def digest(self) -> int:
        """Digest of the listed servers, equal at routers with the same entries."""
        self._rebuild_index()
        return self._digest

    def list_ready(self, pool: PoolName) -> list[ServerRecord]:
        """Return the servers of a pool that accept new requests.

        Servers of evacuated availability zones do not.

        :param pool: name of the backend server pool.
        """
        self._rebuild_index()
        return self._ready_by_pool.get(pool, [])

    def list_all(self, pool: PoolName) -> list[ServerRecord]:
        """Return the servers of a pool, including those that accept nothing new.

        :param pool: name of the backend server pool.
        """
        self._rebuild_index()
        return self._all_by_pool.get(pool, [])

    def sum_reserved(self) -> dict[tuple[str], int]:
        """Return what this router's requests occupy at all listed servers."""
        records = self.records.values()
        return {
            ("requests",): sum(each.requests for each in records),
            ("prompt_tokens",): sum(each.prompt_tokens for each in records),
            ("held_tokens",): sum(each.held_tokens for each in records),
        }

    def find_by_hash(self, server: NameHash) -> ServerRecord | None:
        """Return the record of a server that another router names, if it is listed.

        :param server: hash of the server's id.
        """
        self._rebuild_index()
        return self._records_by_hash.get(server)

    def record_cached_parts(
        self, record: ServerRecord, prompt: Prompt, is_home: bool = False
    ) -> None:
        """Record that an engine began a response, so that it holds the prompt's parts.

        :param record: the engine's record when the request was sent.
        :param prompt: prompt of the request.
        :param is_home: whether other routers expect it to hold them.
        """
        if self.records.get(record.server.server_id) is record:
            self.cached_parts.record_response(record.server, prompt, is_home)

    def find_part_holders(self, prompt: Prompt, now_s: float) -> PartHolders:
        """Return the listed engines that hold the first shared parts of a prompt.

        :param prompt: prompt of a request; repeated calls with the same one and the
            same time are fast.
        :param now_s: monotonic time.
        """
        found_prompt, found_s, found = self._found_holders
        if found_prompt is prompt and found_s == now_s:
            return found
        holders, records = [], {}
        for server, tokens in self.cached_parts.find_holders(prompt):
            record = self.find_by_hash(server)
            if record is not None:
                server_id = record.server.server_id
                records[server_id] = record
                is_usable = record.can_be_fetched_from(now_s)
                holders.append(PartHolder(server_id, tokens, is_usable))
        source = choose_fetch_source(holders)
        found = PartHolders(
            {holder.server_id: holder.tokens for holder in holders},
            None if source is None else records[source.server_id],
            0 if source is None else source.tokens,
        )
        self._found_holders = (prompt, now_s, found)
        return found

    def _find_name(self, server: NameHash) -> str:
        record = self.find_by_hash(server)
        return f"{server:016x}" if record is None else record.server.server_id

    def update_peer_loads(
        self, reported: dict[NameHash, PeerLoad], heard_share: float
    ) -> None:
        """Update the load of the other routers on every server from their reports.

        :param reported: sums of the loads that they reported, extrapolated to all;
            a server that is missing has none.
        :param heard_share: fraction of the other routers that reported.
        """
        now_s = self._read_clock()
        for server_id, record in self.records.items():
            load = reported.get(hash_name(server_id)) or PeerLoad()
            record.update_peer_load(load, heard_share, now_s, self._load_estimator)

    def pause(self, record: ServerRecord, pause_s: float) -> None:
        """Record that a server wants no requests of this router for some time.

        :param record: the server's record.
        :param pause_s: time in seconds; zero has no effect.
        """
        if pause_s > 0:
            self._pauses.begin(record.server, record.pause, pause_s, self._read_clock())

    def update_server_load(self, record: ServerRecord, load: ServerLoad | None) -> None:
        """Record the load that a server stated with a response to this router.

        :param record: the server's record.
        :param load: load that came with a response, or ``None`` if it stated none.
        """
        if load is not None:
            record.work_time_ratio = load.work_time_ratio
            record.work_time_stated_s = self._read_clock()
            self.add_statement(record, load.running + load.waiting, 0.0)

    def add_statement(self, record: ServerRecord, requests: int, age_s: float) -> None:
        """Record what a server stated to this or another router.

        :param record: the server's record.
        :param requests: requests of all routers that it was running or had queued.
        :param age_s: seconds since the statement.
        """
        now_s = self._read_clock()
        statement = LoadStatement(requests, now_s - age_s)
        record.update_statement(statement, now_s, self._load_estimator)


def _is_rewritten(
    listed: _ListedServer | None, server: BackendServer, epoch: StoreEpoch | None
) -> bool:
    """Return whether an entry was written again within one history of the store."""
    return (
        listed is not None
        and epoch is not None
        and listed.epoch == epoch
        and (listed.server, listed.server.report_number)
        != (server, server.report_number)
    )


def _is_restarted(previous: BackendServer, current: BackendServer) -> bool:
    return (previous.started_at_ms, previous.host, previous.port, previous.pool) != (
        current.started_at_ms,
        current.host,
        current.port,
        current.pool,
    )


def make_server_table(
    load_estimator: str = DEFAULT_LOAD_ESTIMATOR,
    read_clock: Callable[[], float] = time.monotonic,
) -> ServerTable:
    """Return an empty table.

    :param load_estimator: registered name of the estimator of other routers' requests.
    :param read_clock: monotonic clock, in seconds.
    """
    return ServerTable(load_estimator, read_clock)
