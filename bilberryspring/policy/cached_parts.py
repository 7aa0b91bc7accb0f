"""Choice of the engine that another one fetches cached parts of a prompt from.

Load pattern: prompts with long shared parts whose home engine doesn't hold them, since
it joined, was busy or was avoided when they were read, while other engines do. Reading
the parts again delays every request that runs at the engine; copying them takes a
fraction of that time, if the source holds them.
"""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = [
    "MIN_REPORTED_TOKENS",
    "PartHolder",
    "choose_fetch_source",
    "is_holder_news",
]

# Reading fewer tokens takes an engine about a millisecond.
MIN_REPORTED_TOKENS = 100
# With this many known holders, one is left if others leave or evict the part.
ENOUGH_HOLDERS = 3
# A holder is reported again when its last reported use is this old.
REPEAT_INTERVAL_S = 10.0


@dataclass(frozen=True, slots=True)
class PartHolder:
    """An engine that holds the first parts of a prompt.

    :param server_id: id of the engine.
    :param tokens: number of tokens of the prompt's prefix that it holds.
    :param is_usable: whether parts may be fetched from it now.
    """

    server_id: str
    tokens: int
    is_usable: bool = True


def choose_fetch_source(holders: Iterable[PartHolder]) -> PartHolder | None:
    """Choose the engine that others fetch parts of a prompt from.

    :param holders: engines that hold parts of the prompt, the preferred one of equal
        ones first.
    :returns: the usable engine that holds the longest prefix, ``None`` if there is
        none.

    >>> holders = [PartHolder("a", 500), PartHolder("b", 9000, False)]
    >>> choose_fetch_source(holders).server_id
    'a'
    """
    usable = (holder for holder in holders if holder.is_usable)
    return max(usable, key=lambda holder: holder.tokens, default=None)


def is_holder_news(
    tokens: int, known_holders: int, reported_use_age_s: float | None
) -> bool:
    """Return whether other routers should learn that an engine holds a part.

    :param tokens: number of tokens of the part.
    :param known_holders: number of other engines that are known to hold it.
    :param reported_use_age_s: seconds since the last use of the part at this engine
        that was reported; ``None`` if none was.

    >>> is_holder_news(500, 1, None), is_holder_news(500, 1, 2.0)
    (True, False)
    """
    if tokens < MIN_REPORTED_TOKENS or known_holders >= ENOUGH_HOLDERS:
        return False
    return reported_use_age_s is None or reported_use_age_s >= REPEAT_INTERVAL_S
