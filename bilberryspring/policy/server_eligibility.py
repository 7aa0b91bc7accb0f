"""Reasons for which a backend server gets no request of a router."""

from enum import Enum

__all__ = ["Exclusion"]


class Exclusion(Enum):
    """Reason for which a server is passed over for a request."""

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    PAUSED = "paused"
    LIMITED = "limited"
    COLD = "cold"
    SUSPECTED = "suspected"
    TRIED = "tried"
    REGION = "region"
    NO_ROOM = "no_room"
    LOAD_BOUND = "load_bound"
