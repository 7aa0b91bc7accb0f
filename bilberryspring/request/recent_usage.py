"""Recent usage of a pool by each workspace."""

from bilberryspring.identifiers import WorkspaceName

__all__ = ["RecentUsage", "make_recent_usage"]

# Half-life of the usage, the length of a typical burst.
HALF_LIFE_S = 2.0
# A workspace without usage for this long no longer counts as active.
ACTIVE_WINDOW_S = 10.0
# Usage of a heavy workspace, as a multiple of the mean over the active ones.
HEAVY_RATIO = 2.5


class RecentUsage:
    """Cost of the work placed for each workspace, decaying exponentially with age."""

    def __init__(self) -> None:
        # Usage and the time of its update, least recently updated first.
        self._usage_by_workspace: dict[WorkspaceName | None, tuple[float, float]] = {}
        self._total = 0.0
        self._total_at_s = 0.0

    def add(self, workspace: WorkspaceName | None, cost: float, now_s: float) -> None:
        """Add the cost of a request that was placed on a server.

        :param workspace: workspace of the request, ``None`` for a public route.
        :param cost: capacity that the request occupies; any unit, the same in each
            call.
        :param now_s: monotonic time.
        """
        used = self.get_usage(workspace, now_s) + cost
        self._usage_by_workspace.pop(workspace, None)
        self._usage_by_workspace[workspace] = (used, now_s)
        self._total = _decay(self._total, now_s - self._total_at_s) + cost
        self._total_at_s = now_s
        while (oldest := next(iter(self._usage_by_workspace))) != workspace:
            if now_s - self._usage_by_workspace[oldest][1] < ACTIVE_WINDOW_S:
                break
            del self._usage_by_workspace[oldest]

    def get_usage(self, workspace: WorkspaceName | None, now_s: float) -> float:
        """Return the decayed usage of a workspace, in the unit of the added costs.

        :param workspace: the workspace, ``None`` for public routes.
        :param now_s: monotonic time.

        >>> usage = make_recent_usage()
        >>> usage.add("ward", 8.0, 0.0)
        >>> usage.get_usage("ward", 2.0), usage.get_usage("school", 2.0)
        (4.0, 0.0)
        """
        used, at_s = self._usage_by_workspace.get(workspace, (0.0, now_s))
        return _decay(used, now_s - at_s)

    def is_heavy(self, workspace: WorkspaceName | None, now_s: float) -> bool:
        """Return whether a workspace used far more than the others recently.

        :param workspace: the workspace, ``None`` for public routes.
        :param now_s: monotonic time.

        >>> usage = make_recent_usage()
        >>> for name, cost in (("a", 9.0), ("b", 1.0), ("c", 1.0), ("d", 0.5)):
        ...     usage.add(name, cost, 0.0)
        >>> usage.is_heavy("a", 0.0), usage.is_heavy("b", 0.0)
        (True, False)
        """
        total = _decay(self._total, now_s - self._total_at_s)
        return (
            self.get_usage(workspace, now_s) * len(self._usage_by_workspace)
            > HEAVY_RATIO * total
        )


def _decay(used: float, age_s: float) -> float:
    return used * 0.5 ** (age_s / HALF_LIFE_S)


def make_recent_usage() -> RecentUsage:
    """Return the usage of a pool without any placed work."""
    return RecentUsage()
