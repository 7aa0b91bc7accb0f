"""What a request would take of an engine, and when it would begin there."""

from collections.abc import Sequence
from dataclasses import dataclass

from bilberryspring.capability.routing import EngineLimits, Prompt
from bilberryspring.policy.direct_placing import rank_homes
from bilberryspring.process.server_table import ServerRecord

__all__ = [
    "ENGINE_BASE_LATENCY_S",
    "Place",
    "plan_reservation",
    "predict_engine_start_s",
    "rank_home_engines",
]

# An engine of the usual kind reads so many prompt tokens in a second and begins to
# answer after this time; each server's slowness corrects them.
PREFILL_TOKENS_PER_S = 140_000.0
ENGINE_BASE_LATENCY_S = 0.06
# A running request delays a new one by about a tenth of a prompt's chunk.
DELAY_PER_REQUEST_S = 0.002
# Engines send each other a token's memory in about half the time of reading it.
CACHE_TRANSFER_TOKENS_PER_S = 250_000.0
CACHE_TRANSFER_START_S = 0.003
# Shared parts that a server lacks count so many times their time: reading or moving
# them delays every request that runs there, and takes memory twice.
MISSING_PREFIX_WEIGHT = 4.0
# A server listed for less may lack parts whose home it has become.
CACHE_FILL_S = 15.0


@dataclass(slots=True)
class Place:
    """A request's place at a server.

    :param prompt_tokens: tokens that the server is yet to read.
    :param held_tokens: tokens that it takes in the server's memory.
    :param expected_s: predicted time to the first part of the answer, at a server of
        the usual speed.
    :param missing_prefix_s: part of that time for shared parts which the server lacks.
    :param fetch_from: engine that has such parts.
    """

    record: ServerRecord
    prompt_tokens: int
    held_tokens: int
    expected_s: float
    missing_prefix_s: float = 0.0
    fetch_from: ServerRecord | None = None
    is_prefill_done: bool = False

    def begin(self) -> None:
        """Note that the answer has begun, so the prompt is read."""
        if not self.is_prefill_done:
            self.is_prefill_done = True
            self.record.prompt_tokens -= self.prompt_tokens


def plan_reservation(
    record: ServerRecord,
    prompt: Prompt,
    engine: EngineLimits,
    homes: Sequence[ServerRecord],
    others: Sequence[ServerRecord],
    now_s: float,
) -> Place:
    """Plan what a request takes of an engine.

    :param record: the engine.
    :param prompt: prompt of the request.
    :param engine: what the pool's engines hold.
    :param homes: engines that the prompt's shared parts rank first.
    :param others: engines of the pool that take new work.
    :param now_s: monotonic time.
    """
    shared = prompt.shared_tokens
    known = record.count_cached(prompt)
    is_home = record is next((h for h in homes if h.server.is_ready), None)
    cached = max(known, shared) if is_home else known
    source = None
    if engine.can_fetch and known < shared:
        source = _find_fetch_source(record, prompt, homes, others, now_s)
    missing = max(shared - cached, 0)
    own = max(prompt.input_tokens - max(cached, shared), 0)
    if source is not None:
        missing_s = CACHE_TRANSFER_START_S + missing / CACHE_TRANSFER_TOKENS_PER_S
        to_read = own
    else:
        missing_s = missing / PREFILL_TOKENS_PER_S
        to_read = own + missing
    held = prompt.input_tokens + (prompt.hinted_tokens or prompt.output_tokens)
    expected_s = ENGINE_BASE_LATENCY_S + own / PREFILL_TOKENS_PER_S + missing_s
    return Place(record, to_read, held, expected_s, missing_s, source)


def _find_fetch_source(
    record: ServerRecord,
    prompt: Prompt,
    homes: Sequence[ServerRecord],
    others: Sequence[ServerRecord],
    now_s: float,
) -> ServerRecord | None:
    """Return an engine that probably has more of a prompt's shared parts."""
    is_settled = now_s - record.listed_s > CACHE_FILL_S
    for home in homes:
        if home is record:
            if is_settled:
                break
        elif not home.is_avoided(now_s):
            return home
    best = max(others, key=lambda each: each.count_cached(prompt), default=None)
    if best is None or best is record or best.is_avoided(now_s):
        return None
    known = record.count_cached(prompt)
    return best if best.count_cached(prompt) > known else None


def predict_engine_start_s(place: Place) -> float:
    """Predict when an engine of the usual speed begins to answer.

    :param place: what the request takes of the engine.
    :returns: seconds; parts that the engine lacks count for what they cost others too.
    """
    record = place.record
    ahead = record.prompt_tokens + record.peers.prompt_tokens
    return (
        place.expected_s
        + place.missing_prefix_s * (MISSING_PREFIX_WEIGHT - 1.0)
        + ahead / PREFILL_TOKENS_PER_S
        + record.all_requests * DELAY_PER_REQUEST_S
    )


def rank_home_engines(
    prompt: Prompt | None, listed: Sequence[ServerRecord]
) -> list[ServerRecord]:
    """Return the engines that a prompt's shared parts rank first.

    :param prompt: the prompt; without shared parts there are none.
    :param listed: engines of the pool, those that leave included.
    """
    if prompt is None or not prompt.parts:
        return []
    key = prompt.parts[-2 if len(prompt.parts) > 1 else -1].part_id
    records = {record.server.server_id: record for record in listed}
    return [records[server_id] for server_id in rank_homes(key, list(records))]
