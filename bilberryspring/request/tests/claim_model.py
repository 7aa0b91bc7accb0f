"""Model checker for the claim protocol: exhaustive search of a bounded state space.

The model runs the production coroutines: `run_at_most_once` with a `ClaimStore` for
each agent. Only the key-value service, the backend server and the clocks are simulated.
Each await on them suspends the coroutine. The explorer selects the next event and
visits every state that any order of events reaches, within the bounds on faults.

Coroutines cannot be copied, so a state is restored by replaying its choices.
"""

from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass, field
from typing import Any

from bilberryspring.capability.store import (
    Delete,
    Transaction,
    TransactionResult,
)
from bilberryspring.identifiers import digest_content
from bilberryspring.request import claim_sweeps
from bilberryspring.request.at_most_once import (
    KeyedRequest,
    ServiceResponse,
    run_at_most_once,
)
from bilberryspring.request.claim_protocol import StoredResponse
from bilberryspring.request.claim_values import (
    ClaimState,
    decode_claim_value,
    make_claim_group,
)
from bilberryspring.request.claims import ClaimStore
from bilberryspring.request.errors import ErrorKind, Failure, Outcome, make_failure
from bilberryspring.request.idempotency import (
    MAX_CLOCK_SKEW_S,
    format_key_time,
    make_idempotency_key,
)
from bilberryspring.request.tests.claim_model_service import (
    ClosedBreaker,
    ModelStore,
    fail,
)

START_S = 1_800_000_000.0
DEADLINE_S = 100.0
RETENTION_S = 10_000.0
# Longer than the grace period after a deadline in which a holder may release a claim.
TIME_STEP_MARGIN_S = 10.0
KEY = make_idempotency_key(START_S)
DIGEST = digest_content(b"content")

Choice = tuple[str, int]


class Suspend:
    """Awaitable that passes a message to the explorer and returns its reply."""

    def __init__(self, message: "Transaction | str") -> None:
        self.message = message

    def __await__(self):
        return (yield self.message)


@dataclass(eq=False)
class Task:
    """Coroutine of one agent, and the message whose reply it awaits.

    :ivar awaited: transaction, or ``"send"`` for a call to the backend server.
    :ivar computed_reply: reply of the service that is not delivered yet.
    :ivar replies: replies delivered so far.
    """

    agent: int
    name: str
    coroutine: Coroutine[Any, Any, Any]
    awaited: Transaction | str | None = None
    computed_reply: TransactionResult | Failure | None = None
    replies: tuple[object, ...] = ()
    result: object = None
    is_done: bool = False

    @property
    def is_final_write(self) -> bool:
        return not self.name.startswith("request")

    def resume(self, reply: object) -> None:
        self.computed_reply = None
        self.replies += (reply,)
        try:
            self.awaited = self.coroutine.send(reply)
        except StopIteration as stop:
            self.awaited, self.result, self.is_done = None, stop.value, True


@dataclass(frozen=True)
class Bounds:
    """Bounds of the state space.

    :param agents: agent of each request; all requests use one key and start in this
        order.
    :param losses: maximum number of lost replies and messages.
    :param kills: maximum number of times that an agent is killed and restarted.
    :param time_steps: number of time steps, in this order: past the deadlines; to
        shortly before the end of the retention; past the retention.
    :param lease_drops: maximum number of times that the service drops all leases.
    :param sweeps: maximum number of sweeps, each by a clock with the maximum skew.
    """

    agents: tuple[int, ...]
    losses: int
    kills: int
    time_steps: int
    lease_drops: int = 0
    sweeps: int = 0


@dataclass
class ViolationError(Exception):
    """Violation of an invariant, with the choices that lead to it."""

    rule: str
    choices: tuple[Choice, ...] = ()

    def __str__(self) -> str:
        return f"{self.rule}: {' '.join(f'{n}({i})' for n, i in self.choices)}"


@dataclass
class World:
    """State of the model, reached by replaying choices from the initial state."""

    bounds: Bounds
    store: ModelStore = field(default_factory=ModelStore)
    stores: dict[int, ClaimStore] = field(default_factory=dict)
    tasks: list[Task] = field(default_factory=list)
    delayed_messages: list[Transaction | str] = field(default_factory=list)
    executions: tuple[str, ...] = ()
    started: int = 0
    losses: int = 0
    kills: int = 0
    time_steps: int = 0
    lease_drops: int = 0
    sweeps: int = 0
    tokens: int = 0
    clock_s: float = 0.0
    wall_s: float = START_S

    def __post_init__(self) -> None:
        for agent in set(self.bounds.agents):
            self._start_agent(agent)

    def _start_agent(self, agent: int) -> None:
        self.stores[agent] = ClaimStore(
            f"agent-{agent}",
            RETENTION_S,
            self._submit,
            ClosedBreaker(),
            1.0,
            clock=lambda: self.clock_s,
            wall_clock=lambda: self.wall_s,
            make_token=self._make_token,
            record_wait_s=0.0,
        )

    def _make_token(self) -> bytes:
        self.tokens += 1
        return b"t%d" % self.tokens

    async def _submit(self, transaction: Transaction) -> TransactionResult | Failure:
        return await Suspend(transaction)

    def _spawn(self, agent: int, name: str, coroutine: Coroutine) -> None:
        task = Task(agent, name, coroutine)
        self.tasks.append(task)
        task.resume(None)

    def choices(self) -> Iterator[Choice]:
        """Yield every event that may happen next."""
        if self.started < len(self.bounds.agents):
            yield "start", self.started
        may_lose = self.losses < self.bounds.losses
        for index, task in enumerate(self.tasks):
            yield from self._task_choices(index, task, may_lose)
        for index in range(len(self.delayed_messages)):
            yield "take_effect_late", index
        for agent, claims in self.stores.items():
            for index, final_write in enumerate(claims.held.final_writer.pending):
                name = f"write_final {final_write.transaction}"
                if not any(a.name == name and not a.is_done for a in self.tasks):
                    yield "write_final", agent * 10 + index
        if self.kills < self.bounds.kills:
            yield from (("kill", agent) for agent in self.stores)
        if self.time_steps < self.bounds.time_steps:
            yield "pass_time", self.time_steps
        if self.lease_drops < self.bounds.lease_drops:
            yield "drop_leases", self.lease_drops
        if self.sweeps < self.bounds.sweeps:
            yield "sweep", self.sweeps

    def _task_choices(self, index: int, task: Task, may_lose: bool) -> Iterator[Choice]:
        if task.awaited is None:
            return
        if task.awaited == "send":
            yield "run", index
            if may_lose:
                yield "run_without_reply", index
                yield "send_with_delayed_effect", index
                yield "refuse_connection", index
            return
        yield ("apply" if task.computed_reply is None else "deliver"), index
        if may_lose:
            yield "lose", index
            if task.computed_reply is None:
                yield "reject", index

    def take(self, choice: Choice) -> None:
        """Apply one event, then check the invariants."""
        name, index = choice
        getattr(self, f"_{name}")(index)
        # A finished final write has no state besides its effect.
        self.tasks = [a for a in self.tasks if not (a.is_done and a.is_final_write)]
        self._check()

    def _start(self, index: int) -> None:
        self.started += 1
        agent = self.bounds.agents[index]
        deadline_s = self.clock_s + DEADLINE_S
        request = KeyedRequest("w", "r", KEY, DIGEST, deadline_s)

        async def send() -> ServiceResponse | Failure:
            return await Suspend("send")

        run = run_at_most_once(self.stores[agent], request, send)
        self._spawn(agent, f"request {index}", run)

    def _apply(self, index: int) -> None:
        task = self.tasks[index]
        task.computed_reply = self.store.transact(task.awaited)

    def _deliver(self, index: int) -> None:
        task = self.tasks[index]
        task.resume(task.computed_reply)

    def _lose(self, index: int) -> None:
        self.losses += 1
        task = self.tasks[index]
        if task.computed_reply is None:
            self.delayed_messages.append(task.awaited)
        task.resume(fail("lost", Outcome.UNKNOWN))

    def _reject(self, index: int) -> None:
        self.losses += 1
        self.tasks[index].resume(fail("refused", Outcome.NOT_RUN))

    def _run(self, index: int) -> None:
        task = self.tasks[index]
        self.executions += (task.name,)
        task.resume(ServiceResponse(200, "text/plain", b"done"))

    def _run_without_reply(self, index: int) -> None:
        self.losses += 1
        task = self.tasks[index]
        self.executions += (task.name,)
        task.resume(make_failure(ErrorKind.BACKEND_FAILED))

    def _send_with_delayed_effect(self, index: int) -> None:
        self.losses += 1
        task = self.tasks[index]
        self.delayed_messages.append(task.name)
        task.resume(make_failure(ErrorKind.BACKEND_FAILED))

    def _refuse_connection(self, index: int) -> None:
        self.losses += 1
        self.tasks[index].resume(make_failure(ErrorKind.BACKEND_UNREACHABLE))

    def _take_effect_late(self, index: int) -> None:
        message = self.delayed_messages.pop(index)
        if isinstance(message, str):
            self.executions += (message,)
        else:
            self.store.transact(message)

    def _write_final(self, index: int) -> None:
        agent, position = divmod(index, 10)
        final_writer = self.stores[agent].held.final_writer
        final_write = final_writer.pending[position]
        name = f"write_final {final_write.transaction}"
        self._spawn(agent, name, final_writer.write(final_write))

    def _kill(self, agent: int) -> None:
        self.kills += 1
        for task in self.tasks:
            if task.agent != agent or task.is_done:
                continue
            if isinstance(task.awaited, Transaction) and not task.computed_reply:
                self.delayed_messages.append(task.awaited)
            task.coroutine.close()
            task.awaited, task.is_done = None, True
        self._start_agent(agent)

    def _pass_time(self, step: int) -> None:
        """Advance past the deadlines, then to and past the end of the retention.

        Only the wall clock advances in the later steps, as while machines are
        suspended.
        """
        self.time_steps += 1
        if step == 0:
            self.clock_s += DEADLINE_S + TIME_STEP_MARGIN_S
            self.wall_s += DEADLINE_S + TIME_STEP_MARGIN_S
        elif step == 1:
            self.wall_s = START_S + RETENTION_S - TIME_STEP_MARGIN_S
        else:
            self.wall_s = START_S + RETENTION_S + TIME_STEP_MARGIN_S

    def _drop_leases(self, number: int) -> None:
        self.lease_drops += 1
        self.store.drop_leases()

    def _sweep(self, number: int) -> None:
        """Delete old claims by clocks that are ahead by the maximum skew."""
        self.sweeps += 1
        now_s = self.wall_s + MAX_CLOCK_SKEW_S
        last_sweep = claim_sweeps.SweepRecord(
            instance_id="other", started_s=now_s, retention_s=RETENTION_S
        )
        cutoff_s = claim_sweeps.compute_cutoff(last_sweep, now_s, RETENTION_S)
        group = make_claim_group("r", "w")
        range_end = group + format_key_time(cutoff_s)
        self.store.delete_range(Delete(group, range_end=range_end))

    def close(self) -> None:
        """Close every coroutine."""
        for task in self.tasks:
            task.coroutine.close()

    def _check(self) -> None:
        if len(self.executions) > 1:
            raise ViolationError("ran twice")
        for task in self.tasks:
            result = task.result
            has_run = task.name in self.executions
            if isinstance(result, Failure) and result.outcome is Outcome.NOT_RUN:
                if has_run:
                    raise ViolationError("not run, but it ran")
            has_stored_outcome = isinstance(result, StoredResponse)
            if has_stored_outcome and not self.executions:
                raise ViolationError("stored outcome of nothing")
        if self._is_stuck():
            raise ViolationError("key held although nothing was sent")

    def _is_stuck(self) -> bool:
        """Return whether a key is claimed but no coroutine is left to release it.

        After the retention this does not matter: the key is refused for its age.
        """
        if self.kills or self.executions or self.time_steps > 2:
            return False
        if any(claims.held.final_writer.pending for claims in self.stores.values()):
            return False
        if any(not a.is_done for a in self.tasks):
            return False
        if any(isinstance(message, str) for message in self.delayed_messages):
            return False
        values = [decode_claim_value(i.value) for i in self.store.items.values()]
        return any(value.state is ClaimState.CLAIMED for value in values)

    def signature(self) -> tuple[object, ...]:
        """Return the part of the state that determines all further behavior."""
        return (
            tuple(self.store.items.values()),
            tuple(map(repr, self.delayed_messages)),
            self.executions,
            self.started,
            self.losses,
            self.kills,
            self.time_steps,
            self.lease_drops,
            self.sweeps,
            tuple(
                (a.agent, a.name, a.replies, a.computed_reply, a.is_done)
                for a in self.tasks
            ),
            tuple(
                tuple(s.transaction for s in claims.held.final_writer.pending)
                for claims in self.stores.values()
            ),
        )


def explore(bounds: Bounds, on_state: Callable[[World], None] | None = None) -> int:
    """Visit every reachable state once, depth first.

    :param bounds: bounds of the state space.
    :param on_state: called in each state; ``None`` calls nothing.
    :returns: number of states.
    :raises ViolationError: in the first state that violates an invariant.
    """
    seen: set[int] = set()
    pending: list[tuple[Choice, ...]] = [()]
    while pending:
        choices = pending.pop()
        world = World(bounds)
        try:
            for choice in choices:
                world.take(choice)
            while hash(world.signature()) not in seen:
                seen.add(hash(world.signature()))
                if on_state is not None:
                    on_state(world)
                first, *others = [*world.choices(), None]
                if first is None:
                    break
                pending += [(*choices, other) for other in others if other is not None]
                choices = (*choices, first)
                world.take(first)
        except ViolationError as violation:
            raise ViolationError(violation.rule, choices) from None
        finally:
            world.close()
    return len(seen)
