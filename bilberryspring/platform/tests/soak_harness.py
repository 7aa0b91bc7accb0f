"""Harness that runs router processes under load while it injects random faults.

Routers are real processes. Callers, servers, the store and the proxies between them and
the routers run in the harness, which records requests and faults independently of the
routers. A seed determines the faults, all of which come from outside the routers.
"""

import asyncio
import itertools
import math
import random
import signal
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web

from bilberryspring.platform.tests.platform_standin import (
    CONFIGURATION,
    ServerStandin,
    StoreStandin,
)
from bilberryspring.platform.tests.rest_check import find_unrest
from bilberryspring.platform.tests.test_front_router import Router
from bilberryspring.standin.addresses import make_address_block
from bilberryspring.standin.proxy import Proxy, ProxySettings

__all__ = [
    "Arrival",
    "CallRecord",
    "ConfigurationChange",
    "EvacuationPeriod",
    "InjectedFault",
    "LimitPeriod",
    "Refusal",
    "RouterStop",
    "ServerRemoval",
    "SoakHarness",
]

ROUTER_COUNT = 3
CALLER_COUNT = 12
DEADLINE_S = 3.0
CALLER_PAUSE_S = 0.03
FAULT_PHASE_S = 8.0
QUIET_PHASE_S = 3.0
EVENTS_PER_STREAM = 5
# Time that a server takes for a request, or for an event of a stream.
SERVER_DELAY_S = 0.1
READINESS_CHECK_INTERVAL_S = 0.2
POOLS = ("desk", "annex")
# Servers are in these availability zones in turn; the routers are in the first.
ZONES = ("z", "y")
# Figures of the pools' cold servers.
COLD_START_S, COLD_PER_S = 2.0, 6.0
# Responses are longer than one packet, so that some faults cut them in the middle.
BODY_REPEATS = 200
PORTS = (8428, 8423, 7020)
PROXY_PORT = 9000
# The harness controls proxies directly, so their control address is not used.
UNUSED_ADDRESS = "127.0.0.1:1"


@dataclass
class Arrival:
    """The arrival of one request at a server.

    :param kind: name of the request's route.
    :param running_requests: other requests that the server was running.
    :param mean_running_requests: mean number of running requests over the servers of
        its pool.
    """

    request_id: str
    server: str
    pool: str
    arrived_s: float
    kind: str
    running_requests: int
    mean_running_requests: float


@dataclass
class CallRecord:
    """One request as observed by its caller.

    :param kind: name of the request's route.
    :param router: number of the router.
    :param generation: number of restarts of the router before the request.
    :param response_id: request id in the response; empty if there was none.
    :param error: error of the connection or timeout; empty if there was none.
    """

    request_id: str
    kind: str
    router: int
    generation: int
    body: bytes = field(repr=False)
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    response_body: bytes = field(default=b"", repr=False)
    response_id: str = ""
    error: str = ""


@dataclass
class InjectedFault:
    """A fault that may affect callers or servers, with its start and end."""

    kind: str
    target: str
    started_s: float
    finished_s: float


@dataclass
class ConfigurationChange:
    """A configuration that the store accepted.

    :param pool: pool that the route ``open`` leads to.
    """

    version: int
    pool: str
    accepted_s: float


@dataclass
class ServerRemoval:
    """The removal of a server, with the time at which the store accepted it."""

    server: str
    accepted_s: float


@dataclass
class RouterStop:
    """The stop of a router: time of the signal, end of the process and exit code."""

    router: int
    generation: int
    started_s: float
    exited_s: float
    exit_code: int


@dataclass
class Refusal:
    """A refusal of a server that stated for how long it wants no requests.

    :param end_s: time at which the server wants requests again.
    """

    request_id: str
    server: str
    refused_s: float
    end_s: float


@dataclass
class LimitPeriod:
    """Time in which a server stated one limit.

    :param answered: time and request id of each answer that named it.
    """

    server: str
    rate_per_s: float
    begin_s: float
    end_s: float
    answered: list[tuple[float, str]] = field(default_factory=list, repr=False)


@dataclass
class EvacuationPeriod:
    """Time for which the operator evacuated an availability zone.

    :param accepted_s: when the store accepted that.
    :param end_s: when the operator asked the store to take it back.
    """

    zone: str
    accepted_s: float
    end_s: float = math.inf


@dataclass
class ColdPeriod:
    """Time in which a server was cold.

    :param begin_s: when the store had the entry that said so.
    """

    server: str
    begin_s: float
    end_s: float


class SoakServer(ServerStandin):
    """A server behind a proxy, which records the time of each arrival."""

    def __init__(self, server_id, pool, zone, harness):
        super().__init__(server_id, EVENTS_PER_STREAM, SERVER_DELAY_S)
        self.pool = pool
        self.zone = zone
        self.proxy = None
        self.running = 0
        self.is_removed = False
        self.answer_fault = None
        self.shedding_end_s = 0.0
        self.limit_period = None
        self.report_number = 1
        self.rng = random.Random(server_id)
        self._harness = harness

    async def start_with_proxy(self):
        await self.start()
        self.proxy = await self._harness.open_proxy(f"127.0.0.1:{self.port}")
        self.address = self.proxy.settings.address

    def make_proxied_entry(self, **changes):
        changes = {"seq": self.report_number, **changes}
        return self.make_entry(
            service=self.pool, address=self.address, zone=self.zone, **changes
        )

    async def write_cold_entry(self, remaining_s):
        """Write an entry that says for how long the server is cold, if it is listed."""
        if self.is_removed:
            return
        self.report_number += 1
        entry = self.make_proxied_entry(coldRemainingMs=round(remaining_s * 1000))
        await self._harness.store.put(f"servers/{self.server_id}", entry)

    def state_load(self):
        return f"{self.running},0,8"

    def state_limit(self, rate_per_s):
        """State a limit from now on, or that there is none."""
        now_s = self._harness.now_s()
        if self.limit_period is not None:
            self.limit_period.end_s = now_s
        self.limit = self.limit_period = None
        if rate_per_s is not None:
            self.limit = f"{rate_per_s:.2f}"
            period = LimitPeriod(self.server_id, rate_per_s, now_s, now_s + 1e9)
            self.limit_period = period
            self._harness.limit_periods.append(period)

    def make_limit_headers(self, request_id):
        if self.limit_period is not None:
            answer = self._harness.now_s(), request_id
            self.limit_period.answered.append(answer)
        return super().make_limit_headers(request_id)

    async def _handle_request(self, request):
        left_s = self.shedding_end_s - self._harness.now_s()
        if left_s > 0:
            await request.read()
            request_id = request.headers["Attempt-Id"]
            now_s = self._harness.now_s()
            self._harness.refusals.append(
                Refusal(request_id, self.server_id, now_s, now_s + left_s)
            )
            headers = {
                "Attempt-Id": request_id,
                "Not-Executed": "1",
                "Retry-After": str(left_s),
                **self.make_limit_headers(request_id),
            }
            return web.Response(status=503, headers=headers)
        if request.headers["Expect-Replica"] == self.server_id:
            kind = request.path.split("/")[1]
            request_id = request.headers["Attempt-Id"]
            self._harness.arrivals.append(
                Arrival(
                    request_id,
                    self.server_id,
                    self.pool,
                    self._harness.now_s(),
                    kind,
                    self.running,
                    self._harness.compute_mean_running(self.pool),
                )
            )
        self.running += 1
        try:
            if self.answer_fault is not None:
                response = await self.answer_fault(self, request)
                if response is not None:
                    return response
            return await super()._handle_request(request)
        finally:
            self.running -= 1


@dataclass
class _RouterNode:
    router: Router
    store_proxy: Proxy
    generation: int = 0
    is_ready: bool = False
    is_down: bool = False
    session: aiohttp.ClientSession | None = None


class SoakHarness:
    """One soak run.

    :param tmp_path: directory for settings files and logs.
    :param seed: seed of all faults and pauses.
    :param fault_injectors: coroutine functions that take the harness and inject one
        fault each.
    :ivar recovered_s: time from which requests must be served again.
    :ivar unrest: what each router still held after the last request.
    """

    def __init__(self, tmp_path, seed, fault_injectors):
        self.fault_injectors = fault_injectors
        self.tmp_path = tmp_path
        self.rng = random.Random(seed)
        self.addresses = make_address_block()
        self.store = StoreStandin()
        self.servers = {}
        self.nodes = []
        self.arrivals, self.calls, self.injected_faults = [], [], []
        self.configuration_changes, self.server_removals, self.router_stops = [], [], []
        self.refusals = []
        self.limit_periods, self.cold_periods = [], []
        self.evacuation_periods = []
        self.recovered_s = 0.0
        self.unrest = []
        # Shedding has a generator of its own, so that seeds keep their faults.
        self._shedding_rng = random.Random(f"shedding/{seed}")
        self._evacuation_rng = random.Random(f"evacuations/{seed}")
        self._limit_rng = random.Random(f"limits/{seed}")
        self._cold_rng = random.Random(f"cold/{seed}")
        self.configuration = {}
        self._ids = itertools.count()
        self._versions = itertools.count(4, 3)

    @staticmethod
    def now_s():
        return asyncio.get_running_loop().time()

    def compute_mean_running(self, pool):
        running = [
            server.running
            for server in self.servers.values()
            if server.pool == pool and not server.is_removed
        ]
        return sum(running) / len(running)

    async def start(self):
        await self.store.start()
        for number in range(4):
            await self.add_server("desk" if number < 3 else "annex")
        await self.add_server("annex")
        await self.put_configuration("desk")
        ips = [self.addresses.take_host() for _ in range(ROUTER_COUNT)]
        for ip in ips:
            proxy = await self.open_proxy(self.store.address)
            router = Router(self.tmp_path, proxy.settings.address, ip, PORTS, ips)
            self.nodes.append(
                _RouterNode(router, proxy, session=aiohttp.ClientSession())
            )
            await router.start()
        for node in self.nodes:
            await node.router.wait_ready()
            node.is_ready = True

    async def close(self):
        for node in self.nodes:
            if node.router.process.returncode is None:
                node.router.process.send_signal(signal.SIGCONT)
            await node.router.close()
            await node.session.close()
            await node.store_proxy.close()
        for server in self.servers.values():
            await server.proxy.close()
            await server.close()
        await self.store.close()
        self.addresses.close()

    async def open_proxy(self, upstream_address):
        address = f"{self.addresses.take_host()}:{PROXY_PORT}"
        proxy = Proxy(
            ProxySettings(
                address=address,
                upstream_address=upstream_address,
                control_address=UNUSED_ADDRESS,
            )
        )
        await proxy.start()
        return proxy

    async def add_server(self, pool):
        number = next(self._ids)
        zone = ZONES[number % len(ZONES)]
        server = SoakServer(f"i-{number}", pool, zone, self)
        await server.start_with_proxy()
        self.servers[server.server_id] = server
        await self.store.put(f"servers/{server.server_id}", server.make_proxied_entry())
        return server

    async def put_configuration(self, pool):
        version = next(self._versions)
        routes = [
            {**route, "service": pool} if route["name"] == "open" else route
            for route in CONFIGURATION["routes"]
        ]
        services = [
            {
                "name": name,
                "healthPath": "/health",
                "maxConns": 50,
                "coldStartS": COLD_START_S,
                "coldPerS": COLD_PER_S,
            }
            for name in POOLS
        ]
        changed = {"version": version, "routes": routes, "services": services}
        self.configuration = {**CONFIGURATION, **changed}
        await self.store.put("op/config", self.configuration)
        self.configuration_changes.append(
            ConfigurationChange(version, pool, self.now_s())
        )

    async def write_lost_servers_again(self):
        """Write what the servers had written, after a restoration of the store.

        The entries of servers that have left expire later.
        """
        for server in list(self.servers.values()):
            await asyncio.sleep(self.rng.uniform(0.0, 0.2))
            if not server.is_removed:
                entry = server.make_proxied_entry()
                await self.store.put(f"servers/{server.server_id}", entry)
        await asyncio.sleep(self.rng.uniform(1.0, 2.5))
        for server in list(self.servers.values()):
            if server.is_removed:
                await self.store.put(f"servers/{server.server_id}", None)

    async def run(self):
        """Send requests while faults are injected, some of them concurrently."""
        await self.start()
        end_s = self.now_s() + FAULT_PHASE_S
        stopping = asyncio.Event()
        readiness_checks = asyncio.create_task(self._check_readiness())
        callers = [
            asyncio.create_task(
                self._call_until(stopping, random.Random(number), number % 2 == 0)
            )
            for number in range(CALLER_COUNT)
        ]
        fault_tasks = [
            asyncio.create_task(self._shed_load_until(end_s)),
            asyncio.create_task(self._limit_rates_until(end_s)),
            asyncio.create_task(self._evacuate_zone()),
            asyncio.create_task(self._turn_cold_until(end_s)),
        ]
        while self.now_s() < end_s:
            await asyncio.sleep(self.rng.uniform(0.2, 1.2))
            inject_fault = self.rng.choice(self.fault_injectors)
            fault_tasks.append(asyncio.create_task(inject_fault(self)))
        await asyncio.gather(*fault_tasks)
        for node in self.nodes:
            await node.router.wait_ready()
        await asyncio.sleep(QUIET_PHASE_S)
        self.recovered_s = self.now_s()
        await asyncio.sleep(QUIET_PHASE_S)
        stopping.set()
        await asyncio.gather(*callers)
        readiness_checks.cancel()
        addresses = {server.address for server in self.servers.values()}
        self.unrest = await asyncio.gather(
            *(find_unrest(node.router, addresses) for node in self.nodes)
        )

    async def _shed_load_until(self, end_s):
        """Let one server after the other refuse all requests for some time."""
        rng = self._shedding_rng
        while self.now_s() < end_s:
            await asyncio.sleep(rng.uniform(0.2, 1.0))
            duration_s = rng.uniform(0.3, 2.0)
            listed = [each for each in self.servers.values() if not each.is_removed]
            rng.choice(listed).shedding_end_s = self.now_s() + duration_s
            await asyncio.sleep(duration_s)

    async def _limit_rates_until(self, end_s):
        """Let one server after the other, or all of a pool, state limits for a time."""
        rng = self._limit_rng
        while self.now_s() < end_s:
            await asyncio.sleep(rng.uniform(0.1, 0.8))
            listed = [each for each in self.servers.values() if not each.is_removed]
            chosen = rng.choice(listed)
            limited = [chosen]
            if rng.random() < 0.3:
                limited = [each for each in listed if each.pool == chosen.pool]
            for _ in range(rng.choice((1, 2))):
                for server in limited:
                    server.state_limit(rng.uniform(2.0, 20.0))
                await asyncio.sleep(rng.uniform(1.0, 3.0))
            for server in limited:
                server.state_limit(None)

    async def _evacuate_zone(self):
        """Evacuate an availability zone during the faults, and take it back."""
        rng = self._evacuation_rng
        await asyncio.sleep(rng.uniform(0.0, 1.5))
        zone = rng.choice(ZONES)
        await self.store.put(f"op/evacuate/{zone}", b"")
        period = EvacuationPeriod(zone, self.now_s())
        self.evacuation_periods.append(period)
        await asyncio.sleep(rng.uniform(4.0, 6.0))
        period.end_s = self.now_s()
        await self.store.put(f"op/evacuate/{zone}", None)

    async def _turn_cold_until(self, end_s):
        """Let one server after the other, or all of a pool, be cold for a time."""
        rng = self._cold_rng
        while self.now_s() < end_s:
            await asyncio.sleep(rng.uniform(0.5, 1.5))
            listed = [each for each in self.servers.values() if not each.is_removed]
            chosen = [rng.choice(listed)]
            if rng.random() < 0.3:
                chosen = [each for each in listed if each.pool == chosen[0].pool]
            for server in chosen:
                await server.write_cold_entry(COLD_START_S)
            begin_s = self.now_s()
            await asyncio.sleep(COLD_START_S)
            for server in chosen:
                self.cold_periods.append(
                    ColdPeriod(server.server_id, begin_s, self.now_s())
                )
                await server.write_cold_entry(0.0)

    async def _check_readiness(self):
        """Check the readiness of each router, as the platform's load balancer does."""
        while True:
            for node in self.nodes:
                if not node.is_down:
                    try:
                        async with asyncio.timeout(0.5):
                            node.is_ready = await node.router.is_ready()
                    except TimeoutError:
                        node.is_ready = False
            await asyncio.sleep(READINESS_CHECK_INTERVAL_S)

    async def _call_until(self, stopping, rng, keeps_router):
        """Send requests to ready routers until the event is set.

        :param keeps_router: keep the same router until a connection to it fails.
        """
        number = None
        while not stopping.is_set():
            ready = [n for n in range(ROUTER_COUNT) if self.nodes[n].is_ready]
            if number is None and ready:
                number = rng.choice(ready)
            if number is not None:
                kind = rng.choice(("orders", "drafts", "open"))
                call = await self._call(kind, number)
                if call.error or not keeps_router:
                    number = None
            await asyncio.sleep(CALLER_PAUSE_S)

    async def _call(self, kind, number):
        node, sent_s = self.nodes[number], self.now_s()
        request_id = f"q{next(self._ids)}"
        body = f"{kind} {request_id} ".encode() * BODY_REPEATS
        call = CallRecord(request_id, kind, number, node.generation, body, sent_s)
        self.calls.append(call)
        headers = {
            "Host": "a.example",
            "Attempt-Id": request_id,
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Authorization": "Bearer k1",
        }
        url = f"{node.router.url}/{kind}/{request_id}"
        try:
            async with asyncio.timeout(DEADLINE_S + 5.0):
                async with node.session.post(
                    url, data=body, headers=headers
                ) as response:
                    call.status = response.status
                    call.response_id = response.headers.get("Attempt-Id", "")
                    call.response_body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            call.error = repr(error)
        call.ended_s = self.now_s()
        return call

    def record_fault(self, kind, target, duration_s):
        now_s = self.now_s()
        fault = InjectedFault(kind, str(target), now_s, now_s + duration_s)
        self.injected_faults.append(fault)
        return fault
