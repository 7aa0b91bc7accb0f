"""Entry point of long-running programs: settings, event loop, signals and shutdown."""

import asyncio
import signal
import sys
from collections.abc import Callable
from typing import Any, Protocol

import uvloop
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.argv_input import ArgvInput

from bilberryspring import __version__
from bilberryspring.process.logs import close_logs, configure_logs, log_event
from bilberryspring.process.settings import ProcessSettings, load_settings
from bilberryspring.request.errors import Failure

__all__ = ["Program", "run_program", "run_until_stopped"]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVALID_SETTINGS = 2
SETTINGS_OPTION = option(
    "settings",
    "s",
    "JSON file with the settings; comments are allowed.",
    flag=False,
    value_required=True,
    default="settings.json",
)


class Program(Protocol):
    """Process object with a lifecycle of start, drain and close."""

    async def start(self) -> None:
        """Start serving."""

    async def drain(self) -> None:
        """Refuse new requests and finish the current ones."""

    async def close(self) -> None:
        """Stop serving and release all resources."""


async def run_until_stopped(program: Program) -> None:
    """Run a program until SIGTERM or SIGINT, then drain and close it.

    A second signal interrupts the drain.

    :param program: process object to run.
    """
    loop = asyncio.get_running_loop()
    first_signal = asyncio.Event()
    second_signal = asyncio.Event()

    def handle_signal() -> None:
        (second_signal if first_signal.is_set() else first_signal).set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, handle_signal)
    await program.start()
    log_event("ready")
    await first_signal.wait()
    log_event("draining")
    drain_task = asyncio.create_task(program.drain())
    interruption = asyncio.create_task(second_signal.wait())
    await asyncio.wait([drain_task, interruption], return_when=asyncio.FIRST_COMPLETED)
    for task in (drain_task, interruption):
        task.cancel()
    await asyncio.gather(drain_task, interruption, return_exceptions=True)
    await program.close()
    log_event("stopped")


def run_program(
    name: str,
    settings_model: type[ProcessSettings],
    make_program: Callable[[Any], Program],
) -> int:
    """Run the command line of a program.

    :param name: name of the program.
    :param settings_model: model that validates its settings.
    :param make_program: makes the process object from validated settings.
    :returns: exit code: 0 after a clean shutdown, 1 if the program could not start, 2
        for invalid settings or arguments.
    """

    program_name = name

    def load_command_settings(command: Command) -> Any | None:
        settings = load_settings(command.option("settings"), settings_model)
        if isinstance(settings, Failure):
            command.line_error(f"<error>{settings.reason}</error>")
            return None
        return settings

    class Serve(Command):
        """Run the program until it gets a stop signal."""

        name = "serve"
        description = "Runs until SIGTERM or SIGINT (default command)."
        options = [SETTINGS_OPTION]

        def handle(self) -> int:
            settings = load_command_settings(self)
            if settings is None:
                return EXIT_INVALID_SETTINGS
            return _serve(make_program, program_name, settings)

    class Check(Command):
        """Validate the settings file."""

        name = "check"
        description = "Validates the settings file and exits."
        options = [SETTINGS_OPTION]

        def handle(self) -> int:
            if load_command_settings(self) is None:
                return EXIT_INVALID_SETTINGS
            self.line(f"{self.option('settings')}: settings are valid")
            return EXIT_OK

    application = Application(name, __version__)
    application.add(Serve())
    application.add(Check())
    application.auto_exits(False)
    arguments = sys.argv[1:]
    if arguments and arguments[0].startswith(("--settings", "-s")):
        arguments.insert(0, Serve.name)
    return application.run(ArgvInput([name, *arguments]))


def _serve(
    make_program: Callable[[Any], Program], name: str, settings: ProcessSettings
) -> int:
    async def main() -> None:
        await run_until_stopped(make_program(settings))

    configure_logs(settings.log_level, instance=settings.instance_id)
    log_event(
        "started",
        program=name,
        build=__version__,
        availability_zone=settings.availability_zone,
        region=settings.region,
    )
    try:
        uvloop.run(main())
    except OSError as error:
        log_event("start_failed", level="ERROR", error=str(error))
        return EXIT_FAILED
    finally:
        close_logs()
    return EXIT_OK
