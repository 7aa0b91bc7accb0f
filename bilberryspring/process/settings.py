"""Settings models of the programs, loaded from JSON files with comments.

Settings are validated before a program starts anything else.
"""

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
PositiveSeconds = Annotated[float, Field(gt=0, le=86_400)]
Sha256Hex = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class _StrictModel(BaseModel):
    # Strict, since true would otherwise be read as one and false as zero.
    model_config = ConfigDict(
        extra="forbid", frozen=True, strict=True, allow_inf_nan=False
    )


class ProcessSettings(_StrictModel):
    """Settings shared by all processes of the fleet.

    :param instance_id: id of this instance, unique in the fleet.
    :param availability_zone: availability zone that the instance runs in.
    :param region: region of the availability zone.
    :param fleet_secret: shared secret with which processes authenticate each other.
    :param key_value_addresses: ``ip:port`` of each server of the platform's key-value
        service.
    :param instance_list_address: ``ip:port`` of the platform's instance list service.
    :param key_value_timeout_s: timeout of one call to the key-value service or to the
        instance list service.
    :param instance_list_poll_s: length of the time slots in which the processes take
        turns to poll the instance list.
    :param ping_interval_s: interval of the checks whether a connection needs a ping.
    :param ping_timeout_s: silence after which a connection with outstanding requests
        is closed.
    :param connect_timeout_s: timeout of opening a connection to another process,
        handshake included.
    :param idle_connection_s: time without use after which a connection is closed.
    :param drain_timeout_s: longest wait for requests in progress while draining.
    :param exchange_interval_s: interval of the load exchange between processes.
    :param log_level: lowest level that is logged, as a loguru level name.
    :param trace_path: file that spans are exported to; ``-`` for standard error, empty
        for no export.
    :param trace_ratio: ratio of new traces that are sampled, from 0 to 1.
    """

    instance_id: str = Field(min_length=1, max_length=64)
    availability_zone: str = Field(min_length=1)
    region: str = Field(min_length=1)
    fleet_secret: str = Field(min_length=16)
    key_value_addresses: list[Address] = Field(min_length=1)
    instance_list_address: Address
    key_value_timeout_s: PositiveSeconds = 2.0
    instance_list_poll_s: PositiveSeconds = 1.0
    ping_interval_s: PositiveSeconds = 0.5
    ping_timeout_s: PositiveSeconds = 1.5
    connect_timeout_s: PositiveSeconds = 1.0
    idle_connection_s: PositiveSeconds = 60.0
    drain_timeout_s: PositiveSeconds = 600.0
    exchange_interval_s: PositiveSeconds = 0.25
    log_level: str = "INFO"
    trace_path: str = ""
    trace_ratio: float = Field(default=0.0, ge=0, le=1)


class RouterSettings(ProcessSettings):
    """Settings of a router.

    :param caller_address: ``ip:port`` on which the caller API listens.
    :param administration_address: ``ip:port`` on which the administration API listens.
    :param peer_address: ``ip:port`` on which connections from other processes of the
        fleet are accepted.
    :param operator_key_digests: SHA-256 digest of each operator's key, by operator
        name.
    :param placement_policy: placement policy of the pools that set none.
    :param max_body_bytes: largest request body that callers may send.
    :param retry_ratio: retries allowed per first attempt, over all requests.
    :param max_attempts: failures, and likewise redirects, of a request after which it
        is not sent again.
    :param drain_notice_s: time between reporting not ready and closing the listener
        when draining.
    :param memory_mb: memory of the machine in MiB, above zero; zero if it is absent.
    :param max_descriptors: open files and sockets that the process may have, above
        zero; zero if it is absent.
    """

    caller_address: Address
    administration_address: Address
    peer_address: Address
    operator_key_digests: dict[str, Sha256Hex] = Field(default_factory=dict)
    placement_policy: str = "bounded_rendezvous"
    max_body_bytes: int = Field(default=8_000_000, gt=0, le=64_000_000)
    retry_ratio: float = Field(default=0.2, ge=0, le=1)
    max_attempts: int = Field(default=4, ge=1, le=16)
    drain_notice_s: float = Field(default=0.5, ge=0, le=60)
    memory_mb: float = Field(default=0, gt=0)
    max_descriptors: int = Field(default=0, gt=0)


class AgentSettings(ProcessSettings):
    """Settings of an agent.

    :param pool: backend server pool that the backend server belongs to.
    :param peer_address: ``ip:port`` on which connections from routers and other agents
        are accepted.
    :param administration_address: ``ip:port`` on which health, metrics and state are
        served.
    :param backend_address: ``ip:port`` of the agent's backend server.
    :param retained_answers_bytes: total size of the retained answers above which the
        oldest finished ones are dropped.
    :param retained_answer_s: time for which a finished answer is retained, so that a
        caller can resume its stream.
    :param window_chunks: chunks of an answer that are sent ahead of the receiver's
        credit.
    :param engine_probe_s: interval of the probes of the backend server.
    :param fingerprint_interval_s: interval of the fixed prompts whose answers reveal an
        engine version that the engine does not report; zero sends none.
    :param claim_retention_s: time for which the claim of an idempotency key is kept;
        older keys are refused.
    :param max_direct_claim_agents: largest number of agents in a pool at which each
        agent sends its claims to the key-value service itself; agents of larger pools
        share batchers.
    :param max_claimed_call_s: longest duration of a call that must not be repeated;
        after that its outcome is stored as unknown. It may exceed the deadline of the
        route.
    """

    pool: str = Field(min_length=1)
    peer_address: Address
    administration_address: Address
    backend_address: Address
    retained_answers_bytes: int = Field(default=64_000_000, gt=0)
    retained_answer_s: PositiveSeconds = 120.0
    window_chunks: int = Field(default=256, gt=0)
    engine_probe_s: PositiveSeconds = 1.0
    fingerprint_interval_s: float = Field(default=10.0, ge=0, le=86_400)
    claim_retention_s: float = Field(default=86_400.0, gt=0, le=2_592_000)
    max_direct_claim_agents: int = Field(default=32, ge=0, le=10_000)
    max_claimed_call_s: PositiveSeconds = 600.0


SettingsModel = TypeVar("SettingsModel", bound=BaseModel)


def load_settings(
    path: str | Path, model: type[SettingsModel]
) -> SettingsModel | Failure:
    """Load and validate a settings file.

    :param path: JSON file, which may contain comments.
    :param model: settings model of the program.
    :returns: the settings, or a failure that names the file and each invalid field.
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
