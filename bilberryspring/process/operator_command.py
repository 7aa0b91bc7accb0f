"""Base class of the operator commands, with shared options and exit codes."""

import asyncio
import json
import os
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.outputs.output import Type

from bilberryspring.process.administration_client import (
    AdministrationClient,
    AdministrationResponse,
    OperatorSettings,
    make_administration_client,
)
from bilberryspring.process.settings import load_settings
from bilberryspring.request.errors import Failure, Outcome
from bilberryspring.version.document import check_document
from bilberryspring.version.objects import Configuration

__all__ = [
    "OperatorCommand",
    "DOCUMENT_ARGUMENT",
    "SETTINGS_OPTION",
    "JSON_OPTION",
    "EXIT_OK",
    "EXIT_FAILED",
    "EXIT_USAGE",
    "EXIT_FAULTS",
    "EXIT_CONFLICT",
    "EXIT_UNKNOWN",
    "EXIT_REFUSED",
]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_FAULTS = 3
EXIT_CONFLICT = 4
EXIT_UNKNOWN = 5
EXIT_REFUSED = 6

KEY_VARIABLE = "BILBERRYSPRING_OPERATOR_KEY"

DOCUMENT_ARGUMENT = argument("document", "JSON file; comments are allowed.")
SETTINGS_OPTION = option(
    "settings",
    "s",
    f"JSON file; comments are allowed. The environment variable {KEY_VARIABLE} "
    "overrides its operator_key.",
    flag=False,
    default="operator.json",
)
JSON_OPTION = option("json", None, "Print the result as JSON.", flag=True)

ClientAction = Callable[[AdministrationClient], Coroutine[Any, Any, int]]


class OperatorCommand(Command):
    """Base class of the commands, which loads settings and prints results."""

    def read_document(self) -> Configuration | None:
        """Read and validate the document argument.

        :returns: the configuration, or None after printing why it could not be read or
            every fault of the document.
        """
        path = self.argument("document")
        try:
            raw = Path(path).read_bytes()
        except OSError as error:
            self.write_line_error(f"{path}: {error.strerror}")
            return None
        checked = check_document(raw)
        if isinstance(checked, Configuration):
            return checked
        for fault in checked:
            self.write_line_error(
                f"{path}: {fault.path or 'document'}: {fault.message}"
            )
        return None

    def write_line(self, text: str) -> None:
        """Print a line to standard output without interpreting cleo markup."""
        self.io.output.write_line(text, type=Type.RAW)

    def write_line_error(self, text: str) -> None:
        """Print a line to standard error without interpreting cleo markup."""
        self.io.error_output.write_line(text, type=Type.RAW)

    def run_with_client(self, action: ClientAction) -> int:
        """Run an action with an administration client made from the settings file.

        :param action: coroutine function that takes the client and returns an exit
            code.
        :returns: the exit code of the action, or ``EXIT_USAGE`` if the settings are
            invalid.
        """
        settings = self._load_settings()
        if isinstance(settings, Failure):
            self.write_line_error(settings.reason)
            return EXIT_USAGE

        async def run() -> int:
            client = make_administration_client(settings)
            await client.start()
            try:
                return await action(client)
            finally:
                await client.close()

        return asyncio.run(run())

    def _load_settings(self) -> OperatorSettings | Failure:
        settings = load_settings(self.option("settings"), OperatorSettings)
        key = os.environ.get(KEY_VARIABLE)
        if isinstance(settings, Failure) or not key:
            return settings
        return settings.model_copy(update={"operator_key": key})

    def report_failure(self, response: AdministrationResponse | Failure) -> int:
        """Print an error response or failure to standard error.

        :param response: response with an error status, or failure of the call.
        :returns: exit code that fits the error.
        """
        if isinstance(response, Failure):
            self.write_line_error(f"{response.kind.value}: {response.reason}")
            is_unknown = response.outcome is Outcome.UNKNOWN
            return EXIT_UNKNOWN if is_unknown else EXIT_FAILED
        self.write_line_error(response.detail)
        for fault in response.document.get("faults", []):
            self.write_line_error(f"{fault['path'] or 'document'}: {fault['message']}")
        if "faults" in response.document:
            return EXIT_FAULTS
        if "accepted_version" in response.document:
            return EXIT_CONFLICT
        is_unknown = response.document.get("outcome") == Outcome.UNKNOWN.value
        return EXIT_UNKNOWN if is_unknown else EXIT_FAILED

    def print_response(
        self,
        response: AdministrationResponse | Failure,
        format_document: Callable[[dict[str, Any]], str],
    ) -> int:
        """Print a response, as JSON with ``--json``, or the error that it reports.

        :param response: response of a router, or failure of the call.
        :param format_document: returns the text to print for the response document.
        :returns: exit code of the command.
        """
        if isinstance(response, Failure) or not response.is_ok:
            return self.report_failure(response)
        if self.option("json"):
            self.write_line(json.dumps(response.document))
        else:
            self.write_line(format_document(response.document))
        return EXIT_OK
