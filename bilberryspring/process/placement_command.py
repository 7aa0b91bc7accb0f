"""Operator command that shows where a request would go now, without sending it."""

import http.client
import json
from pathlib import Path
from typing import Any, ClassVar

from cleo.helpers import argument, option

from bilberryspring.malformed_input import MALFORMED_ERRORS, describe_error, parse_json
from bilberryspring.process.addresses import split_address
from bilberryspring.process.operator_command import (
    EXIT_FAILED,
    EXIT_FAULTS,
    EXIT_OK,
    EXIT_REFUSED,
    EXIT_USAGE,
    JSON_OPTION,
    OperatorCommand,
)
from bilberryspring.process.operator_output import format_table
from bilberryspring.process.preview_requests import EXPLAIN_PATH

__all__ = ["ExplainRequestCommand", "format_preview"]

CALL_TIMEOUT_S = 5.0
MAX_PREVIEW_BYTES = 8 * 1024 * 1024
_TEXT_OPTIONS = {
    "route": "Name of the route; or give --host and --path.",
    "host": "Host name that the request names.",
    "path": "Path of the request.",
    "workspace": "Workspace that sends it.",
    "model": "Model that it asks for.",
    "request-id": "Id of the request, which draws the servers it samples.",
}
_COUNT_OPTIONS = {
    "input-tokens": "Tokens of the whole prompt; default: those of all parts.",
    "output-tokens": "Output tokens that it reserves.",
    "hinted-output-tokens": "Output tokens that its caller expects.",
}


class ExplainRequestCommand(OperatorCommand):
    """Show where a router would send a request now, and why."""

    name = "explain-request"
    description = "Shows where a router would send a request now, without sending it."
    arguments: ClassVar[list] = [
        argument("router", "IP address and port of the router's control address."),
    ]
    options: ClassVar[list] = [
        JSON_OPTION,
        option("file", None, "JSON file that describes the request.", flag=False),
        *(option(name, None, help, flag=False) for name, help in _TEXT_OPTIONS.items()),
        *(
            option(name, None, help, flag=False)
            for name, help in _COUNT_OPTIONS.items()
        ),
        option(
            "part", None, "ID:TOKENS of a prompt part, in order.", False, multiple=True
        ),
        option(
            "tried", None, "Server where it was tried before.", False, multiple=True
        ),
        option("time-left-s", None, "Seconds until its deadline.", flag=False),
    ]

    def handle(self) -> int:
        """Ask the router and print its decision.

        :returns: zero if a server is chosen, ``EXIT_REFUSED`` if the request would wait
            or be refused, ``EXIT_FAULTS`` if the router refuses the description.
        """
        try:
            host, port = split_address(self.argument("router"))
            description = self._read_description()
        except (OSError, *MALFORMED_ERRORS) as error:
            self.write_line_error(describe_error(error))
            return EXIT_USAGE
        try:
            status, document = _ask_router(host, port, description)
        except (OSError, http.client.HTTPException, *MALFORMED_ERRORS) as error:
            self.write_line_error(f"{self.argument('router')}: {describe_error(error)}")
            return EXIT_FAILED
        if status != 200:
            self.write_line_error(str(document.get("detail", f"status {status}")))
            return EXIT_FAULTS if status == 400 else EXIT_FAILED
        if self.option("json"):
            self.write_line(json.dumps(document))
        else:
            self.write_line(format_preview(document))
        return EXIT_REFUSED if document["choice"] is None else EXIT_OK

    def _read_description(self) -> dict[str, Any]:
        """Return the description: that of the file, changed by the options.

        :raises OSError: if the file cannot be read.
        :raises ValueError: if the file or an option is malformed.
        """
        description: dict[str, Any] = {}
        if self.option("file"):
            description = parse_json(Path(self.option("file")).read_bytes())
            if not isinstance(description, dict):
                raise ValueError(f"{self.option('file')}: not a JSON object")
        for name in _TEXT_OPTIONS:
            if self.option(name):
                description[name.replace("-", "_")] = self.option(name)
        for name in _COUNT_OPTIONS:
            if self.option(name):
                description[name.replace("-", "_")] = int(self.option(name))
        if self.option("time-left-s"):
            description["time_left_s"] = float(self.option("time-left-s"))
        if self.option("tried"):
            description["tried"] = self.option("tried")
        if self.option("part"):
            description["parts"] = [
                {"id": part_id, "tokens": int(tokens)}
                for part_id, _, tokens in (
                    part.rpartition(":") for part in self.option("part")
                )
            ]
        return description


def _ask_router(
    host: str, port: int, description: dict[str, Any]
) -> tuple[int, dict[str, Any]]:
    """Return the status and the document of a router's response.

    :raises OSError: if the router is not reached in time.
    :raises http.client.HTTPException: if its response is malformed.
    :raises ValueError: if the document is.
    """
    connection = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
    try:
        connection.request("POST", EXPLAIN_PATH, json.dumps(description).encode())
        response = connection.getresponse()
        body = response.read(MAX_PREVIEW_BYTES + 1)
        if response.status == 404:
            raise ValueError("this address is not a router's control address")
        return response.status, parse_json(body, MAX_PREVIEW_BYTES)
    finally:
        connection.close()


def format_preview(document: dict[str, Any]) -> str:
    """Format the preview of a placement as text.

    :param document: the preview as a router returned it.
    """
    facts = [
        f"{name}: {document[name]}"
        for name in ("configuration_version", "route", "pool", "rank_order")
    ]
    if document["other_pools"]:
        facts.append(f"other pools of the route: {', '.join(document['other_pools'])}")
    failure = document["failure"]
    if failure is None:
        facts.append(
            f"goes to: {document['choice']}, which reads"
            f" {document['prompt_tokens']} tokens and holds"
            f" {document['reserved_tokens']}; first part expected in"
            f" {document['expected_s']:.3f} s"
        )
    else:
        facts.append(f"goes nowhere now: {failure['kind']}: {failure['reason']}")
        if failure["retry_after_s"]:
            facts.append(f"callers come back after: {failure['retry_after_s']:.2f} s")
    queue = document["queue"]
    wait_s = queue["predicted_wait_s"]
    facts.append(
        f"admitted share {queue['admitted_share']:.2f}; a wait would take"
        f" {'for ever' if wait_s is None else f'{wait_s:.2f} s'}, at most"
        f" {queue['allowed_wait_s']:.2f} s are worth it"
    )
    rows = [_format_server(each) for each in document["servers"]]
    headings = ["", "server", "zone", "requests", "own", "held", "slow"]
    headings += ["start s", "penalty s", "excluded"]
    return "\n".join([*facts, format_table(headings, rows)])


def _format_server(server: dict[str, Any]) -> list[object]:
    start_s = server["predicted_start_s"]
    return [
        "*" if server["is_chosen"] else "",
        server["server"],
        server["availability_zone"],
        f"{server['requests']:.1f}",
        server["own_requests"],
        server["held_tokens"],
        f"{server['slowness']:.2f}",
        "-" if start_s is None else f"{start_s:.3f}",
        f"{server['penalty_s']:.3f}",
        server["reason"] or "-",
    ]
