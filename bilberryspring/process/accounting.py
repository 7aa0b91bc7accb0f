"""Counters of control-plane calls and bytes, by mechanism.

Every mechanism that sends or receives control traffic records it in the ledger of its
process, so that the total can be compared with the control budget in one place.
"""

import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

__all__ = ["ControlMechanism", "TrafficTotals", "Ledger", "make_ledger"]


class ControlMechanism(Enum):
    """Purpose of control traffic; the values label the control metrics."""

    CLAIMS = "claims"
    CONFIGURATION = "configuration"
    INSTANCE_LIST = "instance_list"
    LOAD_EXCHANGE = "load_exchange"
    LIVENESS = "liveness"
    DIRECTORY = "directory"
    ENGINE_PROBE = "engine_probe"
    ADMINISTRATION = "administration"


@dataclass(slots=True)
class TrafficTotals:
    """Traffic totals of one mechanism since the process started.

    :param calls: number of calls or messages.
    :param sent_bytes: payload bytes sent.
    :param received_bytes: payload bytes received.
    """

    calls: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


@dataclass(slots=True)
class Ledger:
    """Control traffic and control CPU time of one process.

    :param started_monotonic_s: monotonic time at which counting started, in seconds.
    :param started_cpu_s: CPU time that the process had used when counting started, in
        seconds.
    :param control_cpu_s: CPU time used by control mechanisms since then, in seconds.
    :param by_mechanism: traffic totals of each mechanism.
    """

    started_monotonic_s: float
    started_cpu_s: float
    control_cpu_s: float = 0.0
    by_mechanism: dict[ControlMechanism, TrafficTotals] = field(
        default_factory=lambda: {
            mechanism: TrafficTotals() for mechanism in ControlMechanism
        }
    )

    def count(
        self,
        mechanism: ControlMechanism,
        *,
        calls: int = 1,
        sent_bytes: int = 0,
        received_bytes: int = 0,
    ) -> None:
        """Add calls and bytes to the totals of a mechanism.

        :param mechanism: mechanism that caused the traffic.
        :param calls: number of calls or messages to add.
        :param sent_bytes: payload bytes sent.
        :param received_bytes: payload bytes received.
        """
        spending = self.by_mechanism[mechanism]
        spending.calls += calls
        spending.sent_bytes += sent_bytes
        spending.received_bytes += received_bytes

    def rates(self) -> Iterator[tuple[ControlMechanism, float, float]]:
        """Yield each mechanism with its mean calls and bytes per second.

        The means cover the time since counting started; bytes are the sum of sent and
        received bytes.
        """
        elapsed_s = max(time.monotonic() - self.started_monotonic_s, 1e-9)
        for mechanism, spending in self.by_mechanism.items():
            total_bytes = spending.sent_bytes + spending.received_bytes
            yield mechanism, spending.calls / elapsed_s, total_bytes / elapsed_s


def make_ledger() -> Ledger:
    """Return an empty ledger that starts counting now.

    >>> ledger = make_ledger()
    >>> ledger.count(ControlMechanism.CLAIMS, sent_bytes=120)
    >>> ledger.by_mechanism[ControlMechanism.CLAIMS].sent_bytes
    120
    """
    return Ledger(time.monotonic(), time.process_time())
