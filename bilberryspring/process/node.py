"""Base class of routers and agents: settings, platform clients, peers, versions."""

import asyncio
from typing import Any

from bilberryspring.capability.instance_list import (
    Role,
)
from bilberryspring.connection.link import Link
from bilberryspring.connection.messages import Leaving, Message
from bilberryspring.connection.peers import make_peer_pool
from bilberryspring.identifiers import InstanceId
from bilberryspring.platform.instances import (
    make_instance_list_client,
)
from bilberryspring.platform.keyvalue import (
    make_key_value_client,
)
from bilberryspring.process.accounting import make_ledger
from bilberryspring.process.list_follower import make_list_follower
from bilberryspring.process.logs import log_event
from bilberryspring.process.loop_watch import make_loop_watch
from bilberryspring.process.membership import make_members
from bilberryspring.process.metrics import make_metrics
from bilberryspring.process.settings import ProcessSettings
from bilberryspring.process.traces import make_tracing
from bilberryspring.request.crash_records import announce_crash, make_crash_records
from bilberryspring.version.dissemination import make_follower
from bilberryspring.version.holder import make_holder

__all__ = ["Node"]


class Node:
    """Common base of a router and an agent.

    Handlers of peer calls receive this object and use its attributes.

    :param settings: validated settings of the process.
    :param role: router or agent.
    """

    def __init__(self, settings: ProcessSettings, role: Role):
        self.settings = settings
        self.instance_id = InstanceId(settings.instance_id)
        self.ledger = make_ledger()
        self.metrics = make_metrics(self.ledger)
        self.tracing = make_tracing(
            settings.instance_id,
            role.value,
            settings.trace_path,
            settings.trace_ratio,
        )
        self.key_value = make_key_value_client(
            settings.key_value_addresses, settings.key_value_timeout_s, self.ledger
        )
        self.members = make_members(self.instance_id)
        self.peers = make_peer_pool(settings, self, self.handle_request_frame)
        self.list_follower = make_list_follower(
            settings,
            make_instance_list_client(
                settings.instance_list_address,
                settings.key_value_timeout_s,
                self.ledger,
            ),
            self.members,
            self.peers,
            self.ledger,
        )
        self.metrics.add_gauge(
            "instance_list_age_seconds",
            "Time since the platform confirmed the list",
            self.list_follower.read_age,
        )
        self.loop_watch = make_loop_watch()
        self.metrics.add_gauge(
            "event_loop_stalled_seconds",
            "Time for which the event loop stood still",
            self.loop_watch.read_stalled_s,
            "cause",
            "place",
        )
        self.metrics.add_gauge(
            "event_loop_longest_stall_seconds",
            "Longest time for which the event loop stood still",
            self.loop_watch.read_longest_s,
        )
        self.holder = make_holder()
        self.follower = make_follower(
            settings, self.holder, self.key_value, self.members, self.peers, self.ledger
        )
        self.crashes = make_crash_records()
        self.crashes.crash_callbacks.append(self._announce_crash)
        self.draining = False
        self._tasks: set[asyncio.Task[Any]] = set()

    def handle_request_frame(self, link: Link, message: Message) -> None:
        """Handle a frame that belongs neither to a call nor to a stream opened here.

        :param link: connection on which the frame arrived.
        :param message: the frame.
        """
        if isinstance(message, Leaving):
            self.members.report_leaving(InstanceId(message.instance_id))

    def is_ready(self) -> bool:
        """Return whether the process accepts requests."""
        return self.holder.index is not None and not self.draining

    def start_task(self, coroutine: Any) -> asyncio.Task[Any]:
        """Run a coroutine as a task that is cancelled when the process closes.

        :param coroutine: the coroutine.
        :returns: its task.
        """
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)
        return task

    def _end_task(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event("task_failed", level="ERROR", error=repr(task.exception()))

    def _announce_crash(self, content_digest: str, crash_ids: frozenset[str]) -> None:
        self.start_task(announce_crash(self, content_digest, crash_ids))

    async def start_node(self) -> None:
        """Start tracing, the platform clients and the configuration follower."""
        self.loop_watch.start()
        self.tracing.start()
        await self.key_value.start()
        await self.list_follower.start()
        await self.follower.start()

    async def close_node(self) -> None:
        """Stop everything that :meth:`start_node` started."""
        for task in list(self._tasks):
            task.cancel()
        await self.follower.close()
        await self.list_follower.close()
        await self.peers.close()
        await self.key_value.close()
        self.loop_watch.close()
        self.tracing.close()
