"""Registry of all log events and how each is rate-limited."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["EventClass", "Event", "EVENTS"]


class EventClass(Enum):
    """Subject of a log line, which decides whether the line may be dropped."""

    STATE = "state"
    """The process, or its view of the fleet and its dependencies; no rate limit."""
    FAILED = "failed"
    """A request that was refused, failed or has an unknown outcome; rate-limited."""
    ROUTINE = "routine"
    """A request without an error so far; rate-limited, sampled above the limit."""


@dataclass(frozen=True, slots=True)
class Event:
    """Log event.

    :param event_class: class that decides how the event is rate-limited.
    :param description: one-line explanation for operators.
    """

    event_class: EventClass
    description: str


_STATE, _FAILED, _ROUTINE = EventClass.STATE, EventClass.FAILED, EventClass.ROUTINE

EVENTS: dict[str, Event] = {
    # Process
    "started": Event(_STATE, "the process has loaded its settings and is starting"),
    "ready": Event(_STATE, "the process is serving"),
    "reloaded": Event(_STATE, "the settings were reloaded and are in force"),
    "start_failed": Event(_STATE, "the process failed to start"),
    "draining": Event(_STATE, "the process got a stop signal and drains"),
    "drain_requested": Event(_STATE, "an operator requested a drain via this router"),
    "drain_ordered": Event(_STATE, "the process was ordered to drain"),
    "listed_as_leaving": Event(_STATE, "this instance is listed as leaving"),
    "stopped": Event(_STATE, "the process has shut down cleanly"),
    "task_failed": Event(_STATE, "an exception ended a background task"),
    "handler_failed": Event(_STATE, "an exception ended an HTTP request handler"),
    "call_failed": Event(_STATE, "a call to or from another process failed"),
    "event_loop_stalled": Event(_STATE, "the event loop stood still for some time"),
    "lines_left_out": Event(_STATE, "number of dropped log lines, by event"),
    # Membership, connections and dependencies
    "dependency_lost": Event(_STATE, "a dependency is no longer reachable"),
    "version_restored": Event(
        _STATE, "a version that the key-value service had lost was written again"
    ),
    "key_value_restored": Event(
        _STATE, "the key-value service was restored from a copy"
    ),
    "store_restored": Event(_STATE, "the store was restored from a copy"),
    "store_outage_ended": Event(_STATE, "entries may have lapsed in an outage"),
    "dependency_regained": Event(_STATE, "a dependency is reachable again"),
    "instance_list_disputed": Event(_STATE, "a peer has a conflicting instance list"),
    "instance_list_task_failed": Event(_STATE, "an exception in list following"),
    "instance_suspected": Event(_STATE, "a suspected instance gets no new work"),
    "link_broken": Event(_STATE, "a connection to another process failed"),
    "link_silent": Event(_STATE, "a connection was closed after a ping timeout"),
    "idle_link_silent": Event(_STATE, "an idle connection failed its check"),
    "bad_frame": Event(_STATE, "a frame or datagram could not be decoded"),
    "value_unreadable": Event(_STATE, "a received value could not be decoded"),
    "unexpected_frame": Event(_STATE, "a frame of an unexpected type was ignored"),
    "handshake_failed": Event(_STATE, "the handshake with a peer failed"),
    "peer_rejected": Event(_STATE, "an incoming connection failed authentication"),
    "backend_state": Event(_STATE, "the state of a backend server changed"),
    "server_paused": Event(_STATE, "a server wants no requests for some time"),
    "server_limit": Event(_STATE, "a server's limit began, changed or ended"),
    "zone_evacuated": Event(_STATE, "an availability zone gets nothing new"),
    "zone_returned": Event(_STATE, "the evacuation of an availability zone ended"),
    "zone_evacuation_lost": Event(
        _STATE, "a restored store does not list an evacuation that is in force"
    ),
    "server_cold": Event(_STATE, "a server is cold and takes requests at a rate"),
    "server_warm": Event(_STATE, "a cold server is warm again"),
    "cold_figures_odd": Event(_STATE, "figures of cold servers are odd"),
    "credit_votes_missing": Event(
        _STATE, "most routers do not let this one give credit"
    ),
    "credit_keeper_silent": Event(_STATE, "a router did not answer a credit question"),
    "credit_keeper_down": Event(_STATE, "a router that gives credit is down"),
    "engine_version_seen": Event(_STATE, "a version of the engine was detected"),
    "engine_version_changed": Event(_STATE, "the engine now runs another version"),
    "crash_recorded": Event(_STATE, "a request content crashed a backend server"),
    "cost_error": Event(_ROUTINE, "how far nine of ten predicted costs are off"),
    "request_deferred": Event(_ROUTINE, "a request waited for the end of a burst"),
    "server_crashed": Event(_STATE, "a server crashed before answering a request"),
    "content_quarantined": Event(_STATE, "requests with a content are refused"),
    "content_released": Event(_STATE, "requests with a content are served again"),
    "content_tested": Event(_STATE, "one request with a quarantined content is sent"),
    "order_sent": Event(_STATE, "an operator's order was sent to the engine"),
    "cache_moved": Event(_ROUTINE, "a KV cache was copied from another agent"),
    "cache_move_failed": Event(_STATE, "copying a KV cache failed"),
    # Configuration
    "configuration_published": Event(_STATE, "a published version was accepted"),
    "configuration_adopted": Event(_STATE, "a version is now in force in this process"),
    "announcement_refused": Event(_STATE, "an announced version could not be decoded"),
    "update_refused": Event(_STATE, "an entry of the store was invalid"),
    "watch_failed": Event(_STATE, "an exception in the configuration watch"),
    "configuration_task_failed": Event(_STATE, "an exception in announcing a version"),
    # Claims
    "claim_refused": Event(_FAILED, "a claim failed at the key-value service"),
    "claims_restored": Event(
        _STATE, "the claims of sent requests are written to a restored store again"
    ),
    "claims_left": Event(_STATE, "claim results were not written before shutdown"),
    "claims_swept": Event(_STATE, "expired claims were deleted"),
    # Requests
    "try_started": Event(_ROUTINE, "a router sends a request to an agent"),
    "try_failed": Event(_FAILED, "an attempt to get an answer failed"),
    "request_admitted": Event(_ROUTINE, "an agent accepts a request to queue or run"),
    "request_refused": Event(_FAILED, "an agent refuses a request"),
    "request_sent": Event(_ROUTINE, "a request is sent to a backend server"),
    "request_ended": Event(_ROUTINE, "an agent has finished a request"),
    "response_given_up": Event(_FAILED, "bytes of a response exceeded a bound"),
    "request_answered": Event(_ROUTINE, "a router has finished a request"),
    "request_failed": Event(_FAILED, "an exception ended a request"),
    "requests_unanswered": Event(_FAILED, "a connection ended with requests open"),
    "request_unreadable": Event(_FAILED, "a caller's request could not be read"),
    "caller_disconnected": Event(_ROUTINE, "a caller left with requests open"),
    "idle_caller_closed": Event(_ROUTINE, "an idle connection of a caller was closed"),
    "callers_ended": Event(_FAILED, "callers' connections were ended for want of room"),
    "callers_refused": Event(_FAILED, "no new connection of a caller found room"),
    "request_abandoned": Event(_FAILED, "no router waits for a request any longer"),
    "engine_stream_silent": Event(_FAILED, "a silent engine stream was abandoned"),
    "service_call_silent": Event(_FAILED, "a silent service call gets a second try"),
    # Development
    "standin_started": Event(_STATE, "a stand-in is serving"),
    "standin_stopped": Event(_STATE, "a stand-in has stopped"),
}
