"""Request plans of an open-loop load test, drawn at random from a seed.

A plan holds every request of a run with its intended send time.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from bilberryspring.load.arrivals import Surge, draw_arrivals
from bilberryspring.load.workload_mixes import (
    ChatWorkload,
    ServiceWorkload,
    WorkloadMix,
)

__all__ = [
    "RequestPlan",
    "PlannedCall",
    "PlannedChat",
    "PlannedTurn",
    "compute_decode_utilization",
    "draw_plan",
]

MIN_MESSAGE_TOKENS = 3
MIN_ANSWER_TOKENS = 4
MAX_TURNS = 40
ASSUMED_FIRST_TOKEN_S = 0.5

SurgeFinder = Callable[[str, str], Sequence[Surge]]


@dataclass(frozen=True, slots=True)
class PlannedTurn:
    """One user message of a chat and the response that it requests.

    :param at_s: intended send time, in seconds from the start of the run.
    :param message_tokens: length of the message in words, one token each.
    :param answer_tokens: length of the requested response in tokens.
    """

    at_s: float
    message_tokens: int
    answer_tokens: int


@dataclass(frozen=True, slots=True)
class PlannedChat:
    """A chat of several turns with pauses between them.

    :param name: unique name, the same in every run with the same seed.
    :param workspace: workspace that sends the chat.
    :param rank: work rank of its turns.
    :param turns: its turns, in order of time.
    """

    name: str
    workspace: str
    rank: str
    turns: tuple[PlannedTurn, ...]


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """One request to a plain service.

    :param name: unique name, the same in every run with the same seed.
    :param at_s: intended send time, in seconds from the start of the run.
    :param workspace: workspace that sends the request.
    :param workload: route, work rank and idempotency of the request.
    """

    name: str
    at_s: float
    workspace: str
    workload: ServiceWorkload


@dataclass(frozen=True, slots=True)
class RequestPlan:
    """All requests of a run.

    :param duration_s: length of the run in seconds.
    :param chats: chats, ordered by the time of their first turn.
    :param calls: requests to plain services, ordered by time.
    """

    duration_s: float
    chats: tuple[PlannedChat, ...]
    calls: tuple[PlannedCall, ...]


def _find_no_surges(workspace: str, rank: str) -> Sequence[Surge]:
    return ()


def draw_plan(
    mix: WorkloadMix,
    seed: int,
    duration_s: float,
    find_surges: SurgeFinder = _find_no_surges,
    workspaces: Sequence[str] = (),
) -> RequestPlan:
    """Draw the requests of a run.

    Each pair of a workspace and a chat or service workload has its own random number
    generator, so a surge in one of them does not change the requests of the others.

    :param mix: the deployment and its load.
    :param seed: seed of every random number generator.
    :param duration_s: length of the run in seconds.
    :param find_surges: returns the surges of a workspace and work rank.
    :param workspaces: workspaces that send requests; empty for all of the mix.
    :returns: the plan.

    >>> from bilberryspring.load.workload_mixes import find_mix
    >>> mix = find_mix("lankverk")
    >>> draw_plan(mix, 7, 5) == draw_plan(mix, 7, 5)
    True
    """
    total_share = sum(mix.workspace_shares.values())
    chats: list[PlannedChat] = []
    calls: list[PlannedCall] = []
    for workspace in workspaces or mix.workspace_shares:
        share = mix.workspace_shares[workspace] / total_share
        for workload in mix.chats:
            generator = random.Random(f"{seed}/{workspace}/{workload.rank}")
            surges = find_surges(workspace, workload.rank)
            arrivals = draw_arrivals(
                generator, workload.chats_per_s * share, duration_s, surges
            )
            for number, at_s in enumerate(arrivals):
                name = f"{workspace}/{workload.rank}/{number}"
                turns = _draw_turns(
                    f"{seed}/{name}",
                    workload,
                    at_s,
                    duration_s,
                    mix.engine_parameters.decode_interval_s,
                )
                chats.append(PlannedChat(name, workspace, workload.rank, turns))
        for service in mix.service_calls:
            generator = random.Random(f"{seed}/{workspace}/{service.route}")
            surges = find_surges(workspace, service.rank)
            arrivals = draw_arrivals(
                generator, service.calls_per_s * share, duration_s, surges
            )
            calls += [
                PlannedCall(
                    f"{workspace}/{service.route}/{i}", at_s, workspace, service
                )
                for i, at_s in enumerate(arrivals)
            ]
    chats.sort(key=lambda chat: chat.turns[0].at_s)
    calls.sort(key=lambda call: call.at_s)
    return RequestPlan(duration_s, tuple(chats), tuple(calls))


def _draw_turns(
    seed: str,
    workload: ChatWorkload,
    start_s: float,
    end_s: float,
    decode_interval_s: float,
) -> tuple[PlannedTurn, ...]:
    generator = random.Random(seed)
    turns = [_draw_turn(generator, workload, start_s, workload.mean_opening_tokens)]
    return_probability = 1 - 1 / workload.mean_turns
    while len(turns) < MAX_TURNS and generator.random() < return_probability:
        answer_s = ASSUMED_FIRST_TOKEN_S + turns[-1].answer_tokens * decode_interval_s
        at_s = (
            turns[-1].at_s + answer_s + generator.expovariate(1 / workload.mean_pause_s)
        )
        if at_s >= end_s:
            break
        turns.append(_draw_turn(generator, workload, at_s, workload.mean_turn_tokens))
    return tuple(turns)


def _draw_turn(
    generator: random.Random, workload: ChatWorkload, at_s: float, message_tokens: int
) -> PlannedTurn:
    message_draw = generator.gammavariate(2, message_tokens / 2)
    answer_draw = generator.gammavariate(2, workload.mean_answer_tokens / 2)
    return PlannedTurn(
        at_s,
        max(MIN_MESSAGE_TOKENS, round(message_draw)),
        max(MIN_ANSWER_TOKENS, round(answer_draw)),
    )


def compute_decode_utilization(
    plan: RequestPlan, mix: WorkloadMix, start_s: float
) -> float:
    """Return the share of the engines' decode capacity that a plan requests.

    :param plan: planned requests.
    :param mix: deployment that receives them.
    :param start_s: start of the time that counts, which lasts to the end of the run.
    """
    tokens = sum(
        turn.answer_tokens
        for chat in plan.chats
        for turn in chat.turns
        if turn.at_s >= start_s
    )
    capacity_tokens_per_s = mix.engine_count * mix.engine_parameters.decode_tokens_per_s
    return tokens / capacity_tokens_per_s / (plan.duration_s - start_s)
