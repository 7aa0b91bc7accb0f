"""Benchmark of long chat bodies, with a chat that is sent repeatedly.

The prompt is in the engine's cache, so the cost of the body dominates.
"""

import statistics
import time
from dataclasses import dataclass

import aiohttp
import psutil

from bilberryspring.load.path_benchmark import REQUEST_TIMEOUT_S, BenchPaths
from bilberryspring.load.response_streams import read_streamed_response
from bilberryspring.load.workload_mixes import make_workspace_key

__all__ = ["LongChatCost", "run_long_chats"]

BODY_BYTES = (1_000, 64_000, 1_000_000)
MESSAGE_TEXT = "compose the roll of the ward " * 34
REQUESTS_PER_ROUND = 60
ROUTED_PROCESSES = ("router", "engine agent")


@dataclass(frozen=True, slots=True)
class LongChatCost:
    """Cost of chat requests with one body size.

    :param body_bytes: size of the message text in the request.
    :param direct_s: median time to first token of direct requests.
    :param routed_s: median time to first token through router and agent.
    :param cpu_s: CPU time per routed request, by process name.
    """

    body_bytes: int
    direct_s: float
    routed_s: float
    cpu_s: dict[str, float]


async def run_long_chats(paths: BenchPaths, rounds: int) -> list[LongChatCost]:
    """Measure each body size with alternating direct and routed requests.

    :param paths: addresses of both paths.
    :param rounds: number of rounds of ``REQUESTS_PER_ROUND`` requests on each path, for
        each size.
    """
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        return [
            await _measure_body_size(session, paths, size, rounds * REQUESTS_PER_ROUND)
            for size in BODY_BYTES
        ]


async def _measure_body_size(
    session: aiohttp.ClientSession, paths: BenchPaths, body_bytes: int, requests: int
) -> LongChatCost:
    body = _make_body(paths.model, body_bytes)
    headers = {"Authorization": f"Bearer {make_workspace_key(paths.workspace)}"}
    times_s: dict[str, list[float]] = {
        paths.engine_address: [],
        paths.router_address: [],
    }
    for address in times_s:  # fill the prefix cache of the engine
        await _time_first_token(session, address, body, headers)
    before_s = _read_cpu_times(paths)
    for _ in range(requests):
        for address, measured_s in times_s.items():
            measured_s.append(await _time_first_token(session, address, body, headers))
    after_s = _read_cpu_times(paths)
    return LongChatCost(
        body_bytes,
        statistics.median(times_s[paths.engine_address]),
        statistics.median(times_s[paths.router_address]),
        {name: (after_s[name] - before_s[name]) / requests for name in after_s},
    )


def _make_body(model: str, body_bytes: int) -> dict[str, object]:
    messages = [
        {"role": "user" if number % 2 == 0 else "assistant", "content": MESSAGE_TEXT}
        for number in range(max(body_bytes // len(MESSAGE_TEXT), 1))
    ]
    return {"model": model, "messages": messages, "stream": True, "max_tokens": 2}


async def _time_first_token(
    session: aiohttp.ClientSession,
    address: str,
    body: dict[str, object],
    headers: dict[str, str],
) -> float:
    started_s = time.monotonic()
    async with session.post(
        f"http://{address}/v1/chat/completions", json=body, headers=headers
    ) as response:
        response.raise_for_status()
        streamed = await read_streamed_response(response)
    if not streamed.is_whole:
        raise RuntimeError("the response stream was truncated")
    return streamed.token_times_s[0] - started_s


def _read_cpu_times(paths: BenchPaths) -> dict[str, float]:
    used_s = {}
    for name in ROUTED_PROCESSES:
        times = psutil.Process(paths.process_ids[name]).cpu_times()
        used_s[name] = times.user + times.system
    return used_s
