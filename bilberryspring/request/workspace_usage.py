"""What each workspace got of a pool just now."""

from bilberryspring.identifiers import WorkspaceName

__all__ = ["RecentUsage", "make_recent_usage"]

# After so long a workspace's use counts half: the length of a usual burst.
HALF_LIFE_S = 2.0
# A workspace that got nothing for so long is not among those that share the pool.
ACTIVE_WINDOW_S = 10.0
# A workspace that got so many times the mean of the active ones is a heavy one.
HEAVY_RATIO = 2.5


class RecentUsage:
    """Cost of the work that was placed for each workspace, less as it ages."""

    def __init__(self) -> None:
        # In order of the latest work.
        self._usage_by_workspace: dict[WorkspaceName | None, tuple[float, float]] = {}
        self._total = 0.0
        self._total_at_s = 0.0

    def add(self, workspace: WorkspaceName | None, cost: float, now_s: float) -> None:
        """Add a request that got its place.

        :param workspace: whose request; ``None`` for a public one.
        :param cost: its part of what is scarce, in any unit.
        :param now_s: monotonic time.
        """
        used = self.get(workspace, now_s) + cost
        self._usage_by_workspace.pop(workspace, None)
        self._usage_by_workspace[workspace] = (used, now_s)
        self._total = _decay(self._total, now_s - self._total_at_s) + cost
        self._total_at_s = now_s
        while (first := next(iter(self._usage_by_workspace))) != workspace:
            if now_s - self._usage_by_workspace[first][1] < ACTIVE_WINDOW_S:
                break
            del self._usage_by_workspace[first]

    def get(self, workspace: WorkspaceName | None, now_s: float) -> float:
        """Return what a workspace got, each cost halved every two seconds.

        :param workspace: the workspace.
        :param now_s: monotonic time.

        >>> usage = make_recent_usage()
        >>> usage.add("ward", 8.0, 0.0)
        >>> usage.get("ward", 2.0), usage.get("school", 2.0)
        (4.0, 0.0)
        """
        used, at_s = self._usage_by_workspace.get(workspace, (0.0, now_s))
        return _decay(used, now_s - at_s)

    def is_heavy(self, workspace: WorkspaceName | None, now_s: float) -> bool:
        """Return whether a workspace got much more than the others.

        :param workspace: the workspace.
        :param now_s: monotonic time.

        >>> usage = make_recent_usage()
        >>> for name, cost in (("a", 9.0), ("b", 1.0), ("c", 1.0), ("d", 0.5)):
        ...     usage.add(name, cost, 0.0)
        >>> usage.is_heavy("a", 0.0), usage.is_heavy("b", 0.0)
        (True, False)
        """
        total = _decay(self._total, now_s - self._total_at_s)
        return (
            self.get(workspace, now_s) * len(self._usage_by_workspace)
            > HEAVY_RATIO * total
        )


def _decay(used: float, age_s: float) -> float:
    return used * 0.5 ** (age_s / HALF_LIFE_S)


def make_recent_usage() -> RecentUsage:
    """Return the usage of a pool that did nothing yet."""
    return RecentUsage()
