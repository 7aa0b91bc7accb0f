"""Send requests to backend servers and decode their responses."""

import asyncio
import re
from collections import Counter, deque
from dataclasses import replace

from bilberryspring.capability.backend_calls import (
    BackendResponseHead,
    Excess,
    Reachability,
    ServerLoad,
)
from bilberryspring.capability.routing import (
    BackendServer,
    ExecutionRule,
    IncomingRequest,
)
from bilberryspring.connection.http_backend import (
    BackendConnection,
    ConnectionFailure,
    ResponseHead,
    open_connection,
)
from bilberryspring.platform import wire_names as wire
from bilberryspring.platform.unreadable_values import (
    UnreadableValues,
    make_unreadable_values,
)
from bilberryspring.process.clock import read_boot_time_s
from bilberryspring.process.logs import log_event
from bilberryspring.process.memory_bound import make_memory_bound
from bilberryspring.request.errors import ErrorKind, Failure, Outcome, make_failure

__all__ = ["MAX_RESPONSES_BYTES", "ServerCalls", "make_server_calls"]

# Round trips within a region take some milliseconds; TCP retransmits a lost SYN only
# after a second.
CONNECT_TIMEOUT_S = 0.5
# Idle connections are closed before the server closes them. Servers announce their
# keep-alive timeout in whole seconds, if at all.
MAX_IDLE_S = 4.0
KEEP_ALIVE_MARGIN_S = 1.0
# Longest use of a timeout that a server announces.
MAX_ANNOUNCED_IDLE_S = 30.0
# A server may close an idle connection, or be gone, without this router noticing. A
# request that must not run twice reuses a connection only if it was used within this
# time: once sent, it can't be sent again, while a connection that can't be opened costs
# nothing.
MAX_IDLE_BEFORE_ONCE_S = 1.0
# A crashed server refuses a connection at once; a machine without power never responds.
PROBE_TIMEOUT_S = 0.15
MAX_IDLE_CONNECTIONS = 16
# Idle connections to one server that are kept for as long as it announces; the others
# serve bursts, and a server accepts a limited number from all routers together.
MAX_LONG_IDLE_CONNECTIONS = 2
# Memory of all responses of servers that have been received and not passed on.
MAX_RESPONSES_BYTES = 48 * 1024 * 1024
MISDIRECTED_STATUS = 421
# Load figures of more digits are not counts of requests.
MAX_LOAD_DIGITS = 6
USUAL_WORK_TIME_PERCENT = 100
SHEDDING_STATUS = 503
# Longest time for which a server can keep requests of this router away.
MAX_PAUSE_S = 60.0
# Lower limits, also of zero, count as this one: a request now and then shows whether
# the limit lasts.
MIN_LIMIT_PER_S = 0.1
_DECIMAL_PATTERN = re.compile(rb"\d{1,9}(\.\d{0,30})?|\.\d{1,30}")


class ServerExchange:
    """A request on a connection, and the response to it.

    :param connection: connection that the request was sent on.
    :param request_id: id that the response must repeat.
    :param server_calls: owner of the connection, which may reuse it.
    :param server: server at the other end of the connection.
    :ivar is_given_up: whether the response exceeded a bound.
    """

    def __init__(
        self,
        connection: BackendConnection,
        request_id: str,
        server_calls: "ServerCalls",
        server: BackendServer,
    ):
        self._connection = connection
        self._request_id = request_id.encode("latin-1")
        self._server_calls = server_calls
        self._server = server
        self._is_body_complete = False
        self.is_given_up = False

    async def read_head(self) -> BackendResponseHead | Failure:
        """Wait for the head of the response to this request.

        A response to an earlier request may arrive first; it is skipped. One without an
        id may be such a response, so it tells nothing about this request.

        :returns: the head, or a failure if the connection broke.
        """
        while True:
            head = await self._connection.read_head()
            if isinstance(head, ConnectionFailure):
                return self._make_connection_failure(head, "before a response")
            self._connection.keep_alive_timeout_s = self._decode_or_record(
                "keep_alive", head.find_header(b"keep-alive"), _decode_keep_alive_s
            )
            found_id = head.find_header(wire.ATTEMPT_ID)
            if found_id is None:
                return make_failure(
                    ErrorKind.BACKEND_FAILED,
                    f"a response with status {head.status} names no request",
                )
            if found_id == self._request_id:
                load = self._decode_or_record(
                    "server_load", head.find_header(wire.SERVER_LOAD), _decode_load
                )
                leaving = head.find_header(wire.SERVER_LEAVING)
                is_leaving = self._decode_or_record(
                    "server_leaving", leaving, _decode_leaving
                )
                return replace(
                    _decode_response_head(head, load, bool(is_leaving)),
                    pause_s=self._read_pause_s(head),
                    cold_remaining_s=self._read_cold_remaining_s(head),
                    **self._read_limit(head),
                )

    def _read_limit(self, head: ResponseHead) -> dict[str, object]:
        """Return what a response shows of the server's limit.

        Of several different values, the lowest readable one applies.
        """
        values = _list_values(head, wire.SERVER_LIMIT)
        decoded = {self._decode_or_record("limit", v, _decode_limit) for v in values}
        limits = decoded - {None}
        if len(limits) > 1:
            self._record_unreadable("limit", b", ".join(values), "several values")
        if 0.0 in limits:
            self._record_unreadable("limit", b", ".join(values), "a limit of zero")
        if limits:
            limit_per_s = max(min(limits), MIN_LIMIT_PER_S)
            return {"limit_per_s": limit_per_s, "tells_limit": _is_own(head)}
        return {"limit_per_s": None, "tells_limit": _is_own(head) and not values}

    def _read_cold_remaining_s(self, head: ResponseHead) -> float | None:
        """Return for how long the server says that it stays cold.

        Of several different values, the longest readable one applies.
        """
        values = _list_values(head, wire.COLD_MS)
        if not values or not _is_own(head):
            return None
        decoded = {self._decode_or_record("cold", v, _decode_cold_s) for v in values}
        times_s = decoded - {None}
        if len(times_s) > 1:
            self._record_unreadable("cold", b", ".join(values), "several values")
        return max(times_s, default=None)

    def _read_pause_s(self, head: ResponseHead) -> float:
        """Return for how long a server that sheds load wants no requests.

        Of several different values, the longest readable one applies.
        """
        if head.status != SHEDDING_STATUS:
            return 0.0
        values = _list_values(head, wire.RETRY_AFTER)
        decoded = {self._decode_or_record("pause", v, _decode_pause_s) for v in values}
        pauses_s = decoded - {None}
        pause_s = max(pauses_s, default=0.0)
        if len(pauses_s) > 1:
            self._record_unreadable("pause", b", ".join(values), "several values")
        if pause_s > MAX_PAUSE_S:
            reason = f"more than {MAX_PAUSE_S:.0f} s"
            self._record_unreadable("pause", b", ".join(values), reason)
        return min(pause_s, MAX_PAUSE_S)

    def _record_unreadable(self, name: str, value: bytes, reason: str) -> None:
        self._server_calls.unreadable_values.record(
            name, self._server.server_id, value, reason
        )

    def _decode_or_record(self, name: str, value: bytes | None, decode):
        """Decode a header, recording a value that cannot be decoded.

        :returns: the decoded value, or ``None`` if the header is missing or unreadable.
        """
        if value is None:
            return None
        decoded = decode(value)
        if isinstance(decoded, Failure):
            self._record_unreadable(name, value, decoded.reason)
            return None
        return decoded

    async def read_chunk(self) -> bytes | None | Failure:
        """Wait for a chunk of the body.

        :returns: the chunk, ``None`` at the end of the body, or a failure if the
            connection broke.
        """
        chunk = await self._connection.read_chunk()
        if isinstance(chunk, ConnectionFailure):
            return self._make_connection_failure(chunk, "during a response")
        self._is_body_complete = chunk is None
        return chunk

    def _make_connection_failure(self, broken: ConnectionFailure, when: str) -> Failure:
        reason = f"connection {broken.kind.value} {when}: {broken.reason}"
        if broken.excess is not None:
            return self.give_up(broken.excess, reason)
        return make_failure(ErrorKind.BACKEND_FAILED, reason)

    def keep_bytes(self, size_bytes: int) -> None:
        """Record what is kept of the response, which counts towards a bound.

        :param size_bytes: memory in bytes.
        """
        self._connection.keep_bytes(size_bytes)

    def give_up(self, excess: Excess, reason: str) -> Failure:
        """Log and count once that the response exceeded a bound.

        :param excess: the bound.
        :param reason: description for logs.
        :returns: the failure of the exchange.
        """
        if not self.is_given_up:
            self.is_given_up = True
            self._server_calls.given_up_responses[excess] += 1
            log_event(
                "response_given_up",
                level="WARNING",
                request_id=self._request_id.decode("latin-1"),
                server=self._server.server_id,
                cause=excess,
                reason=reason,
            )
        return make_failure(ErrorKind.BACKEND_FAILED, reason)

    def close(self) -> None:
        """End the exchange.

        A connection without a complete response is closed, and the server then abandons
        the request.
        """
        if self._is_body_complete and self._connection.is_reusable:
            self._server_calls.release_connection(self._server, self._connection)
        else:
            self._connection.close()


class ServerCalls:
    """A client of backend servers with persistent connections.

    :param unreadable_values: counter of headers that could not be decoded.
    :ivar given_up_responses: number of responses that exceeded each bound.
    :ivar memory: bound on the memory of all responses.
    :ivar connections: open connections.
    """

    def __init__(
        self, unreadable_values: UnreadableValues, memory_limit_bytes: int
    ) -> None:
        self.unreadable_values = unreadable_values
        self._idle_connections: dict[tuple[str, int], deque[BackendConnection]] = {}
        self.opened_connections = 0
        self.given_up_responses: Counter[Excess] = Counter()
        self.memory = make_memory_bound(memory_limit_bytes)
        self.connections: set[BackendConnection] = set()

    async def begin(
        self, server: BackendServer, request: IncomingRequest, time_left_s: float
    ) -> ServerExchange | Failure:
        """Send a request.

        :param server: server to send the request to.
        :param request: request to send.
        :param time_left_s: time in seconds until the deadline, after which the server
            may abandon the request.
        :returns: the exchange, or a failure if nothing was sent.
        """
        started_s = read_boot_time_s()
        connection = self._take_idle(server, request)
        if connection is None:
            self.opened_connections += 1
            timeout_s = min(CONNECT_TIMEOUT_S, max(time_left_s, 0.0))
            opened = await self._open_connection(server, timeout_s)
            if isinstance(opened, ConnectionFailure):
                reason = f"{server.server_id}: {opened.reason}"
                return make_failure(ErrorKind.BACKEND_UNREACHABLE, reason)
            connection = opened
        time_left_s -= read_boot_time_s() - started_s
        if time_left_s <= 0:
            connection.close()
            return make_failure(
                ErrorKind.DEADLINE_EXCEEDED,
                "the deadline passed while connecting",
                outcome=Outcome.NOT_RUN,
            )
        try:
            connection.send(_encode_request(server, request, time_left_s))
            return ServerExchange(connection, request.request_id, self, server)
        except BaseException:
            connection.close()
            raise

    async def _open_connection(
        self, server: BackendServer, timeout_s: float
    ) -> BackendConnection | ConnectionFailure:
        return await open_connection(
            server.host,
            server.port,
            timeout_s,
            self.memory,
            server.server_id,
            self.connections,
        )

    async def check_reachability(self, server: BackendServer) -> Reachability:
        """Try to connect to a server's address.

        :param server: server whose connection broke.
        """
        opened = await self._open_connection(server, PROBE_TIMEOUT_S)
        if isinstance(opened, ConnectionFailure):
            is_refused = opened.is_refused
            return Reachability.REFUSED if is_refused else Reachability.SILENT
        self.release_connection(server, opened)
        return Reachability.REACHABLE

    def release_connection(
        self, server: BackendServer, connection: BackendConnection
    ) -> None:
        """Keep an idle connection for the next request to a server.

        :param server: server at the other end of the connection.
        :param connection: connection on which no response is outstanding.
        """
        connection.set_idle(asyncio.get_running_loop().time())
        idle = self._idle_connections.setdefault((server.host, server.port), deque())
        idle.append(connection)
        if len(idle) > MAX_IDLE_CONNECTIONS:
            idle.popleft().close()

    def close_idle(self) -> None:
        """Close connections that have been idle for too long."""
        now_s = asyncio.get_running_loop().time()
        for address, idle in list(self._idle_connections.items()):
            while idle and not _is_usable(idle[0], now_s):
                idle.popleft().close()
            while (
                len(idle) > MAX_LONG_IDLE_CONNECTIONS
                and now_s - idle[0].idle_since_s > MAX_IDLE_S
            ):
                idle.popleft().close()
            if not idle:
                del self._idle_connections[address]

    def close(self) -> None:
        """Close every idle connection."""
        for idle in self._idle_connections.values():
            for connection in idle:
                connection.close()
        self._idle_connections.clear()

    def _take_idle(
        self, server: BackendServer, request: IncomingRequest
    ) -> BackendConnection | None:
        idle = self._idle_connections.get((server.host, server.port))
        now_s = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            if _is_usable(connection, now_s, request.route.is_repeatable):
                return connection
            if _is_usable(connection, now_s):
                idle.append(connection)
                return None
            connection.close()
        return None


def _is_usable(
    connection: BackendConnection, now_s: float, is_repeatable: bool = True
) -> bool:
    """Return whether a request may be sent on an idle connection.

    :param connection: the connection.
    :param now_s: monotonic time.
    :param is_repeatable: whether the request may run twice.
    """
    if not connection.is_reusable:
        return False
    idle_s = now_s - connection.idle_since_s
    if connection.keep_alive_timeout_s is not None:
        announced_s = connection.keep_alive_timeout_s - KEEP_ALIVE_MARGIN_S
        max_idle_s = min(announced_s, MAX_ANNOUNCED_IDLE_S)
    else:
        max_idle_s = MAX_IDLE_S
    if not is_repeatable:
        max_idle_s = min(max_idle_s, MAX_IDLE_BEFORE_ONCE_S)
    return idle_s <= max_idle_s


def _encode_request(
    server: BackendServer, request: IncomingRequest, time_left_s: float
) -> bytes:
    lines = [f"{request.method} {request.target} HTTP/1.1\r\n".encode("latin-1")]
    for name, value in request.headers:
        if request.resume_after is not None and name.lower() == wire.LAST_EVENT_ID:
            continue
        lines.append(b"%b: %b\r\n" % (name, value))
    added_headers = [
        (b"Deadline-Ms", str(max(int(time_left_s * 1000), 1))),
        (b"Expect-Replica", server.server_id),
    ]
    if request.workspace is not None:
        added_headers.append((b"Tenant", request.workspace))
    if request.resume_after is not None:
        added_headers.append((b"Last-Event-Id", request.resume_after))
    if request.fetch_from is not None:
        source = f"{request.fetch_from.host}:{request.fetch_from.port}"
        added_headers.append((b"Kv-Fetch", source))
    if request.route.rule is ExecutionRule.STREAM:
        added_headers.append((b"Request-Priority", str(request.rank_order)))
    lines += [
        b"%b: %b\r\n" % (name, value.encode("latin-1")) for name, value in added_headers
    ]
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        lines.append(b"Content-Length: %d\r\n" % len(request.body))
    return b"".join([*lines, b"\r\n", request.body])


def _decode_response_head(
    head: ResponseHead, load: ServerLoad | None, is_leaving: bool
) -> BackendResponseHead:
    has_coding = head.find_header(b"content-encoding") is not None
    return BackendResponseHead(
        status=head.status,
        headers=[
            header
            for header in head.headers
            if header[0].lower() not in _NOT_FORWARDED_HEADERS
        ],
        was_not_run=head.find_header(wire.NOT_EXECUTED) is not None
        or head.status == MISDIRECTED_STATUS,
        # The seal covers the body before any content coding.
        is_verified=head.find_header(wire.RESPONSE_SEAL) is not None and not has_coding,
        load=load,
        is_close_delimited=not head.is_self_delimited,
        # Another server sends this status at the address of the one that was called.
        is_leaving=is_leaving and head.status != MISDIRECTED_STATUS,
    )


def _list_values(head: ResponseHead, header: bytes) -> list[bytes]:
    """Return the different values of a header."""
    return sorted(
        {value.strip() for name, value in head.headers if name.lower() == header}
    )


def _is_own(head: ResponseHead) -> bool:
    """Return whether a response is of the server that the request was sent to."""
    if head.status == MISDIRECTED_STATUS:
        return False
    return any(
        head.find_header(name) is not None
        for name in (wire.RESPONSE_SEAL, wire.NOT_EXECUTED)
    )


_NOT_FORWARDED_HEADERS = wire.HOP_BY_HOP_HEADERS | {wire.SERVER_LOAD}


def _decode_load(value: bytes) -> ServerLoad | Failure:
    """Decode a server's load: running, waiting, slots and, if sent, its work time.

    Further figures are ignored, since servers may add some.

    >>> _decode_load(b"3, 0, 8, 150")
    ServerLoad(running=3, waiting=0, slots=8, work_time_ratio=1.5)
    """
    parts = [part.strip() for part in value.split(b",")]
    if len(parts) < 3:
        return _make_decode_failure(f"{len(parts)} figures, at least 3 are needed")
    for part in parts:
        if not part.isdigit() or len(part) > MAX_LOAD_DIGITS:
            return _make_decode_failure(
                f"{part[:MAX_LOAD_DIGITS]!r} is not a number of at most"
                f" {MAX_LOAD_DIGITS} digits"
            )
    running, waiting, slots = (int(part) for part in parts[:3])
    percent = int(parts[3]) if len(parts) > 3 else USUAL_WORK_TIME_PERCENT
    if percent == 0:
        return _make_decode_failure("a work time of zero")
    return ServerLoad(running, waiting, slots, percent / USUAL_WORK_TIME_PERCENT)


def _decode_leaving(value: bytes) -> bool | Failure:
    """Decode whether a server leaves.

    >>> _decode_leaving(b"1"), _decode_leaving(b"0")
    (True, False)
    """
    if value not in (b"0", b"1"):
        return _make_decode_failure("neither 0 nor 1")
    return value == b"1"


def _decode_limit(value: bytes) -> float | Failure:
    """Decode a limit in requests per second, which may have a fraction.

    >>> _decode_limit(b"5.4")
    5.4
    """
    if _DECIMAL_PATTERN.fullmatch(value) is None:
        return _make_decode_failure("it is not a number of requests per second")
    return float(value)


def _decode_cold_s(value: bytes) -> float | Failure:
    """Decode a cold time in milliseconds, as seconds.

    >>> _decode_cold_s(b"1500")
    1.5
    """
    if _DECIMAL_PATTERN.fullmatch(value) is None:
        return _make_decode_failure("it is not a number of milliseconds")
    return float(value) / 1000


def _decode_pause_s(value: bytes) -> float | Failure:
    """Decode a time in seconds, which may have a fraction.

    >>> _decode_pause_s(b"1.5")
    1.5
    """
    if _DECIMAL_PATTERN.fullmatch(value) is None:
        return _make_decode_failure("it is not a number of seconds")
    return float(value)


def _decode_keep_alive_s(value: bytes) -> float | None | Failure:
    """Decode a server's keep-alive timeout in seconds, ``None`` if it states none.

    >>> _decode_keep_alive_s(b"timeout=5, max=100")
    5.0
    """
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() != b"timeout":
            continue
        if not number.strip().isdigit():
            return _make_decode_failure("the timeout is not a number of seconds")
        return float(number)
    return None


def _make_decode_failure(reason: str) -> Failure:
    return make_failure(ErrorKind.BACKEND_FAILED, reason)


def make_server_calls(memory_limit_bytes: int = MAX_RESPONSES_BYTES) -> ServerCalls:
    """Return a client without connections.

    :param memory_limit_bytes: bound on the memory of all responses.
    """
    return ServerCalls(make_unreadable_values(), memory_limit_bytes)
