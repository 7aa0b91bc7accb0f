"""Limits and shutdown state that the caller connections of a process share."""

from dataclasses import dataclass

from bilberryspring.capability.routing import CallerLimits

__all__ = ["CallerPolicy"]


@dataclass(slots=True)
class CallerPolicy:
    """Request limits and shutdown state, read again for each request.

    :param limits: limits of the active configuration.
    :param is_shutting_down: the process is shutting down; each connection closes once
        its responses in progress are complete.
    """

    limits: CallerLimits = CallerLimits()
    is_shutting_down: bool = False
