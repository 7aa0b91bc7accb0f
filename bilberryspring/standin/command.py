"""Command line program that runs the stand-ins, for development and tests only."""

import sys
from collections.abc import Callable
from dataclasses import dataclass

import uvloop
from aiohttp import web
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from pydantic import BaseModel

from bilberryspring.process.logs import close_logs, configure_logs
from bilberryspring.process.settings import load_settings
from bilberryspring.request.errors import Failure
from bilberryspring.standin.demo import DemoCommand
from bilberryspring.standin.engine import EngineSettings, make_engine_application
from bilberryspring.standin.instances import (
    InstanceListSettings,
    make_instance_list_application,
)
from bilberryspring.standin.key_value import (
    KeyValueSettings,
    make_key_value_application,
)
from bilberryspring.standin.proxy import ProxySettings, make_proxy_application
from bilberryspring.standin.service import ServiceSettings, make_service_application
from bilberryspring.standin.serving import serve_until_signalled

__all__ = ["STANDINS", "Standin", "register_standin", "make_program", "main"]

INVALID_SETTINGS_EXIT_CODE = 2


ApplicationFactory = Callable[[BaseModel], web.Application]


@dataclass(frozen=True, slots=True)
class Standin:
    """A stand-in program.

    :param name: name of the sub-command.
    :param description: help text of the sub-command, one line.
    :param settings: class of the settings.
    :param make_application: function that returns the application to serve.
    :param address_field: name of the setting with the address to serve it on.
    """

    name: str
    description: str
    settings: type[BaseModel]
    make_application: ApplicationFactory
    address_field: str


STANDINS: dict[str, Standin] = {}


def register_standin(
    name: str,
    description: str,
    settings: type[BaseModel],
    address_field: str = "address",
) -> Callable[[ApplicationFactory], ApplicationFactory]:
    """Return a decorator that registers an application factory as a stand-in program.

    :param name: name of the sub-command.
    :param description: help text of the sub-command, one line.
    :param settings: class of the settings.
    :param address_field: name of the setting with the address to serve it on.
    :returns: the decorator; it returns the factory unchanged.
    """

    def register(make_application: ApplicationFactory) -> ApplicationFactory:
        STANDINS[name] = Standin(
            name, description, settings, make_application, address_field
        )
        return make_application

    return register


register_standin("engine", "Serve a model engine", EngineSettings)(
    make_engine_application
)
register_standin("service", "Serve a plain service", ServiceSettings)(
    make_service_application
)
register_standin("key-value", "Serve the key-value service", KeyValueSettings)(
    make_key_value_application
)
register_standin("instances", "Serve the instance list", InstanceListSettings)(
    make_instance_list_application
)
register_standin(
    "proxy",
    "Run a fault-injecting TCP proxy",
    ProxySettings,
    address_field="control_address",
)(make_proxy_application)


def make_program() -> Application:
    """Return the command line program, with one sub-command per stand-in."""
    program = Application("bilberryspring-standin", "0.1.0")
    for standin in STANDINS.values():
        program.add(_make_command(standin))
    program.add(DemoCommand())
    return program


def _make_command(standin: Standin) -> Command:
    class StandinCommand(Command):
        name = standin.name
        description = standin.description
        options = [
            option("settings", "s", "File of JSON with comments", flag=False),
        ]

        def handle(self) -> int:
            return _run(standin, self.option("settings"))

    return StandinCommand()


def _run(standin: Standin, path: str | None) -> int:
    if not path:
        print("the option --settings is required", file=sys.stderr)
        return INVALID_SETTINGS_EXIT_CODE
    settings = load_settings(path, standin.settings)
    if isinstance(settings, Failure):
        print(settings.reason, file=sys.stderr)
        return INVALID_SETTINGS_EXIT_CODE
    configure_logs(standin=standin.name)
    try:
        uvloop.run(_serve(standin, settings))
    finally:
        close_logs()
    return 0


async def _serve(standin: Standin, settings: BaseModel) -> None:
    application = standin.make_application(settings)
    await serve_until_signalled(application, getattr(settings, standin.address_field))


def main() -> None:
    """Run the command line program."""
    sys.exit(make_program().run())


if __name__ == "__main__":
    main()
