"""The lowest rate of requests in force at a backend server, whatever states it."""

from bilberryspring.capability.routing import BackendServer
from bilberryspring.connection.cold_messages import ColdReport
from bilberryspring.connection.limit_messages import LimitReport
from bilberryspring.connection.load_messages import NameHash
from bilberryspring.process.cold_servers import ColdServers
from bilberryspring.process.server_limits import ServerLimits

__all__ = ["ServerRates", "make_server_rates"]


class ServerRates:
    """Rates of servers that limit them, or are cold.

    :param limits: limits that servers stated.
    :param cold: servers that have just started.
    """

    def __init__(self, limits: ServerLimits, cold: ColdServers):
        self._limits = limits
        self._cold = cold

    def __len__(self) -> int:
        return len(self._limits) + len(self._cold)

    def find_rate_per_s(self, server: BackendServer) -> float | None:
        """Return the rate of a server, ``None`` if it takes any.

        :param server: the server.
        """
        return _find_lower(
            self._limits.find_rate_per_s(server), self._cold.find_rate_per_s(server)
        )

    def find_rate_by_key(self, server: NameHash, started_at_ms: int) -> float | None:
        """Return the rate of a server that another router names.

        :param server: hash of the server's id.
        :param started_at_ms: its start, as Unix time in milliseconds.
        """
        return _find_lower(
            self._limits.find_rate_by_key(server, started_at_ms),
            self._cold.find_rate_by_key(server, started_at_ms),
        )

    def needs_votes(self, server: NameHash, started_at_ms: int) -> bool:
        """Return whether only one router may give credit, even if links are cut.

        :param server: hash of the server's id.
        :param started_at_ms: its start, as Unix time in milliseconds.
        """
        return self._cold.find_rate_by_key(server, started_at_ms) is not None

    def find_reports(
        self, server: NameHash, started_at_ms: int
    ) -> tuple[LimitReport | None, ColdReport | None]:
        """Return what is known of a server's limit, and of its being cold.

        :param server: hash of the server's id.
        :param started_at_ms: its start, as Unix time in milliseconds.
        """
        return (
            self._limits.find_report(server, started_at_ms),
            self._cold.find_report(server, started_at_ms),
        )

    def merge(
        self, limit: LimitReport | None, cold: ColdReport | None, sender: str
    ) -> None:
        """Add what another router tells of a server.

        :param limit: statement of its limit; ``None`` for none.
        :param cold: observation that it is cold, or warm; ``None`` for none.
        :param sender: the other router, for the log.
        """
        if limit is not None:
            self._limits.merge([limit], sender)
        if cold is not None:
            self._cold.merge([cold], sender)


def _find_lower(first: float | None, second: float | None) -> float | None:
    if first is None or second is None:
        return second if first is None else first
    return min(first, second)


def make_server_rates(limits: ServerLimits, cold: ColdServers) -> ServerRates:
    """Return the rates of servers.

    :param limits: limits that servers stated.
    :param cold: servers that have just started.
    """
    return ServerRates(limits, cold)
