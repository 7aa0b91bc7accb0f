"""Named objects of a configuration, and the references between them."""

from enum import Enum
from typing import Annotated, Literal, get_args

from pydantic import BaseModel, ConfigDict, Field

__all__ = [
    "PoolKind",
    "Pool",
    "Model",
    "Adapter",
    "Workspace",
    "WorkRank",
    "Route",
    "NamedObject",
    "Configuration",
    "Section",
    "SECTION_MODELS",
    "SECTION_LIMITS",
    "REFERENCES",
    "list_section",
]

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"
DIGEST_PATTERN = r"^[0-9a-f]{64}$"
MAX_LOAD_BOUND = 100.0
MAX_TOKENS = 100_000_000
MAX_DEADLINE_S = 86_400.0
MAX_WORKSPACE_KEYS = 16

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
KeyDigest = Annotated[str, Field(pattern=DIGEST_PATTERN)]
Method = Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


class PoolKind(Enum):
    """Kind of the backend servers of a pool."""

    ENGINE = "engine"
    SERVICE = "service"


class NamedObject(BaseModel):
    """Base class of the named objects of a configuration.

    :param name: name of the object, unique within its section.
    """

    model_config = ConfigDict(
        extra="forbid", frozen=True, strict=True, allow_inf_nan=False
    )

    name: Name


class Pool(NamedObject):
    """Group of interchangeable backend servers.

    :param kind: whether the servers are model engines or other services.
    :param load_bound: maximum load of an instance, as a multiple of the mean load.
    :param load_floor: load that replaces the mean load in the bound while the mean is
        lower, in tokens for engines and in requests for services.
    :param max_running: maximum number of requests that run concurrently on an instance.
    :param checks_fencing: whether the backend server itself refuses orders with an
        outdated fencing token.
    :param placement_policy: name of a registered placement policy; ``None`` for that of
        the router's settings.
    :param waiting_policy: name of the registered policy that admits requests to an
        agent's queue; ``None`` for the default.
    :param order_policy: name of the registered policy that orders the requests of one
        workspace within a work rank; ``None`` for the default.
    """

    kind: PoolKind = Field(strict=False)
    load_bound: float = Field(default=1.25, gt=1, le=MAX_LOAD_BOUND)
    load_floor: float = Field(default=0.0, ge=0, le=MAX_TOKENS)
    max_running: int = Field(default=16, ge=1, le=100_000)
    checks_fencing: bool = False
    placement_policy: Name | None = None
    waiting_policy: Name | None = None
    order_policy: Name | None = None


class Model(NamedObject):
    """A model that the engines of a pool run.

    :param pool: name of the engine pool.
    :param max_context_tokens: maximum number of tokens of prompt and response together.
    """

    pool: Name
    max_context_tokens: int = Field(ge=1, le=MAX_TOKENS)


class Adapter(NamedObject):
    """Fine-tuned weights that an engine applies on top of a model.

    :param model: name of the model that the adapter belongs to.
    """

    model: Name


class Workspace(NamedObject):
    """A team that sends requests.

    :param key_digests: SHA-256 digest of each of its keys; several during key rotation.
    :param weight: share of a work rank's capacity, relative to other workspaces.
    :param routes: names of the routes that it may use; all if the member is absent.
    :param max_queued: maximum number of its requests in the queue of one instance.
    """

    key_digests: list[KeyDigest] = Field(max_length=MAX_WORKSPACE_KEYS)
    weight: float = Field(default=1.0, gt=0, le=10_000)
    routes: list[Name] = Field(default_factory=list, min_length=1)
    max_queued: int = Field(default=64, ge=1, le=100_000)


class WorkRank(NamedObject):
    """A priority class of requests.

    :param order: position of the rank; zero is the most urgent.
    :param minimum_share: fraction of the capacity that is guaranteed to the rank while
        other ranks are overloaded.
    :param target_wait_s: maximum predicted wait in seconds at which a request is still
        admitted.
    """

    order: int = Field(ge=0, le=100)
    minimum_share: float = Field(ge=0, le=1)
    target_wait_s: float = Field(gt=0, le=MAX_DEADLINE_S)


class Route(NamedObject):
    """A route from callers to a pool.

    :param pool: name of the pool that serves the route.
    :param model: name of the model of an engine route; ``None`` for any model of the
        pool.
    :param work_rank: name of the work rank of its requests, unless the caller requests
        a less urgent one.
    :param idempotent: whether a request may run more than once.
    :param methods: HTTP methods that a service route accepts.
    :param deadline_s: maximum duration of a request in seconds.
    :param require_idempotency_key: whether to refuse requests without an
        ``Idempotency-Key`` header.
    """

    pool: Name
    model: Name | None = None
    work_rank: Name
    idempotent: bool
    methods: list[Method] = Field(default_factory=lambda: ["POST"], min_length=1)
    deadline_s: float = Field(gt=0, le=MAX_DEADLINE_S)
    require_idempotency_key: bool = False


class Configuration(BaseModel):
    """All named objects of one configuration version.

    :param pools: pools of backend servers.
    :param models: models that engine pools run.
    :param adapters: adapters of the models.
    :param workspaces: workspaces that send requests.
    :param work_ranks: work ranks of the requests.
    :param routes: routes to the pools.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    pools: list[Pool] = Field(default_factory=list)
    models: list[Model] = Field(default_factory=list)
    adapters: list[Adapter] = Field(default_factory=list)
    workspaces: list[Workspace] = Field(default_factory=list)
    work_ranks: list[WorkRank] = Field(default_factory=list)
    routes: list[Route] = Field(default_factory=list)


Section = Literal["pools", "models", "adapters", "workspaces", "work_ranks", "routes"]

SECTION_MODELS: dict[Section, type[NamedObject]] = {
    "pools": Pool,
    "models": Model,
    "adapters": Adapter,
    "workspaces": Workspace,
    "work_ranks": WorkRank,
    "routes": Route,
}
assert set(SECTION_MODELS) == set(get_args(Section))

SECTION_LIMITS: dict[Section, int] = {
    "pools": 64,
    "models": 64,
    "adapters": 1_024,
    "workspaces": 20_000,
    "work_ranks": 16,
    "routes": 1_024,
}

# Referring section, referring field and referenced section. These references are
# acyclic, so the objects of a document cannot form a cycle.
REFERENCES: tuple[tuple[Section, str, Section], ...] = (
    ("models", "pool", "pools"),
    ("adapters", "model", "models"),
    ("workspaces", "routes", "routes"),
    ("routes", "pool", "pools"),
    ("routes", "model", "models"),
    ("routes", "work_rank", "work_ranks"),
)


def list_section(configuration: Configuration, section: Section) -> list[NamedObject]:
    """Return the objects of one section.

    :param configuration: the configuration.
    :param section: name of the section.
    :returns: objects of the section, in document order.

    >>> list_section(Configuration(pools=[Pool(name="p", kind="engine")]), "pools")[
    ...     0
    ... ].name
    'p'
    """
    return getattr(configuration, section)
