"""Test harness that runs a fleet of real processes on loopback addresses.

Routers and agents are the real programs; the platform's services and the backend
servers are stand-ins.
"""

import asyncio
import hashlib
import json
import time
from pathlib import Path

from bilberryspring.process.settings import split_address
from bilberryspring.standin.callers import (
    ChatRecord,
    ServiceCallRecord,
    call_service,
    resume_chat,
    send_chat,
)
from bilberryspring.standin.engine_text import Message
from bilberryspring.standin.fleet_node import (
    REGION_LINK,
    Node,
    NodeLinks,
    make_node_links,
)
from bilberryspring.standin.fleet_process import POLL_INTERVAL_S, FleetError
from bilberryspring.standin.process_group import (
    ProcessGroup,
    ProcessOwner,
    require_status_ok,
)
from bilberryspring.standin.publishing import OPERATOR_NAME, publish_document
from bilberryspring.standin.regions import RegionPlatform

__all__ = ["Node", "Fleet", "make_fleet", "OPERATOR_KEY", "FLEET_SECRET"]

# Module and command line arguments of the program, by role.
PROGRAMS = {
    "router": ("bilberryspring.process.router", []),
    "agent": ("bilberryspring.process.agent", []),
}

OPERATOR_KEY = "operator-key-of-the-test-fleet"
FLEET_SECRET = "secret-of-the-test-fleet"

PEER_PORT = 7000
CALLER_PORT = 8000
ADMINISTRATION_PORT = 8001
LIST_TIMEOUT_S = 30.0


class Fleet(ProcessGroup):
    """Fleet of one test or demonstration; no process is left after :meth:`close`.

    :param directory: directory for settings files, logs and journals.
    :param region: region of the platform's services, and default region of a node.
    :param settings: settings of every router and agent.
    :ivar programs: module and arguments, by role, of the programs of new nodes.
    :ivar nodes: started nodes, by instance id.
    :ivar unlisted: ids of the instances that the instance list leaves out.
    :ivar regions: platform services that each region reaches, by name of the region.
    :ivar key_value_address: address of the key-value service; empty before
        :meth:`start_platform`.
    :ivar instance_list_address: address of the instance list of the fleet's region;
        empty before :meth:`start_platform`.
    """

    def __init__(self, directory: Path, region: str, settings: dict):
        super().__init__(directory)
        self.region = region
        self.settings = settings
        self.programs = dict(PROGRAMS)
        self.nodes: dict[str, Node] = {}
        self.unlisted: set[str] = set()
        self.regions: dict[str, RegionPlatform] = {}
        self.key_value_address = ""
        self.instance_list_address = ""

    async def start_platform(
        self, key_value: dict | None = None, instances: dict | None = None
    ) -> None:
        """Start the stand-ins of the key-value service and the instance list.

        :param key_value: settings of the key-value stand-in; None for the defaults.
        :param instances: settings of the instance list stand-in; None for the
            defaults.
        """
        services = [
            self.start_standin("key-value", "key-value", key_value or {}),
            self.start_standin("instances", "instances", instances or {}),
        ]
        self.key_value_address = services[0].settings["address"]
        self.instance_list_address = services[1].settings["address"]
        self.regions[self.region] = RegionPlatform(
            self.region, services[1], self.key_value_address
        )
        await self.wait_ready(*services)

    async def add_region(self, name: str) -> RegionPlatform:
        """Add a region; call this before any node is added.

        Proxies carry the connections of its nodes to the key-value service, and all
        connections between nodes of different regions.

        :param name: name of the region.
        :returns: the platform services that the region reaches.
        """
        instances = self.start_standin("instances", f"instances-{name}", {})
        proxy = self.start_proxy(f"key-value-{name}", self.key_value_address)
        region = RegionPlatform(name, instances, proxy.settings["address"], proxy)
        self.regions[name] = region
        await self.wait_ready(instances, proxy)
        return region

    async def add_router(
        self,
        zone: str,
        *,
        region: str = "",
        proxied: tuple[str, ...] = (),
        **settings: object,
    ) -> Node:
        """Start a router without waiting until it is ready; see :meth:`wait_ready`.

        :param zone: availability zone.
        :param region: region of the zone; empty for the fleet's region.
        :param proxied: names of the links that go through a fault-injecting proxy.
        :param settings: router settings that override the fleet's.
        :returns: the router's node.
        """
        instance_id = self._make_instance_id("router")
        links = self._make_links(instance_id, proxied)
        node_settings = self._make_settings(instance_id, zone, region, links)
        host, _ = split_address(node_settings["peer_address"])
        node_settings["caller_address"] = f"{host}:{CALLER_PORT}"
        digest = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
        node_settings["operator_key_digests"] = {OPERATOR_NAME: digest}
        node = self._start_node("", node_settings | settings, links)
        node.caller_address = links.add_link("caller", node_settings["caller_address"])
        await self.update_instance_list()
        return node

    async def add_engine(self, pool: str, zone: str, **options: object) -> Node:
        """Start a model engine and its agent without waiting until they are ready.

        :param pool: backend server pool.
        :param zone: availability zone.
        :param options: as in :meth:`add_service`.
        :returns: the node of the agent and the model engine.
        """
        return await self._add_backend("engine", pool, zone, **options)

    async def add_service(self, pool: str, zone: str, **options: object) -> Node:
        """Start a plain service and its agent without waiting until they are ready.

        :param pool: backend server pool.
        :param zone: availability zone.
        :param options: ``region`` and ``proxied`` as in :meth:`add_router`;
            ``agent``, agent settings that override the fleet's; any other option is
            a setting of the stand-in.
        :returns: the node of the agent and the plain service.
        """
        return await self._add_backend("service", pool, zone, **options)

    async def _add_backend(
        self,
        kind: str,
        pool: str,
        zone: str,
        *,
        region: str = "",
        proxied: tuple[str, ...] = (),
        agent: dict | None = None,
        **standin_settings: object,
    ) -> Node:
        instance_id = self._make_instance_id("agent")
        links = self._make_links(instance_id, proxied)
        name = f"{instance_id}-{kind}"
        standin_settings["journal_path"] = str(self.directory / f"{name}.journal")
        backend = self.start_standin(kind, name, standin_settings)
        node_settings = self._make_settings(instance_id, zone, region, links)
        node_settings["pool"] = pool
        # Zero disables fingerprint requests, whose runs would add to those that tests
        # count in the journals.
        node_settings["fingerprint_interval_s"] = 0
        node_settings["backend_address"] = links.add_link(
            "backend", backend.settings["address"]
        )
        node = self._start_node(pool, node_settings | (agent or {}), links)
        node.backend = backend
        await self.update_instance_list()
        return node

    def _make_instance_id(self, role: str) -> str:
        return f"{role}-{len(self.nodes) + 1}"

    def _make_links(self, instance_id: str, proxied: tuple[str, ...]) -> NodeLinks:
        if len(self.regions) > 1:
            proxied = (*proxied, REGION_LINK)
        return make_node_links(self, instance_id, proxied)

    def _make_settings(
        self, instance_id: str, zone: str, region_name: str, links: NodeLinks
    ) -> dict:
        host = self.addresses.take_host()
        region = self.regions[region_name or self.region]
        list_address = links.add_link("instances", region.instance_list_address)
        key_value_address = links.add_link("key_value", region.key_value_address)
        return {
            "instance_id": instance_id,
            "availability_zone": zone,
            "region": region.name,
            "fleet_secret": FLEET_SECRET,
            "key_value_addresses": [key_value_address],
            "instance_list_address": list_address,
            "peer_address": f"{host}:{PEER_PORT}",
            "administration_address": f"{host}:{ADMINISTRATION_PORT}",
            **self.settings,
        }

    def _start_node(self, pool: str, settings: dict, links: NodeLinks) -> Node:
        instance_id = settings["instance_id"]
        administration_address = settings["administration_address"]
        # A router listens on its caller address last.
        ready_address = settings.get("caller_address", administration_address)
        ready_url = f"http://{ready_address}/healthz"
        role = "agent" if pool else "router"
        process = self.start_process(
            instance_id, *self.programs[role], settings, ready_url
        )
        entry = {
            "instance_id": instance_id,
            "role": role,
            "pool": pool,
            "availability_zone": settings["availability_zone"],
            "region": settings["region"],
            "address": links.add_link("peer", settings["peer_address"]),
            "state": "live",
        }
        links.add_link(REGION_LINK, settings["peer_address"])
        node = Node(
            instance_id, process, administration_address, entry, proxies=links.proxies
        )
        self.nodes[instance_id] = node
        return node

    async def wait_ready(self, *members: ProcessOwner) -> None:
        """Wait until processes serve and nodes have the current instance list.

        :param members: nodes or processes to wait for; none for the whole fleet.
        :raises FleetError: if a process exits or is not ready in time.
        """
        await super().wait_ready(*members)
        if not self.nodes:
            return
        nodes = [member for member in members if isinstance(member, Node)]
        selected_nodes = self.nodes.values() if not members else nodes
        for name, region in self.regions.items():
            report = await self.read_report(region.instance_list, "calls")
            if report["pending_changes"]:
                continue
            local_nodes = [
                node for node in selected_nodes if node.entry["region"] == name
            ]
            waits = [
                self._wait_for_list_revision(node, report["revision"])
                for node in local_nodes
            ]
            await asyncio.gather(*waits)

    async def _wait_for_list_revision(self, node: Node, revision: int) -> None:
        deadline_s = time.monotonic() + LIST_TIMEOUT_S
        while (await self.read_health(node))["instance_list_revision"] < revision:
            if time.monotonic() > deadline_s:
                raise FleetError(f"{node.instance_id} has a stale instance list")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def read_health(self, node: Node) -> dict:
        """Return the health report of a node, whether or not it is ready.

        :param node: a running node.
        """
        url = f"http://{node.administration_address}/healthz"
        async with self.session.get(url) as response:
            return await response.json()

    async def update_instance_list(self, lag_s: float | None = None) -> None:
        """Send the current list of nodes to the instance list stand-in of each region.

        :param lag_s: delay until the list shows the change; None for the delay that
            the stand-in is set to.
        """
        for region in self.regions.values():
            await self._update_region_list(region, lag_s)

    async def _update_region_list(
        self, region: RegionPlatform, lag_s: float | None
    ) -> None:
        entries = [
            node.make_list_entry(region.name)
            for node in self.nodes.values()
            if node.instance_id not in self.unlisted
        ]
        body: dict = {"instances": entries}
        if lag_s is not None:
            body["lag_s"] = lag_s
        url = f"http://{region.instance_list_address}/standin/instances"
        async with self.session.put(url, json=body) as response:
            await require_status_ok(response)

    async def publish(self, document: dict | str | bytes) -> int:
        """Publish a configuration document; see :func:`publish_document`.

        :param document: the document, or its JSON text.
        :returns: number of the published version.
        """
        return await publish_document(self.key_value_address, document)

    async def set_platform_faults(self, **faults: object) -> dict:
        """Replace the injected faults of the key-value service.

        :param faults: the faults; one that is not named returns to its default.
        :returns: the faults in force.
        """
        return await self.set_faults(self.processes["key-value"], **faults)

    async def read_journal(self, node: Node) -> dict:
        """Return the journal of the backend server of an agent.

        :param node: node of an agent whose backend server is running.
        """
        return await self.read_report(node.backend, "journal")

    def read_runs(self, node: Node) -> list[dict]:
        """Return the runs in a backend server's journal file, even after its exit.

        :param node: node of the agent.
        :returns: the latest entry of each run.
        """
        path = Path(node.backend.settings["journal_path"])
        text = path.read_text(encoding="utf-8") if path.exists() else ""
        runs = {}
        # The last line may be incomplete while the stand-in writes it.
        for line in text[: text.rfind("\n") + 1].splitlines():
            run = json.loads(line)
            runs[run["number"]] = run
        return list(runs.values())

    async def chat(
        self, router: Node, workspace_key: str, messages: list[Message], **options
    ) -> ChatRecord:
        """Send a chat to a router.

        :param router: node of the router.
        :param workspace_key: API key of the workspace.
        :param messages: messages of the conversation.
        :param options: further arguments of :func:`send_chat`.
        :returns: record of what was received.
        """
        return await send_chat(
            self.session, router.caller_address, workspace_key, messages, **options
        )

    async def resume(
        self, router: Node, workspace_key: str, record: ChatRecord, **options
    ) -> ChatRecord:
        """Resume an interrupted stream at a router.

        :param router: node of any router.
        :param workspace_key: API key of the workspace.
        :param record: record of the interrupted stream.
        :param options: further arguments of :func:`resume_chat`.
        :returns: the same record.
        """
        return await resume_chat(
            self.session, router.caller_address, workspace_key, record, **options
        )

    async def call_service(
        self, router: Node, workspace_key: str, route: str, body: bytes, **options
    ) -> ServiceCallRecord:
        """Call a plain service through a router.

        :param router: node of the router.
        :param workspace_key: API key of the workspace.
        :param route: name of the route.
        :param body: request body.
        :param options: further arguments of :func:`call_service`.
        :returns: record of what was received.
        """
        return await call_service(
            self.session, router.caller_address, workspace_key, route, body, **options
        )


def make_fleet(
    directory: Path, region: str = "ankara", settings: dict | None = None
) -> Fleet:
    """Return a fleet to be started with ``async with``.

    :param directory: directory for settings files, logs and journals.
    :param region: region of the platform's services, and default region of a node.
    :param settings: settings of every router and agent; None for the defaults.
    """
    return Fleet(directory, region, settings or {})
