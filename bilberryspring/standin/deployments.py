"""The users' two deployments at their present sizes, run with stand-ins."""

from dataclasses import dataclass, field, replace

from bilberryspring.standin.fleet import Fleet, Node
from bilberryspring.standin.fleet_process import SOURCE_ROOT

__all__ = ["Deployment", "RunningDeployment", "DEPLOYMENTS", "start_deployment"]

EXAMPLES_DIRECTORY = SOURCE_ROOT / "examples"


@dataclass(frozen=True, slots=True)
class Deployment:
    """Size and configuration of a deployment.

    :param document: file name of its configuration document in ``examples``.
    :param region: region of every instance.
    :param zones: availability zones; instances are assigned to them in turn.
    :param router_count: number of routers.
    :param engine_pool: name of the pool of the model engines.
    :param engine_count: number of model engines.
    :param service_pool: name of the pool of the plain services.
    :param service_count: number of plain services.
    :param engine_knobs: settings of each model engine stand-in.
    """

    document: str
    region: str
    zones: tuple[str, ...]
    router_count: int
    engine_pool: str
    engine_count: int
    service_pool: str
    service_count: int
    engine_knobs: dict = field(default_factory=dict)

    def resize(self, **counts: int) -> "Deployment":
        """Return a copy of the deployment with other counts, for small tests.

        :param counts: new values of the fields that end in ``_count``.

        >>> DEPLOYMENTS["lankverk"].resize(engine_count=2).engine_count
        2
        """
        return replace(self, **counts)


@dataclass(slots=True)
class RunningDeployment:
    """Nodes of a started deployment.

    :param routers: nodes of the routers.
    :param engines: nodes of the model engines with their agents.
    :param services: nodes of the plain services with their agents.
    """

    routers: list[Node]
    engines: list[Node]
    services: list[Node]


DEPLOYMENTS = {
    "printing-works": Deployment(
        document="printing-works.json",
        region="ankara",
        zones=("cankaya", "yenimahalle", "kecioren"),
        router_count=3,
        engine_pool="roll-writer",
        engine_count=5,
        service_pool="print-order-desk",
        service_count=3,
        engine_knobs={
            "models": ["roll-writer-large"],
            "adapters": ["muster-rolls", "summons-notices"],
            "checks_fencing": True,
        },
    ),
    "lankverk": Deployment(
        document="lankverk.json",
        region="sweden-west",
        zones=("sweden-west-1", "sweden-west-2", "sweden-west-3"),
        router_count=3,
        engine_pool="language-model",
        engine_count=6,
        service_pool="checkout-stock",
        service_count=3,
        engine_knobs={
            "models": ["bracelet-planner"],
            "adapters": ["engraving", "tagging"],
        },
    ),
}


async def start_deployment(
    fleet: Fleet, deployment: Deployment, **engine_knobs: object
) -> RunningDeployment:
    """Start every process of a deployment, publish its document, and wait until ready.

    :param fleet: a started fleet whose platform services are not started.
    :param deployment: the deployment.
    :param engine_knobs: settings of the model engine stand-ins that override the
        deployment's.
    :returns: the nodes, ready to serve.
    """
    await fleet.start_platform()
    document = (EXAMPLES_DIRECTORY / deployment.document).read_text(encoding="utf-8")
    await fleet.publish(document)
    engine_settings = deployment.engine_knobs | engine_knobs
    engines = [
        await fleet.add_engine(deployment.engine_pool, zone, **engine_settings)
        for zone in _assign_zones(deployment.zones, deployment.engine_count)
    ]
    services = [
        await fleet.add_service(deployment.service_pool, zone)
        for zone in _assign_zones(deployment.zones, deployment.service_count)
    ]
    routers = [
        await fleet.add_router(zone)
        for zone in _assign_zones(deployment.zones, deployment.router_count)
    ]
    await fleet.wait_ready()
    return RunningDeployment(routers, engines, services)


def _assign_zones(zones: tuple[str, ...], count: int) -> list[str]:
    return [zones[number % len(zones)] for number in range(count)]
