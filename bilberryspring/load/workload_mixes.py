"""Workload mixes of the two deployments: workspaces, kinds of requests and rates.

The numbers of instances are those of the deployments. Token counts and rates are scaled
down to stand-in engines that share one machine.
"""

import hashlib
from dataclasses import dataclass

__all__ = [
    "ChatWorkload",
    "EngineParameters",
    "WorkloadMix",
    "ServiceWorkload",
    "WORKLOAD_MIXES",
    "find_mix",
    "make_workspace_key",
]

RANK_NAMES = ("urgent", "normal", "background")
MINIMUM_SHARES = (0.3, 0.2, 0.1)
# Load of a large workspace as a multiple of the load of a small one.
LARGE_WORKSPACE_SHARE = 5.0
LOAD_FLOOR_TOKENS = 2_000
SERVICE_MAX_RUNNING = 8
DEADLINE_S = 60.0
TARGET_WAITS_S = (2.0, 8.0, 20.0)


@dataclass(frozen=True, slots=True)
class EngineParameters:
    """Speed and sizes of a stand-in engine.

    :param prefill_tokens_per_s: prompt tokens processed per second.
    :param decode_interval_s: time in seconds between two tokens of a stream.
    :param max_batch: maximum number of streams in a decode batch.
    :param cache_tokens: capacity of the prefix cache in tokens.
    """

    prefill_tokens_per_s: float = 4_000.0
    decode_interval_s: float = 0.04
    max_batch: int = 8
    cache_tokens: int = 60_000

    @property
    def decode_tokens_per_s(self) -> float:
        """Tokens that an engine generates per second with a full batch."""
        return self.max_batch / self.decode_interval_s


@dataclass(frozen=True, slots=True)
class ChatWorkload:
    """Chats of one work rank.

    :param rank: work rank.
    :param chats_per_s: new chats per second, over all workspaces.
    :param mean_opening_tokens: mean length of the first message in tokens.
    :param mean_turn_tokens: mean length of each later message in tokens.
    :param mean_answer_tokens: mean length of a response in tokens.
    :param mean_turns: mean number of turns of a chat.
    :param mean_pause_s: mean pause in seconds between a response and the next turn.
    """

    rank: str
    chats_per_s: float
    mean_opening_tokens: int
    mean_turn_tokens: int
    mean_answer_tokens: int
    mean_turns: float
    mean_pause_s: float


@dataclass(frozen=True, slots=True)
class ServiceWorkload:
    """Requests to one route of a plain service.

    :param route: route of the service.
    :param rank: work rank.
    :param calls_per_s: requests per second, over all workspaces.
    :param is_idempotent: whether a request may safely run more than once.
    """

    route: str
    rank: str
    calls_per_s: float
    is_idempotent: bool


@dataclass(frozen=True, slots=True)
class WorkloadMix:
    """One deployment and its load.

    :param name: name of the deployment.
    :param region: region of the deployment.
    :param availability_zones: availability zones of the deployment.
    :param engine_pool: pool of the model engines.
    :param engine_count: number of model engine instances.
    :param service_pool: pool of the plain service.
    :param service_count: number of plain service instances.
    :param model: model that the engines serve.
    :param workspace_shares: relative share of the load by workspace.
    :param chats: chat workloads, one for each work rank.
    :param service_calls: workloads of the plain service, one for each route.
    :param zone_delay_s: one-way delay in seconds between two availability zones.
    :param engine_parameters: speed and sizes of the stand-in engines.
    """

    name: str
    region: str
    availability_zones: tuple[str, ...]
    engine_pool: str
    engine_count: int
    service_pool: str
    service_count: int
    model: str
    workspace_shares: dict[str, float]
    chats: tuple[ChatWorkload, ...]
    service_calls: tuple[ServiceWorkload, ...]
    zone_delay_s: float
    engine_parameters: EngineParameters = EngineParameters()

    @property
    def large_workspaces(self) -> tuple[str, ...]:
        """Workspaces with the share of a large workspace."""
        return tuple(
            name
            for name, share in self.workspace_shares.items()
            if share == LARGE_WORKSPACE_SHARE
        )


def find_mix(name: str) -> WorkloadMix:
    """Return the workload mix of a deployment.

    :param name: name of the deployment.
    :raises KeyError: if there is no deployment of that name.

    >>> find_mix("printing-works").engine_count
    5
    """
    return WORKLOAD_MIXES[name]


def make_workspace_key(workspace: str) -> str:
    """Return the API key of a workspace in load tests.

    :param workspace: name of the workspace.
    """
    return f"load-key-{workspace}"


def make_configuration_document(
    mix: WorkloadMix, policy: str
) -> dict[str, list[dict[str, object]]]:
    """Return the configuration document of a deployment.

    :param mix: deployment and its load.
    :param policy: placement policy of the engine pool.
    :returns: sections of the document by name.
    """
    pools = [
        {
            "name": mix.engine_pool,
            "kind": "engine",
            "max_running": mix.engine_parameters.max_batch,
            "load_floor": float(LOAD_FLOOR_TOKENS),
            "placement_policy": policy,
        },
        {
            "name": mix.service_pool,
            "kind": "service",
            "max_running": SERVICE_MAX_RUNNING,
            "load_floor": float(SERVICE_MAX_RUNNING),
            "placement_policy": "least_loaded",
        },
    ]
    model = {
        "name": mix.model,
        "pool": mix.engine_pool,
        "max_context_tokens": 1_000_000,
    }
    return {
        "pools": pools,
        "models": [model],
        "workspaces": [_make_workspace_entry(name) for name in mix.workspace_shares],
        "work_ranks": _make_rank_entries(),
        "routes": [_make_chat_route_entry(mix), *_make_service_route_entries(mix)],
    }


def _make_workspace_entry(name: str) -> dict[str, object]:
    digest = hashlib.sha256(make_workspace_key(name).encode()).hexdigest()
    return {"name": name, "key_digests": [digest], "max_queued": 1_000}


def _make_rank_entries() -> list[dict[str, object]]:
    return [
        {
            "name": name,
            "order": order,
            "minimum_share": MINIMUM_SHARES[order],
            "target_wait_s": TARGET_WAITS_S[order],
        }
        for order, name in enumerate(RANK_NAMES)
    ]


def _make_chat_route_entry(mix: WorkloadMix) -> dict[str, object]:
    return {
        "name": "chat",
        "pool": mix.engine_pool,
        "model": mix.model,
        "work_rank": RANK_NAMES[0],
        "idempotent": True,
        "deadline_s": DEADLINE_S,
    }


def _make_service_route_entries(mix: WorkloadMix) -> list[dict[str, object]]:
    return [
        {
            "name": work.route,
            "pool": mix.service_pool,
            "work_rank": work.rank,
            "idempotent": work.is_idempotent,
            "methods": ["GET", "POST"],
            "deadline_s": DEADLINE_S,
            "require_idempotency_key": not work.is_idempotent,
        }
        for work in mix.service_calls
    ]


def _make_workspace_shares(
    large: tuple[str, ...], small: tuple[str, ...]
) -> dict[str, float]:
    return dict.fromkeys(large, LARGE_WORKSPACE_SHARE) | dict.fromkeys(small, 1.0)


# Chats that compose rolls and summonses, and requests for print orders.
PRINTING_WORKS = WorkloadMix(
    name="printing-works",
    region="ankara",
    availability_zones=("cankaya", "yenimahalle", "kecioren"),
    engine_pool="roll-writer",
    engine_count=5,
    service_pool="print-order-desk",
    service_count=3,
    model="roll-writer-1",
    workspace_shares=_make_workspace_shares(
        ("rolls-office", "elections"),
        (
            "cankaya-1",
            "cankaya-2",
            "yenimahalle-1",
            "yenimahalle-2",
            "kecioren-1",
            "kecioren-2",
            "jury-panels",
            "muster",
        ),
    ),
    chats=(
        ChatWorkload("urgent", 6.0, 150, 20, 15, 3.0, 2.0),
        ChatWorkload("normal", 2.1, 500, 60, 40, 4.0, 2.5),
        ChatWorkload("background", 1.0, 1_200, 80, 90, 4.0, 3.0),
    ),
    service_calls=(
        ServiceWorkload("record-order", "urgent", 3.0, False),
        ServiceWorkload("order-status", "normal", 4.0, True),
    ),
    zone_delay_s=0.001,
)
# Long chats of collectors, checkout requests and short tagging prompts.
LANKVERK = WorkloadMix(
    name="lankverk",
    region="sweden-west",
    availability_zones=("sweden-west-1", "sweden-west-2", "sweden-west-3"),
    engine_pool="language-model",
    engine_count=6,
    service_pool="checkout",
    service_count=3,
    model="bracelet-1",
    workspace_shares=_make_workspace_shares(
        ("shop", "collectors"),
        (
            "staff",
            "stockroom",
            "tagging",
            "engraving",
            "gifts",
            "repairs",
            "press",
            "fairs",
        ),
    ),
    chats=(
        ChatWorkload("urgent", 6.5, 200, 20, 15, 3.0, 2.0),
        ChatWorkload("normal", 2.8, 1_500, 120, 60, 6.0, 3.0),
        ChatWorkload("background", 4.5, 300, 30, 30, 1.0, 1.0),
    ),
    service_calls=(
        ServiceWorkload("charge-card", "urgent", 2.0, False),
        ServiceWorkload("stock", "urgent", 6.0, True),
    ),
    zone_delay_s=0.0005,
)
WORKLOAD_MIXES = {mix.name: mix for mix in (PRINTING_WORKS, LANKVERK)}
