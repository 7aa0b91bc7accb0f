"""Polls the configuration version that each process of a fleet has in force."""

import asyncio
import re
import time
from dataclasses import dataclass

import aiohttp

from bilberryspring.standin.fleet import Fleet, Node

__all__ = ["Observation", "VersionObserver"]

POLL_INTERVAL_S = 0.02
PROBE_TIMEOUT_S = 0.5
ADOPTED_LOG_LINE = re.compile(
    r"event=configuration_adopted version=(\d+) previous=(\d+)"
)


@dataclass(frozen=True)
class Observation:
    """Configuration version that a process reported.

    :param time_s: time of the report, on the monotonic clock.
    :param pid: id of the process; a restarted node reports under a new one.
    :param version: version in force.
    """

    time_s: float
    pid: int
    version: int


class VersionObserver:
    """Poller of the versions in force at every node, used as an async context manager.

    :param fleet: fleet under test; nodes that are added later are not polled.
    :ivar observations: reported versions by instance id, in order of time.
    """

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._tasks: list[asyncio.Task] = []
        self.observations: dict[str, list[Observation]] = {}

    async def __aenter__(self):
        for node_name, node in self._fleet.nodes.items():
            self.observations[node_name] = []
            self._tasks.append(asyncio.create_task(self._poll(node_name, node)))
        return self

    async def __aexit__(self, *_error):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _poll(self, node_name: str, node: Node) -> None:
        url = f"http://{node.administration_address}/healthz"
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        while True:
            pid = node.process.pid
            try:
                async with self._fleet.session.get(url, timeout=timeout) as reply:
                    version = (await reply.json())["configuration_version"]
                if node.process.pid == pid:
                    observation = Observation(time.monotonic(), pid, version)
                    self.observations[node_name].append(observation)
            except (aiohttp.ClientError, TimeoutError, ValueError):
                pass
            await asyncio.sleep(POLL_INTERVAL_S)

    def latest_version(self, node_name: str) -> int:
        """Return the last version a node reported since its start; zero for none."""
        reported = self.list_versions(node_name)
        return reported[-1] if reported else 0

    async def wait_for_version(
        self, version: int, timeout_s: float, node_names: list[str] | None = None
    ) -> dict[str, int]:
        """Wait until nodes report at least a version, or until a timeout.

        :param version: version to wait for.
        :param timeout_s: longest wait, in seconds.
        :param node_names: instance ids of the nodes; None or empty for all.
        :returns: last version of each node that has not reached it; empty if all have.
        """
        deadline_s = time.monotonic() + timeout_s
        while True:
            lagging = {
                node_name: self.latest_version(node_name)
                for node_name in node_names or self.observations
                if self.latest_version(node_name) < version
            }
            if not lagging or time.monotonic() > deadline_s:
                return lagging
            await asyncio.sleep(POLL_INTERVAL_S)

    def list_versions(self, node_name: str) -> list[int]:
        """Return the versions that a node reported since its last start."""
        pid = self._fleet.nodes[node_name].process.pid
        return [
            observation.version
            for observation in self.observations[node_name]
            if observation.pid == pid
        ]

    def list_reverts(self) -> list[str]:
        """Return each report or log line that shows a process reverting, as text."""
        reverts = []
        for node_name, reported in self.observations.items():
            for earlier, later in zip(reported, reported[1:], strict=False):
                if earlier.pid == later.pid and later.version < earlier.version:
                    reverts.append(f"{node_name}: {earlier} then {later}")
            log = self._fleet.nodes[node_name].process.read_log()
            for version, previous in ADOPTED_LOG_LINE.findall(log):
                if int(version) <= int(previous):
                    reverts.append(f"{node_name}: adopted {version} after {previous}")
        return reverts
