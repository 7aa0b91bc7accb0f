"""Whether a backend server may get a request, and why not.

Load pattern: part of a pool must get nothing new, such as the servers of an evacuated
availability zone, and its requests go to the others. What a router believes of a server
comes with its source, age and history of the store, so that a refusal can be explained.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

__all__ = [
    "Belief",
    "Exclusion",
    "ExclusionFinding",
    "ServerView",
    "compute_evacuation_retry_s",
    "find_exclusion",
]

MIN_EVACUATION_RETRY_S = 0.5
MAX_EVACUATION_RETRY_S = 5.0


class Exclusion(Enum):
    """Why a server gets no new request, the reasons that hold longest first."""

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    REGION = "region"
    TRIED = "tried"
    PAUSED = "paused"
    LIMITED = "limited"
    COLD = "cold"
    SUSPECTED = "suspected"
    NO_ROOM = "no_room"
    LOAD_BOUND = "load_bound"


@dataclass(frozen=True, slots=True)
class Belief:
    """What a router believes of a server for a reason, and where that comes from.

    :param source: who said so, such as the store or another router.
    :param age_s: seconds since it was first learnt.
    :param epoch: history of the store that it belongs to; ``None`` if it does not come
        from the store.
    """

    source: str
    age_s: float
    epoch: int | None = None

    def __str__(self) -> str:
        history = "" if self.epoch is None else f", history {self.epoch}"
        return f"by {self.source}, {self.age_s:.2f} s ago{history}"


@dataclass(frozen=True, slots=True)
class ServerView:
    """What a router believes of one server, as far as it excludes the server.

    :param server_id: id of the server.
    :param beliefs: beliefs that speak against the server, by reason.
    """

    server_id: str
    beliefs: dict[Exclusion, Belief]


@dataclass(frozen=True, slots=True)
class ExclusionFinding:
    """Why a server gets no new request.

    :param exclusion: the reason that holds longest.
    :param reason: description for logs and operators.
    """

    exclusion: Exclusion
    reason: str


_DESCRIPTIONS: dict[Exclusion, Callable[[Belief], str]] = {
    Exclusion.LEAVING: lambda belief: f"it leaves ({belief})",
    Exclusion.EVACUATED: lambda belief: (
        f"its availability zone is evacuated ({belief})"
    ),
    Exclusion.REGION: lambda belief: f"its region is not allowed ({belief})",
    Exclusion.TRIED: lambda belief: f"the request was tried there ({belief})",
    Exclusion.PAUSED: lambda belief: f"it wants no requests ({belief})",
    Exclusion.LIMITED: lambda belief: f"it limits the rate of requests ({belief})",
    Exclusion.COLD: lambda belief: f"it is cold ({belief})",
    Exclusion.SUSPECTED: lambda belief: f"it is suspected to fail ({belief})",
    Exclusion.NO_ROOM: lambda belief: f"it has no room ({belief})",
    Exclusion.LOAD_BOUND: lambda belief: f"it is beyond the load bound ({belief})",
}


def find_exclusion(view: ServerView) -> ExclusionFinding | None:
    """Return why a server gets no new request, ``None`` if it may get one.

    :param view: what the router believes of the server.

    >>> finding = find_exclusion(
    ...     ServerView("s1", {Exclusion.EVACUATED: Belief("store", 1.5, 3)})
    ... )
    >>> finding.exclusion is Exclusion.EVACUATED
    True
    >>> finding.reason
    'its availability zone is evacuated (by store, 1.50 s ago, history 3)'
    """
    for exclusion in Exclusion:
        belief = view.beliefs.get(exclusion)
        if belief is not None:
            return ExclusionFinding(exclusion, _DESCRIPTIONS[exclusion](belief))
    return None


def compute_evacuation_retry_s(age_s: float) -> float:
    """Return when a caller may come back whose servers are all in evacuated zones.

    The end of an evacuation is not known. One that has lasted longer is expected to
    last longer, so callers that return too early are few at any length.

    :param age_s: seconds for which the zone that was evacuated last is evacuated.

    >>> compute_evacuation_retry_s(0.1), compute_evacuation_retry_s(600.0)
    (0.5, 5.0)
    """
    return min(max(age_s, MIN_EVACUATION_RETRY_S), MAX_EVACUATION_RETRY_S)
