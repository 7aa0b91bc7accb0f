"""Generated configurations of a given size, for tests and measurements."""

import json
import random

from bilberryspring.version.document import check_document
from bilberryspring.version.objects import Configuration

__all__ = ["TARGET_WORKSPACE_COUNT", "make_configuration"]

TARGET_WORKSPACE_COUNT = 3_400


def make_configuration(
    workspace_count: int = 3, weight: float = 1.0, seed: int = 0
) -> Configuration:
    """Return a configuration with one pool, one route and many workspaces.

    :param workspace_count: number of workspaces, each with two keys.
    :param weight: weight of the first workspace; the others have a fixed weight.
    :param seed: seed of the random key digests.
    :returns: the checked configuration.

    >>> len(make_configuration(workspace_count=5).workspaces)
    5
    """
    rng = random.Random(seed)
    workspaces = [
        {
            "name": f"workspace-{number:05d}",
            "key_digests": [rng.randbytes(32).hex(), rng.randbytes(32).hex()],
            "weight": weight if number == 0 else 2.5,
            "routes": ["chat"],
            "max_queued": 128,
        }
        for number in range(workspace_count)
    ]
    document = {
        "pools": [{"name": "roll-writer", "kind": "engine"}],
        "work_ranks": [
            {"name": "urgent", "order": 0, "minimum_share": 0.5, "target_wait_s": 1.0}
        ],
        "routes": [
            {
                "name": "chat",
                "pool": "roll-writer",
                "work_rank": "urgent",
                "idempotent": True,
                "deadline_s": 60,
            }
        ],
        "workspaces": workspaces,
    }
    configuration = check_document(json.dumps(document).encode())
    assert isinstance(configuration, Configuration), configuration
    return configuration
