"""Development command that replays overload traces on a virtual clock."""

import itertools
import json
from dataclasses import asdict
from pathlib import Path
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option

from bilberryspring.load.replay import replay_trace
from bilberryspring.load.replay_bound import compute_worth_bound
from bilberryspring.load.replay_results import ReplayResult
from bilberryspring.load.replay_trace import OVERLOADS, draw_trace
from bilberryspring.policy.ordering import DEFAULT_ORDER_POLICY, ORDER_POLICIES
from bilberryspring.policy.waiting import DEFAULT_WAITING_POLICY, WAITING_POLICIES

__all__ = ["ReplayCommand", "format_replay_row"]

EXIT_BAD_USAGE = 2
TABLE_HEADER = (
    "| trace | seed | waiting | order | worth | bound | small in time | tries |"
    " wasted | rank: requests, in time, served, wait p95 s, returned, served then |"
)


class ReplayCommand(Command):
    """Replays overload traces with the given policies and prints a table of results."""

    name = "replay"
    description = "Replay overloads against the admission on a virtual clock"
    options = [
        option("overload", None, "Overload; all by default", flag=False, multiple=True),
        option("seed", None, "Seed of the trace", flag=False, multiple=True),
        option("waiting", None, "Waiting policy", flag=False, multiple=True),
        option("order", None, "Order policy", flag=False, multiple=True),
        option("duration-s", None, "Length of a trace", flag=False, default="120"),
        option("json", None, "File to write the results to", flag=False),
    ]

    def handle(self) -> int:
        """Run the command and return the exit status."""
        overloads = self.option("overload") or list(OVERLOADS)
        waitings = self.option("waiting") or [DEFAULT_WAITING_POLICY]
        orders = self.option("order") or [DEFAULT_ORDER_POLICY]
        for selected, known in (
            (overloads, OVERLOADS),
            (waitings, WAITING_POLICIES),
            (orders, ORDER_POLICIES),
        ):
            if not set(selected) <= known.keys():
                self.line_error(f"expected one of {', '.join(sorted(known))}")
                return EXIT_BAD_USAGE
        seeds = [int(seed) for seed in self.option("seed") or ["1"]]
        self.line(TABLE_HEADER)
        self.line("|" + "---|" * 10)
        rows = [
            self._replay(overload, seed, waiting, order)
            for overload, seed, waiting, order in itertools.product(
                overloads, seeds, waitings, orders
            )
        ]
        if self.option("json"):
            text = json.dumps(rows, indent=1)
            Path(self.option("json")).write_text(text, encoding="utf-8")
        return 0

    def _replay(
        self, overload: str, seed: int, waiting: str, order: str
    ) -> dict[str, Any]:
        trace = draw_trace(overload, seed, duration_s=float(self.option("duration-s")))
        result = replay_trace(trace, waiting_policy=waiting, order_policy=order)
        bound = compute_worth_bound(trace)
        self.line(format_replay_row(result, seed, waiting, order, bound))
        return {
            "trace": overload,
            "seed": seed,
            "waiting": waiting,
            "order": order,
            "worth": result.worth,
            "bound": bound,
            "small_in_time": result.small_in_time,
            "tries": result.tries,
            "wasted": result.wasted,
            "ranks": {name: asdict(rank) for name, rank in result.ranks.items()},
        }


def format_replay_row(
    result: ReplayResult, seed: int, waiting: str, order: str, bound: float
) -> str:
    """Return one row of the Markdown table.

    :param result: summary of the replay.
    :param seed: seed of the trace.
    :param waiting: name of the waiting policy.
    :param order: name of the order policy.
    :param bound: upper bound of the worth, as a share of the offered benefit.
    """
    ranks = "; ".join(
        f"{name}: {rank.requests}, {rank.in_time:.2f}, {rank.served:.2f},"
        f" {rank.wait_p95_s:.1f}, {rank.returned}, {rank.served_at_return:.2f}"
        for name, rank in sorted(result.ranks.items())
    )
    return (
        f"| {result.trace} | {seed} | {waiting} | {order} | {result.worth:.3f} |"
        f" {bound:.3f} | {result.small_in_time:.2f} | {result.tries:.2f} |"
        f" {result.wasted:.2f} | {ranks} |"
    )
