"""What a router believes of the servers that get no new request."""

import random

from bilberryspring.capability.routing import IncomingRequest
from bilberryspring.identifiers import PoolName
from bilberryspring.policy.server_eligibility import (
    Belief,
    Exclusion,
    ServerView,
    compute_evacuation_retry_s,
    find_exclusion,
)
from bilberryspring.process.server_table import ServerRecord, ServerTable
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = ["list_allowed", "make_no_server_refusal", "view_server"]

# Upper bound of the random factor on the time after which refused callers return.
RETRY_AFTER_SPREAD = 1.5


def view_server(
    record: ServerRecord, servers: ServerTable, request: IncomingRequest | None = None
) -> ServerView:
    """Return what is believed of a server.

    :param record: the server's record.
    :param servers: table that holds it.
    :param request: request that needs a server; ``None`` for any.
    """
    beliefs = {}
    server = record.server
    if not server.is_ready:
        beliefs[Exclusion.LEAVING] = servers.leavings.describe(server.server_id)
    evacuation = servers.evacuations.describe(server.availability_zone)
    if evacuation is not None:
        beliefs[Exclusion.EVACUATED] = evacuation
    if request is not None and not request.allows_region(server.region):
        beliefs[Exclusion.REGION] = "the configuration", 0.0
    return ServerView(
        server.server_id,
        {reason: Belief(*each) for reason, each in beliefs.items()},
    )


def list_allowed(
    records: list[ServerRecord], request: IncomingRequest
) -> list[ServerRecord]:
    """Return the servers of regions in which a request may run.

    :param records: records of servers.
    :param request: the request.
    """
    if not request.is_bound_to_regions:
        return records
    return [each for each in records if request.allows_region(each.server.region)]


def make_no_server_refusal(
    servers: ServerTable, pool: PoolName, request: IncomingRequest, retry_after_s: float
) -> Failure:
    """Refuse a request for which no server of its pool is left.

    While all servers that don't leave are in evacuated zones, the caller is asked to
    stay away for longer the longer that has lasted.

    :param servers: table of the servers.
    :param pool: name of the pool.
    :param request: the request.
    :param retry_after_s: when the caller may come back otherwise.
    """
    ready = servers.list_ready(pool)
    reason = f"pool {pool} has {len(ready)} servers, none is left to try"
    findings = [
        find_exclusion(view_server(record, servers, request))
        for record in servers.list_all(pool)
    ]
    excluded = [
        finding
        for finding in findings
        if finding is not None
        and finding.exclusion in (Exclusion.EVACUATED, Exclusion.REGION)
    ]
    if excluded:
        reason += f"; {len(excluded)} are excluded: {excluded[0].reason}"
    are_evacuated = any(each.exclusion is Exclusion.EVACUATED for each in excluded)
    if are_evacuated and not list_allowed(ready, request):
        retry_after_s = compute_evacuation_retry_s(
            servers.evacuations.compute_age_s()
        ) * random.uniform(1.0, RETRY_AFTER_SPREAD)
    return make_failure(ErrorKind.NO_INSTANCE, reason, retry_after_s=retry_after_s)
