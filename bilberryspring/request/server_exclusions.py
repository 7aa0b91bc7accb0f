"""What a router believes of the servers that get no new request."""

import random

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

__all__ = ["make_no_server_refusal", "view_server"]

# Upper bound of the random factor on the time after which refused callers return.
RETRY_AFTER_SPREAD = 1.5


def view_server(record: ServerRecord, servers: ServerTable) -> ServerView:
    """Return what is believed of a server for any request.

    :param record: the server's record.
    :param servers: table that holds it.
    """
    beliefs = {}
    server = record.server
    if not server.is_ready:
        beliefs[Exclusion.LEAVING] = servers.leavings.describe(server.server_id)
    evacuation = servers.evacuations.describe(server.availability_zone)
    if evacuation is not None:
        beliefs[Exclusion.EVACUATED] = evacuation
    return ServerView(
        server.server_id,
        {reason: Belief(*each) for reason, each in beliefs.items()},
    )


def make_no_server_refusal(
    servers: ServerTable, pool: PoolName, retry_after_s: float
) -> Failure:
    """Refuse a request for which no server of its pool is left.

    While all servers that don't leave are in evacuated zones, the caller is asked to
    stay away for longer the longer that has lasted.

    :param servers: table of the servers.
    :param pool: name of the pool.
    :param retry_after_s: when the caller may come back otherwise.
    """
    ready = servers.list_ready(pool)
    reason = f"pool {pool} has {len(ready)} servers, none is left to try"
    findings = [
        find_exclusion(view_server(record, servers))
        for record in servers.list_all(pool)
    ]
    evacuated = [
        finding
        for finding in findings
        if finding is not None and finding.exclusion is Exclusion.EVACUATED
    ]
    if evacuated:
        reason += f"; {len(evacuated)} are excluded: {evacuated[0].reason}"
    if evacuated and not ready:
        retry_after_s = compute_evacuation_retry_s(
            servers.evacuations.compute_age_s()
        ) * random.uniform(1.0, RETRY_AFTER_SPREAD)
    return make_failure(ErrorKind.NO_INSTANCE, reason, retry_after_s=retry_after_s)
