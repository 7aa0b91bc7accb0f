"""Workspace usage at the other agents of a pool, from a bounded number of reports."""

from collections.abc import Sequence
from dataclasses import dataclass

from bilberryspring.connection.load_messages import (
    NameHash,
    WorkspaceUsage,
    hash_name,
)
from bilberryspring.identifiers import InstanceId, WorkspaceName
from bilberryspring.request.admission import Admission
from bilberryspring.version.index import ConfigurationIndex

__all__ = ["RemoteUsage"]

MAX_REPORTS = 64
MAX_REPORT_AGE_S = 10.0


@dataclass(frozen=True, slots=True)
class _Report:
    usage: Sequence[WorkspaceUsage]
    received_s: float


class RemoteUsage:
    """Latest usage reports, of at most ``MAX_REPORTS`` agents."""

    def __init__(self):
        self._reports: dict[InstanceId, _Report] = {}
        self._workspace_names_index: ConfigurationIndex | None = None
        self._workspace_names: dict[NameHash, WorkspaceName] = {}

    def receive(
        self, sender: InstanceId, usage: Sequence[WorkspaceUsage], now_s: float
    ) -> None:
        """Store a report in place of the sender's previous one.

        :param sender: reporting agent.
        :param usage: the workspaces with the highest usage there.
        :param now_s: monotonic time.
        """
        self._reports.pop(sender, None)
        self._reports[sender] = _Report(usage, now_s)
        if len(self._reports) > MAX_REPORTS:
            del self._reports[next(iter(self._reports))]

    def estimate(self, others: int, now_s: float) -> dict[NameHash, float]:
        """Return each workspace's estimated cost per second at the other agents.

        :param others: number of other agents of the pool, to which the sum of the fresh
            reports is extrapolated.
        :param now_s: monotonic time.
        :returns: cost per second by hash of the workspace's name.
        """
        since_s = now_s - MAX_REPORT_AGE_S
        fresh = [
            entry for entry in self._reports.values() if entry.received_s > since_s
        ]
        totals: dict[NameHash, float] = {}
        for entry in fresh:
            for workspace_usage in entry.usage:
                totals[workspace_usage.workspace] = (
                    totals.get(workspace_usage.workspace, 0.0)
                    + workspace_usage.cost_per_s
                )
        scale = max(others / len(fresh), 1.0) if fresh else 1.0
        return {workspace: rate * scale for workspace, rate in totals.items()}

    def charge(
        self,
        admission: Admission,
        index: ConfigurationIndex,
        others: int,
        elapsed_s: float,
        now_s: float,
    ) -> None:
        """Charge workspaces for their usage at the other agents since the last charge.

        :param admission: this agent's admission.
        :param index: configuration in force.
        :param others: number of other agents of the pool.
        :param elapsed_s: time since the last charge.
        :param now_s: monotonic time.
        """
        rates = self.estimate(others, now_s)
        if not rates:
            return
        if self._workspace_names_index is not index:
            names = {hash_name(name): name for name in index.workspaces}
            self._workspace_names_index, self._workspace_names = index, names
        named = rates.keys() & self._workspace_names.keys()
        costs_per_s = {self._workspace_names[name]: rates[name] for name in named}
        admission.charge_remote_usage(costs_per_s, elapsed_s)
