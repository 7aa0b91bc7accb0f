"""Estimate of the age at which an engine evicts a cached prefix.

The engine's cache events arrive late and with gaps, and a subscription to them costs
control traffic. Each response reports how much of its prompt was cached, at no cost.
Engines evict the least recently used prefix first, so a cache miss for a prefix means
that older prefixes have been evicted too.
"""

__all__ = ["EvictionAge"]

# Reported and estimated cached tokens rarely match exactly, so a response counts as a
# hit if it found at least this part of the expected share.
MIN_HIT_RATIO = 0.5


class EvictionAge:
    """Age above which prefixes count as evicted, estimated from responses.

    >>> age = EvictionAge()
    >>> age.is_evicted(3600.0)
    False
    >>> age.update(60.0, expected_share=0.9, cached_share=0.0)
    >>> age.is_evicted(59.0), age.is_evicted(60.0)
    (False, True)
    >>> age.update(80.0, expected_share=0.9, cached_share=0.9)
    >>> age.is_evicted(70.0)
    False
    """

    def __init__(self):
        self._limit_s = float("inf")

    def is_evicted(self, age_s: float) -> bool:
        """Return whether a prefix has probably been evicted.

        :param age_s: time since the prefix was last computed or found.
        """
        return age_s >= self._limit_s

    def update(self, age_s: float, expected_share: float, cached_share: float) -> None:
        """Update the estimate with the cache hit or miss of one response.

        Fractions of the prompt are compared, because the token counts of routers are
        estimates and differ from the counts of engines.

        :param age_s: age of the prefix.
        :param expected_share: length of the prefix as a fraction of the prompt.
        :param cached_share: fraction of the prompt that the engine had in its cache.
        """
        if cached_share < expected_share * MIN_HIT_RATIO:
            self._limit_s = min(self._limit_s, age_s)
        else:
            self._limit_s = max(self._limit_s, age_s)
