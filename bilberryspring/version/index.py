"""Look-up tables for the objects of one configuration version."""

import hashlib
from dataclasses import dataclass

from bilberryspring.version.objects import (
    Adapter,
    Configuration,
    Model,
    Pool,
    Route,
    WorkRank,
    Workspace,
)

__all__ = ["ConfigurationIndex", "make_index", "digest_key"]


def digest_key(key: str) -> str:
    """Return the digest under which a workspace or operator key is stored.

    :param key: the key as the caller sends it.
    :returns: SHA-256 as 64 hexadecimal digits.

    >>> digest_key("test-key")[:16]
    '62af8704764faf8e'
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


@dataclass(frozen=True, slots=True)
class ConfigurationIndex:
    """Look-up tables for the objects of one configuration version.

    :param pools: pools by name.
    :param models: models by name.
    :param adapters: adapters by name.
    :param workspaces: workspaces by name.
    :param work_ranks: work ranks by name.
    :param routes: routes by name.
    :param ranks_by_order: work ranks, the most urgent first.
    :param workspaces_by_digest: workspaces by the digest of each of their keys.
    """

    pools: dict[str, Pool]
    models: dict[str, Model]
    adapters: dict[str, Adapter]
    workspaces: dict[str, Workspace]
    work_ranks: dict[str, WorkRank]
    routes: dict[str, Route]
    ranks_by_order: list[WorkRank]
    workspaces_by_digest: dict[str, Workspace]

    def workspace_by_key(self, key: str) -> Workspace | None:
        """Return the workspace that a key belongs to.

        The look-up uses the digest, so its duration reveals nothing about the keys.

        :param key: the key as the caller sends it.
        :returns: the workspace, or ``None`` if the key is unknown.
        """
        return self.workspaces_by_digest.get(digest_key(key))


def make_index(configuration: Configuration) -> ConfigurationIndex:
    """Build the look-up tables of a configuration.

    :param configuration: a validated configuration, without duplicate names.

    >>> make_index(Configuration()).workspace_by_key("test-key") is None
    True
    """
    return ConfigurationIndex(
        pools={pool.name: pool for pool in configuration.pools},
        models={model.name: model for model in configuration.models},
        adapters={adapter.name: adapter for adapter in configuration.adapters},
        workspaces={item.name: item for item in configuration.workspaces},
        work_ranks={rank.name: rank for rank in configuration.work_ranks},
        routes={route.name: route for route in configuration.routes},
        ranks_by_order=sorted(configuration.work_ranks, key=lambda rank: rank.order),
        workspaces_by_digest={
            digest: workspace
            for workspace in configuration.workspaces
            for digest in workspace.key_digests
        },
    )
