"""Estimate the tokens, memory and latency of a request on a given engine."""

from collections.abc import Sequence
from dataclasses import dataclass

from bilberryspring.capability.routing import EngineLimits, Prompt
from bilberryspring.policy.direct_placement import rank_homes
from bilberryspring.policy.request_cost import StartCoefficients, StartTerms
from bilberryspring.process.server_table import NO_HOLDERS, PartHolders, ServerRecord

__all__ = [
    "Reservation",
    "plan_reservation",
    "predict_engine_start_s",
    "predict_load_delay_s",
    "rank_home_engines",
]

# Copying a token's KV cache between engines takes about half its prefill time.
CACHE_TRANSFER_TOKENS_PER_S = 250_000.0
CACHE_TRANSFER_START_S = 0.003
# Factor on the time for shared prompt parts that an engine lacks: prefilling or copying
# them delays every request that runs there and stores the parts a second time.
MISSING_PREFIX_WEIGHT = 4.0
# An engine that is known to cache less than this share of the shared parts is a source
# only if no engine is expected to cache more.
KNOWN_SOURCE_SHARE = 0.5
# An engine listed for less time may lack parts for which it has become the home.
CACHE_FILL_S = 15.0


@dataclass(slots=True)
class Reservation:
    """Capacity that is reserved on one server for one request.

    :param record: record of the server.
    :param prompt_tokens: prompt tokens that the server still has to prefill; zero for a
        plain service.
    :param held_tokens: tokens that the request occupies in the server's KV cache; zero
        for a plain service.
    :param expected_s: predicted time to the first part of the response, on a server of
        typical speed.
    :param copied_s: part of ``expected_s`` that a copy of missing parts takes.
    :param missing_prefix_s: part of ``expected_s`` that is spent on shared prompt parts
        which the server lacks.
    :param fetch_from: engine to copy the missing parts from, ``None`` to prefill them.
    :param cached_tokens: prompt tokens that the engine is expected to have cached.
    :param start_terms: what the engine had to do before the response when the capacity
        was reserved; ``None`` for a plain service.
    :param shares_parts: whether engines of the pool can fetch parts from this one.
    :param is_home: whether other routers expect the engine to cache the shared parts.
    :param is_source_known: whether a response showed that ``fetch_from`` cached them.
    :param is_prefill_done: whether the response has begun, so that ``prompt_tokens`` no
        longer count as pending on the server.
    :param trial: return of the server after a pause that the request belongs to;
        ``None`` if it belongs to none, or was answered.
    :param paused_servers: servers that were passed over since they want no requests,
        for the log.
    :param has_credit: whether credit was spent on the request, since the server limits
        the rate of requests.
    :param is_sent: whether the request was sent.
    :param limited_servers: servers that were passed over for want of credit, for the
        log.
    :param mean_requests: mean number of requests at the servers of the pool before this
        one, for the log.
    :param servers_without_room: number of servers that could not take this request, for
        the log.
    """

    record: ServerRecord
    prompt_tokens: int
    held_tokens: int
    expected_s: float
    missing_prefix_s: float = 0.0
    copied_s: float = 0.0
    fetch_from: ServerRecord | None = None
    cached_tokens: int = 0
    start_terms: StartTerms | None = None
    shares_parts: bool = False
    is_home: bool = False
    is_source_known: bool = False
    is_prefill_done: bool = False
    trial: int | None = None
    paused_servers: str = ""
    has_credit: bool = False
    is_sent: bool = False
    limited_servers: str = ""
    mean_requests: float = 0.0
    servers_without_room: int = 0

    def mark_prefill_done(self) -> bool:
        """Record that the response has begun, so that no prefill is pending.

        :returns: whether it was not recorded before.
        """
        if self.is_prefill_done:
            return False
        self.is_prefill_done = True
        self.record.prompt_tokens -= self.prompt_tokens
        return True

    def describe_source(self) -> str:
        """Return the engine to copy parts from and why it is chosen, for the log."""
        if self.fetch_from is None:
            return ""
        reason = "known" if self.is_source_known else "guessed"
        return f"{self.fetch_from.server.server_id} ({reason})"

    def settle_trial(self, *, is_accepted: bool) -> None:
        """Record the first answer to the request, or its end without one.

        :param is_accepted: whether the server ran the request.
        """
        if self.trial is not None:
            self.record.pause.settle_trial(self.trial, is_accepted=is_accepted)
            self.trial = None


def plan_reservation(
    record: ServerRecord,
    prompt: Prompt,
    engine: EngineLimits,
    homes: Sequence[ServerRecord],
    others: Sequence[ServerRecord],
    now_s: float,
    coefficients: StartCoefficients,
    output_tokens: int,
    holders: PartHolders = NO_HOLDERS,
) -> Reservation:
    """Estimate what a request needs on an engine.

    :param record: record of the engine.
    :param prompt: prompt of the request.
    :param engine: capacity of each engine of the pool.
    :param homes: home engines of the prompt's shared parts, the preferred one first.
    :param others: engines of the pool that accept new work.
    :param now_s: monotonic time.
    :param coefficients: coefficients of the pool's engines.
    :param output_tokens: tokens that the response is predicted to have.
    :param holders: engines that are known to hold parts of the prompt.
    :returns: the reservation; nothing is counted on the engine yet.
    """
    shared = prompt.shared_tokens
    known = max(
        record.count_cached_tokens(prompt),
        holders.tokens.get(record.server.server_id, 0),
    )
    is_first_home = record is next((h for h in homes if h.accepts_work), None)
    cached = max(known, shared) if is_first_home else known
    source = holder = None
    if engine.can_fetch and known < shared:
        holder = holders.source if holders.source_tokens > known else None
        if holder is None or holders.source_tokens < KNOWN_SOURCE_SHARE * shared:
            source = _find_fetch_source(record, prompt, homes, others, now_s)
        source = source or holder
    missing_tokens = max(shared - cached, 0)
    own_tokens = max(prompt.input_tokens - max(cached, shared), 0)
    # What is known of other engines doesn't make the home a worse choice.
    is_known_at_home = is_first_home and source is holder
    is_copied = source is not None and not is_known_at_home
    if is_copied:
        missing_s = (
            CACHE_TRANSFER_START_S + missing_tokens / CACHE_TRANSFER_TOKENS_PER_S
        )
        prefill_tokens = own_tokens
    else:
        missing_s = missing_tokens * coefficients.read_s
        prefill_tokens = own_tokens + missing_tokens
    cached_tokens = prompt.input_tokens - own_tokens - missing_tokens
    expected_s = (
        coefficients.base_s
        + cached_tokens * coefficients.cached_s
        + own_tokens * coefficients.read_s
        + missing_s
        + predict_load_delay_s(record, coefficients)
    )
    return Reservation(
        record,
        prefill_tokens,
        prompt.input_tokens + output_tokens,
        expected_s,
        missing_s,
        missing_s if is_copied else 0.0,
        source,
        cached_tokens,
        shares_parts=engine.can_fetch,
        is_home=is_first_home and now_s - record.listed_s > CACHE_FILL_S,
        is_source_known=source is not None and source is holder,
    )


def _find_fetch_source(
    record: ServerRecord,
    prompt: Prompt,
    homes: Sequence[ServerRecord],
    others: Sequence[ServerRecord],
    now_s: float,
) -> ServerRecord | None:
    """Return an engine that probably caches more of a prompt's shared parts."""
    is_cache_filled = now_s - record.listed_s > CACHE_FILL_S
    for home in homes:
        if home is record:
            if is_cache_filled:
                break
        elif home.can_be_fetched_from(now_s):
            return home
    best = max(others, key=lambda each: each.count_cached_tokens(prompt), default=None)
    if best is None or best is record or not best.can_be_fetched_from(now_s):
        return None
    known = record.count_cached_tokens(prompt)
    return best if best.count_cached_tokens(prompt) > known else None


def predict_load_delay_s(
    record: ServerRecord, coefficients: StartCoefficients
) -> float:
    """Predict how long the other requests at an engine delay a response, in seconds.

    :param record: record of the engine.
    :param coefficients: coefficients of its pool.
    """
    pending_tokens = record.prompt_tokens + record.peer_load.prompt_tokens
    return (
        pending_tokens * coefficients.pending_s
        + record.total_requests * coefficients.running_s
    )


def predict_engine_start_s(reservation: Reservation) -> float:
    """Predict the time until an engine of typical speed begins its response.

    :param reservation: what the request needs on the engine.
    :returns: seconds, weighted for choosing an engine: the time for parts that the
        engine lacks also counts the delay of the other requests there.
    """
    return reservation.expected_s + reservation.missing_prefix_s * (
        MISSING_PREFIX_WEIGHT - 1.0
    )


def rank_home_engines(
    prompt: Prompt | None, listed: Sequence[ServerRecord]
) -> list[ServerRecord]:
    """Return the home engines of a prompt's shared parts, the preferred one first.

    :param prompt: the prompt; ``None`` or one without shared parts has no homes.
    :param listed: engines of the pool, including those that are leaving.
    """
    if prompt is None or not prompt.parts:
        return []
    key = prompt.parts[-2 if len(prompt.parts) > 1 else -1].part_id
    records = {record.server.server_id: record for record in listed}
    return [records[server_id] for server_id in rank_homes(key, list(records))]
