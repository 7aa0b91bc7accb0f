"""Checks of a soak run, based on what callers and servers recorded."""

from collections import Counter

from bilberryspring.platform.tests.soak_harness import (
    COLD_PER_S,
    DEADLINE_S,
    EVENTS_PER_STREAM,
    POOLS,
    SoakHarness,
)

__all__ = ["find_violations"]

# Statuses that tell callers that a request was not executed and never will be.
NOT_RUN_STATUSES = (408, 421, 429, 503)
MAX_REMOVAL_DELAY_S = 2.0
# Time within which every router reads a change of the store.
LEARNING_S = 1.0
# Of the 5 s that operators allow.
MAX_EVACUATION_DELAY_S = 3.0
MAX_CONFIGURATION_DELAY_S = 2.0
MAX_OVERDUE_S = 0.7
MAX_STOP_S = 8.0
# Requests that may reach a server between this time after its refusal and the end of
# the time for which it wants none.
MAX_PAUSE_DELAY_S = 0.5
MAX_REQUESTS_IN_PAUSE = 2
# What a server may get in any such window: this multiple of the limit that it states,
# and a few more, from routers that passed on an answer with it this long before.
LIMIT_WINDOW_S = 1.0
LIMIT_FACTOR, LIMIT_ALLOWANCE = 1.5, 5
LIMIT_LEARNING_S = 0.5
# What a cold server may get in any second, as the routers' settings say.
COLD_FACTOR, COLD_ALLOWANCE = 1.5, 5
SETTLE_TIME_S = 5.0
LOAD_FACTOR, LOAD_ALLOWANCE = 2.0, 3
MIN_SERVED_RATIO = 0.95


def overlaps_fault(harness, from_s, to_s, *kinds):
    """Return whether a fault of one of the kinds, or of any kind, overlaps a period."""
    return any(
        (not kinds or injected.kind in kinds)
        and injected.started_s <= to_s
        and injected.finished_s >= from_s
        for injected in harness.injected_faults
    )


def check_responses(harness):
    whole_stream = b"".join(
        b"id: %d\ndata: x\n\n" % (n + 1) for n in range(EVENTS_PER_STREAM)
    )
    for call in harness.calls:
        if call.status == 200 and not call.error:
            expected = whole_stream if call.kind == "drafts" else b"done " + call.body
            if (call.response_body, call.response_id) != (expected, call.request_id):
                yield f"{call.request_id} {call.kind}: got {call.response_body[-60:]!r}"


def check_runs_once(harness):
    counts = Counter(
        arrival.request_id for arrival in harness.arrivals if arrival.kind == "orders"
    )
    for request_id, count in counts.items():
        if count > 1:
            yield f"order {request_id} ran {count} times"


def check_not_run(harness):
    executed_ids = {arrival.request_id for arrival in harness.arrivals}
    for call in harness.calls:
        if call.status in NOT_RUN_STATUSES and call.request_id in executed_ids:
            yield f"{call.request_id} was executed, but its response was {call.status}"


def check_removals(harness):
    for removal in harness.server_removals:
        removed_s = removal.accepted_s
        for arrival in harness.arrivals:
            if (
                arrival.server != removal.server
                or arrival.arrived_s <= removed_s + MAX_REMOVAL_DELAY_S
            ):
                continue
            # A fault excuses a delay until the bound has passed once more after it.
            if overlaps_fault(
                harness,
                arrival.arrived_s - MAX_REMOVAL_DELAY_S,
                arrival.arrived_s,
                "store",
                "freeze",
            ):
                continue
            # A removal that was lost at once is known to no router.
            if overlaps_fault(harness, removed_s, removed_s + LEARNING_S, "restored"):
                continue
            yield f"{arrival} reached a server that was removed at {removed_s:.2f}"


def check_evacuations(harness):
    """Check that nothing arrives in an evacuated zone, also after a restoration."""
    for period in harness.evacuation_periods:
        accepted_s = period.accepted_s
        # An evacuation that was lost at once is known to no router.
        if overlaps_fault(harness, accepted_s, accepted_s + LEARNING_S, "restored"):
            continue
        for arrival in harness.arrivals:
            if (
                harness.servers[arrival.server].zone == period.zone
                and accepted_s + MAX_EVACUATION_DELAY_S
                < arrival.arrived_s
                < period.end_s
                # A fault excuses a delay until the bound has passed once more after it.
                and not overlaps_fault(
                    harness,
                    arrival.arrived_s - MAX_EVACUATION_DELAY_S,
                    arrival.arrived_s,
                    "store",
                    "freeze",
                )
            ):
                yield f"{arrival} reached a server in {period}"


def check_return(harness):
    """Check that servers of a zone get requests again after its evacuation."""
    zones = {
        period.zone
        for period in harness.evacuation_periods
        # A removal that was lost, or whose history is compacted, is known to no router.
        if not overlaps_fault(
            harness, period.end_s, period.end_s + LEARNING_S, "restored"
        )
    }
    # All routes but one always lead to the first pool.
    routed_pools = {POOLS[0], harness.configuration_changes[-1].pool}
    sound = [
        server.server_id
        for server in harness.servers.values()
        if server.zone in zones
        and server.pool in routed_pools
        and not server.is_removed
    ]
    reached = {
        arrival.server
        for arrival in harness.arrivals
        if arrival.arrived_s >= harness.recovered_s
    }
    if sound and not reached & set(sound):
        yield f"no server of the zones {zones} got requests after the faults"


def _find_required_change(harness, sent_s):
    """Return the index of the oldest configuration change allowed for a request."""
    numbers = [0]
    for number, change in enumerate(harness.configuration_changes):
        accepted_s = change.accepted_s
        if accepted_s + MAX_CONFIGURATION_DELAY_S > sent_s:
            continue
        if not overlaps_fault(
            harness,
            sent_s - MAX_CONFIGURATION_DELAY_S,
            sent_s,
            "store",
            "freeze",
            "restored",
        ):
            numbers.append(number)
    return max(numbers)


def check_configuration(harness):
    calls = {call.request_id: call for call in harness.calls}
    applied_by_process = {}
    for arrival in sorted(harness.arrivals, key=lambda arrival: arrival.arrived_s):
        if arrival.kind != "open":
            continue
        call = calls[arrival.request_id]
        applied = applied_by_process.setdefault((call.router, call.generation), [])
        earlier = [number for arrived_s, number in applied if arrived_s < call.sent_s]
        min_change = max([_find_required_change(harness, call.sent_s), *earlier])
        matching = [
            number
            for number, change in enumerate(harness.configuration_changes)
            if number >= min_change
            and change.accepted_s <= arrival.arrived_s
            and change.pool == arrival.pool
        ]
        if matching:
            applied.append((arrival.arrived_s, matching[0]))
        else:
            yield f"{arrival}, sent at {call.sent_s:.2f}, precedes change {min_change}"


def _can_fault_have_broken(harness, call, servers):
    """Return whether a fault of its router or of a server can have broken a call."""
    return any(
        injected.started_s <= call.ended_s
        and injected.finished_s >= call.sent_s
        and (injected.kind == "freeze" or injected.target in servers)
        for injected in harness.injected_faults
    )


def check_stops(harness):
    servers = {}
    for arrival in harness.arrivals:
        servers.setdefault(arrival.request_id, set()).add(arrival.server)
    for stop in harness.router_stops:
        if stop.exit_code != 0 or stop.exited_s - stop.started_s > MAX_STOP_S:
            yield f"{stop} was not graceful or took too long"
        for call in harness.calls:
            is_same_process = (call.router, call.generation) == (
                stop.router,
                stop.generation,
            )
            if not is_same_process or not call.error or call.ended_s <= stop.started_s:
                continue
            if call.request_id not in servers:
                continue
            if not _can_fault_have_broken(harness, call, servers[call.request_id]):
                yield f"{call} was interrupted by {stop}"


def check_pauses(harness):
    """Check that routers leave servers alone that want no requests for a time."""
    calls = {call.request_id: call for call in harness.calls}

    def find_process(request_id):
        return calls[request_id].router, calls[request_id].generation

    reached = [
        (each.server, find_process(each.request_id), each.arrived_s)
        for each in harness.arrivals
    ]
    reached += [
        (each.server, find_process(each.request_id), each.refused_s)
        for each in harness.refusals
    ]
    for refusal in harness.refusals:
        process = find_process(refusal.request_id)
        # A refusal does not arrive over a connection that is cut.
        if overlaps_fault(
            harness, refusal.refused_s - 0.5, refusal.end_s, "freeze", "server"
        ):
            continue
        in_pause = [
            at_s
            for server, sender, at_s in reached
            if (server, sender) == (refusal.server, process)
            and refusal.refused_s + MAX_PAUSE_DELAY_S < at_s < refusal.end_s
        ]
        if len(in_pause) > MAX_REQUESTS_IN_PAUSE:
            yield f"{len(in_pause)} requests of router {process} in {refusal}"


def check_limits(harness):
    """Check that routers together send a server no more than the limit it states."""
    processes = {
        call.request_id: (call.router, call.generation) for call in harness.calls
    }
    ended_s = {call.request_id: call.ended_s for call in harness.calls}
    for period in harness.limit_periods:
        known_s = {}
        for answered_s, request_id in period.answered:
            passed_on_s = max(answered_s, ended_s.get(request_id, answered_s))
            process = processes.get(request_id)
            known_s[process] = min(known_s.get(process, passed_on_s), passed_on_s)
        counted_s = sorted(
            arrival.arrived_s
            for arrival in harness.arrivals
            if arrival.server == period.server
            and arrival.arrived_s < period.end_s
            and arrival.arrived_s
            > known_s.get(processes.get(arrival.request_id), period.end_s)
            + LIMIT_LEARNING_S
            # Answers and messages of routers do not arrive while these are cut off.
            and not overlaps_fault(
                harness,
                arrival.arrived_s - SETTLE_TIME_S,
                arrival.arrived_s,
                "freeze",
                "server",
            )
        )
        allowed = LIMIT_FACTOR * period.rate_per_s * LIMIT_WINDOW_S + LIMIT_ALLOWANCE
        for number, begin_s in enumerate(counted_s):
            window = [
                at_s for at_s in counted_s[number:] if at_s <= begin_s + LIMIT_WINDOW_S
            ]
            if len(window) > allowed:
                yield f"{len(window)} requests in {LIMIT_WINDOW_S} s in {period}"
                break


def check_cold_servers(harness):
    """Check that routers together send a cold server no more than it takes."""
    allowed = COLD_FACTOR * COLD_PER_S + COLD_ALLOWANCE
    for period in harness.cold_periods:
        counted_s = sorted(
            arrival.arrived_s
            for arrival in harness.arrivals
            if arrival.server == period.server
            and period.begin_s + LEARNING_S < arrival.arrived_s < period.end_s
            # A router that did not run has not heard of it when it goes on.
            and not overlaps_fault(
                harness, period.begin_s - LEARNING_S, arrival.arrived_s, "freeze"
            )
        )
        for number, begin_s in enumerate(counted_s):
            window = [at_s for at_s in counted_s[number:] if at_s <= begin_s + 1.0]
            if len(window) > allowed:
                yield f"{len(window)} requests in one second in {period}"
                break


def check_deadlines(harness):
    for call in harness.calls:
        overdue_s = call.ended_s - call.sent_s - DEADLINE_S
        if overdue_s > MAX_OVERDUE_S:
            if not overlaps_fault(harness, call.sent_s, call.ended_s, "freeze"):
                yield f"{call} ended {overdue_s:.2f} s after its deadline"


def check_load_bound(harness):
    settled = [
        arrival
        for arrival in harness.arrivals
        if not overlaps_fault(
            harness, arrival.arrived_s - SETTLE_TIME_S, arrival.arrived_s
        )
        and not any(
            abs(arrival.arrived_s - removal.accepted_s) < SETTLE_TIME_S
            for removal in harness.server_removals
        )
    ]
    overloaded = [
        arrival
        for arrival in settled
        if arrival.running_requests
        > LOAD_FACTOR * arrival.mean_running_requests + LOAD_ALLOWANCE
    ]
    if len(overloaded) > max(20, 0.03 * len(settled)):
        yield (
            f"{len(overloaded)} of {len(settled)} arrivals exceeded the load bound,"
            f" the first: {overloaded[0]}, the last: {overloaded[-1]}"
        )


def check_recovery(harness):
    late_calls = [call for call in harness.calls if call.sent_s >= harness.recovered_s]
    served = [call for call in late_calls if call.status == 200 and not call.error]
    if not late_calls or len(served) < MIN_SERVED_RATIO * len(late_calls):
        yield f"{len(served)} of {len(late_calls)} calls were served after the faults"


def check_rest(harness: SoakHarness) -> list[str]:
    """A router holds nothing for requests that have ended."""
    return [
        f"router {number} holds {each}"
        for number, unrest in enumerate(harness.unrest)
        for each in unrest
    ]


CHECKS = (
    check_responses,
    check_runs_once,
    check_not_run,
    check_removals,
    check_evacuations,
    check_return,
    check_configuration,
    check_stops,
    check_pauses,
    check_limits,
    check_cold_servers,
    check_deadlines,
    check_load_bound,
    check_recovery,
    check_rest,
)


def find_violations(harness: SoakHarness) -> list[str]:
    """Return a description of each violated check.

    :param harness: harness after its run.
    """
    return [violation for check in CHECKS for violation in check(harness)]
