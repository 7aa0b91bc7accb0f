"""The platform's settings file of a process."""

import os
import tomllib
from dataclasses import dataclass
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from pydantic.alias_generators import to_camel

from bilberryspring.process.settings import Address, split_address
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = ["MachineSettings", "load_machine_settings", "SETTINGS_VARIABLE"]

SETTINGS_VARIABLE = "BILBERRYSPRING_SETTINGS"


class _Section(BaseModel):
    # The platform may add fields; a process ignores those that it does not know.
    model_config = ConfigDict(extra="ignore", frozen=True, alias_generator=to_camel)


class _Listen(_Section):
    front: Address
    ready: Address


class _Bounds(_Section):
    drain_ms: float = Field(default=2000, gt=0)
    grace_s: float = Field(default=8, gt=0)
    retry_budget_ratio: float = Field(default=0.2, ge=0)
    budget_window_s: float = Field(default=10, gt=0)
    budget_extra: float = Field(default=0, ge=0)
    cap_factor: float = Field(default=2, gt=1)
    reuse_window_s: float = Field(default=10, gt=0)


class _Store(_Section):
    address: Address
    min_ttl_ms: float = Field(default=1000, gt=0)


class _File(_Section):
    node: str = Field(min_length=1)
    ip: str
    zone: str
    region: str = ""
    internal_ports: tuple[int, int]
    listen: _Listen
    seeds: tuple[Address, ...] = ()
    bounds: _Bounds = _Bounds()
    platform: _Store


@dataclass(frozen=True, slots=True)
class MachineSettings:
    """Settings of a router, in our own words.

    :param caller_address: where callers connect.
    :param readiness_address: where the balancer asks whether callers may come.
    :param peer_port: port for datagrams between routers.
    :param seed_ips: machines on which other routers may run; they may be gone.
    :param leaving_s: time after which a leaving server must get no more work.
    :param stop_s: time between the order to stop and the end by force.
    :param retry_ratio: most further sends for each request, over all routers.
    :param retry_extra: further sends beyond the ratio in a window, over all routers.
    :param load_factor: a server carries at most so many times the mean load.
    """

    instance_id: str
    ip: str
    availability_zone: str
    caller_address: str
    readiness_address: str
    peer_port: int
    seed_ips: tuple[str, ...]
    store_address: str
    least_lease_s: float
    leaving_s: float
    stop_s: float
    retry_ratio: float
    retry_extra: float
    retry_window_s: float
    load_factor: float


def load_machine_settings(path: str | None = None) -> MachineSettings | Failure:
    """Read and check the settings file.

    :param path: the file; the one that the platform names by default.
    :returns: checked settings, or a failure that names every fault.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        reason = f"{SETTINGS_VARIABLE} names no settings file"
        return make_failure(ErrorKind.CONFIGURATION_INVALID, reason)
    try:
        content = tomllib.loads(Path(path).read_text(encoding="utf-8"))
        found = _File.model_validate(content)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return make_failure(ErrorKind.CONFIGURATION_INVALID, f"{path}: {error}")
    except ValidationError as error:
        faults = "; ".join(
            f"{'.'.join(map(str, each['loc']))}: {each['msg']}"
            for each in error.errors()
        )
        return make_failure(ErrorKind.CONFIGURATION_INVALID, f"{path}: {faults}")
    bounds = found.bounds
    return MachineSettings(
        instance_id=found.node,
        ip=found.ip,
        availability_zone=found.zone,
        caller_address=found.listen.front,
        readiness_address=found.listen.ready,
        peer_port=found.internal_ports[0],
        # Of other routers; one port is the same on all machines, and not this one.
        seed_ips=tuple(split_address(seed)[0] for seed in found.seeds),
        store_address=found.platform.address,
        least_lease_s=found.platform.min_ttl_ms / 1000,
        leaving_s=bounds.drain_ms / 1000,
        stop_s=bounds.grace_s,
        retry_ratio=bounds.retry_budget_ratio,
        retry_extra=bounds.budget_extra,
        retry_window_s=bounds.budget_window_s,
        load_factor=bounds.cap_factor,
    )
