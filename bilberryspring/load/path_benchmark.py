"""Benchmark of requests through router and agent against direct requests.

Direct and routed rounds alternate, so that changes in the speed of the machine affect
both alike.
"""

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

import aiohttp
import psutil

from bilberryspring.load.measures import Percentiles, compute_percentiles
from bilberryspring.load.response_streams import read_streamed_response
from bilberryspring.load.workload_mixes import make_workspace_key

__all__ = ["BenchPaths", "BenchResult", "CpuUsage", "PathMeasures", "run_bench"]

DEFAULT_ROUNDS = 4
UNLOADED_REQUESTS = 100
LOADED_ROUND_S = 2.0
REQUEST_CONCURRENCY = 32
STREAM_CONCURRENCY = 16
STREAM_MAX_TOKENS = 400
FIRST_TOKEN_MAX_TOKENS = 2
REQUEST_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class BenchPaths:
    """Addresses and names for direct and routed requests.

    :param router_address: address of the router for callers.
    :param service_address: address of the plain service stand-in.
    :param engine_address: address of the model engine stand-in.
    :param service_route: idempotent route of the plain service.
    :param model: model of the engine.
    :param workspace: workspace that sends the routed requests.
    :param process_ids: process identifiers of router and agents, by process name.
    """

    router_address: str
    service_address: str
    engine_address: str
    service_route: str
    model: str
    workspace: str
    process_ids: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class PathMeasures:
    """Latency and throughput of one path.

    :param request: latency of plain service requests, sent one at a time.
    :param first_token: time to first token of chats, sent one at a time.
    :param requests_per_s: plain service requests per second, sent concurrently.
    :param tokens_per_s: streamed tokens per second, over concurrent streams.
    """

    request: Percentiles
    first_token: Percentiles
    requests_per_s: float
    tokens_per_s: float


@dataclass(frozen=True, slots=True)
class CpuUsage:
    """CPU time of one process.

    :param process: name of the process.
    :param per_1000_requests_s: CPU time for 1,000 plain service requests.
    :param per_100000_chunks_s: CPU time for 100,000 streamed chunks.
    """

    process: str
    per_1000_requests_s: float
    per_100000_chunks_s: float


@dataclass(frozen=True, slots=True)
class BenchResult:
    """Measures of both paths, and the resources that the routed path uses.

    :param direct: measures of direct requests.
    :param routed: measures of requests through router and agent.
    :param cpu: CPU time of each process on the routed path.
    :param resident_bytes: resident memory by process name.
    """

    direct: PathMeasures
    routed: PathMeasures
    cpu: tuple[CpuUsage, ...]
    resident_bytes: dict[str, int]


@dataclass(slots=True)
class _PathSamples:
    request_latencies_s: list[float] = field(default_factory=list)
    first_token_latencies_s: list[float] = field(default_factory=list)
    request_count: int = 0
    requests_time_s: float = 0.0
    token_count: int = 0
    tokens_time_s: float = 0.0
    requests_cpu_s: dict[str, float] = field(default_factory=dict)
    tokens_cpu_s: dict[str, float] = field(default_factory=dict)

    def summarize(self) -> PathMeasures:
        return PathMeasures(
            compute_percentiles(self.request_latencies_s),
            compute_percentiles(self.first_token_latencies_s),
            round(self.request_count / self.requests_time_s, 1),
            round(self.token_count / self.tokens_time_s, 1),
        )


@dataclass(slots=True)
class _PathClient:
    session: aiohttp.ClientSession
    service_url: str
    chat_url: str
    model: str
    headers: dict[str, str]
    prompt_numbers: itertools.count

    async def call_service(self) -> None:
        async with self.session.get(self.service_url, headers=self.headers) as response:
            await response.read()
            response.raise_for_status()

    async def stream_chat(self, tokens: int) -> tuple[float, int]:
        """Stream one chat and return its time to first token and number of tokens."""
        prompt = f"bench {next(self.prompt_numbers)}"
        body = {
            "model": self.model,
            "messages": [{"role": "user", "content": prompt}],
            "stream": True,
            "max_tokens": tokens,
        }
        started_s = time.monotonic()
        async with self.session.post(
            self.chat_url, json=body, headers=self.headers
        ) as response:
            response.raise_for_status()
            streamed = await read_streamed_response(response)
        if not streamed.is_whole:
            raise RuntimeError("the response stream was truncated")
        return streamed.token_times_s[0] - started_s, len(streamed.token_times_s)


async def run_bench(paths: BenchPaths, rounds: int = DEFAULT_ROUNDS) -> BenchResult:
    """Measure both paths in alternating rounds.

    :param paths: addresses of both paths.
    :param rounds: number of rounds on each path.
    """
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        numbers = itertools.count()
        headers = {"Authorization": f"Bearer {make_workspace_key(paths.workspace)}"}
        direct = _PathClient(
            session,
            f"http://{paths.service_address}/status",
            f"http://{paths.engine_address}/v1/chat/completions",
            paths.model,
            {},
            numbers,
        )
        routed = _PathClient(
            session,
            f"http://{paths.router_address}/services/{paths.service_route}/status",
            f"http://{paths.router_address}/v1/chat/completions",
            paths.model,
            headers,
            numbers,
        )
        samples = {"direct": _PathSamples(), "routed": _PathSamples()}
        for name, client in itertools.chain.from_iterable(
            [(("direct", direct), ("routed", routed))] * rounds
        ):
            await _run_round(client, samples[name], paths.process_ids)
    return BenchResult(
        samples["direct"].summarize(),
        samples["routed"].summarize(),
        _compute_cpu_usage(samples["routed"], paths.process_ids),
        {
            name: psutil.Process(pid).memory_info().rss
            for name, pid in paths.process_ids.items()
        },
    )


async def _run_round(
    client: _PathClient, samples: _PathSamples, processes: Mapping[str, int]
) -> None:
    for _ in range(UNLOADED_REQUESTS):
        started_s = time.monotonic()
        await client.call_service()
        samples.request_latencies_s.append(time.monotonic() - started_s)
    for _ in range(UNLOADED_REQUESTS):
        first_token_s, _ = await client.stream_chat(FIRST_TOKEN_MAX_TOKENS)
        samples.first_token_latencies_s.append(first_token_s)

    async def call_once() -> int:
        await client.call_service()
        return 1

    async def stream_once() -> int:
        _, tokens = await client.stream_chat(STREAM_MAX_TOKENS)
        return tokens

    before_s = _read_cpu_times(processes)
    done, elapsed_s = await _run_closed_loop(call_once, REQUEST_CONCURRENCY)
    samples.request_count += done
    samples.requests_time_s += elapsed_s
    _add_cpu_time(samples.requests_cpu_s, before_s, _read_cpu_times(processes))
    before_s = _read_cpu_times(processes)
    done, elapsed_s = await _run_closed_loop(stream_once, STREAM_CONCURRENCY)
    samples.token_count += done
    samples.tokens_time_s += elapsed_s
    _add_cpu_time(samples.tokens_cpu_s, before_s, _read_cpu_times(processes))


async def _run_closed_loop(
    run_once: Callable[[], Awaitable[int]], concurrency: int
) -> tuple[int, float]:
    started_s = time.monotonic()

    async def repeat() -> int:
        done = 0
        while time.monotonic() - started_s < LOADED_ROUND_S:
            done += await run_once()
        return done

    totals = await asyncio.gather(*(repeat() for _ in range(concurrency)))
    return sum(totals), time.monotonic() - started_s


def _read_cpu_times(processes: Mapping[str, int]) -> dict[str, float]:
    used_s = {}
    for name, pid in processes.items():
        times = psutil.Process(pid).cpu_times()
        used_s[name] = times.user + times.system
    return used_s


def _add_cpu_time(
    totals_s: dict[str, float], before_s: dict[str, float], after_s: dict[str, float]
) -> None:
    for name in after_s:
        used_s = after_s[name] - before_s[name]
        totals_s[name] = totals_s.get(name, 0.0) + used_s


def _compute_cpu_usage(
    samples: _PathSamples, processes: Mapping[str, int]
) -> tuple[CpuUsage, ...]:
    return tuple(
        CpuUsage(
            name,
            round(samples.requests_cpu_s[name] / samples.request_count * 1_000, 4),
            round(samples.tokens_cpu_s[name] / samples.token_count * 100_000, 3),
        )
        for name in processes
    )
