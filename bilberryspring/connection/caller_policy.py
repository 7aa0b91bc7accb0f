"""Limits that callers' connections keep to."""

from bilberryspring.capability.routing import CallerLimits

__all__ = ["CallerPolicy"]


class CallerPolicy:
    """Limits of callers' connections, as the configuration in force has them."""

    def __init__(self) -> None:
        self.is_closing = False
        self.apply(CallerLimits())

    def apply(self, limits: CallerLimits) -> None:
        """Put limits in force.

        :param limits: limits of a configuration.
        """
        self.header_bytes = limits.header_bytes
        self.body_bytes = limits.body_bytes
        self.header_s = limits.header_s
        self.idle_s = limits.idle_s
