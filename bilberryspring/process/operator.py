"""Command-line program for operators of the fleet."""

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import Any, ClassVar
from urllib.parse import quote

from cleo.application import Application
from cleo.helpers import argument, option

from bilberryspring import __version__
from bilberryspring.process.administration_client import (
    AdministrationClient,
    AdministrationResponse,
)
from bilberryspring.process.operator_command import (
    DOCUMENT_ARGUMENT,
    EXIT_FAILED,
    EXIT_FAULTS,
    EXIT_OK,
    EXIT_UNKNOWN,
    EXIT_USAGE,
    JSON_OPTION,
    SETTINGS_OPTION,
    OperatorCommand,
)
from bilberryspring.process.operator_output import (
    describe_timeline,
    format_explanation,
    format_history,
    format_status,
    format_timeline,
)
from bilberryspring.process.placement_command import ExplainRequestCommand
from bilberryspring.process.request_timeline import (
    build_request_timeline,
    read_log_lines,
)
from bilberryspring.request.errors import ErrorKind, Failure, make_failure
from bilberryspring.version.difference import list_differences
from bilberryspring.version.document import check_document, encode_document
from bilberryspring.version.objects import Configuration
from bilberryspring.version.publish import make_token

__all__ = ["make_operator_program", "main"]

ROLLOUT_TIMEOUT_S = 10.0
ROLLOUT_POLL_INTERVAL_S = 0.2


class CheckCommand(OperatorCommand):
    """Validate a configuration document without contacting a router."""

    name = "check"
    description = "Validates a document and lists every fault with its path."
    arguments: ClassVar[list] = [DOCUMENT_ARGUMENT]

    def handle(self) -> int:
        """Check the document and print whether it is valid."""
        if self.read_document() is None:
            return EXIT_FAULTS
        self.write_line(f"{self.argument('document')}: valid")
        return EXIT_OK


class DiffCommand(OperatorCommand):
    """Compare a document with the configuration version in force."""

    name = "diff"
    description = "Lists the changes that a document makes to the version in force."
    arguments: ClassVar[list] = [DOCUMENT_ARGUMENT]
    options: ClassVar[list] = [SETTINGS_OPTION]

    def handle(self) -> int:
        """Print the differences between the document and the version in force."""
        configuration = self.read_document()
        if configuration is None:
            return EXIT_FAULTS
        return self.run_with_client(lambda client: self._diff(client, configuration))

    async def _diff(
        self, client: AdministrationClient, configuration: Configuration
    ) -> int:
        response = await client.call("GET", "/v1/configuration")
        if isinstance(response, Failure):
            return self.report_failure(response)
        base, version = Configuration(), 0
        if response.is_ok:
            base, version = check_document(response.body), response.version
        elif not _has_no_configuration(response):
            return self.report_failure(response)
        if not isinstance(base, Configuration):
            return self.report_failure(
                make_failure(
                    ErrorKind.INTERNAL,
                    "the router returned an invalid configuration document",
                )
            )
        self.write_line(f"base version: {version}")
        for difference in list_differences(base, configuration):
            self.write_line(str(difference))
        return EXIT_OK


def _has_no_configuration(response: AdministrationResponse) -> bool:
    kind = ErrorKind.CONFIGURATION_UNAVAILABLE.value
    return str(response.document.get("type", "")).endswith(kind)


class PublishCommand(OperatorCommand):
    """Publish a document as the successor of a configuration version."""

    name = "publish"
    description = "Publishes a document; it is accepted or rejected as a whole."
    arguments: ClassVar[list] = [DOCUMENT_ARGUMENT]
    options: ClassVar[list] = [
        SETTINGS_OPTION,
        option("base", "b", "Version that the document is based on.", flag=False),
        option(
            "token",
            None,
            "Token of a publication with unknown outcome, to retry it.",
            flag=False,
        ),
        option(
            "wait", "w", "Wait until the version is in force at all nodes.", flag=True
        ),
    ]

    def handle(self) -> int:
        """Publish the document and print the version that it is accepted as."""
        base = self.option("base")
        if base is None or not base.isdigit():
            self.write_line_error(
                "--base: expected the version that the document is based on "
                "(0 for the first); diff prints the version in force"
            )
            return EXIT_USAGE
        configuration = self.read_document()
        if configuration is None:
            return EXIT_FAULTS
        return self.run_with_client(
            lambda client: self._publish(client, configuration, int(base))
        )

    async def _publish(
        self, client: AdministrationClient, configuration: Configuration, base: int
    ) -> int:
        token = self.option("token") or make_token()
        document = encode_document(configuration)
        is_retry = bool(self.option("token"))
        response = await client.publish(document, base, token, is_retry)
        if isinstance(response, Failure) or not response.is_ok:
            code = self.report_failure(response)
            if code == EXIT_UNKNOWN:
                self.write_line_error(
                    f"to retry the publication, repeat the command with --token {token}"
                )
            return code
        version = response.document["version"]
        self.write_line(f"accepted as version {version}")
        if not self.option("wait"):
            return EXIT_OK
        return await self._wait_for_rollout(client, version)

    async def _wait_for_rollout(
        self, client: AdministrationClient, version: int
    ) -> int:
        deadline_s = time.monotonic() + ROLLOUT_TIMEOUT_S
        while True:
            response = await client.call("GET", "/v1/status")
            if isinstance(response, Failure) or not response.is_ok:
                return self.report_failure(response)
            outdated = [
                node["instance_id"]
                for node in response.document["nodes"]
                if not node["state"] or node["state"]["configuration_version"] < version
            ]
            if not outdated:
                count = len(response.document["nodes"])
                self.write_line(f"in force at {count} nodes")
                return EXIT_OK
            if time.monotonic() > deadline_s:
                self.write_line_error(
                    f"not confirmed to be in force at: {', '.join(outdated)}"
                )
                return EXIT_FAILED
            await asyncio.sleep(ROLLOUT_POLL_INTERVAL_S)


class HistoryCommand(OperatorCommand):
    """List the accepted configuration versions."""

    name = "history"
    description = "Lists accepted configuration versions, newest first."
    options: ClassVar[list] = [
        SETTINGS_OPTION,
        JSON_OPTION,
        option("before", None, "List only versions below this one.", flag=False),
        option("limit", "l", "Maximum number of versions.", flag=False, default="20"),
    ]

    def handle(self) -> int:
        """Fetch the history and print it."""
        path = f"/v1/configuration/history?limit={quote(self.option('limit'))}"
        if self.option("before"):
            path += f"&before={quote(self.option('before'))}"

        async def action(client: AdministrationClient) -> int:
            return self.print_response(await client.call("GET", path), format_history)

        return self.run_with_client(action)


class StatusCommand(OperatorCommand):
    """Show the status of every node."""

    name = "status"
    description = "Shows configuration version, load and state of every node."
    options: ClassVar[list] = [SETTINGS_OPTION, JSON_OPTION]

    def handle(self) -> int:
        """Fetch the status of all nodes and print it."""

        async def action(client: AdministrationClient) -> int:
            return self.print_response(
                await client.call("GET", "/v1/status"), format_status
            )

        return self.run_with_client(action)


class DrainCommand(OperatorCommand):
    """Drain an instance."""

    name = "drain"
    description = "Makes an instance refuse new requests and finish current ones."
    arguments: ClassVar[list] = [argument("instance", "Instance id.")]
    options: ClassVar[list] = [SETTINGS_OPTION, JSON_OPTION]

    def handle(self) -> int:
        """Request the drain of the instance and print the result."""
        path = f"/v1/instances/{quote(self.argument('instance'), safe='')}/drain"

        async def action(client: AdministrationClient) -> int:
            response = await client.call("POST", path)
            return self.print_response(
                response, lambda body: f"{body['instance_id']}: draining"
            )

        return self.run_with_client(action)


class OrderCommand(OperatorCommand):
    """Send an order, such as ``load_adapter``, to the engine of an agent."""

    name = "order"
    description = "Sends an order to an agent's engine, such as to load an adapter."
    arguments: ClassVar[list] = [
        argument("instance", "Instance id of the agent."),
        argument("order", "Kind of the order, such as load_adapter."),
        argument("target", "Object of the order, such as an adapter's name."),
    ]
    options: ClassVar[list] = [SETTINGS_OPTION, JSON_OPTION]

    def handle(self) -> int:
        """Send the order and print the fencing token of its execution."""
        path = f"/v1/instances/{quote(self.argument('instance'), safe='')}/orders"
        order = {"order": self.argument("order"), "target": self.argument("target")}

        async def action(client: AdministrationClient) -> int:
            response = await client.call("POST", path, json.dumps(order).encode())
            return self.print_response(
                response, lambda body: f"executed with fencing token {body['fencing']}"
            )

        return self.run_with_client(action)


class ExplainPlacementCommand(OperatorCommand):
    """Show the placement of a chat completion request."""

    name = "explain-placement"
    description = "Shows the instances that a chat would be sent to, in order."
    arguments: ClassVar[list] = [
        argument("workspace", "Workspace that sends the chat."),
        argument("chat", "JSON file with the body of the chat completion request."),
    ]
    options: ClassVar[list] = [
        SETTINGS_OPTION,
        JSON_OPTION,
        option("chat-key", None, "Value of the X-Chat-Key header.", flag=False),
    ]

    def handle(self) -> int:
        """Fetch the placement of the chat and print it."""
        path = self.argument("chat")
        try:
            chat = json.loads(Path(path).read_bytes())
        except (OSError, ValueError) as error:
            self.write_line_error(f"{path}: {error}")
            return EXIT_USAGE
        payload: dict[str, Any] = {
            "workspace": self.argument("workspace"),
            "chat": chat,
        }
        if self.option("chat-key"):
            payload["headers"] = {"x-chat-key": self.option("chat-key")}
        body = json.dumps(payload).encode()

        async def action(client: AdministrationClient) -> int:
            response = await client.call("POST", "/v1/explain-placement", body)
            return self.print_response(response, format_explanation)

        return self.run_with_client(action)


class ExplainCommand(OperatorCommand):
    """Show the log lines of a request and the cause of its failure."""

    name = "explain"
    description = "Collects the log lines of a request and finds the cause of failure."
    arguments: ClassVar[list] = [
        argument("request-id", "Value of the X-Request-Id header."),
        argument(
            "files",
            "Log files of routers and agents; - for standard input.",
            multiple=True,
        ),
    ]
    options: ClassVar[list] = [JSON_OPTION]

    def handle(self) -> int:
        """Print the timeline of the request from the log files."""
        log_lines: list[str] = []
        for name in self.argument("files"):
            try:
                log_lines += read_log_lines(name)
            except OSError as error:
                self.write_line_error(f"{name}: {error.strerror}")
                return EXIT_USAGE
        request_id = self.argument("request-id")
        timeline = build_request_timeline(request_id, log_lines)
        if not timeline.lines:
            self.write_line_error(f"the logs contain no line of request {request_id}")
            return EXIT_FAILED
        if self.option("json"):
            self.write_line(json.dumps(describe_timeline(timeline), indent=1))
        else:
            self.write_line(format_timeline(timeline))
        return EXIT_OK


COMMANDS: tuple[type[OperatorCommand], ...] = (
    CheckCommand,
    DiffCommand,
    PublishCommand,
    HistoryCommand,
    StatusCommand,
    DrainCommand,
    OrderCommand,
    ExplainPlacementCommand,
    ExplainCommand,
    ExplainRequestCommand,
)


def make_operator_program() -> Application:
    """Return the command-line application.

    >>> make_operator_program().find("diff").description
    'Lists the changes that a document makes to the version in force.'
    """
    program = Application("bilberryspring", __version__)
    for command in COMMANDS:
        program.add(command())
    return program


def main() -> None:
    """Run the command-line program and exit with its exit code."""
    sys.exit(make_operator_program().run())


if __name__ == "__main__":
    main()
