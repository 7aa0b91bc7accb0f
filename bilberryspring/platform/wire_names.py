"""Names of the HTTP headers that callers, routers and backend servers exchange."""

__all__ = [
    "ATTEMPT_ID",
    "AUTHORIZATION",
    "COLD_MS",
    "DEADLINE_MS",
    "EXPECT_SERVER",
    "HOP_BY_HOP_HEADERS",
    "LAST_EVENT_ID",
    "LENGTH_HINT",
    "MODEL",
    "NOT_EXECUTED",
    "ROUTER_ONLY_HEADERS",
    "PROMPT_PREFIX",
    "REQUEST_PRIORITY",
    "RESPONSE_SEAL",
    "RETRY_AFTER",
    "SERVER_LEAVING",
    "SERVER_LIMIT",
    "SERVER_LOAD",
    "STORE_EPOCH",
    "TENANT",
    "TOKEN_COUNTS",
]

ATTEMPT_ID = b"attempt-id"
AUTHORIZATION = b"authorization"
# How many milliseconds a server still stays cold, in its responses to health checks.
COLD_MS = b"cold-ms"
DEADLINE_MS = b"deadline-ms"
EXPECT_SERVER = b"expect-replica"
LAST_EVENT_ID = b"last-event-id"
LENGTH_HINT = b"length-hint"
MODEL = b"model"
# A response has this header if the server did not execute the request; its value is
# not used.
NOT_EXECUTED = b"not-executed"
PROMPT_PREFIX = b"prompt-prefix"
# ``1`` in all responses of a server that leaves.
SERVER_LEAVING = b"server-leaving"
# Three integers: running requests, queued requests and request slots.
SERVER_LIMIT = b"server-limit"
SERVER_LOAD = b"replica-load"
# Proof that the server itself produced the response body.
RESPONSE_SEAL = b"response-seal"
RETRY_AFTER = b"retry-after"
# Number of the store's history, which rises by one with each restoration.
STORE_EPOCH = b"store-era"
TENANT = b"tenant"
TOKEN_COUNTS = b"token-counts"
REQUEST_PRIORITY = b"request-priority"

# Hop-by-hop headers, which apply to a single connection (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Headers that only a router may set, or that it does not forward to servers.
ROUTER_ONLY_HEADERS = frozenset(
    {
        AUTHORIZATION,
        DEADLINE_MS,
        EXPECT_SERVER,
        TENANT,
        REQUEST_PRIORITY,
        b"expect-version",
        b"hold",
        b"kv-backup",
        b"kv-fetch",
        b"kv-from",
        b"pin-ms",
    }
)
