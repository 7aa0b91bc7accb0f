"""Group of test processes with their addresses and the harness's HTTP session."""

import asyncio
import atexit
from pathlib import Path
from typing import Protocol, Self

import aiohttp

from bilberryspring.standin.addresses import AddressBlock, make_address_block
from bilberryspring.standin.fleet_process import FleetError, FleetProcess

__all__ = ["ProcessOwner", "ProcessGroup", "require_status_ok"]

STANDIN_MODULE = "bilberryspring.standin.command"
PROXY_PORT = 7100
STANDIN_PORT = 9000
HTTP_TIMEOUT_S = 10.0

READY_PATHS = {
    "key-value": "/standin/calls",
    "instances": "/standin/calls",
    "engine": "/standin/inflight",
    "service": "/standin/inflight",
    "proxy": "/standin/connections",
}


class ProcessOwner(Protocol):
    """A process, or a node with several processes."""

    @property
    def processes(self) -> list[FleetProcess]:
        """Processes of the node, or the process itself."""


class ProcessGroup:
    """Group of processes, none of which is left after :meth:`close`.

    :param directory: directory for settings files, logs and journals.
    :ivar processes: processes started so far, by name.
    :ivar addresses: reserved addresses; None before :meth:`start`.
    :ivar session: HTTP session of the harness; None before :meth:`start`.
    """

    def __init__(self, directory: Path):
        self.directory = directory
        self.processes: dict[str, FleetProcess] = {}
        self.addresses: AddressBlock | None = None
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        await self.start()
        return self

    async def __aexit__(self, *_error: object) -> None:
        await self.close()

    async def start(self) -> None:
        """Reserve addresses and open the harness's HTTP session."""
        self.addresses = make_address_block()
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=HTTP_TIMEOUT_S),
        )
        atexit.register(self._kill_all)

    async def close(self) -> None:
        """Kill every process, close the session and release the addresses."""
        self._kill_all()
        atexit.unregister(self._kill_all)
        await self.session.close()
        self.addresses.close()

    def _kill_all(self) -> None:
        for process in self.processes.values():
            process.kill()

    def start_standin(self, kind: str, name: str, settings: dict) -> FleetProcess:
        """Start a stand-in on a separate address.

        :param kind: sub-command of the stand-in program.
        :param name: unique name in the group.
        :param settings: settings of the stand-in; ``address`` is added if missing.
        :returns: the process.
        """
        standin_settings = {
            "address": f"{self.addresses.take_host()}:{STANDIN_PORT}"
        } | settings
        control_address = standin_settings.get(
            "control_address", standin_settings["address"]
        )
        ready_url = f"http://{control_address}{READY_PATHS[kind]}"
        return self.start_process(
            name, STANDIN_MODULE, [kind], standin_settings, ready_url
        )

    def start_proxy(self, name: str, upstream_address: str) -> FleetProcess:
        """Start a fault-injecting proxy.

        :param name: unique name in the group.
        :param upstream_address: address that the proxy forwards connections to.
        :returns: the process.
        """
        host = self.addresses.take_host()
        settings = {
            "address": f"{host}:{PROXY_PORT}",
            "upstream_address": upstream_address,
            "control_address": f"{host}:{STANDIN_PORT}",
        }
        return self.start_standin("proxy", name, settings)

    def start_process(
        self,
        name: str,
        module: str,
        arguments: list[str],
        settings: dict,
        ready_url: str,
    ) -> FleetProcess:
        """Start a process.

        :param name: unique name in the group.
        :param module: module to run as the main one.
        :param arguments: command line arguments before ``--settings``.
        :param settings: content of the settings file.
        :param ready_url: URL that returns status 200 once the process serves.
        :returns: the process.
        """
        process = FleetProcess(
            name, module, arguments, settings, ready_url, self.directory
        )
        self.processes[name] = process
        process.start()
        return process

    async def wait_ready(self, *members: ProcessOwner) -> None:
        """Wait until processes serve.

        :param members: nodes or processes to wait for; none for the whole group.
        :raises FleetError: if a process exits or is not ready in time.
        """
        selected_processes = [
            process for member in members for process in member.processes
        ]
        waits = [
            process.wait_ready(self.session)
            for process in selected_processes or self.processes.values()
        ]
        await asyncio.gather(*waits)

    async def set_faults(self, process: FleetProcess, **faults: object) -> dict:
        """Replace the injected faults of a stand-in or a proxy.

        :param process: process of the stand-in.
        :param faults: the faults; one that is not named returns to its default.
        :returns: the faults in force.
        :raises FleetError: if the stand-in refuses them.
        """
        url = f"{_make_control_url(process)}/standin/faults"
        async with self.session.post(url, json=faults) as response:
            await require_status_ok(response)
            return await response.json()

    async def read_report(self, process: FleetProcess, path: str) -> dict:
        """Return a report of a stand-in.

        :param process: process of the stand-in.
        :param path: name of the report: ``journal``, ``inflight``, ``calls`` or
            ``connections``.
        :raises FleetError: if the stand-in does not have the report.
        """
        async with self.session.get(
            f"{_make_control_url(process)}/standin/{path}"
        ) as response:
            await require_status_ok(response)
            return await response.json()

    async def stop_all(self) -> dict[str, int]:
        """Stop the running processes one by one: routers, agents, then stand-ins.

        :returns: exit code of each stopped process, by name.
        :raises FleetError: if a process does not exit in time.
        """
        exit_codes = {}
        names = sorted(self.processes, key=_get_stop_rank)
        for name in names:
            if self.processes[name].is_running:
                exit_codes[name] = await self.processes[name].stop()
        return exit_codes


def _make_control_url(process: FleetProcess) -> str:
    settings = process.settings
    return f"http://{settings.get('control_address', settings['address'])}"


async def require_status_ok(response: aiohttp.ClientResponse) -> None:
    """Raise an error unless a stand-in responded with status 200.

    :param response: response of the stand-in.
    :raises FleetError: if the status is another one.
    """
    if response.status != 200:
        raise FleetError(f"{response.url}: {await response.text()}")


def _get_stop_rank(name: str) -> int:
    if name.startswith("router"):
        return 0
    return 1 if name.startswith("agent") and name.count("-") == 1 else 2
