"""A fleet in two regions or several zones, and callers that use the nearest router."""

import asyncio
import itertools
import time
from dataclasses import dataclass, field

from bilberryspring.standin.callers import find_answer_faults
from bilberryspring.tests.documents import (
    ENGINE_POOL,
    MODEL,
    WORKSPACE_KEY,
    make_document,
)

ENGINE_VERSION = "engine-1"
FACTOR = 1.25
FLOOR_TOKENS = 150
PROMPT_TOKENS = 10
ANSWER_TOKENS = 100
REQUEST_TOKENS = PROMPT_TOKENS + ANSWER_TOKENS
DECODE_INTERVAL_S = 0.02
RESUME_PAUSE_S = 0.1
PATIENCE_S = 30.0
# The answer is not retained any more, since its agent is lost too.
GONE = 410
ENGINE_SETTINGS = {
    "models": [MODEL],
    "decode_interval_s": DECODE_INTERVAL_S,
    "max_batch": 64,
    "answer_tokens": 100_000_000,
}


def make_bounded_document(factor=FACTOR, **changes):
    """Return a document whose engine pool has a low load floor."""
    document = make_document(**changes)
    pool = {
        "name": ENGINE_POOL,
        "kind": "engine",
        "load_bound": factor,
        "load_floor": FLOOR_TOKENS,
        # The queue is the engine's, so that its journal sees all of the load.
        "max_running": 10_000,
    }
    workspaces = [each | {"max_queued": 10_000} for each in document["workspaces"]]
    pools = [pool, *document["pools"][1:]]
    return document | {"pools": pools, "workspaces": workspaces}


@dataclass(eq=False)
class Place:
    """Router and engines of one region or zone, and the records of its callers."""

    name: str
    router: object
    agents: list
    records: list = field(default_factory=list)
    # What callers were told before they came back, by the last request id.
    failures: dict = field(default_factory=dict)

    @property
    def nodes(self):
        return [self.router, *self.agents]

    @property
    def request_ids(self):
        return {record.request_id for record in self.records}


async def add_place(fleet, name, *, zone="z", region="", engines=2):
    """Start a router and engines in one zone."""
    router = await fleet.add_router(zone, region=region)
    agents = [
        await fleet.add_engine(ENGINE_POOL, zone, region=region, **ENGINE_SETTINGS)
        for _ in range(engines)
    ]
    return Place(name, router, agents)


class Callers:
    """Open-loop callers of one place, who resume at another one if theirs is lost.

    :param home: place whose router they use.
    :param others: places whose routers they use when the connection is lost.
    """

    def __init__(self, fleet, home, others=()):
        self.fleet = fleet
        self.home = home
        self.others = list(others)

    async def send_load(self, rate_per_s, duration_s):
        """Send chats at a steady rate until the time is over, and await them all."""
        tasks = []
        start_s = time.monotonic()
        for number in range(int(rate_per_s * duration_s)):
            await asyncio.sleep(start_s + number / rate_per_s - time.monotonic())
            tasks.append(asyncio.create_task(self.send(number)))
        await asyncio.gather(*tasks)

    async def send(self, number):
        words = " ".join(f"ward{number}" for _ in range(PROMPT_TOKENS))
        messages = [{"role": "user", "content": words}]
        headers = {"X-Chat-Key": f"{self.home.name}-{number}"}
        started_s = time.monotonic()
        routers = itertools.cycle(place.router for place in [self.home, *self.others])
        router = next(routers)
        record = await self._chat(router, messages, headers)
        failures = []
        while not record.is_whole and time.monotonic() - started_s < PATIENCE_S:
            failures.append(record.error or record.problem.get("detail", ""))
            if record.outcome == "not_run":
                # Comes back when and where it is told to.
                assert "retry_after_s" in record.problem, record.problem
                await asyncio.sleep(record.problem["retry_after_s"])
                record = await self._chat(router, messages, headers)
                continue
            await asyncio.sleep(RESUME_PAUSE_S)
            router = next(routers)
            if record.events and record.status != GONE:
                await self.fleet.resume(router, WORKSPACE_KEY, record)
            else:
                record = await self._chat(router, messages, headers)
        record.started_s = started_s
        self.home.records.append(record)
        self.home.failures[record.request_id] = failures

    async def _chat(self, router, messages, headers):
        return await self.fleet.chat(
            router,
            WORKSPACE_KEY,
            messages,
            model=MODEL,
            max_tokens=ANSWER_TOKENS,
            headers=headers,
            timeout_s=PATIENCE_S,
        )


def assert_whole_in_time(place, limit_s):
    """Every answer is whole, and none took longer than the limit."""
    assert place.records
    for record in place.records:
        assert find_answer_faults(record, MODEL, ENGINE_VERSION) == [], record.problem
        taken_s = record.finished_s - record.started_s
        assert taken_s < limit_s, (record.request_id, record.started_s, taken_s)


def list_served_elsewhere(fleet, place, others, from_s, until_s):
    """Return the runs of a place's callers at other places' engines in a time."""
    return [
        run
        for other in others
        for agent in other.agents
        for run in fleet.read_runs(agent)
        if run["request_id"] in place.request_ids
        and from_s <= run["received_s"] < until_s
    ]
