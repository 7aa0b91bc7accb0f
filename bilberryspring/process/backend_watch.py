"""Health and version probes of the backend server beside an agent.

An engine's version may change without notice, so the agent polls it. KV cache entries
and resumed answers are valid only within one version.
"""

import asyncio
import json
import secrets
import time
from collections.abc import Callable
from enum import Enum

import aiohttp

from bilberryspring.connection.http_bodies import read_body
from bilberryspring.identifiers import EngineVersion, digest_content
from bilberryspring.malformed_input import MALFORMED_ERRORS, describe_error
from bilberryspring.process.accounting import ControlMechanism, Ledger
from bilberryspring.process.logs import log_event
from bilberryspring.process.settings import split_address
from bilberryspring.request.engine_control import make_engine_session
from bilberryspring.request.errors import ErrorKind, Failure, make_failure
from bilberryspring.request.event_text import join_event_text
from bilberryspring.version.objects import PoolKind

__all__ = [
    "BackendState",
    "BackendWatch",
    "join_version",
    "make_backend_watch",
    "extract_reported_version",
]

PROBE_TIMEOUT_S = 2.0
DOWN_PROBE_INTERVAL_S = 0.2
# A refused connection marks the server as down at once. Other failures, such as a
# timeout, do so only after this many in a row.
FAILED_PROBES_UNTIL_DOWN = 3
MAX_REPLY_BYTES = 65_536
FINGERPRINT_SEPARATOR = "+"
FINGERPRINT_DIGITS = 8
MAX_FINGERPRINT_TOKENS = 8
FINGERPRINT_MESSAGES = [{"role": "user", "content": "Name the days of the week."}]
# Below every configured work rank.
FINGERPRINT_PRIORITY = 1_000


class BackendState(Enum):
    """State of the backend server by the latest probes."""

    UNKNOWN = "unknown"
    SERVING = "serving"
    DOWN = "down"


class BackendWatch:
    """Periodic probe of one backend server.

    :param address: ``ip:port`` of the backend server.
    :param interval_s: time between probes while the server is up.
    :param fingerprint_interval_s: time between fingerprints of an engine; zero disables
        them.
    :param ledger: ledger that counts the probes' traffic.
    :param on_state: callback for each new state.
    :param on_version: callback for each version change after the first known version.
    """

    def __init__(
        self,
        address: str,
        interval_s: float,
        fingerprint_interval_s: float,
        ledger: Ledger,
        on_state: Callable[[BackendState], None],
        on_version: Callable[[EngineVersion], None],
    ):
        self.state = BackendState.UNKNOWN
        self.engine_version = EngineVersion("")
        self.kind: PoolKind | None = None
        self.model = ""
        self._address = address
        self._interval_s = interval_s
        self._fingerprint_interval_s = fingerprint_interval_s
        self._fingerprinted_s = float("-inf")
        self._reported_version = ""
        self._fingerprint = ""
        self._ledger = ledger
        self._on_state = on_state
        self._on_version = on_version
        self._failed_probes = 0
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task[None] | None = None
        self._probe_requested = asyncio.Event()

    async def start(self) -> None:
        """Start probing."""
        self._session = make_engine_session(PROBE_TIMEOUT_S)
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop probing."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    def request_probe(self) -> None:
        """Trigger a probe at once, because a request did not reach the server."""
        self._probe_requested.set()

    def record_version(self, reported: str) -> EngineVersion:
        """Record the version that the engine reported with a response.

        :param reported: reported version; empty for a plain service.
        :returns: the version, joined with the latest fingerprint if there is one.
        """
        if reported != self._reported_version:
            # The last fingerprint belongs to another version.
            self._reported_version, self._fingerprint = reported, ""
            self._fingerprinted_s = float("-inf")
        self._adopt_version()
        return self.engine_version

    def _adopt_version(self) -> None:
        previous = self.engine_version
        version = join_version(self._reported_version, self._fingerprint)
        if not version or version == previous:
            return
        self.engine_version = version
        log_event("engine_version_seen", version=version, previous=previous)
        # The first fingerprint of a reported version is no version change.
        if previous and previous != self._reported_version:
            self._on_version(version)

    async def _run(self) -> None:
        while True:
            await self._probe()
            is_down = self.state is BackendState.DOWN
            pause_s = DOWN_PROBE_INTERVAL_S if is_down else self._interval_s
            try:
                async with asyncio.timeout(pause_s):
                    await self._probe_requested.wait()
            except TimeoutError:
                pass
            self._probe_requested.clear()

    async def _probe(self) -> None:
        result = await (
            self._fetch_version()
            if self.kind is PoolKind.ENGINE
            else self._check_connection()
        )
        if not isinstance(result, Failure):
            self._failed_probes = 0
            self.record_version(result)
            self._set_state(BackendState.SERVING)
            await self._update_fingerprint()
            return
        self._failed_probes += 1
        is_refused = result.kind is ErrorKind.BACKEND_UNREACHABLE
        if is_refused or self._failed_probes >= FAILED_PROBES_UNTIL_DOWN:
            self._set_state(BackendState.DOWN)

    def _set_state(self, state: BackendState) -> None:
        if state is self.state:
            return
        log_event("backend_state", state=state, previous=self.state)
        self.state = state
        self._on_state(state)

    async def _fetch_version(self) -> EngineVersion | Failure:
        try:
            async with self._session.get(
                f"http://{self._address}/v1/version"
            ) as response:
                body = await read_body(response, MAX_REPLY_BYTES)
            self._ledger.count(ControlMechanism.ENGINE_PROBE, received_bytes=len(body))
            return EngineVersion(str(json.loads(body)["engine_version"]))
        except (aiohttp.ClientConnectorError, ConnectionError) as error:
            return make_failure(ErrorKind.BACKEND_UNREACHABLE, repr(error))
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return make_failure(ErrorKind.BACKEND_FAILED, repr(error))
        except MALFORMED_ERRORS as error:
            return make_failure(
                ErrorKind.BACKEND_FAILED,
                f"malformed version response: {describe_error(error)}",
            )

    async def _update_fingerprint(self) -> None:
        """Digest the response to a fixed prompt if a fingerprint is due."""
        now_s = time.monotonic()
        is_due = now_s - self._fingerprinted_s >= self._fingerprint_interval_s
        if not (self._fingerprint_interval_s and self.model and is_due):
            return
        text = await self._query_fixed_prompt()
        if isinstance(text, Failure):
            return
        self._fingerprinted_s = now_s
        self._fingerprint = digest_content(text.encode())[:FINGERPRINT_DIGITS]
        self._adopt_version()

    async def _query_fixed_prompt(self) -> str | Failure:
        request = {
            "model": self.model,
            "messages": FINGERPRINT_MESSAGES,
            "max_tokens": MAX_FINGERPRINT_TOKENS,
            "temperature": 0,
            "priority": FINGERPRINT_PRIORITY,
            "stream": True,
        }
        url = f"http://{self._address}/v1/chat/completions"
        headers = {"X-Request-Id": f"fingerprint-{secrets.token_hex(8)}"}
        try:
            async with self._session.post(
                url, json=request, headers=headers
            ) as response:
                body = await read_body(response, MAX_REPLY_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            return make_failure(ErrorKind.BACKEND_FAILED, repr(error))
        self._ledger.count(ControlMechanism.ENGINE_PROBE, received_bytes=len(body))
        return _read_text(body)

    async def _check_connection(self) -> EngineVersion | Failure:
        host, port = split_address(self._address)
        self._ledger.count(ControlMechanism.ENGINE_PROBE)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, port)
        except ConnectionError as error:
            return make_failure(ErrorKind.BACKEND_UNREACHABLE, repr(error))
        except (OSError, TimeoutError) as error:
            return make_failure(ErrorKind.BACKEND_FAILED, repr(error))
        writer.close()
        return EngineVersion("")


def join_version(reported: str, fingerprint: str) -> EngineVersion:
    """Return the version that identifies what an engine runs.

    :param reported: version that the engine reports; empty for a plain service.
    :param fingerprint: digest of its response to the fixed prompt; empty for none.

    >>> join_version("build-7", "0c1d")
    'build-7+0c1d'
    """
    text = (
        f"{reported}{FINGERPRINT_SEPARATOR}{fingerprint}" if fingerprint else reported
    )
    return EngineVersion(text)


def extract_reported_version(version: str) -> str:
    """Return the part of a version that the engine itself reports.

    :param version: version with or without a fingerprint.

    >>> extract_reported_version("build+7+0c1d"), extract_reported_version("build-7")
    ('build+7', 'build-7')
    """
    return version.rpartition(FINGERPRINT_SEPARATOR)[0] or version


def _read_text(body: bytes) -> str | Failure:
    """Return the text of a complete event stream, or a failure."""
    events = [
        line.removeprefix(b"data: ")
        for line in body.splitlines()
        if line.startswith(b"data: ")
    ]
    if not events or events[-1] != b"[DONE]":
        return make_failure(
            ErrorKind.BACKEND_FAILED,
            "the response to the fingerprint prompt is incomplete",
        )
    try:
        return join_event_text(events[:-1])
    except MALFORMED_ERRORS as error:
        return make_failure(
            ErrorKind.BACKEND_FAILED,
            f"malformed response to the fingerprint prompt: {describe_error(error)}",
        )


def make_backend_watch(
    address: str,
    interval_s: float,
    fingerprint_interval_s: float,
    ledger: Ledger,
    on_state: Callable[[BackendState], None],
    on_version: Callable[[EngineVersion], None],
) -> BackendWatch:
    """Return a watch that is not started; see :class:`BackendWatch`."""
    return BackendWatch(
        address, interval_s, fingerprint_interval_s, ledger, on_state, on_version
    )
