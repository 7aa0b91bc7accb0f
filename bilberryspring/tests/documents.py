"""Configuration document that the tests share, and the names and keys in it."""

import hashlib

__all__ = [
    "ENGINE_POOL",
    "SERVICE_POOL",
    "MODEL",
    "WORKSPACE_KEY",
    "compute_key_digest",
    "make_document",
]

ENGINE_POOL = "engines"
SERVICE_POOL = "desks"
MODEL = "model"
WORKSPACE_KEY = "test-key-first"


def compute_key_digest(key):
    """Return the digest under which a configuration document lists a workspace key."""
    return hashlib.sha256(key.encode()).hexdigest()


def make_document(**changes):
    """Return a small valid configuration document.

    :param changes: top-level sections that replace the default ones.
    """
    document = {
        "pools": [
            {
                "name": ENGINE_POOL,
                "kind": "engine",
                "load_bound": 1.5,
                "load_floor": 100_000,
                "max_running": 16,
            },
            {
                "name": SERVICE_POOL,
                "kind": "service",
                "load_bound": 1.5,
                "load_floor": 100,
                "max_running": 16,
            },
        ],
        "models": [{"name": MODEL, "pool": ENGINE_POOL, "max_context_tokens": 100_000}],
        "adapters": [],
        "work_ranks": [
            {"name": "urgent", "order": 0, "minimum_share": 0.5, "target_wait_s": 20},
            {"name": "standard", "order": 1, "minimum_share": 0.2, "target_wait_s": 60},
            {"name": "quiet", "order": 2, "minimum_share": 0.1, "target_wait_s": 120},
        ],
        "routes": [
            {
                "name": "chat",
                "pool": ENGINE_POOL,
                "model": MODEL,
                "work_rank": "urgent",
                "idempotent": True,
                "deadline_s": 60,
            },
            {
                "name": "orders",
                "pool": SERVICE_POOL,
                "work_rank": "urgent",
                "idempotent": False,
                "methods": ["POST", "PUT"],
                "deadline_s": 20,
            },
            {
                "name": "status",
                "pool": SERVICE_POOL,
                "work_rank": "urgent",
                "idempotent": True,
                "methods": ["GET"],
                "deadline_s": 20,
            },
        ],
        "workspaces": [
            {"name": "first", "key_digests": [compute_key_digest(WORKSPACE_KEY)]},
            {"name": "second", "key_digests": [compute_key_digest("test-key-second")]},
        ],
    }
    return document | changes
