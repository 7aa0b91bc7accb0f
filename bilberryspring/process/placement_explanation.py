"""Explanation of where a chat completion request would be placed, for operators."""

import json
from dataclasses import dataclass
from typing import Any

from bilberryspring.policy.placement import rank_own_region_first
from bilberryspring.request.caller_requests import CallerRequest, resolve_chat
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = ["PlacementExplanation", "Candidate", "explain_placement"]


@dataclass(frozen=True, slots=True)
class Candidate:
    """Instance that a request may be sent to.

    :param instance_id: id of the instance.
    :param availability_zone: zone that it runs in.
    """

    instance_id: str
    availability_zone: str


@dataclass(frozen=True, slots=True)
class PlacementExplanation:
    """Placement of a chat completion request and the inputs that decide it.

    :param configuration_version: configuration version used.
    :param route: name of the route that the request takes.
    :param pool: backend server pool of the route.
    :param work_rank: work rank of the request.
    :param chat_key: key that the placement policy hashes.
    :param policy: placement policy of the pool, or of the router if the pool sets none.
    :param candidates: usable instances in the order in which they are tried.
    :param excluded: ids of the pool's listed instances that are leaving or suspected.
    """

    configuration_version: int
    route: str
    pool: str
    work_rank: str
    chat_key: str
    policy: str
    candidates: tuple[Candidate, ...]
    excluded: tuple[str, ...]


def explain_placement(
    process: Any, workspace_name: str, chat: object, headers: dict[str, str]
) -> PlacementExplanation | Failure:
    """Resolve a chat completion request and rank the instances for it.

    The loads of the instances are not considered.

    :param process: the router process.
    :param workspace_name: workspace that the request would come from.
    :param chat: request body as parsed JSON.
    :param headers: request headers by lower-case name, such as ``x-chat-key``.
    :returns: the explanation, or the failure that the caller would get.
    """
    index = process.holder.index
    if index is None:
        return make_failure(ErrorKind.CONFIGURATION_UNAVAILABLE)
    workspace = index.workspaces.get(workspace_name)
    if workspace is None:
        reason = f"workspace: unknown workspace {workspace_name!r}"
        return make_failure(ErrorKind.MALFORMED_REQUEST, reason)
    body = json.dumps(chat).encode()
    resolved = resolve_chat(
        index,
        workspace,
        CallerRequest("POST", "/v1/chat/completions", "", headers, body),
    )
    if isinstance(resolved, Failure):
        return resolved
    open_message = resolved.open_message
    policy = index.pools[open_message.pool].placement_policy
    policy = policy or process.settings.placement_policy
    usable_instances = process.members.instances(open_message.pool)
    ranked = rank_own_region_first(
        policy, open_message.chat_key, usable_instances, {}, process.settings.region
    )
    usable_ids = {instance.instance_id for instance in usable_instances}
    excluded = [
        node.instance_id
        for node in process.members.all_nodes()
        if node.pool == open_message.pool and node.instance_id not in usable_ids
    ]
    return PlacementExplanation(
        configuration_version=process.holder.version,
        route=open_message.route,
        pool=open_message.pool,
        work_rank=open_message.rank,
        chat_key=open_message.chat_key,
        policy=policy,
        candidates=tuple(
            Candidate(node.instance_id, node.availability_zone) for node in ranked
        ),
        excluded=tuple(excluded),
    )
