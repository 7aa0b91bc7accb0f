"""Calls to the JSON gateway of the key-value service, over persistent connections."""

import asyncio
import json
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass

import aiohttp

from bilberryspring.connection.http_bodies import BodyTooLargeError, read_body
from bilberryspring.connection.separated_parts import read_parts
from bilberryspring.connection.turn_client import TurnConnector
from bilberryspring.malformed_input import MALFORMED_ERRORS
from bilberryspring.platform.keyvalue_messages import (
    JsonObject,
)
from bilberryspring.process.accounting import ControlMechanism, Ledger
from bilberryspring.request.errors import ErrorKind, Failure, Outcome, make_failure

__all__ = ["Gateway", "make_unavailable"]

MAX_CALLS_IN_FLIGHT = 64
# Of a reply, or of one message of a stream.
MAX_REPLY_BYTES = 16 * 1024 * 1024
SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")
REJECTED_STATUSES = frozenset({400, 401, 403, 404, 405, 412, 413, 429})


@dataclass(slots=True)
class _SessionState:
    """An HTTP session, which is closed after its last call once it is retired."""

    session: aiohttp.ClientSession
    calls_in_flight: int = 0
    is_retired: bool = False


class Gateway:
    """A client of the JSON gateway for single requests and streams.

    :param addresses: ``ip:port`` of each server; if one refuses the connection, the
        client tries the next.
    :param timeout_s: timeout of one call in seconds, including all its attempts.
    :param ledger: counts calls and bytes.
    :param connect_timeout_s: timeout of one connection attempt in seconds.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        timeout_s: float,
        ledger: Ledger,
        connect_timeout_s: float,
    ) -> None:
        self._addresses = list(addresses)
        self._timeout_s = timeout_s
        self._connect_timeout_s = min(connect_timeout_s, timeout_s)
        self._ledger = ledger
        self._address_index = 0
        self._call_slots = asyncio.Semaphore(MAX_CALLS_IN_FLIGHT)
        self._session_state: _SessionState | None = None

    async def start(self) -> None:
        """Start the client, which opens connections on demand."""
        self._session_state = _SessionState(_make_session())

    async def close(self) -> None:
        """Close every connection; calls in flight fail."""
        state, self._session_state = self._session_state, None
        if state is not None:
            await state.session.close()

    async def call(
        self,
        path: str,
        body: JsonObject,
        mechanism: ControlMechanism,
        *,
        is_write: bool,
    ) -> JsonObject | Failure:
        """Send one request and return its reply.

        :param path: URL path of the gateway's method.
        :param body: JSON object of the request.
        :param mechanism: mechanism that the traffic is counted for.
        :param is_write: whether the request must not be sent twice.
        :returns: the JSON object of the reply, or a failure.
        """
        content = json.dumps(body, separators=(",", ":")).encode()
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self._timeout_s
        try:
            async with asyncio.timeout_at(deadline_s):
                await self._call_slots.acquire()
        except TimeoutError:
            return make_unavailable("too many calls in flight", Outcome.NOT_RUN)
        try:
            return await self._try_addresses(
                path, content, mechanism, deadline_s, is_write
            )
        finally:
            self._call_slots.release()

    async def stream(
        self,
        path: str,
        body: JsonObject,
        mechanism: ControlMechanism,
        idle_timeout_s: float,
    ) -> AsyncIterator[JsonObject | Failure]:
        """Yield the messages of one stream, then the failure that ended it.

        :param path: URL path of the gateway's method.
        :param body: JSON object of the request.
        :param mechanism: mechanism that the traffic is counted for.
        :param idle_timeout_s: time in seconds without data, after which the stream
            fails.
        """
        content = json.dumps(body).encode()
        timeout = aiohttp.ClientTimeout(
            sock_connect=self._connect_timeout_s, sock_read=idle_timeout_s
        )
        self._ledger.count(mechanism, sent_bytes=len(content))
        state = self._session_state
        if state is None:
            yield make_unavailable("the client is closed", Outcome.NOT_RUN)
            return
        url = self._url(path)
        state.calls_in_flight += 1
        try:
            async with state.session.post(url, data=content, timeout=timeout) as reply:
                if reply.status != 200:
                    raise aiohttp.ClientError(f"status {reply.status}")
                async for line in _read_lines(reply.content):
                    self._ledger.count(mechanism, calls=0, received_bytes=len(line))
                    yield _parse_stream_message(line)
            yield make_unavailable("the stream ended", Outcome.NOT_RUN)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            self._address_index += 1
            yield make_unavailable(f"stream: {_describe_error(error)}", Outcome.NOT_RUN)
        finally:
            await self._release(state)

    async def _try_addresses(
        self,
        path: str,
        content: bytes,
        mechanism: ControlMechanism,
        deadline_s: float,
        is_write: bool,
    ) -> JsonObject | Failure:
        failure = make_unavailable("the deadline has passed", Outcome.NOT_RUN)
        loop = asyncio.get_running_loop()
        # A failed read is sent once more: its persistent connection may have stalled.
        for _ in range(max(len(self._addresses), 1 if is_write else 2)):
            remaining_s = deadline_s - loop.time()
            if remaining_s <= 0:
                return failure
            allowed_s = remaining_s if is_write else remaining_s / 2
            reply = await self._try_once(path, content, mechanism, allowed_s)
            if not isinstance(reply, Failure):
                return reply
            failure = reply
            if is_write and reply.outcome is not Outcome.NOT_RUN:
                return failure
            self._address_index += 1
        return failure

    async def _try_once(
        self, path: str, content: bytes, mechanism: ControlMechanism, timeout_s: float
    ) -> JsonObject | Failure:
        state = self._session_state
        if state is None:
            return make_unavailable("the client is closed", Outcome.NOT_RUN)
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=min(self._connect_timeout_s, timeout_s)
        )
        state.calls_in_flight += 1
        self._ledger.count(mechanism, sent_bytes=len(content))
        try:
            async with state.session.post(
                self._url(path), data=content, timeout=timeout
            ) as reply:
                raw = await read_body(reply, MAX_REPLY_BYTES)
                status = reply.status
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return make_unavailable(_describe_error(error), Outcome.NOT_RUN)
        except (aiohttp.ClientError, OSError, BodyTooLargeError) as error:
            self._retire(state)
            return make_unavailable(
                f"no reply: {_describe_error(error)}", Outcome.UNKNOWN
            )
        finally:
            await self._release(state)
        self._ledger.count(mechanism, calls=0, received_bytes=len(raw))
        return _parse_reply(status, raw)

    def _url(self, path: str) -> str:
        address = self._addresses[self._address_index % len(self._addresses)]
        return f"http://{address}{path}"

    def _retire(self, state: _SessionState) -> None:
        """Replace the session, since its persistent connections may have stalled."""
        if self._session_state is state:
            state.is_retired = True
            self._session_state = _SessionState(_make_session())

    async def _release(self, state: _SessionState) -> None:
        state.calls_in_flight -= 1
        if state.is_retired and state.calls_in_flight == 0:
            await state.session.close()


def make_unavailable(reason: str, outcome: Outcome) -> Failure:
    """Return the failure of a call.

    :param reason: why the call failed.
    :param outcome: whether a write may have taken effect.
    """
    return make_failure(ErrorKind.PLATFORM_UNAVAILABLE, reason, outcome=outcome)


def _describe_error(error: Exception) -> str:
    return str(error) or type(error).__name__


def _make_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=TurnConnector(limit=0),
        headers={"Content-Type": "application/json"},
        skip_auto_headers=SKIPPED_HEADERS,
    )


def _parse_reply(status: int, raw: bytes) -> JsonObject | Failure:
    if status != 200:
        is_rejected = status in REJECTED_STATUSES
        outcome = Outcome.NOT_RUN if is_rejected else Outcome.UNKNOWN
        text = raw[:200].decode(errors="replace")
        return make_unavailable(f"status {status}: {text}", outcome)
    try:
        reply = json.loads(raw)
    except MALFORMED_ERRORS:
        return make_unavailable("the reply is not JSON", Outcome.UNKNOWN)
    if not isinstance(reply, dict):
        return make_unavailable("the reply is not a JSON object", Outcome.UNKNOWN)
    return reply


def _parse_stream_message(line: bytes) -> JsonObject:
    """Return the message in one line of a stream.

    :raises ValueError: if the line holds no message.
    """
    try:
        message = json.loads(line)["result"]
    except MALFORMED_ERRORS as error:
        raise ValueError(f"malformed message: {type(error).__name__}") from error
    if not isinstance(message, dict):
        raise ValueError("malformed message: expected a JSON object")
    return message


async def _read_lines(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    """Yield lines longer than ``StreamReader.readline`` allows.

    :raises PartTooLongError: if a line exceeds ``MAX_REPLY_BYTES``.
    """
    async for line in read_parts(content.iter_any(), b"\n", MAX_REPLY_BYTES):
        if line.strip():
            yield line
