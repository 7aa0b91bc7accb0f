"""Replay of multi-turn chats against engines that fetch cached parts from each other.

Routers place requests with the production dispatcher on a virtual clock. The engines
are a simple model: prefills run one after the other, the time of a decode is
proportional to the number of output tokens, and each engine caches the parts that it
has prefilled or fetched.
"""

import asyncio
import math
import random
from collections import OrderedDict
from dataclasses import dataclass, field

from bilberryspring.capability.routing import ExecutionRule, PoolLimits
from bilberryspring.load.virtual_clock import run_on_virtual_clock
from bilberryspring.process.server_table import make_server_table
from bilberryspring.request.dispatcher import make_dispatcher
from bilberryspring.request.reservations import Reservation
from bilberryspring.request.tests.relay_fixtures import (
    ENGINE,
    make_prompt,
    make_request,
    make_route,
    make_server,
)

PREFILL_TOKENS_PER_S = 140_000.0
FETCH_TOKENS_PER_S = 250_000.0
START_S = 0.05
DECODE_S_PER_TOKEN = 0.0024
ROUTERS = 5
# Workload by kind of chat, modelled on a deployment: number of sessions, then shared,
# unshared and output tokens of each request.
CHAT_KINDS = {"long": (54, 10_000, 1_300, 380), "short": (200, 580, 130, 290)}


@dataclass
class Engine:
    """Model of one engine.

    :param slowdown: factor by which its work takes longer than normal.
    :param memory_tokens: capacity for running requests and cached parts, in tokens.
    :param idle_at_s: time at which its queued prefills end.
    :param running_tokens: tokens of running requests, without shared parts.
    :param parts: number of tokens of each cached part, the most recently used last.
    """

    slowdown: float = 1.0
    memory_tokens: float = math.inf
    idle_at_s: float = 0.0
    running_tokens: int = 0
    parts: OrderedDict = field(default_factory=OrderedDict)

    def cache_part(self, part):
        """Cache a part, and evict the least recently used ones if memory is full."""
        self.parts[part.part_id] = part.tokens
        self.parts.move_to_end(part.part_id)
        used_tokens = self.running_tokens + sum(self.parts.values())
        while used_tokens > self.memory_tokens and len(self.parts) > 1:
            used_tokens -= self.parts.popitem(last=False)[1]


@dataclass
class ReplayResult:
    """Measurements of one replay.

    :param first_token_s: time to the first token of each request, in seconds, in the
        order of the first tokens.
    :param recomputed_tokens: number of tokens prefilled again although some engine had
        prefilled the same part before.
    :param refused: number of refused requests.
    :param peak_engine_requests: highest number of concurrent requests at one engine.
    """

    first_token_s: list = field(default_factory=list)
    recomputed_tokens: int = 0
    refused: int = 0
    peak_engine_requests: int = 0


async def _run(
    seed,
    duration_s,
    arrivals_per_s,
    burst_factor,
    slowdown,
    can_fetch,
    policy,
    memory_tokens,
):
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    engines = {f"e{number}": Engine(memory_tokens=memory_tokens) for number in range(5)}
    if slowdown:
        engines["e0"].slowdown = slowdown
    routers = []
    for _ in range(ROUTERS):
        table = make_server_table()
        for name in engines:
            table.put(make_server(name, "writers", slots=64))
        for record in table.records.values():
            record.listed_s -= 100.0
        dispatcher = make_dispatcher(
            table, "z", 2.0, read_clock=loop.time, policy=policy
        )
        routers.append((dispatcher, table))
    limits = type(ENGINE)(64, 444_000, 9, can_fetch)
    pool = PoolLimits("writers", 370, limits)
    route = make_route(ExecutionRule.STREAM, timeout_s=10.0)
    result = ReplayResult()
    seen_parts = set()

    async def run(kind, session, number):
        _, shared_tokens, own_tokens, decode_tokens = CHAT_KINDS[kind]
        dispatcher, table = routers[rng.randrange(ROUTERS)]
        prompt = make_prompt(
            (f"{kind}-base-{session % 3}", 500),
            (f"{kind}-{session}", shared_tokens),
            (f"own-{number}", own_tokens),
            output_tokens=decode_tokens,
        )
        request = make_request(route, prompt=prompt)
        arrival_s = loop.time()
        place = await dispatcher.acquire(request, pool, arrival_s + 10.0)
        if not isinstance(place, Reservation):
            result.refused += 1
            return
        engine_id = place.record.server.server_id
        engine = engines[engine_id]
        source = request.fetch_from and engines[request.fetch_from.server_id]
        prefill_s = START_S * engine.slowdown
        for part in prompt.parts:
            if part.part_id in engine.parts:
                engine.cache_part(part)
                continue
            if source and part.part_id in source.parts:
                prefill_s += part.tokens / FETCH_TOKENS_PER_S
            else:
                prefill_s += part.tokens / PREFILL_TOKENS_PER_S * engine.slowdown
                if part.part_id in seen_parts:
                    result.recomputed_tokens += part.tokens
            engine.cache_part(part)
            seen_parts.add(part.part_id)
        engine.running_tokens += own_tokens + decode_tokens
        engine.idle_at_s = max(engine.idle_at_s, loop.time()) + prefill_s - START_S
        await asyncio.sleep(engine.idle_at_s - loop.time() + START_S * engine.slowdown)
        result.first_token_s.append(loop.time() - arrival_s)
        place.record.record_response_time(
            result.first_token_s[-1], place.expected_s, loop.time()
        )
        place.mark_prefill_done()
        concurrent = sum(t.records[engine_id].requests for _, t in routers)
        result.peak_engine_requests = max(result.peak_engine_requests, concurrent)
        await asyncio.sleep(decode_tokens * DECODE_S_PER_TOKEN * engine.slowdown)
        engine.running_tokens -= own_tokens + decode_tokens
        dispatcher.release(place)

    tasks = []
    number = 0
    while loop.time() < duration_s:
        is_burst = duration_s / 3 < loop.time() < duration_s / 3 + 4.0
        rate = arrivals_per_s * (burst_factor if is_burst else 1.0)
        await asyncio.sleep(rng.expovariate(rate))
        kind = "long" if rng.random() < 0.2 else "short"
        session = int(CHAT_KINDS[kind][0] * rng.random() ** 1.3)
        tasks.append(asyncio.create_task(run(kind, session, number)))
        number += 1
    await asyncio.gather(*tasks)
    return result


def replay(
    seed,
    duration_s=30.0,
    arrivals_per_s=40.0,
    burst_factor=1.0,
    slowdown=0.0,
    can_fetch=True,
    policy="shortest_start",
    memory_tokens=math.inf,
):
    """Replay one random trace.

    :param seed: seed of the random arrivals.
    :param duration_s: time in seconds during which requests arrive.
    :param arrivals_per_s: mean arrival rate, in requests per second.
    :param burst_factor: factor of the arrival rate during a burst of 4 s.
    :param slowdown: factor by which one engine is slower; zero for no slow engine.
    :param can_fetch: whether engines can fetch cached parts from each other.
    :param policy: name of a registered placement policy.
    :param memory_tokens: capacity of each engine in tokens.
    :returns: the measurements.
    """
    return run_on_virtual_clock(
        _run(
            seed,
            duration_s,
            arrivals_per_s,
            burst_factor,
            slowdown,
            can_fetch,
            policy,
            memory_tokens,
        )
    )
