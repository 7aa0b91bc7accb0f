"""Scheduling and admission policies, free of input and output.

Each module holds one kind of decision as plain functions of typed inputs. Where several
implementations exist, they are registered by name, and a pool's configuration selects
one. Each module docstring names the load pattern that the decision addresses. The tests
replay that pattern on a virtual clock, against the production admission code
(:mod:`bilberryspring.load.replay`).
"""

from bilberryspring.policy.ordering import ORDERS, QueuedRequest
from bilberryspring.policy.placing import POLICIES, rank_candidates
from bilberryspring.policy.returning import choose_return_time
from bilberryspring.policy.waiting import WAITING, NewRequest, Refusal

__all__ = [
    "ORDERS",
    "POLICIES",
    "WAITING",
    "NewRequest",
    "QueuedRequest",
    "Refusal",
    "choose_return_time",
    "rank_candidates",
]
