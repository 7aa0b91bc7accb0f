"""Settings of a router process, read from the platform's settings file."""

import math
import os
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bilberryspring.identifiers import AvailabilityZone, Region
from bilberryspring.malformed_input import MALFORMED_ERRORS, describe_error, require_int
from bilberryspring.process.addresses import split_address
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = ["MachineSettings", "load_machine_settings", "SETTINGS_VARIABLE"]

SETTINGS_VARIABLE = "BILBERRYSPRING_SETTINGS"


@dataclass(frozen=True, slots=True)
class MachineSettings:
    """Settings of a router, under the names and in the units of this project.

    :param instance_id: id of the router.
    :param ip: IP address of the router.
    :param availability_zone: availability zone of the router.
    :param caller_address: ``ip:port`` for requests of callers.
    :param readiness_address: ``ip:port`` for the load balancer's readiness checks.
    :param control_address: ``ip:port`` for calls of the platform's servers; empty if
        the router does not listen for them.
    :param peer_port: port for datagrams between routers.
    :param link_mbps: bandwidth of the machine's network link, in Mbit/s.
    :param memory_mib: memory that the process may have; zero if it is not stated.
    :param max_descriptors: descriptors that the process may have; zero if it is not
        stated.
    :param seed_ips: IP addresses of machines on which other routers may run; some may
        no longer exist.
    :param store_address: ``ip:port`` of the metadata store.
    :param leaving_s: time in seconds after which a draining server must receive no more
        requests.
    :param apply_s: time in seconds within which a configuration must be in force.
    :param evacuate_s: time in seconds within which an evacuation must be in force.
    :param stop_s: time in seconds between the signal to stop and the forced end of the
        process.
    :param retry_ratio: maximum number of retries per request, over all routers.
    :param retry_extra: retries allowed in a window beyond that ratio, over all routers.
    :param retry_window_s: length in seconds of the window that the retry limits cover.
    :param load_factor: maximum load of a server, as a multiple of the mean load.
    :param cold_overage: requests that may reach a cold server in any second, as a
        multiple of its rate.
    :param cold_slack: requests that may reach it beyond that.
    :param regions: region of each availability zone.
    """

    instance_id: str
    ip: str
    availability_zone: str
    caller_address: str
    readiness_address: str
    control_address: str
    peer_port: int
    link_mbps: float
    memory_mib: float
    max_descriptors: int
    seed_ips: tuple[str, ...]
    store_address: str
    leaving_s: float
    apply_s: float
    evacuate_s: float
    stop_s: float
    retry_ratio: float
    retry_extra: float
    retry_window_s: float
    load_factor: float
    cold_overage: float
    cold_slack: float
    regions: Mapping[AvailabilityZone, Region]


class _SettingsReader:
    """A reader that checks fields and collects their errors.

    :param content: settings file, decoded from TOML.
    """

    def __init__(self, content: Mapping[str, Any]):
        self._content = content
        self._fields_by_section: dict[str, list[str]] = {}
        self.errors: list[str] = []

    def read(self, path: str, check: Callable[[Any], Any], default: Any = None) -> Any:
        """Return the checked value of a field, or its default.

        :param path: dotted path of the field, such as ``platform.address``.
        :param check: returns the checked value, or raises ``ValueError``.
        :param default: value of an absent field; ``None`` if the field is required.
        """
        section, _, field = path.rpartition(".")
        content: Any = self._content
        if section:
            self._fields_by_section.setdefault(section, []).append(field)
            content = content.get(section)
        value = content.get(field) if isinstance(content, Mapping) else None
        if value is None:
            if default is None:
                self.errors.append(f"{path}: missing")
            return default
        try:
            return check(value)
        except MALFORMED_ERRORS as error:
            self.errors.append(f"{path}: {error}")
            return default

    def check_sections(self) -> None:
        """Record each section that is stated without any of the fields read from it.

        Its fields would get their defaults, as if the section were missing.
        """
        for section, fields in self._fields_by_section.items():
            if section not in self._content:
                continue
            content = self._content[section]
            if not isinstance(content, Mapping):
                self.errors.append(f"{section}: must be a table")
            elif not content.keys() & set(fields):
                self.errors.append(f"{section}: must have one of {', '.join(fields)}")


def _check_nonempty_text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError("must be a string that is not empty")
    return value


def _check_address(value: Any) -> str:
    split_address(_check_nonempty_text(value))
    return value


def _check_positive(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
        raise ValueError("must be a number above zero")
    number = float(value)
    if not math.isfinite(number):
        raise ValueError("must be finite")
    return number


def _check_not_negative(value: Any) -> float:
    return 0.0 if value == 0 and value is not False else _check_positive(value)


def _check_count(value: Any) -> int:
    return require_int(value, "the number", 1)


def _check_port_range(value: Any) -> int:
    if not isinstance(value, list) or len(value) != 2:
        raise ValueError("must be a list of the first and the last port")
    first, _ = (require_int(port, "port", 1, 65_535) for port in value)
    return first


def _check_seeds(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list):
        raise ValueError("must be a list of addresses")
    # Ports are dropped: routers use the same peer port on all machines, and seeds name
    # another one.
    return tuple(split_address(_check_nonempty_text(seed))[0] for seed in value)


def _check_regions(value: Any) -> Mapping[AvailabilityZone, Region]:
    if not isinstance(value, dict):
        raise ValueError("must be a table of zones and their regions")
    return {
        AvailabilityZone(zone): Region(_check_nonempty_text(region))
        for zone, region in value.items()
    }


def load_machine_settings(path: str | None = None) -> MachineSettings | Failure:
    """Read and check the settings file; unknown fields are ignored.

    :param path: path of the file; empty or ``None`` for the path in the environment
        variable ``BILBERRYSPRING_SETTINGS``.
    :returns: checked settings, or a failure that names every invalid field.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        reason = f"{SETTINGS_VARIABLE} is not set to the path of a settings file"
        return make_failure(ErrorKind.CONFIGURATION_INVALID, reason)
    try:
        content = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, *MALFORMED_ERRORS) as error:
        reason = f"{path}: {describe_error(error)}"
        return make_failure(ErrorKind.CONFIGURATION_INVALID, reason)
    reader = _SettingsReader(content)
    read = reader.read
    fields = {
        "instance_id": read("node", _check_nonempty_text),
        "ip": read("ip", _check_nonempty_text),
        "availability_zone": read("zone", _check_nonempty_text),
        "caller_address": read("listen.front", _check_address),
        "readiness_address": read("listen.ready", _check_address),
        "control_address": read("listen.control", _check_address, ""),
        "peer_port": read("internalPorts", _check_port_range),
        "link_mbps": read("limits.linkMbps", _check_positive, 1000.0),
        "memory_mib": read("limits.memoryMb", _check_positive, 0.0),
        "max_descriptors": read("limits.maxFds", _check_count, 0),
        "seed_ips": read("seeds", _check_seeds, ()),
        "store_address": read("platform.address", _check_address),
        "leaving_s": read("bounds.drainMs", _check_positive, 2000.0) / 1000,
        "apply_s": read("bounds.configApplyMs", _check_positive, 2000.0) / 1000,
        "evacuate_s": read("bounds.evacuateMs", _check_positive, 5000.0) / 1000,
        "stop_s": read("bounds.graceS", _check_positive, 8.0),
        "retry_ratio": read("bounds.retryBudgetRatio", _check_not_negative, 0.2),
        "retry_extra": read("bounds.budgetExtra", _check_not_negative, 0.0),
        "retry_window_s": read("bounds.budgetWindowS", _check_positive, 10.0),
        "load_factor": read("bounds.capFactor", _check_positive, 2.0),
        "cold_overage": read("bounds.coldOverage", _check_positive, 1.0),
        "cold_slack": read("bounds.coldSlack", _check_not_negative, 0.0),
        "regions": read("zones", _check_regions, {}),
    }
    reader.check_sections()
    if reader.errors:
        reason = f"{path}: {'; '.join(reader.errors)}"
        return make_failure(ErrorKind.CONFIGURATION_INVALID, reason)
    return MachineSettings(**fields)
