"""Sites of a fleet in several regions or availability zones, and their callers."""

import asyncio
import itertools
import time
from dataclasses import dataclass, field

from bilberryspring.standin.callers import find_answer_errors
from bilberryspring.tests.documents import (
    ENGINE_POOL,
    MODEL,
    WORKSPACE_KEY,
    make_document,
)

ENGINE_VERSION = "engine-1"
LOAD_BOUND_FACTOR = 1.25
LOAD_FLOOR_TOKENS = 150
PROMPT_TOKENS = 10
ANSWER_TOKENS = 100
REQUEST_TOKENS = PROMPT_TOKENS + ANSWER_TOKENS
DECODE_INTERVAL_S = 0.02
RESUME_DELAY_S = 0.1
CALLER_TIMEOUT_S = 30.0
# The answer is no longer retained because the agent that kept it was lost as well.
HTTP_GONE = 410
ENGINE_SETTINGS = {
    "models": [MODEL],
    "decode_interval_s": DECODE_INTERVAL_S,
    "max_batch": 64,
    "answer_tokens": 100_000_000,
}


def make_bounded_document(factor=LOAD_BOUND_FACTOR, **changes):
    """Return a configuration document whose engine pool has a low load floor.

    :param factor: load bound of the pool, as a multiple of the mean load.
    :param changes: top-level sections that replace the default ones.
    """
    document = make_document(**changes)
    pool = {
        "name": ENGINE_POOL,
        "kind": "engine",
        "load_bound": factor,
        "load_floor": LOAD_FLOOR_TOKENS,
        # Requests queue inside the engine, so that its journal shows the whole load.
        "max_running": 10_000,
    }
    workspaces = [each | {"max_queued": 10_000} for each in document["workspaces"]]
    pools = [pool, *document["pools"][1:]]
    return document | {"pools": pools, "workspaces": workspaces}


@dataclass(eq=False)
class Site:
    """Router and engines of one region or zone, and the records of its callers.

    :param name: name of the region or zone.
    :param router: node of the router.
    :param agents: nodes of the engines' agents.
    :param records: one record of each finished request.
    :param failures: details of the failed attempts of each request, by the request id
        of its last attempt.
    """

    name: str
    router: object
    agents: list
    records: list = field(default_factory=list)
    failures: dict = field(default_factory=dict)

    @property
    def nodes(self):
        return [self.router, *self.agents]

    @property
    def request_ids(self):
        return {record.request_id for record in self.records}


async def add_site(fleet, name, *, zone="z", region="", engines=2):
    """Start a router and engines in one availability zone and return them as a site.

    :param fleet: fleet that gets the processes.
    :param name: name of the site.
    :param zone: availability zone.
    :param region: region of the zone; the fleet's region if empty.
    :param engines: number of engines.
    """
    router = await fleet.add_router(zone, region=region)
    agents = [
        await fleet.add_engine(ENGINE_POOL, zone, region=region, **ENGINE_SETTINGS)
        for _ in range(engines)
    ]
    return Site(name, router, agents)


class OpenLoopCallers:
    """Open-loop callers of one site that resume at other sites if theirs is lost.

    :param fleet: fleet that the sites belong to.
    :param site: site whose router they use.
    :param fallback_sites: sites whose routers they use in turn after a lost connection.
    """

    def __init__(self, fleet, site, fallback_sites=()):
        self.fleet = fleet
        self.site = site
        self.fallback_sites = list(fallback_sites)

    async def send_load(self, rate_per_s, duration_s):
        """Send chats at a steady rate and wait until all of them have ended.

        :param rate_per_s: chats per second.
        :param duration_s: time in which chats are sent, in seconds.
        """
        tasks = []
        start_s = time.monotonic()
        for number in range(int(rate_per_s * duration_s)):
            await asyncio.sleep(start_s + number / rate_per_s - time.monotonic())
            tasks.append(asyncio.create_task(self.send(number)))
        await asyncio.gather(*tasks)

    async def send(self, number):
        """Send one chat and resume or repeat it until it is complete or times out."""
        words = " ".join(f"ward{number}" for _ in range(PROMPT_TOKENS))
        messages = [{"role": "user", "content": words}]
        headers = {"X-Chat-Key": f"{self.site.name}-{number}"}
        started_s = time.monotonic()
        routers = itertools.cycle(
            each.router for each in [self.site, *self.fallback_sites]
        )
        router = next(routers)
        record = await self._chat(router, messages, headers)
        failures = []
        while not record.is_whole and time.monotonic() - started_s < CALLER_TIMEOUT_S:
            failures.append(record.error or record.problem.get("detail", ""))
            if record.outcome == "not_run":
                # A refused caller retries at the same router after the stated time.
                assert "retry_after_s" in record.problem, record.problem
                await asyncio.sleep(record.problem["retry_after_s"])
                record = await self._chat(router, messages, headers)
                continue
            await asyncio.sleep(RESUME_DELAY_S)
            router = next(routers)
            if record.events and record.status != HTTP_GONE:
                await self.fleet.resume(router, WORKSPACE_KEY, record)
            else:
                record = await self._chat(router, messages, headers)
        record.started_s = started_s
        self.site.records.append(record)
        self.site.failures[record.request_id] = failures

    async def _chat(self, router, messages, headers):
        return await self.fleet.chat(
            router,
            WORKSPACE_KEY,
            messages,
            model=MODEL,
            max_tokens=ANSWER_TOKENS,
            headers=headers,
            timeout_s=CALLER_TIMEOUT_S,
        )


def assert_complete_in_time(site, limit_s):
    """Check that every answer of a site is complete and took less than a limit.

    :param site: site whose callers have finished.
    :param limit_s: time from the first attempt to the end of the answer, in seconds.
    """
    assert site.records
    for record in site.records:
        assert find_answer_errors(record, MODEL, ENGINE_VERSION) == [], record.problem
        taken_s = record.finished_s - record.started_s
        assert taken_s < limit_s, (record.request_id, record.started_s, taken_s)


def list_runs_elsewhere(fleet, site, other_sites, start_s, end_s):
    """Return the runs of a site's callers that other sites' engines received.

    :param fleet: fleet that the sites belong to.
    :param site: site of the callers.
    :param other_sites: sites of the engines.
    :param start_s: first time of arrival that counts, on the monotonic clock.
    :param end_s: end of that interval, exclusive.
    """
    return [
        run
        for other_site in other_sites
        for agent in other_site.agents
        for run in fleet.read_runs(agent)
        if run["request_id"] in site.request_ids
        and start_s <= run["received_s"] < end_s
    ]
