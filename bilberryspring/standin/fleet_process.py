"""One process of a test fleet."""

import asyncio
import json
import os
import signal
import time
from multiprocessing.process import BaseProcess
from pathlib import Path

import aiohttp

import bilberryspring
from bilberryspring.standin.program_start import start_program

__all__ = ["FleetError", "FleetProcess", "SOURCE_ROOT"]

SOURCE_ROOT = Path(bilberryspring.__file__).parent.parent
POLL_INTERVAL_S = 0.02
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 30.0
PROBE_TIMEOUT_S = 1.0
LOG_TAIL_BYTES = 4_000


class FleetError(Exception):
    """A process of the fleet failed, timed out or was used wrongly."""


class FleetProcess:
    """A process of the fleet, which can be started several times.

    :param name: unique name in the fleet.
    :param module: module to run as the main one.
    :param arguments: command line arguments before ``--settings``.
    :param settings: settings, written to the settings file at each start.
    :param ready_url: URL that returns status 200 once the process serves.
    :param directory: directory for the settings file and the log.
    :ivar kill_times_s: monotonic time of each :meth:`kill` of the running process.
    """

    def __init__(
        self,
        name: str,
        module: str,
        arguments: list[str],
        settings: dict,
        ready_url: str,
        directory: Path,
    ):
        self.name = name
        self.settings = settings
        self.ready_url = ready_url
        self.log_path = directory / f"{name}.log"
        self._settings_path = directory / f"{name}.json"
        self._module = module
        self._arguments = [*arguments, "--settings", str(self._settings_path)]
        self.kill_times_s: list[float] = []
        self._process: BaseProcess | None = None

    @property
    def processes(self) -> list["FleetProcess"]:
        """This process only; lets a process be used in place of a node."""
        return [self]

    @property
    def pid(self) -> int:
        """Process id of the last start.

        :raises FleetError: if the process was never started.
        """
        if self._process is None:
            raise FleetError(f"{self.name} was not started")
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code; None if the process is running or was never started."""
        return self._process.exitcode if self._process is not None else None

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._process is not None and self._process.exitcode is None

    def start(self) -> None:
        """Start the process, or restart it after its exit.

        :raises FleetError: if the process is running.
        """
        if self.is_running:
            raise FleetError(f"{self.name} is already running")
        self._settings_path.write_text(json.dumps(self.settings), encoding="utf-8")
        self._process = start_program(self._module, self._arguments, self.log_path)

    async def wait_ready(
        self, session: aiohttp.ClientSession, timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Wait until the process serves.

        :param session: HTTP session of the harness.
        :param timeout_s: time limit.
        :raises FleetError: if the process exits or is not ready in time.
        """
        deadline_s = time.monotonic() + timeout_s
        while not await self._probe(session):
            if not self.is_running:
                raise FleetError(f"{self.name} exited: {self.read_log_tail()}")
            if time.monotonic() > deadline_s:
                raise FleetError(f"{self.name} is not ready: {self.read_log_tail()}")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _probe(self, session: aiohttp.ClientSession) -> bool:
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        try:
            async with session.get(self.ready_url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running.

        :param number: the signal.
        """
        if self.is_running:
            os.kill(self._process.pid, number)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP until it is resumed or killed."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self.send_signal(signal.SIGCONT)

    async def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Send SIGTERM and wait until the process exits.

        :param timeout_s: time limit.
        :returns: the exit code.
        :raises FleetError: if the process does not exit in time.
        """
        self.send_signal(signal.SIGTERM)
        return await self.wait_ended(timeout_s)

    async def wait_ended(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until the process exits.

        :param timeout_s: time limit.
        :returns: the exit code.
        :raises FleetError: if the process does not exit in time.
        """
        deadline_s = time.monotonic() + timeout_s
        while self.is_running:
            if time.monotonic() > deadline_s:
                raise FleetError(f"{self.name} did not exit: {self.read_log_tail()}")
            await asyncio.sleep(POLL_INTERVAL_S)
        return self._process.exitcode

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait until it has exited."""
        if self.is_running:
            self._process.kill()
            self._process.join()
            self.kill_times_s.append(time.monotonic())

    def read_log(self) -> str:
        """Return the output of every start of the process; empty if there is none."""
        if not self.log_path.exists():
            return ""
        return self.log_path.read_text(encoding="utf-8", errors="replace")

    def read_log_tail(self) -> str:
        """Return the last part of the output."""
        return self.read_log()[-LOG_TAIL_BYTES:]
