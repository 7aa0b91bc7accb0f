"""The platform's settings file of a process."""

import os
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bilberryspring.process.addresses import split_address
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = ["MachineSettings", "load_machine_settings", "SETTINGS_VARIABLE"]

SETTINGS_VARIABLE = "BILBERRYSPRING_SETTINGS"


@dataclass(frozen=True, slots=True)
class MachineSettings:
    """Settings of a router, in our own words.

    :param caller_address: where callers connect.
    :param readiness_address: where the balancer asks whether callers may come.
    :param control_address: where servers of the platform may call, empty for nowhere.
    :param peer_port: port for datagrams between routers.
    :param link_mbps: bandwidth of the machine's link.
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
    control_address: str
    peer_port: int
    link_mbps: float
    seed_ips: tuple[str, ...]
    store_address: str
    leaving_s: float
    stop_s: float
    retry_ratio: float
    retry_extra: float
    retry_window_s: float
    load_factor: float


class _Reader:
    """Reads checked fields, and keeps what is wrong with them."""

    def __init__(self, content: Mapping[str, Any]):
        self._content = content
        self.faults: list[str] = []

    def read(self, path: str, check: Callable[[Any], Any], default: Any = None) -> Any:
        """Return a checked field; one that is absent has its default, if there is one.

        :param path: its name, with those of the tables around it before dots.
        :param check: returns the value, or raises ``ValueError``.
        :param default: value of an absent field; ``None`` if it must be there.
        """
        value: Any = self._content
        for name in path.split("."):
            value = value.get(name) if isinstance(value, Mapping) else None
        if value is None:
            if default is None:
                self.faults.append(f"{path}: is missing")
            return default
        try:
            return check(value)
        except ValueError as error:
            self.faults.append(f"{path}: {error}")
            return default


def _check_text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError("must be text")
    return value


def _check_address(value: Any) -> str:
    split_address(_check_text(value))
    return value


def _check_positive(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
        raise ValueError("must be a number above zero")
    return float(value)


def _check_not_negative(value: Any) -> float:
    return 0.0 if value == 0 and value is not False else _check_positive(value)


def _check_ports(value: Any) -> int:
    if not isinstance(value, list) or len(value) != 2:
        raise ValueError("must be the first and the last port")
    if not all(isinstance(port, int) and 0 < port < 65_536 for port in value):
        raise ValueError("must be ports")
    return value[0]


def _check_seeds(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list):
        raise ValueError("must be a list of addresses")
    # The port of routers is the same on all machines, and is not the one named here.
    return tuple(split_address(_check_text(seed))[0] for seed in value)


def load_machine_settings(path: str | None = None) -> MachineSettings | Failure:
    """Read and check the settings file; fields that are not known are ignored.

    :param path: the file; the one that the platform names by default.
    :returns: checked settings, or a failure that names every fault.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        reason = f"{SETTINGS_VARIABLE} names no settings file"
        return make_failure(ErrorKind.CONFIGURATION_INVALID, reason)
    try:
        content = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return make_failure(ErrorKind.CONFIGURATION_INVALID, f"{path}: {error}")
    reader = _Reader(content)
    read = reader.read
    fields = {
        "instance_id": read("node", _check_text),
        "ip": read("ip", _check_text),
        "availability_zone": read("zone", _check_text),
        "caller_address": read("listen.front", _check_address),
        "readiness_address": read("listen.ready", _check_address),
        "control_address": read("listen.control", _check_address, ""),
        "peer_port": read("internalPorts", _check_ports),
        "link_mbps": read("limits.linkMbps", _check_positive, 1000.0),
        "seed_ips": read("seeds", _check_seeds, ()),
        "store_address": read("platform.address", _check_address),
        "leaving_s": read("bounds.drainMs", _check_positive, 2000.0) / 1000,
        "stop_s": read("bounds.graceS", _check_positive, 8.0),
        "retry_ratio": read("bounds.retryBudgetRatio", _check_not_negative, 0.2),
        "retry_extra": read("bounds.budgetExtra", _check_not_negative, 0.0),
        "retry_window_s": read("bounds.budgetWindowS", _check_positive, 10.0),
        "load_factor": read("bounds.capFactor", _check_positive, 2.0),
    }
    if reader.faults:
        reason = f"{path}: {'; '.join(reader.faults)}"
        return make_failure(ErrorKind.CONFIGURATION_INVALID, reason)
    return MachineSettings(**fields)
