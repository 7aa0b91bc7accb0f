"""The router that callers connect to.

One process runs on each machine that the load balancer sends callers' connections to.
"""

import asyncio
import random
import signal
import sys
from functools import partial

import uvloop

from bilberryspring import __version__
from bilberryspring.capability.routing import CallerLimits, RoutingTable
from bilberryspring.connection.caller_policy import CallerPolicy
from bilberryspring.connection.http_caller import CallerConnection, HttpRequest
from bilberryspring.connection.router_reports import StoreSnapshot
from bilberryspring.identifiers import AvailabilityZone, InstanceId, PoolName
from bilberryspring.platform.backend_calls import (
    MAX_RESPONSES_BYTES,
    make_server_calls,
)
from bilberryspring.platform.caller_requests import (
    REASON_PHRASES,
    decode_request,
    make_http_caller_response,
)
from bilberryspring.platform.configuration_watcher import (
    CONFIGURATION_KEY,
    ConfigurationWatcher,
)
from bilberryspring.platform.evacuation_watcher import EvacuationWatcher
from bilberryspring.platform.metadata_store import make_metadata_store
from bilberryspring.platform.router_discovery import make_router_discovery
from bilberryspring.platform.server_list_watcher import ServerListWatcher
from bilberryspring.platform.settings_file import (
    MachineSettings,
    load_machine_settings,
)
from bilberryspring.policy.caller_room import compute_memory_limit, split_sockets
from bilberryspring.process.addresses import split_address
from bilberryspring.process.caller_room import find_connection_limit, make_caller_room
from bilberryspring.process.clock import read_boot_time_s
from bilberryspring.process.credit_exchange import make_credit_exchange
from bilberryspring.process.logs import close_logs, configure_logs, log_event
from bilberryspring.process.loop_watch import make_loop_watch
from bilberryspring.process.memory_bound import make_memory_bound
from bilberryspring.process.placement_answers import answer_preview_request
from bilberryspring.process.preview_requests import EXPLAIN_PATH
from bilberryspring.process.result_fields import COMPLETE_RESULT
from bilberryspring.process.router_metrics import make_router_metrics
from bilberryspring.process.router_peers import make_router_peers
from bilberryspring.process.server_table import make_server_table
from bilberryspring.process.task_restarts import run_with_restarts
from bilberryspring.request.dispatcher import make_dispatcher
from bilberryspring.request.errors import ErrorKind, Failure, make_failure
from bilberryspring.request.fleet_budget import make_fleet_retry_budget
from bilberryspring.request.relay import MAX_BUFFERED_BODY_BYTES, make_relay
from bilberryspring.request.suspect_contents import make_suspect_contents

__all__ = ["FrontRouter", "main", "make_front_router"]

# Memory of all requests of callers that are being received, queued or handled.
MAX_REQUESTS_BYTES = 48 * 1024 * 1024
# Readiness checks and reads of metrics have connections and memory of their own, so
# that callers can't take them.
CHECK_LIMITS = CallerLimits(max_header_bytes=8192, max_body_bytes=8192)
MAX_CHECK_CONNECTIONS = 64
CHECK_CONNECTION_SHARE = 1 / 8
# Servers call the control address.
CONTROL_SHARE = 1 / 8
MAX_CHECKS_BYTES = 1024 * 1024
NO_ROOM_REASON = "this router has no socket for a connection to a server"
MAINTENANCE_INTERVAL_S = 0.5
# Importing the metrics library blocks the event loop for a tenth of a second, so it is
# delayed until the router serves callers.
METRICS_START_DELAY_S = 3.0
# The load balancer drops a machine after two failed readiness checks, a second apart.
ROTATION_EXIT_DELAY_S = 2.6
# Connections are closed this long before the platform kills the process.
STOP_MARGIN_S = 0.4
# Requests in progress get their responses this long before that.
LAST_RESPONSE_MARGIN_S = 0.2
# The router accepts no new connections in the last seconds of a drain, so that
# responses in progress can complete.
LAST_RESPONSES_S = 2.5
DRAIN_POLL_INTERVAL_S = 0.05
# Other routers prefer a router with at least this link speed for snapshots and as a
# watcher. On a slower link, a snapshot of a hundred kilobytes would delay responses to
# callers.
MIN_FAST_LINK_MBPS = 50.0
METRICS_PATH = b"/metrics"
METRICS_HEADERS = [(b"Content-Type", b"text/plain; version=0.0.4")]
JSON_HEADERS = [(b"Content-Type", b"application/json")]
ERROR_KINDS_BY_STATUS = {
    400: ErrorKind.MALFORMED_REQUEST,
    408: ErrorKind.MALFORMED_REQUEST,
    413: ErrorKind.REQUEST_TOO_LARGE,
    431: ErrorKind.REQUEST_TOO_LARGE,
    503: ErrorKind.OVERLOADED,
}


class FrontRouter:
    """A router process with its listeners, connections and background tasks.

    :param settings: checked settings of the process.
    """

    def __init__(self, settings: MachineSettings):
        self._settings = settings
        self._routing_table: RoutingTable | None = None
        self._caller_policy = CallerPolicy()
        limit = find_connection_limit(settings.max_descriptors)
        check_limit = min(MAX_CHECK_CONNECTIONS, int(limit * CHECK_CONNECTION_SHARE))
        control_limit = int(limit * CONTROL_SHARE) if settings.control_address else 0
        caller_limit, self._caller_backlog = split_sockets(
            limit - check_limit - control_limit
        )
        self._caller_room = make_caller_room(
            caller_limit, lambda: len(self._server_calls.connections)
        )
        control_limit, self._control_backlog = split_sockets(control_limit)
        self._control_room = make_caller_room(control_limit)
        self._caller_connections = self._caller_room.connections
        self._request_memory = make_memory_bound(
            self._find_request_limit_bytes(self._caller_policy.limits),
            weighs_stalls=True,
        )
        self._check_policy = CallerPolicy(CHECK_LIMITS)
        check_limit, self._check_backlog = split_sockets(check_limit)
        self._check_room = make_caller_room(check_limit)
        self._check_memory = make_memory_bound(MAX_CHECKS_BYTES, weighs_stalls=True)
        self._servers = make_server_table()
        self._servers.cold.set_bound(settings.cold_overage, settings.cold_slack)
        self._servers.regions = settings.regions
        self._store = make_metadata_store(settings.store_address)
        self._server_calls = make_server_calls(
            compute_memory_limit(
                settings.memory_mib, MAX_RESPONSES_BYTES, MAX_BUFFERED_BODY_BYTES
            )
        )
        self._credits = make_credit_exchange(
            settings.ip,
            self._servers.rates,
            lambda: self._peers.list_addresses(),
            lambda data, ip: self._peers.send_datagram(data, ip),
        )
        self._dispatcher = make_dispatcher(
            self._servers,
            AvailabilityZone(settings.availability_zone),
            settings.load_factor,
            credits=self._credits,
        )
        self._retry_budget = make_fleet_retry_budget(
            settings.retry_ratio,
            settings.retry_extra,
            settings.retry_window_s,
            lambda: asyncio.get_running_loop().time(),
        )
        self._suspects = make_suspect_contents()
        self._metrics = make_router_metrics(self._servers)
        self._loop_watch = make_loop_watch()
        self._relay = make_relay(
            self._server_calls,
            self._dispatcher,
            self._servers,
            self._retry_budget,
            self._suspects,
            self._metrics.observe,
        )
        self._configuration_watcher = ConfigurationWatcher(
            self._store, self._apply_table, settings.apply_s
        )
        self._server_watcher = ServerListWatcher(
            self._store,
            self._servers,
            self._dispatcher.dispatch_all_waiting,
            settings.leaving_s,
        )
        self._evacuation_watcher = EvacuationWatcher(
            self._store, self._servers.evacuations, settings.evacuate_s
        )
        self._servers.evacuations.change_callbacks.append(
            self._dispatcher.dispatch_all_waiting
        )
        self._peers = make_router_peers(
            InstanceId(settings.instance_id),
            settings.ip,
            settings.peer_port,
            self._servers,
            lambda: -1 if self._routing_table is None else self._routing_table.version,
            self._make_snapshot,
            self._server_watcher,
            self._apply_snapshot,
            self._suspects,
            settings.link_mbps >= MIN_FAST_LINK_MBPS,
        )
        self._store.is_store_watcher = self._peers.is_watcher
        self._server_watcher.is_store_watcher = self._peers.is_watcher
        self._configuration_watcher.is_store_watcher = self._peers.is_watcher
        self._evacuation_watcher.is_store_watcher = self._peers.is_watcher
        self._configuration_watcher.confirmation.is_store_watcher = (
            self._peers.is_watcher
        )
        self._peers.configuration_confirmation = (
            self._configuration_watcher.confirmation
        )
        self._evacuation_watcher.confirmation.is_store_watcher = self._peers.is_watcher
        self._peers.evacuations_confirmation = self._evacuation_watcher.confirmation
        self._peers.on_credit_message = self._credits.receive
        self._peers.add_addresses(list(settings.seed_ips))
        self._discovery = make_router_discovery(
            self._store,
            InstanceId(settings.instance_id),
            settings.ip,
            self._peers.add_addresses,
        )
        self._metrics.gauges.update(self._make_gauges())
        self._tasks: list[asyncio.Task[None]] = []
        self._listeners: list[asyncio.Server] = []

    def _make_gauges(self) -> dict[str, tuple]:
        return {
            "configuration_version": (
                "Version in force, -1 for none",
                lambda: (
                    -1 if self._routing_table is None else self._routing_table.version
                ),
            ),
            "server_list_age_seconds": (
                "Time since the store confirmed the servers, -1 for never",
                lambda: self._server_watcher.age_s,
            ),
            "configuration_age_seconds": (
                "Time since the store confirmed the version in force, -1 for never",
                lambda: self._configuration_watcher.confirmation.age_s,
            ),
            "evacuations_age_seconds": (
                "Time since the store confirmed the evacuations, -1 for never",
                lambda: self._evacuation_watcher.confirmation.age_s,
            ),
            "store_calls": ("Calls of the store", lambda: self._store.call_count),
            "server_connections_opened": (
                "New connections to servers",
                lambda: self._server_calls.opened_connections,
            ),
            "values_unreadable": (
                "Headers of servers that could not be decoded",
                lambda: self._server_calls.unreadable_values.counts.total(),
            ),
            "contents_quarantined": (
                "Contents that requests must not have because servers crash on them",
                self._suspects.count_quarantined,
            ),
            "servers_limited": (
                "Servers that limit the rate of requests",
                self._servers.limits.count_limited,
            ),
            "zones_evacuated": (
                "Availability zones that get nothing new",
                self._servers.evacuations.count_in_force,
            ),
            "servers_cold": (
                "Servers that are cold and take requests at a limited rate",
                self._servers.cold.count_cold,
            ),
            "cost_error_factor": (
                "Error that nine of ten predictions of a route's cost stay within",
                self._dispatcher.costs.list_errors,
                "quantity",
                "route",
            ),
            "prompt_parts_known": (
                "Parts of prompts of which an engine is known that holds them",
                lambda: len(self._servers.cached_parts),
            ),
            "part_holders_learned": (
                "Engines that hold a part first named by other routers",
                lambda: self._servers.cached_parts.learned_count,
            ),
            "part_fetches": (
                "Requests sent with an engine to fetch parts of the prompt from",
                lambda: {
                    (evidence,): count
                    for evidence, count in (
                        self._servers.cached_parts.fetch_counts.items()
                    )
                },
                "source",
            ),
            "routers": ("Routers known", self._peers.count_routers),
            "caller_connections": (
                "Open connections of callers",
                lambda: len(self._caller_connections),
            ),
            "server_connections": (
                "Connections to servers that are open or being opened",
                lambda: len(self._server_calls.connections),
            ),
            "requests_in_progress": (
                "Requests of callers that are not answered yet",
                lambda: self._caller_room.working,
            ),
            "requests_waiting": (
                "Requests that wait for a server",
                self._dispatcher.count_waiting,
            ),
            "reserved_for_requests": (
                "What requests in progress occupy at servers",
                self._servers.sum_reserved,
                "of",
            ),
            "responses_given_up": (
                "Responses of servers that exceeded a bound",
                lambda: {
                    (excess.value,): count
                    for excess, count in self._server_calls.given_up_responses.items()
                },
                "cause",
            ),
            "uploads_given_up": (
                "Requests refused while they were received, for want of memory",
                lambda: self._request_memory.given_up_count,
            ),
            "callers_ended": (
                "Connections of callers that were ended for want of room",
                lambda: {
                    (state.value,): count
                    for state, count in self._caller_room.ended.items()
                },
                "waited_for",
            ),
            "callers_refused": (
                "Connections and requests of callers that found no room",
                lambda: self._caller_room.refused_count,
            ),
            "received_bytes_held": (
                "Memory of requests and responses that are not passed on yet",
                lambda: {
                    ("requests",): self._request_memory.held_bytes,
                    ("responses",): self._server_calls.memory.held_bytes,
                },
                "of",
            ),
            "event_loop_stalled_seconds": (
                "Time for which the event loop stood still",
                self._loop_watch.read_stalled_s,
                "cause",
                "place",
            ),
            "event_loop_longest_stall_seconds": (
                "Longest time for which the event loop stood still",
                self._loop_watch.read_longest_s,
            ),
        }

    async def start(self) -> None:
        """Open the listeners and start the background tasks.

        :raises OSError: if an address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._loop_watch.start()
        self._retry_budget.start(
            has_others=bool({*self._settings.seed_ips} - {self._settings.ip})
        )
        for address, handler, room, policy, memory, backlog in (
            (
                self._settings.caller_address,
                self._handle_caller_request,
                self._caller_room,
                self._caller_policy,
                self._request_memory,
                self._caller_backlog,
            ),
            (
                self._settings.readiness_address,
                self._handle_readiness_request,
                self._check_room,
                self._check_policy,
                self._check_memory,
                self._check_backlog,
            ),
            (
                self._settings.control_address,
                self._handle_control_request,
                self._control_room,
                self._caller_policy,
                self._request_memory,
                self._control_backlog,
            ),
        ):
            if not address:
                continue
            host, port = split_address(address)
            make_connection = partial(CallerConnection, handler, policy, room, memory)
            listener = await loop.create_server(
                make_connection, host, port, backlog=backlog
            )
            self._listeners.append(listener)
        await self._peers.start()
        for run_task in (
            self._configuration_watcher.run,
            self._server_watcher.run,
            self._server_watcher.run_expiry,
            self._evacuation_watcher.run,
            self._peers.run,
            self._discovery.run,
            self._run_maintenance,
            self._update_metrics,
        ):
            self._tasks.append(loop.create_task(run_with_restarts(run_task)))

    async def _update_metrics(self) -> None:
        await asyncio.sleep(METRICS_START_DELAY_S)
        while True:
            self._metrics.process_observations()
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)

    async def _run_maintenance(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            self._server_calls.close_idle()
            self._servers.evacuations.remove_expired()
            router_count = self._peers.count_routers()
            self._retry_budget.record_router_count(router_count)
            self._retry_budget.remove_expired()
            self._dispatcher.router_count = router_count
            self._dispatcher.dispatch_all_waiting()

    def _make_snapshot(self, with_configuration: bool) -> StoreSnapshot:
        entries = list(self._server_watcher.entries.values())
        if with_configuration and self._configuration_watcher.entry is not None:
            entries.append(self._configuration_watcher.entry)
        return StoreSnapshot(
            tuple(entries),
            self._server_watcher.age_s,
            self._server_watcher.store_epoch,
        )

    def _apply_snapshot(self, snapshot: StoreSnapshot) -> None:
        server_entries = []
        for entry in snapshot.entries:
            if entry.key == CONFIGURATION_KEY:
                self._configuration_watcher.apply_entry(entry)
            else:
                server_entries.append(entry)
        self._server_watcher.apply_peer_entries(
            server_entries, snapshot.servers_age_s, snapshot.store_epoch
        )

    def _apply_table(self, table: RoutingTable) -> None:
        self._routing_table = table
        self._caller_policy.limits = table.limits
        self._servers.cold.set_pools(table.pools)
        limit_bytes = self._find_request_limit_bytes(table.limits)
        self._request_memory.limit_bytes = limit_bytes
        log_event(
            "configuration_adopted",
            version=table.version,
            revision=table.position.revision,
            epoch=table.position.epoch,
            routes=sum(len(host_routes) for host_routes in table.routes.values()),
            requires_keys=table.keys is not None,
            keys=len(table.keys or ()),
        )
        self._dispatcher.dispatch_all_waiting()

    def _find_request_limit_bytes(self, limits: CallerLimits) -> int:
        return compute_memory_limit(
            self._settings.memory_mib, MAX_REQUESTS_BYTES, limits.max_body_bytes
        )

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send new connections to this router."""
        return (
            self._routing_table is not None
            and self._server_watcher.has_server_list
            and not self._caller_policy.is_shutting_down
            and not self._caller_room.is_refusing
        )

    async def _handle_readiness_request(
        self, request: HttpRequest, connection: CallerConnection
    ) -> None:
        if request.error_status:
            connection.start_response(request.error_status, "Refused", [], 0)
            return
        if request.target.partition(b"?")[0] == METRICS_PATH:
            body = self._metrics.render().encode()
            connection.start_response(200, "OK", METRICS_HEADERS, len(body))
            await connection.write(body)
            return
        status, reason = (200, "OK") if self.is_ready else (503, "Service Unavailable")
        connection.start_response(status, reason, [], 0)

    async def _handle_control_request(
        self, request: HttpRequest, connection: CallerConnection
    ) -> None:
        if request.error_status or request.target != EXPLAIN_PATH.encode():
            # Seeds name the control addresses of machines.
            connection.start_response(404, "Not Found", [], 0)
            return
        status, body = answer_preview_request(
            request.body, self._routing_table, self._dispatcher, self._servers
        )
        reason = REASON_PHRASES[status]
        connection.start_response(status, reason, JSON_HEADERS, len(body))
        await connection.write(body)

    async def _handle_caller_request(
        self, request: HttpRequest, connection: CallerConnection
    ) -> None:
        if request.error_status:
            kind = ERROR_KINDS_BY_STATUS[request.error_status]
            await make_http_caller_response(connection, "").refuse(make_failure(kind))
            return
        table = self._routing_table
        if table is None:
            failure = make_failure(ErrorKind.CONFIGURATION_UNAVAILABLE)
            await make_http_caller_response(connection, "").refuse(failure)
            return
        incoming = decode_request(request, table)
        if isinstance(incoming, Failure):
            log_event(
                "request_refused",
                level="WARNING",
                kind=incoming.kind,
                reason=incoming.reason,
                target=request.target.decode("latin-1"),
                version=table.version,
            )
            await make_http_caller_response(connection, "").refuse(incoming)
            return
        response = make_http_caller_response(connection, incoming.request_id)
        pool_name = _choose_pool(incoming.route.pools)
        pool = None if pool_name is None else table.pools.get(pool_name)
        if pool is None:
            await response.refuse(make_failure(ErrorKind.NO_INSTANCE))
            return
        if not self._caller_room.begin_request():
            await response.refuse(make_failure(ErrorKind.OVERLOADED, NO_ROOM_REASON))
            return
        try:
            outcome = await self._relay.relay(incoming, pool, response)
        finally:
            self._caller_room.end_request()
        log_event(
            "request_answered",
            request_id=incoming.request_id,
            status=response.status,
            result=COMPLETE_RESULT if outcome is None else outcome.kind,
            route=incoming.route.name,
            tries=incoming.attempts,
            version=table.version,
        )

    def reload(self, settings: MachineSettings) -> None:
        """Apply settings that were read again, except for changed addresses.

        :param settings: checked settings.
        """
        self._settings = settings
        self._retry_budget.set_limits(
            settings.retry_ratio, settings.retry_extra, settings.retry_window_s
        )
        self._dispatcher.set_load_factor(settings.load_factor)
        self._server_watcher.set_drain_grace(settings.leaving_s)
        self._configuration_watcher.confirmation.bound_s = settings.apply_s
        self._evacuation_watcher.confirmation.bound_s = settings.evacuate_s
        self._servers.cold.set_bound(settings.cold_overage, settings.cold_slack)
        # Servers get their region with their next entry.
        self._servers.regions = settings.regions
        log_event(
            "reloaded",
            retry_ratio=settings.retry_ratio,
            retry_extra=settings.retry_extra,
            load_factor=settings.load_factor,
            leaving_s=settings.leaving_s,
            stop_s=settings.stop_s,
        )

    async def drain(self) -> None:
        """Report not ready, complete the requests in progress and stop listening."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self._settings.stop_s - STOP_MARGIN_S
        self._caller_policy.is_shutting_down = True
        self._check_policy.is_shutting_down = True
        until_stop_s = self._settings.stop_s - STOP_MARGIN_S - LAST_RESPONSE_MARGIN_S
        now_s = read_boot_time_s()
        # Within a short grace period, requests are refused before the load balancer
        # drops the router.
        last_start_s = min(ROTATION_EXIT_DELAY_S, until_stop_s / 2)
        self._relay.stop_by(now_s + until_stop_s, now_s + last_start_s)
        await asyncio.sleep(ROTATION_EXIT_DELAY_S)
        # The load balancer still sends new connections here if few machines of the zone
        # are left.
        while self._caller_connections and loop.time() < end_s:
            for connection in list(self._caller_connections):
                connection.close_if_idle()
            if loop.time() >= end_s - LAST_RESPONSES_S:
                self._stop_listening()
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        self._stop_listening()
        # Connections that were accepted last are known from the next pass of the loop.
        await asyncio.sleep(0)
        while self._caller_connections and loop.time() < end_s:
            for connection in list(self._caller_connections):
                connection.close_if_idle()
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def _stop_listening(self) -> None:
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()

    async def close(self) -> None:
        """Cancel all background tasks and close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._peers.close()
        self._loop_watch.close()
        await self._discovery.unregister()
        self._server_calls.close()
        self._store.close()


def _choose_pool(pools: tuple[tuple[PoolName, float], ...]) -> PoolName | None:
    """Return a pool drawn by weight, ``None`` if none has a weight above zero."""
    names, weights = zip(*pools, strict=True)
    return random.choices(names, weights)[0] if any(weights) else None


def make_front_router(settings: MachineSettings) -> FrontRouter:
    """Return a router that has not been started.

    :param settings: checked settings.
    """
    return FrontRouter(settings)


async def _run(settings: MachineSettings) -> None:
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    router = make_front_router(settings)
    loop.add_signal_handler(signal.SIGHUP, _reload, router)
    await router.start()
    log_event("ready")
    await stopped.wait()
    log_event("draining")
    await router.drain()
    await router.close()
    log_event("stopped")


def _reload(router: FrontRouter) -> None:
    settings = load_machine_settings()
    if isinstance(settings, Failure):
        log_event("update_refused", level="ERROR", reason=settings.reason)
    else:
        router.reload(settings)


def main() -> int:
    """Run until SIGTERM or SIGINT.

    :returns: exit code: zero after a graceful stop, one if the router could not start,
        two for invalid settings.
    """
    settings = load_machine_settings()
    if isinstance(settings, Failure):
        print(settings.reason, file=sys.stderr)
        return 2
    configure_logs("INFO", instance=settings.instance_id)
    log_event("started", program="bilberryspring-front", build=__version__)
    try:
        uvloop.run(_run(settings))
    except OSError as error:
        log_event("start_failed", level="ERROR", error=str(error))
        return 1
    finally:
        close_logs()
    return 0


if __name__ == "__main__":
    sys.exit(main())
