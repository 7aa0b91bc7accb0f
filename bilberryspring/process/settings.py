"""Settings of each program: JSON with comments, checked before anything starts."""

from pathlib import Path
from typing import Annotated, TypeVar

import json5
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from bilberryspring.process.addresses import split_address
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = [
    "Address",
    "ProcessSettings",
    "RouterSettings",
    "AgentSettings",
    "load_settings",
    "split_address",
]


def _check_address(address: str) -> str:
    split_address(address)
    return address


Address = Annotated[str, AfterValidator(_check_address)]
Duration = Annotated[float, Field(gt=0, le=86_400)]
Digest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ProcessSettings(_Strict):
    """Settings that every process of the fleet has.

    :param instance_id: name of this instance, unique in the fleet.
    :param availability_zone: zone that the instance runs in.
    :param region: region of the zone.
    :param fleet_secret: key with which processes authenticate each other.
    :param key_value_addresses: addresses of the platform's key-value service.
    :param instance_list_address: address of the platform's instance list.
    """

    instance_id: str = Field(min_length=1, max_length=64)
    availability_zone: str = Field(min_length=1)
    region: str = Field(min_length=1)
    fleet_secret: str = Field(min_length=16)
    key_value_addresses: list[Address] = Field(min_length=1)
    instance_list_address: Address
    key_value_timeout_s: Duration = 2.0
    instance_list_poll_s: Duration = 1.0
    ping_interval_s: Duration = 0.5
    ping_timeout_s: Duration = 1.5
    connect_timeout_s: Duration = 1.0
    idle_connection_s: Duration = 60.0
    drain_timeout_s: Duration = 600.0
    exchange_interval_s: Duration = 0.25
    log_level: str = "INFO"
    trace_path: str = ""
    trace_ratio: float = Field(default=0.0, ge=0, le=1)


class RouterSettings(ProcessSettings):
    """Settings of a router.

    :param caller_address: where callers connect.
    :param administration_address: where operators connect.
    :param peer_address: where other processes of the fleet connect.
    :param operator_key_digests: SHA-256 of each operator key, by operator name.
    """

    caller_address: Address
    administration_address: Address
    peer_address: Address
    operator_key_digests: dict[str, Digest] = Field(default_factory=dict)
    placement_policy: str = "bounded_rendezvous"
    max_body_bytes: int = Field(default=8_000_000, gt=0, le=64_000_000)
    retry_ratio: float = Field(default=0.2, ge=0, le=1)
    max_attempts: int = Field(default=4, ge=1, le=16)
    drain_notice_s: float = Field(default=0.5, ge=0, le=60)


class AgentSettings(ProcessSettings):
    """Settings of an agent.

    :param pool: backend server pool that the backend server belongs to.
    :param peer_address: where routers and other agents connect.
    :param administration_address: where metrics and state are served.
    :param backend_address: the backend server beside the agent.
    :param fingerprint_interval_s: time between fixed prompts whose answers show a
        version that the engine does not report; zero for none.
    :param max_direct_claim_agents: largest pool whose agents send their claims to the
        key-value service themselves; in a larger one they share batchers.
    :param max_claimed_call_s: longest duration of a call that may not be repeated; its
        outcome is unknown then. It may lie beyond the deadline of the route.
    """

    pool: str = Field(min_length=1)
    peer_address: Address
    administration_address: Address
    backend_address: Address
    retained_answers_bytes: int = Field(default=64_000_000, gt=0)
    retained_answer_s: Duration = 120.0
    window_chunks: int = Field(default=256, gt=0)
    engine_probe_s: Duration = 1.0
    fingerprint_interval_s: float = Field(default=10.0, ge=0, le=86_400)
    claim_retention_s: float = Field(default=86_400.0, gt=0, le=2_592_000)
    max_direct_claim_agents: int = Field(default=32, ge=0, le=10_000)
    max_claimed_call_s: Duration = 600.0


S = TypeVar("S", bound=BaseModel)


def load_settings(path: str | Path, model: type[S]) -> S | Failure:
    """Read and check a settings file.

    :param path: a file of JSON with comments.
    :param model: settings class of the program.
    :returns: the settings, or a failure that names the file and each wrong field.
    """
    try:
        raw = json5.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        reason = f"{path}: {error.strerror}"
        return make_failure(ErrorKind.CONFIGURATION_INVALID, reason)
    except (ValueError, RecursionError) as error:
        return make_failure(ErrorKind.CONFIGURATION_INVALID, f"{path}: {error}")
    try:
        return model.model_validate(raw)
    except ValidationError as error:
        faults = "; ".join(
            f"{'.'.join(map(str, fault['loc'])) or 'document'}: {fault['msg']}"
            for fault in error.errors()
        )
        return make_failure(ErrorKind.CONFIGURATION_INVALID, f"{path}: {faults}")
