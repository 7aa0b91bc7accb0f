"""Scheduling and admission policies, free of input and output.

Each module holds one kind of decision as plain functions of typed inputs. Where several
implementations exist, they are registered by name, and a pool's configuration selects
one. Each module docstring names the load pattern that the decision addresses. The tests
replay that pattern on a virtual clock, against the production admission code
(:mod:`bilberryspring.load.replay`).
"""

from bilberryspring.policy.ordering import ORDER_POLICIES, QueuedRequest
from bilberryspring.policy.placement import PLACEMENT_POLICIES, rank_candidates
from bilberryspring.policy.retry_after import choose_retry_after
from bilberryspring.policy.waiting import WAITING_POLICIES, NewRequest, Refusal

__all__ = [
    "ORDER_POLICIES",
    "PLACEMENT_POLICIES",
    "WAITING_POLICIES",
    "NewRequest",
    "QueuedRequest",
    "Refusal",
    "choose_retry_after",
    "rank_candidates",
]
