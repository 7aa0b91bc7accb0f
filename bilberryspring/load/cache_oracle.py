"""Comparison of cache reuse with an oracle that sees the caches of all live engines.

For each arriving request, the oracle finds the longest prefix of its prompt that any
live engine holds. It does not place requests or move cache contents itself, so it
evaluates the caches in the state that the measured policy produced. The cache contents
are reconstructed from the journals of the engines.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from bilberryspring.load.records import CallOutcome, CallRecord
from bilberryspring.standin.cache_journal import CacheChange, CacheChangeKind

__all__ = [
    "CacheTimeline",
    "EngineRecords",
    "MissedReuse",
    "OracleReuse",
    "measure_oracle_reuse",
]

MIN_MISSED_TOKENS = 100
MAX_REPORTED_MISSES = 40


@dataclass(frozen=True, slots=True)
class EngineRecords:
    """Records of one stand-in engine.

    :param cache_changes: entries of its cache journal.
    :param runs: entries of its run journal.
    :param kill_times_s: times at which it was killed, on the monotonic clock.
    """

    cache_changes: Sequence[CacheChange]
    runs: Sequence[Mapping[str, object]]
    kill_times_s: Sequence[float]


@dataclass(frozen=True, slots=True)
class MissedReuse:
    """Reuse of one request at the chosen engine, compared with the best engine.

    :param name: name of the request in the plan.
    :param request_id: identifier of its last attempt.
    :param at_s: intended send time in seconds from the start of the run.
    :param reusable_tokens: prompt tokens that an earlier turn had computed.
    :param held_tokens: of these, tokens in the cache of the engine that held the most.
    :param cached_tokens: of these, tokens that the chosen engine served from its cache.
    :param holder: engine that held the most tokens when the request arrived; empty if
        none held any.
    :param chosen: engine that served the request.
    """

    name: str
    request_id: str
    at_s: float
    reusable_tokens: int
    held_tokens: int
    cached_tokens: int
    holder: str
    chosen: str


@dataclass(frozen=True, slots=True)
class OracleReuse:
    """Reuse of the chosen engines and of the oracle, over the same requests.

    :param requests: completed requests with reusable tokens.
    :param reusable_tokens: prompt tokens that earlier turns had computed.
    :param held_tokens: of these, tokens that a live engine held when the request
        arrived.
    :param cached_tokens: of these, tokens that the chosen engines served from their
        caches.
    :param misses: requests with the largest differences, largest first.
    """

    requests: int = 0
    reusable_tokens: int = 0
    held_tokens: int = 0
    cached_tokens: int = 0
    misses: tuple[MissedReuse, ...] = ()

    @property
    def oracle_ratio(self) -> float:
        """Held tokens over reusable tokens; one if no tokens were reusable."""
        return self.held_tokens / self.reusable_tokens if self.reusable_tokens else 1.0

    @property
    def chosen_ratio(self) -> float:
        """Cached tokens over reusable tokens; one if no tokens were reusable."""
        if not self.reusable_tokens:
            return 1.0
        return self.cached_tokens / self.reusable_tokens

    @property
    def gap_points(self) -> float:
        """Percentage points by which the chosen engines stay below the oracle."""
        return round(100 * (self.oracle_ratio - self.chosen_ratio), 2)


class CacheTimeline:
    """Prefixes in the cache of one engine over time.

    :param records: records of the engine.
    """

    def __init__(self, records: EngineRecords):
        self._spans: dict[str, list[tuple[float, float, int]]] = defaultdict(list)
        kills = [
            CacheChange(at_s, CacheChangeKind.OPENED) for at_s in records.kill_times_s
        ]
        held: dict[str, CacheChange] = {}
        for change in sorted(
            [*records.cache_changes, *kills], key=lambda each: each.at_s
        ):
            if change.kind is CacheChangeKind.STORED:
                held[change.prefix_digest] = change
            elif change.kind is CacheChangeKind.EVICTED:
                self._close_spans(held, [change.prefix_digest], change.at_s)
            else:
                self._close_spans(held, list(held), change.at_s)
        self._close_spans(held, list(held), float("inf"))

    def _close_spans(
        self, held: dict[str, CacheChange], digests: Iterable[str], at_s: float
    ) -> None:
        for digest in digests:
            stored = held.pop(digest, None)
            if stored is not None:
                self._spans[digest].append((stored.at_s, at_s, stored.tokens))

    def count_held_tokens(self, digests: Sequence[str], at_s: float) -> int:
        """Return the tokens of the longest prefix that was in the cache at a time.

        :param digests: digest of each prefix of a prompt, shortest first.
        :param at_s: time on the monotonic clock, in seconds.
        :returns: number of tokens; zero if no prefix was in the cache.
        """
        for digest in reversed(digests):
            for start_s, end_s, tokens in self._spans.get(digest, ()):
                if start_s <= at_s < end_s:
                    return tokens
        return 0


def measure_oracle_reuse(
    records: Iterable[CallRecord], engines: Mapping[str, EngineRecords]
) -> OracleReuse:
    """Compare the reuse of the chosen engines with that of the oracle.

    :param records: records of chat requests.
    :param engines: records of each engine, by instance.
    """
    timelines = {
        name: CacheTimeline(engine_records) for name, engine_records in engines.items()
    }
    chosen = {
        run["request_id"]: (name, run["prefix_digests"])
        for name, witness in engines.items()
        for run in witness.runs
    }
    compared_requests = []
    for record in records:
        is_done = record.outcome is CallOutcome.DONE
        if is_done and record.reusable_tokens and record.request_id in chosen:
            name, digests = chosen[record.request_id]
            compared_requests.append(
                _compare_with_oracle(record, name, digests, timelines)
            )
    largest_misses = [
        each
        for each in compared_requests
        if each.held_tokens - each.cached_tokens >= MIN_MISSED_TOKENS
    ]
    largest_misses.sort(key=lambda each: each.cached_tokens - each.held_tokens)
    return OracleReuse(
        requests=len(compared_requests),
        reusable_tokens=sum(each.reusable_tokens for each in compared_requests),
        held_tokens=sum(each.held_tokens for each in compared_requests),
        cached_tokens=sum(each.cached_tokens for each in compared_requests),
        misses=tuple(largest_misses[:MAX_REPORTED_MISSES]),
    )


def _compare_with_oracle(
    record: CallRecord,
    chosen: str,
    digests: Sequence[str],
    timelines: Mapping[str, CacheTimeline],
) -> MissedReuse:
    held = {
        name: timeline.count_held_tokens(digests, record.last_try_at_s)
        for name, timeline in timelines.items()
    }
    holder = max(held, key=held.__getitem__)
    return MissedReuse(
        name=record.name,
        request_id=record.request_id,
        at_s=record.intended_s,
        reusable_tokens=record.reusable_tokens,
        held_tokens=min(held[holder], record.reusable_tokens),
        cached_tokens=min(record.cached_tokens, record.reusable_tokens),
        holder=holder if held[holder] else "",
        chosen=chosen,
    )
