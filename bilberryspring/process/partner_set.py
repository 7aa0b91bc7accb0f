"""Small set of partner instances that a process calls repeatedly."""

import random
from collections.abc import Collection, Sequence

from bilberryspring.capability.instance_list import (
    Instance,
)
from bilberryspring.identifiers import InstanceId

__all__ = ["PartnerSet"]

PARTNER_COUNT = 6
MEAN_PARTNER_LIFETIME_S = 30.0


class PartnerSet:
    """Partners of one pool, replaced one by one as their random lifetimes expire.

    So the process keeps few connections but still reaches every instance over time.
    """

    def __init__(self):
        self._expires_s: dict[InstanceId, float] = {}

    def choose(
        self,
        usable: Sequence[Instance],
        now_s: float,
        busy: Collection[InstanceId] = (),
    ) -> Instance | None:
        """Return a random partner, after replacing expired and unusable ones.

        :param usable: instances that may be partners.
        :param now_s: monotonic time.
        :param busy: partners with an open call, which are kept but not returned.
        :returns: the partner, or ``None`` if no partner is free.
        """
        by_id = {node.instance_id: node for node in usable}
        self._expires_s = {
            name: until_s
            for name, until_s in self._expires_s.items()
            if until_s > now_s and name in by_id
        }
        missing = min(PARTNER_COUNT, len(by_id)) - len(self._expires_s)
        if missing > 0:
            candidates = [name for name in by_id if name not in self._expires_s]
            for name in random.sample(candidates, missing):
                lifetime_s = MEAN_PARTNER_LIFETIME_S * random.uniform(0.5, 1.5)
                self._expires_s[name] = now_s + lifetime_s
        free = [name for name in self._expires_s if name not in busy]
        return by_id[random.choice(free)] if free else None
