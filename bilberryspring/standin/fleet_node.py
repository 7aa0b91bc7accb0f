"""One node of a test fleet: its processes and the proxies on its links."""

from dataclasses import dataclass, field

from bilberryspring.standin.fleet_process import FleetError, FleetProcess
from bilberryspring.standin.process_group import ProcessGroup

__all__ = ["REGION_LINK", "Node", "NodeLinks", "make_node_links"]

LINK_NAMES = {"peer", "backend", "key_value", "instances", "caller"}
# Link over which nodes of other regions connect to a node.
REGION_LINK = "region"


@dataclass(eq=False)
class Node:
    """A router, or an agent with its backend server.

    :param instance_id: id in the instance list.
    :param process: process of the router or the agent.
    :param administration_address: address of health, metrics and administration.
    :param entry: entry in the instance list.
    :param caller_address: address for callers of a router; empty for an agent.
    :param backend: backend server stand-in of an agent; None for a router.
    :param proxies: proxies by name of the link: ``peer``, ``key_value``,
        ``instances``, ``backend`` of an agent, ``caller`` of a router, and
        ``region`` in a fleet of several regions.
    """

    instance_id: str
    process: FleetProcess
    administration_address: str
    entry: dict
    caller_address: str = ""
    backend: FleetProcess | None = None
    proxies: dict[str, FleetProcess] = field(default_factory=dict)

    @property
    def processes(self) -> list[FleetProcess]:
        """Every process of the node, the router or agent first."""
        backend_processes = [self.backend] if self.backend is not None else []
        return [self.process, *backend_processes, *self.proxies.values()]

    def make_list_entry(self, region: str) -> dict:
        """Return the node's entry in the instance list of a region.

        :param region: region of the list; its entry names the proxy if the node is in
            another region.
        """
        proxy = self.proxies.get(REGION_LINK)
        if proxy is None or region == self.entry["region"]:
            return self.entry
        return self.entry | {"address": proxy.settings["address"]}


class NodeLinks:
    """Links of one node, some of which go through a fault-injecting proxy.

    :param group: group that starts the proxies.
    :param instance_id: id of the node.
    :param proxied: names of the links that go through a proxy.
    """

    def __init__(self, group: ProcessGroup, instance_id: str, proxied: tuple[str, ...]):
        self.proxies: dict[str, FleetProcess] = {}
        self._group = group
        self._instance_id = instance_id
        self._proxied = proxied

    def add_link(self, link: str, address: str) -> str:
        """Return the address to connect to, and start the link's proxy if it has one.

        :param link: name of the link.
        :param address: address that the link leads to.
        :returns: address of the proxy, or the given one without a proxy.
        """
        if link not in self._proxied:
            return address
        name = f"{self._instance_id}-proxy-{link}"
        self.proxies[link] = self._group.start_proxy(name, address)
        return self.proxies[link].settings["address"]


def make_node_links(
    group: ProcessGroup, instance_id: str, proxied: tuple[str, ...]
) -> NodeLinks:
    """Return the links of a node that is not started yet.

    :param group: group that starts the proxies.
    :param instance_id: id of the node.
    :param proxied: names of the links that go through a fault-injecting proxy.
    :raises FleetError: if a name is not that of a link.
    """
    unknown = set(proxied) - LINK_NAMES - {REGION_LINK}
    if unknown:
        raise FleetError(f"unknown links: {sorted(unknown)}")
    return NodeLinks(group, instance_id, proxied)
