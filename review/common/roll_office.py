"""The small deployment that the cases share: a roll writer and a print desk."""

import asyncio
import itertools
import time

from standins import Client

__all__ = [
    "ENGINE_SERVICE",
    "DESK_SERVICE",
    "draft_headers",
    "make_configuration",
    "order_repeatedly",
]

ENGINE_SERVICE = "rollwriter"
DESK_SERVICE = "printdesk"
_parts = itertools.count(1)


def _make_route(name, kind, service, timeout_ms, **changes):
    route = {
        "name": f"r-{name}",
        "host": "muster.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": timeout_ms,
        "goalMs": 400,
        "priority": 1,
        "service": service,
        "attempts": 1,
        "public": False,
    }
    return {**route, **changes}


def make_configuration(version=7, order_timeout_ms=1500):
    """Return a configuration with the kinds of request of the Printing Works.

    :param version: its version.
    :param order_timeout_ms: ``timeoutMs`` of the routes to the print desk.
    """
    streaming = {"sticky": True, "gapGoalMs": 300}
    return {
        "version": version,
        "routes": [
            _make_route(
                "rolls",
                "streaming",
                ENGINE_SERVICE,
                10_000,
                resumable=False,
                goalMs=1200,
                priority=2,
                **streaming,
            ),
            _make_route(
                "drafts",
                "streaming",
                ENGINE_SERVICE,
                8000,
                resumable=True,
                priority=0,
                attempts=2,
                **streaming,
            ),
            _make_route("orders", "unsafe", DESK_SERVICE, order_timeout_ms),
            _make_route("status", "safe", DESK_SERVICE, order_timeout_ms, attempts=2),
        ],
        "services": [
            {
                "name": ENGINE_SERVICE,
                "healthPath": "/health",
                "maxConns": 370,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 64,
                    "kvTokens": 444_000,
                    "kvTokenBytes": 131_072,
                    "linkMbps": 260_000.0,
                    "moves": False,
                    "backups": False,
                    "stride": 9,
                    "most": 2,
                    "pinMs": 4000.0,
                    "holdMs": 2000.0,
                    "handleS": 5.0,
                    "models": [{"name": "m"}],
                },
            },
            {
                "name": DESK_SERVICE,
                "healthPath": "/health",
                "maxConns": 110,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": "ward", "apiKeys": ["key-ward"], "priority": 1}],
    }


def draft_headers(subject, shared_tokens=700, own_tokens=130):
    """Return the headers of a prompt of which the last part is its own.

    :param subject: number of the part that it shares with others.
    :param shared_tokens: tokens of that part.
    :param own_tokens: tokens of its own part.
    """
    total = shared_tokens + own_tokens
    number = next(_parts)
    return [
        ("Model", "m"),
        ("Token-Counts", f"{total},45"),
        (
            "Prompt-Prefix",
            f"{subject:04x}07a2:{shared_tokens},{number:08x}:{own_tokens}",
        ),
    ]


async def order_repeatedly(address, until_s, deadline_ms, answers, pause_s=0.2):
    """Send orders one after the other on a kept connection.

    :param address: address of the router.
    :param until_s: monotonic time of the end.
    :param deadline_ms: how long the client waits for each, in milliseconds.
    :param answers: list that receives what was seen.
    :param pause_s: pause between two orders, in seconds.
    """
    client = Client(address)
    while time.monotonic() < until_s:
        answers.append(await client.call("/orders/1", deadline_ms, body=b"x" * 400))
        await asyncio.sleep(pause_s)
    client.close()
