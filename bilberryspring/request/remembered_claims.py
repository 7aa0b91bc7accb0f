"""Outcomes of claims that an agent remembers for a time, also when they are stored.

The key-value service may come back from a copy that lacks them.
"""

from bilberryspring.request.held_claims import Claim
from bilberryspring.request.idempotency import read_key_time

__all__ = ["RememberedClaims"]

MAX_CLAIMS = 2_000
MAX_BYTES = 8_000_000


class RememberedClaims:
    """Latest claims of one agent whose requests were sent and have an outcome.

    :param retention_s: how long a claim is kept; older keys are refused.
    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._by_path: dict[str, Claim] = {}
        self._total_bytes = 0

    def __len__(self) -> int:
        return len(self._by_path)

    def add(self, claim: Claim) -> None:
        """Remember a claim with its outcome; the oldest ones are forgotten."""
        self._forget(claim.attempt.path)
        self._by_path[claim.attempt.path] = claim
        self._total_bytes += _count_bytes(claim)
        while len(self._by_path) > MAX_CLAIMS or self._total_bytes > MAX_BYTES:
            self._forget(next(iter(self._by_path)))

    def find(self, path: str, now_s: float) -> Claim | None:
        """Return the claim of a key, unless the key is refused for its age.

        :param path: key in the key-value service.
        :param now_s: current time since the epoch.
        """
        claim = self._by_path.get(path)
        if claim is None or self._is_expired(claim, now_s):
            return None
        return claim

    def list_newest_first(self, now_s: float) -> list[Claim]:
        """Return the claims whose keys are not refused for their age.

        :param now_s: current time since the epoch.
        """
        claims = reversed(self._by_path.values())
        return [claim for claim in claims if not self._is_expired(claim, now_s)]

    def _is_expired(self, claim: Claim, now_s: float) -> bool:
        return now_s > read_key_time(claim.key) + self._retention_s

    def _forget(self, path: str) -> None:
        claim = self._by_path.pop(path, None)
        if claim is not None:
            self._total_bytes -= _count_bytes(claim)


def _count_bytes(claim: Claim) -> int:
    return len(claim.attempt.path) + len(claim.current_value.body or b"")
