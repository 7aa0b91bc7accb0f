"""Demonstration: the Printing Works fleet serves a chat and runs a print order once."""

import asyncio
import signal
import tempfile
import time
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option

from bilberryspring.request.idempotency import make_idempotency_key
from bilberryspring.standin.callers import ChatEvent, find_answer_errors
from bilberryspring.standin.deployments import (
    DEPLOYMENTS,
    RunningDeployment,
    start_deployment,
)
from bilberryspring.standin.fleet import Fleet, make_fleet

__all__ = ["run_demo", "DemoCommand"]

WORKSPACE_KEY = "test-key-cankaya-clerks"
MODEL = "roll-writer-large"
ENGINE_VERSION = "engine-1"
ANSWER_TOKENS = 40
QUESTION = "Compose the muster roll of ward seven in Cankaya, one name a line."
ORDER = b'{"document": "muster roll of ward seven", "copies": 120}'


async def run_demo(keeps_running: bool = False) -> bool:
    """Run the demonstration and print its progress.

    :param keeps_running: whether to keep the fleet running until SIGTERM or SIGINT.
    :returns: whether the answer was complete, the order ran exactly once and every
        process exited with code zero.
    """
    deployment = DEPLOYMENTS["printing-works"]
    with tempfile.TemporaryDirectory(prefix="bilberryspring-") as directory:
        async with make_fleet(Path(directory), deployment.region) as fleet:
            print("Starting the Printing Works fleet with stand-ins ...")
            started_s = time.monotonic()
            running = await start_deployment(fleet, deployment)
            duration_s = time.monotonic() - started_s
            print(
                f"{len(fleet.processes)} processes are ready in {duration_s:.1f} s.\n"
            )
            are_successful = [
                await show_chat(fleet, running),
                await show_print_order(fleet, running),
                await show_addresses(running, keeps_running),
                await show_stop(fleet),
            ]
    return all(are_successful)


async def show_chat(fleet: Fleet, running: RunningDeployment) -> bool:
    """Stream one chat answer to the terminal.

    :param fleet: the fleet.
    :param running: nodes of the fleet.
    :returns: whether the answer was complete and correct.
    """
    print(f"Caller: {QUESTION}")
    print("Answer: ", end="")
    record = await fleet.chat(
        running.routers[0],
        WORKSPACE_KEY,
        [{"role": "user", "content": QUESTION}],
        model=MODEL,
        max_tokens=ANSWER_TOKENS,
        on_event=_print_event_text,
    )
    errors = find_answer_errors(record, MODEL, ENGINE_VERSION)
    print(f"\n{len(record.events)} events, {'whole' if not errors else errors}.\n")
    return not errors


async def _print_event_text(event: ChatEvent) -> None:
    print(event.text, end="", flush=True)


async def show_print_order(fleet: Fleet, running: RunningDeployment) -> bool:
    """Send a print order twice with one idempotency key, through two routers.

    :param fleet: the fleet.
    :param running: nodes of the fleet.
    :returns: whether the order ran once and both responses were the same.
    """
    key = make_idempotency_key(time.time())
    print(f"Print order with the idempotency key {key}, sent through two routers:")
    responses = []
    for router in running.routers[:2]:
        record = await fleet.call_service(
            router, WORKSPACE_KEY, "print-orders", ORDER, idempotency_key=key
        )
        print(f"  {router.instance_id}: {record.status} {record.body.decode().strip()}")
        responses.append((record.status, record.body))
    runs = [
        run
        for node in running.services
        for run in fleet.read_runs(node)
        if run["idempotency_key"] == key
    ]
    print(f"The print order desk's journals show {len(runs)} run.\n")
    return len(runs) == 1 and responses[0] == responses[1] and responses[0][0] == 200


async def show_addresses(running: RunningDeployment, keeps_running: bool) -> bool:
    """Print the addresses of the routers and wait for a signal, if asked to.

    :param running: nodes of the fleet.
    :param keeps_running: whether to print and wait; nothing happens otherwise.
    :returns: always true.
    """
    if keeps_running:
        addresses = " ".join(router.caller_address for router in running.routers)
        print(f"Routers: {addresses}")
        print(f"Workspace key: {WORKSPACE_KEY}")
        print("The fleet runs until Ctrl-C.", flush=True)
        stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop_requested.set)
        await stop_requested.wait()
    return True


async def show_stop(fleet: Fleet) -> bool:
    """Stop every process, routers first, and print how many failed.

    :param fleet: the fleet.
    :returns: whether every process exited with code zero.
    """
    codes = await fleet.stop_all()
    failed = {name: code for name, code in codes.items() if code != 0}
    print(
        f"{len(codes)} processes stopped, {len(failed)} with an error. {failed or ''}"
    )
    return not failed


class DemoCommand(Command):
    """Sub-command that runs the demonstration."""

    name = "demo"
    description = "Run the Printing Works fleet with stand-ins and show what it does"
    options = [option("serve", None, "Keep the fleet running until Ctrl-C")]

    def handle(self) -> int:
        """Run the demonstration and return zero if it succeeded, else one."""
        return 0 if asyncio.run(run_demo(self.option("serve"))) else 1
