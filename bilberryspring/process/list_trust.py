"""Trust in the lists of other processes, based on the platform's own responses."""

from bilberryspring.identifiers import InstanceId

__all__ = ["ListTrust"]

# A revision reaches all processes within this time.
PROPAGATION_DELAY_S = 2.0
# For this long after a list came from another process, each fetch verifies it.
VERIFICATION_PERIOD_S = 30.0
DISTRUST_PERIOD_S = 60.0


class ListTrust:
    """Revisions that the platform confirmed or refuted, and distrusted processes.

    Times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        self._confirmed_revision = 0
        self._refuted_revision = 0
        self._refuted_until_s = 0.0
        self._received_s = float("inf")
        self._distrusted_until_s: dict[InstanceId, float] = {}

    def record_fetch(self, revision: int, held: int, now_s: float) -> None:
        """Record that the platform itself returned or confirmed a revision.

        :param revision: revision of the list in the platform's response.
        :param held: revision that was held before; if it is higher, all revisions above
            the platform's are refuted for a while.
        :param now_s: current time.
        """
        if revision < held:
            self._refuted_revision = revision + 1
            self._refuted_until_s = now_s + DISTRUST_PERIOD_S
        elif revision >= self._refuted_revision:
            self._refuted_until_s = 0.0
        self._confirmed_revision = revision
        self._received_s = now_s

    def record_peer_list(self, now_s: float) -> None:
        """Record that the held list now comes from another process.

        :param now_s: current time.
        """
        self._confirmed_revision = 0
        self._received_s = now_s

    def is_confirmed_revision(self, revision: int) -> bool:
        """Return whether the platform itself returned the held revision.

        :param revision: the held revision.
        """
        return revision == self._confirmed_revision

    def is_unverified(self, now_s: float) -> bool:
        """Return whether the held list came from another process recently.

        :param now_s: current time.
        """
        return (
            not self._confirmed_revision
            and now_s < self._received_s + VERIFICATION_PERIOD_S
        )

    def is_refuted_revision(self, revision: int, now_s: float) -> bool:
        """Return whether a revision is higher than the platform's own recent one.

        :param revision: revision of another process.
        :param now_s: current time.
        """
        return now_s < self._refuted_until_s and revision >= self._refuted_revision

    def is_superseded(self, seen_s: float) -> bool:
        """Return whether the platform confirmed a lower revision after the held one.

        :param seen_s: when the platform confirmed the lower revision to any process.
        """
        return seen_s > self._received_s + PROPAGATION_DELAY_S

    def distrust(self, sender: InstanceId, now_s: float) -> None:
        """Distrust a process whose entries differ from the platform's.

        :param sender: instance id of the process.
        :param now_s: current time in seconds.
        """
        self._distrusted_until_s[sender] = now_s + DISTRUST_PERIOD_S

    def is_trusted(self, sender: InstanceId, now_s: float) -> bool:
        """Return whether a process is not distrusted at present.

        :param sender: instance id of the process.
        :param now_s: current time in seconds.
        """
        if self._distrusted_until_s.get(sender, now_s) > now_s:
            return False
        self._distrusted_until_s.pop(sender, None)
        return True
