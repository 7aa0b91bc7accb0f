"""Observes from outside which configuration version each process has in force."""

import asyncio
import re
import time
from dataclasses import dataclass

import aiohttp

from bilberryspring.standin.fleet import Fleet, Node

__all__ = ["Observation", "VersionObserver"]

POLL_S = 0.02
PROBE_TIMEOUT_S = 0.5
ADOPTED = re.compile(r"event=configuration_adopted version=(\d+) previous=(\d+)")


@dataclass(frozen=True)
class Observation:
    """Version that a process reported.

    :param pid: process that reported it; a restart begins a new sequence.
    """

    time_s: float
    pid: int
    version: int


class VersionObserver:
    """Polls the health of every node until it is closed.

    :param fleet: fleet under test.
    """

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._tasks: list[asyncio.Task] = []
        self.observations: dict[str, list[Observation]] = {}

    async def __aenter__(self):
        for name, node in self._fleet.nodes.items():
            self.observations[name] = []
            self._tasks.append(asyncio.create_task(self._poll(name, node)))
        return self

    async def __aexit__(self, *_error):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _poll(self, name: str, node: Node) -> None:
        url = f"http://{node.administration_address}/healthz"
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        while True:
            pid = node.process.pid
            try:
                async with self._fleet.session.get(url, timeout=timeout) as reply:
                    version = (await reply.json())["configuration_version"]
                if node.process.pid == pid:
                    observation = Observation(time.monotonic(), pid, version)
                    self.observations[name].append(observation)
            except (aiohttp.ClientError, TimeoutError, ValueError):
                pass
            await asyncio.sleep(POLL_S)

    def latest_version(self, name: str) -> int:
        """Return the last version of a node's present process; zero for none."""
        seen = self.list_versions(name)
        return seen[-1] if seen else 0

    async def wait_for_version(
        self, version: int, timeout_s: float, names: list[str] | None = None
    ) -> dict[str, int]:
        """Wait until nodes report a version and return those that do not."""
        deadline_s = time.monotonic() + timeout_s
        while True:
            behind = {
                name: self.latest_version(name)
                for name in names or self.observations
                if self.latest_version(name) < version
            }
            if not behind or time.monotonic() > deadline_s:
                return behind
            await asyncio.sleep(POLL_S)

    def list_versions(self, name: str) -> list[int]:
        """Return the versions that the present process of a node reported."""
        pid = self._fleet.nodes[name].process.pid
        return [item.version for item in self.observations[name] if item.pid == pid]

    def list_reverts(self) -> list[str]:
        """Return each report or log line that shows a process moving down."""
        reverts = []
        for name, seen in self.observations.items():
            for before, after in zip(seen, seen[1:], strict=False):
                if before.pid == after.pid and after.version < before.version:
                    reverts.append(f"{name}: {before} then {after}")
            log = self._fleet.nodes[name].process.read_log()
            for version, previous in ADOPTED.findall(log):
                if int(version) <= int(previous):
                    reverts.append(f"{name}: adopted {version} after {previous}")
        return reverts
