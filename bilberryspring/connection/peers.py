"""Connections to and from the other processes of the fleet.

Connections are opened on demand, shared by all requests to one address, monitored while
requests or calls are outstanding, and closed after an idle timeout. A connection whose
peer does not respond to pings is aborted, and its requests continue over a new one. No
state is kept for an address without a connection, since instances are replaced
continually and such state would accumulate.
"""

import asyncio
import secrets
import time
from typing import Any

from bilberryspring.connection.authentication import (
    authenticate_as_connector,
    authenticate_as_listener,
)
from bilberryspring.connection.link import (
    Link,
    RequestHandler,
    StreamEvent,
    make_link,
)
from bilberryspring.connection.messages import Hello, Message
from bilberryspring.identifiers import InstanceId, RequestId
from bilberryspring.process.logs import log_event
from bilberryspring.process.settings import ProcessSettings, split_address
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = [
    "INCARNATION",
    "PeerPool",
    "PeerServer",
    "RequestStream",
    "make_peer_pool",
    "make_peer_server",
    "needs_ping",
]

READ_BUFFER_BYTES = 1 << 20
AUTHENTICATION_TIMEOUT_S = 2.0
# A side that receives frames does not need to send pings. It still sends some, since
# the other side may receive no other frames while it sends a response.
KEEPALIVE_PING_TIMEOUTS = 4
MAX_SILENT_PING_TIMEOUTS = 8
# The other side closes an idle connection after one idle timeout, unless its host has
# failed.
MAX_IDLE_TIMEOUTS = 4
# An idle link is not pinged, so it is probed before new work is sent over it.
MAX_UNPROBED_SILENCE_S = 1.0
PROBE_TIMEOUT_S = 0.5


INCARNATION = secrets.token_hex(8)


def make_own_hello(instance_id: str) -> Hello:
    """Return the hello of this process, without nonce and proof.

    :param instance_id: instance id of this process.
    """
    return Hello(InstanceId(instance_id), incarnation=INCARNATION)


class RequestStream:
    """Frames of one request, on the side that opened it.

    :param link: link over which the request is sent.
    :param request_id: request whose frames the stream receives.
    """

    def __init__(self, link: Link, request_id: RequestId):
        self.link = link
        self.request_id = request_id
        self._queue: asyncio.Queue[StreamEvent] = asyncio.Queue()
        link.restart_silence_timer_if_idle()
        link.stream_queues[request_id] = self._queue

    def send(self, message: Message) -> None:
        """Send a message of this request.

        :param message: message that carries the id of the request.
        """
        self.link.send(message)

    async def receive(self) -> StreamEvent:
        """Wait for the next frame of the request, or for ``LINK_LOST``."""
        return await self._queue.get()

    def close(self) -> None:
        """Stop receiving frames of the request."""
        if self.link.stream_queues.get(self.request_id) is self._queue:
            del self.link.stream_queues[self.request_id]


class _Peer:
    """Link to one address, with the tasks that connect, read and monitor it."""

    def __init__(self, address: str):
        self.address = address
        self.link: Link | None = None
        self.connect_task: asyncio.Task[Link | Failure] | None = None
        self.read_task: asyncio.Task[None] | None = None
        self.monitor_task: asyncio.Task[None] | None = None

    @property
    def is_connected(self) -> bool:
        """Whether the link is open."""
        return self.link is not None and not self.link.is_lost

    def is_usable_without_probe(self, now_s: float) -> bool:
        """Return whether work may be sent over the link without a probe."""
        if not self.is_connected:
            return False
        is_recently_active = now_s - self.link.last_received_s <= MAX_UNPROBED_SILENCE_S
        return bool(self.link.outstanding_count) or is_recently_active

    @property
    def is_inactive(self) -> bool:
        """Whether there is neither an open link nor an attempt to connect."""
        has_link = self.link is not None and not self.link.is_closed
        return not has_link and self.connect_task is None


class PeerPool:
    """Pool of the outgoing connections of a process, with one link per address.

    :param settings: settings of this process.
    :param process: process object, which is passed to call handlers.
    :param on_request: handler of frames from peers that belong to neither a call nor a
        stream; ``None`` drops them.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        process: Any,
        on_request: RequestHandler | None,
    ):
        self.settings = settings
        self.process = process
        self.on_request = on_request
        self._peers: dict[str, _Peer] = {}

    def __len__(self) -> int:
        return len(self._peers)

    async def call(
        self, address: str, method: str, payload: bytes, timeout_s: float
    ) -> bytes | Failure:
        """Call a registered method of the process at an address.

        :param address: peer address of the process, as ``ip:port``.
        :param method: name under which the process registered the handler.
        :param payload: request payload.
        :param timeout_s: timeout in seconds for the whole call, connecting included.
        :returns: reply payload or a failure. ``PEER_UNREACHABLE`` and ``PEER_SILENT``
            mean that the call was not sent.
        """
        started_s = time.monotonic()
        link = await self.connect(address)
        if isinstance(link, Failure):
            return link
        remaining_s = max(timeout_s - (time.monotonic() - started_s), 0.001)
        return await link.call(method, payload, remaining_s)

    async def open_stream(
        self, address: str, request_id: RequestId
    ) -> RequestStream | Failure:
        """Open a stream for a request to the process at an address.

        :param address: peer address of the process, as ``ip:port``.
        :param request_id: request whose frames the stream receives.
        :returns: the stream, or a ``PEER_UNREACHABLE`` or ``PEER_SILENT`` failure if
            there is no connection.
        """
        link = await self.connect(address)
        return link if isinstance(link, Failure) else RequestStream(link, request_id)

    async def connect(self, address: str) -> Link | Failure:
        """Return the open link to an address, connecting if there is none.

        :param address: peer address of the process, as ``ip:port``.
        :returns: the link, or a ``PEER_UNREACHABLE`` or ``PEER_SILENT`` failure.
        """
        peer = self._peers.setdefault(address, _Peer(address))
        if peer.is_usable_without_probe(time.monotonic()):
            return peer.link
        if peer.connect_task is None:
            peer.connect_task = asyncio.create_task(self._open_link(peer))
        attempt = peer.connect_task
        # Concurrent callers share one attempt, so that a silent peer delays each of
        # them for one connect timeout only.
        await asyncio.wait([attempt])
        if attempt.cancelled():
            return make_failure(
                ErrorKind.PEER_UNREACHABLE, f"{address}: connecting was cancelled"
            )
        return attempt.result()

    async def _open_link(self, peer: _Peer) -> Link | Failure:
        try:
            await self._probe_idle_link(peer)
            if peer.is_connected:
                return peer.link
            link = await self._dial(peer.address)
            if isinstance(link, Failure):
                return link
            peer.link = link
            peer.read_task = asyncio.create_task(link.run())
            if peer.monitor_task is None or peer.monitor_task.done():
                peer.monitor_task = asyncio.create_task(self._monitor(peer))
            return link
        finally:
            peer.connect_task = None
            self._remove_if_inactive(peer)

    def _remove_if_inactive(self, peer: _Peer) -> None:
        if peer.is_inactive and self._peers.get(peer.address) is peer:
            del self._peers[peer.address]

    async def _probe_idle_link(self, peer: _Peer) -> None:
        """Probe an idle link before work is sent over it, and abort it on timeout."""
        if not peer.is_connected or peer.is_usable_without_probe(time.monotonic()):
            return
        link = peer.link
        if not await link.probe(PROBE_TIMEOUT_S) and not link.outstanding_count:
            log_event("idle_link_silent", peer=link.peer_id, address=peer.address)
            link.disconnect()

    async def _dial(self, address: str) -> Link | Failure:
        host, port = split_address(address)
        own_hello = make_own_hello(self.settings.instance_id)
        writer = None
        try:
            async with asyncio.timeout(self.settings.connect_timeout_s):
                reader, writer = await asyncio.open_connection(
                    host, port, limit=READ_BUFFER_BYTES
                )
                hello = await authenticate_as_connector(
                    reader, writer, self.settings.fleet_secret, own_hello
                )
        except (OSError, TimeoutError, asyncio.CancelledError) as error:
            if writer is not None:
                writer.transport.abort()
            if isinstance(error, asyncio.CancelledError):
                raise
            reason = f"{address}: {error or 'connecting timed out'}"
            # A refused or reset connection shows that the host responds. Any other
            # error may also be a failure of the network path.
            if isinstance(error, ConnectionError):
                return make_failure(ErrorKind.PEER_UNREACHABLE, reason)
            return make_failure(ErrorKind.PEER_SILENT, reason)
        if isinstance(hello, Failure):
            # The network path may be cut at any byte of the handshake, which must not
            # be taken for a wrong secret.
            log_event("handshake_failed", address=address, reason=hello.reason)
            writer.transport.abort()
            return make_failure(ErrorKind.PEER_UNREACHABLE, hello.reason)
        return make_link(reader, writer, hello, self.process, self.on_request)

    async def _monitor(self, peer: _Peer) -> None:
        """Monitor the link of a peer until it closes.

        Pings the peer while work is outstanding, aborts a silent link, and closes one
        that has been idle for longer than the idle timeout.
        """
        settings = self.settings
        while peer.link is not None and not peer.link.is_closed:
            link = peer.link
            sleep_started_s = time.monotonic()
            await asyncio.sleep(settings.ping_interval_s)
            now_s = time.monotonic()
            if not link.outstanding_count:
                if now_s - link.last_sent_s > settings.idle_connection_s:
                    link.disconnect()
                continue
            if now_s - sleep_started_s > settings.ping_timeout_s:
                link.last_received_s = now_s  # paused process: silence proves nothing
            if now_s - link.last_received_s > settings.ping_timeout_s:
                log_event("link_silent", peer=link.peer_id, address=peer.address)
                link.disconnect()
            elif needs_ping(link, settings, now_s):
                link.ping()
        self._remove_if_inactive(peer)

    def count_queued_events(self) -> int:
        """Return the number of events in the queues of all streams.

        Many queued events indicate callers that read their responses slowly.
        """
        links = (peer.link for peer in self._peers.values())
        return sum(link.queued_events for link in links if link is not None)

    def close_peer(self, address: str) -> None:
        """Close the connection to an address, if any, and cancel connecting.

        :param address: peer address of the process, as ``ip:port``.
        """
        peer = self._peers.pop(address, None)
        if peer is None:
            return
        if peer.connect_task is not None:
            peer.connect_task.cancel()
        if peer.link is not None:
            peer.link.disconnect()

    async def close(self) -> None:
        """Close every connection."""
        for address in list(self._peers):
            self.close_peer(address)


def needs_ping(link: Link, settings: ProcessSettings, now_s: float) -> bool:
    """Return whether to ping the peer of a link with outstanding work now.

    :param link: link to the peer.
    :param settings: settings of this process, with the ping interval and timeout.
    :param now_s: current monotonic time in seconds.
    """
    silent_s, since_ping_s = now_s - link.last_received_s, now_s - link.last_ping_s
    if silent_s > settings.ping_interval_s / 2:
        return True
    return since_ping_s > KEEPALIVE_PING_TIMEOUTS * settings.ping_timeout_s


class PeerServer:
    """Server that accepts and authenticates connections of other processes.

    :param settings: settings of this process.
    :param address: address to listen on, as ``ip:port``.
    :param process: process object, which is passed to call handlers.
    :param on_request: handler of frames from peers that belong to neither a call nor a
        stream; ``None`` drops them.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        address: str,
        process: Any,
        on_request: RequestHandler | None,
    ):
        self.settings = settings
        self.address = address
        self.process = process
        self.on_request = on_request
        self.links: set[Link] = set()
        self._server: asyncio.Server | None = None
        self._sweep_task: asyncio.Task[None] | None = None
        self._handshake_writers: set[asyncio.StreamWriter] = set()
        self._is_closed = False

    async def start(self) -> None:
        """Start listening and monitoring accepted links.

        :raises OSError: if the address cannot be bound.
        """
        host, port = split_address(self.address)
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=READ_BUFFER_BYTES
        )
        self._sweep_task = asyncio.create_task(self._disconnect_silent_links())

    async def _disconnect_silent_links(self) -> None:
        """Abort silent links periodically.

        A link with attached requests is aborted when nothing has arrived for several
        ping timeouts. Any other link is aborted only when it has been silent for
        several idle timeouts, after which the other side would have closed it.
        """
        attached_limit_s = MAX_SILENT_PING_TIMEOUTS * self.settings.ping_timeout_s
        idle_limit_s = MAX_IDLE_TIMEOUTS * self.settings.idle_connection_s
        while True:
            sleep_started_s = time.monotonic()
            await asyncio.sleep(self.settings.ping_interval_s)
            now_s = time.monotonic()
            was_paused = now_s - sleep_started_s > attached_limit_s
            for link in list(self.links):
                if was_paused:
                    link.last_received_s = now_s
                silent_s = now_s - link.last_received_s
                if silent_s > (
                    attached_limit_s if link.attached_requests else idle_limit_s
                ):
                    log_event("link_silent", peer=link.peer_id)
                    link.disconnect()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_closed:
            writer.transport.abort()
            return
        self._handshake_writers.add(writer)
        try:
            hello = await self._authenticate(reader, writer)
        finally:
            self._handshake_writers.discard(writer)
        if hello is None:
            return
        link = make_link(reader, writer, hello, self.process, self.on_request)
        self.links.add(link)
        try:
            await link.run()
        finally:
            self.links.discard(link)

    async def _authenticate(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Hello | None:
        """Return the hello of a connecting process, or abort the connection."""
        own_hello = make_own_hello(self.settings.instance_id)
        hello = None
        try:
            async with asyncio.timeout(AUTHENTICATION_TIMEOUT_S):
                hello = await authenticate_as_listener(
                    reader, writer, self.settings.fleet_secret, own_hello
                )
        except (OSError, TimeoutError):
            return None
        finally:
            if not isinstance(hello, Hello):
                writer.transport.abort()
        if isinstance(hello, Failure):
            log_event("peer_rejected", reason=hello.reason)
            return None
        return hello

    async def close(self) -> None:
        """Stop listening and close every accepted connection."""
        self._is_closed = True
        if self._server is not None:
            self._server.close()
        if self._sweep_task is not None:
            self._sweep_task.cancel()
        for writer in list(self._handshake_writers):
            writer.transport.abort()
        for link in list(self.links):
            link.disconnect()


def make_peer_pool(
    settings: ProcessSettings,
    process: Any,
    on_request: RequestHandler | None = None,
) -> PeerPool:
    """Return an empty pool of outgoing connections.

    :param settings: settings of this process.
    :param process: process object, which is passed to handlers of calls that peers make
        over these connections.
    :param on_request: handler of frames that belong to neither a call nor a stream,
        such as notices; ``None`` drops them.
    :returns: pool without connections.
    """
    return PeerPool(settings, process, on_request)


def make_peer_server(
    settings: ProcessSettings,
    address: str,
    process: Any,
    on_request: RequestHandler | None = None,
) -> PeerServer:
    """Return a server for connections of other processes.

    :param settings: settings of this process.
    :param address: address to listen on, as ``ip:port``.
    :param process: process object, which is passed to call handlers.
    :param on_request: handler of frames that belong to neither a call nor a stream,
        such as those that open or cancel requests; ``None`` drops them.
    :returns: server that is not listening yet.
    """
    return PeerServer(settings, address, process, on_request)
