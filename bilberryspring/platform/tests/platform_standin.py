"""Stand-ins for the platform's metadata store and a backend server."""

import asyncio
import base64
import itertools
import json
from dataclasses import dataclass

from aiohttp import web

CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "orders",
            "host": "a.example",
            "prefix": "/orders/",
            "kind": "unsafe",
            "timeoutMs": 1500,
            "goalMs": 400,
            "priority": 2,
            "service": "desk",
            "attempts": 1,
        },
        {
            "name": "drafts",
            "host": "a.example",
            "prefix": "/drafts/",
            "kind": "streaming",
            "timeoutMs": 4000,
            "goalMs": 400,
            "gapGoalMs": 300,
            "priority": 0,
            "split": [{"service": "desk", "weight": 1}],
            "attempts": 2,
            "resumable": True,
        },
        {
            "name": "open",
            "host": "a.example",
            "prefix": "/open/",
            "kind": "safe",
            "service": "desk",
            "attempts": 2,
            "public": True,
        },
    ],
    "services": [{"name": "desk", "healthPath": "/health", "maxConns": 10}],
    "limits": {
        "maxHeaderBytes": 4096,
        "maxBodyBytes": 100_000,
        "headerTimeoutMs": 2000,
        "idleTimeoutMs": 5000,
    },
    "tenants": [{"name": "ward", "apiKeys": ["k1", "k2"], "priority": 1}],
}


FIRST_LEASE_ID = 7


@dataclass(frozen=True)
class StoreCopy:
    """What a store contained at one moment."""

    items: dict
    events: list
    revision: int
    leases: dict


class StoreStandin:
    """An in-memory metadata store that can be restored from a copy of itself.

    :ivar fault: called with each request; a response that it returns is sent instead of
        the store's own, and after ``"silent"`` the request gets no response.
    :ivar called_paths: path of each request.
    :ivar oldest_revision: oldest revision from which a watch is possible.
    :ivar epoch: number of the history, stated in each response; ``None`` to state none.
    :ivar refuses_later_revisions: whether a watch from a revision that does not exist
        yet is refused.
    :ivar response_delay_s: delay in seconds before each call is handled.
    :ivar leases: keys that are attached to each lease, by its id.
    """

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1
        self.fault = lambda request: None
        self.response_delay_s = 0.0
        self.called_paths = []
        self.oldest_revision = 0
        self.epoch = 1
        self.refuses_later_revisions = True
        self.leases = {}
        self._changed = asyncio.Condition()
        self._runner = None
        self.address = ""

    async def start(self):
        app = web.Application(middlewares=[self._inject_fault])
        app.router.add_get("/kv-key", self._handle_read)
        app.router.add_get("/kv-range", self._handle_list)
        app.router.add_get("/kv-watch", self._handle_watch)
        app.router.add_post("/kv-txn", self._handle_commit)
        app.router.add_post("/kv-lease", self._handle_lease_grant)
        app.router.add_post("/kv-keep/{id}", self._handle_lease_call)
        app.router.add_delete("/kv-lease-end/{id}", self._handle_lease_call)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def close(self):
        await self._runner.cleanup()

    def copy(self):
        leases = {lease_id: set(keys) for lease_id, keys in self.leases.items()}
        return StoreCopy(dict(self.items), list(self.events), self.revision, leases)

    async def restore(self, copy):
        """Go back to a copy: later writes and leases are gone, their numbers free."""
        async with self._changed:
            self.items, self.events = dict(copy.items), list(copy.events)
            self.revision = copy.revision
            self.leases = {each: set(keys) for each, keys in copy.leases.items()}
            self.epoch += 1
            self._changed.notify_all()

    async def put(self, key, value, lease_id=0):
        if value is not None and not isinstance(value, bytes):
            value = json.dumps(value).encode()
        async with self._changed:
            self.revision += 1
            for keys in self.leases.values():
                keys.discard(key)
            if lease_id:
                self.leases[lease_id].add(key)
            if value is None:
                self.items.pop(key, None)
                event = {"key": key, "revision": self.revision, "tombstone": True}
            else:
                event = {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "revision": self.revision,
                    "created": self.revision,
                    "lease": lease_id,
                }
                self.items[key] = event
            self.events.append(event)
            self._changed.notify_all()

    @web.middleware
    async def _inject_fault(self, request, handler):
        self.called_paths.append(request.path)
        injected = self.fault(request)
        await asyncio.sleep(self.response_delay_s)
        if injected == "silent":
            await asyncio.sleep(60)
        response = await handler(request) if injected is None else injected
        if self.epoch is not None:
            response.headers["Store-Era"] = str(self.epoch)
        return response

    async def _handle_read(self, request):
        item = self.items.get(request.query["key"])
        if item is None:
            return web.Response(status=404)
        return web.json_response({**item, "currentRev": self.revision})

    async def _handle_list(self, request):
        keys = sorted(k for k in self.items if k.startswith(request.query["prefix"]))
        after = request.query.get("sinceRev", "")
        keys = [key for key in keys if key > after]
        return web.json_response(
            {
                "items": [self.items[key] for key in keys[:2]],
                "truncated": len(keys) > 2,
                "currentRev": self.revision,
            }
        )

    async def _handle_watch(self, request):
        since = int(request.query["sinceRev"])
        prefix = request.query["prefix"]
        if since < self.oldest_revision or (
            since > self.revision and self.refuses_later_revisions
        ):
            return web.Response(status=410)
        epoch = self.epoch

        def find_events():
            return [
                event
                for event in self.events
                if event["revision"] > since and event["key"].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(int(request.query["waitMs"]) / 1000):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: find_events() or self.epoch != epoch
                    )
        except TimeoutError:
            pass
        if self.epoch != epoch:
            request.transport.abort()
        return web.json_response({"events": find_events(), "currentRev": self.revision})

    async def _handle_commit(self, request):
        transaction = await request.json()
        for condition in transaction["expectedRev"]:
            item = self.items.get(condition["key"])
            if (item["revision"] if item else 0) != condition["revision"]:
                return web.json_response({"items": []}, status=412)
        if any(
            write["lease"] and write["lease"] not in self.leases
            for write in transaction["writes"]
        ):
            return web.Response(status=404)
        for write in transaction["writes"]:
            await self.put(
                write["key"], base64.b64decode(write["value"]), write["lease"]
            )
        for key in transaction["remove"]:
            await self.put(key, None)
        return web.json_response({"revision": self.revision})

    async def _handle_lease_grant(self, request):
        lease_id = next(
            each for each in itertools.count(FIRST_LEASE_ID) if each not in self.leases
        )
        self.leases[lease_id] = set()
        ttl_ms = (await request.json())["ttlMs"]
        return web.json_response({"lease": lease_id, "ttlMs": ttl_ms})

    async def _handle_lease_call(self, request):
        lease_id = int(request.match_info["id"])
        if lease_id not in self.leases:
            return web.Response(status=404)
        if request.method == "DELETE":
            for key in self.leases.pop(lease_id):
                await self.put(key, None)
        return web.json_response({"ttlMs": 1000})


def list_events(request, event_count):
    """Return the events of a stream, from the one at which the request resumes it."""
    first = int(request.headers.get("Last-Event-Id", "0")) + 1
    return [b"id: %d\ndata: x\n\n" % number for number in range(first, event_count + 1)]


class ServerStandin:
    """A backend server that records the requests it executes.

    :param server_id: id of the server.
    :param event_count: number of events in a stream.
    :param delay_s: delay in seconds before each response or event.
    :ivar refusal_headers: headers of the refusal that each request gets, such as the
        time for which the server wants none; ``None`` to execute requests.
    :ivar refusal_status: status of these refusals.
    :ivar limit: limit in requests per second that each answer names, as text; ``None``
        to name none.
    :ivar large_body: body of the responses to requests below ``/books/``.
    :ivar refused_at_s: loop times of the refusals.
    :ivar executed_at_s: loop times at which the executed requests arrived.
    """

    def __init__(self, server_id="s1", event_count=3, delay_s=0.0):
        self.server_id = server_id
        self.event_count = event_count
        self.delay_s = delay_s
        self.executed = []
        self.executed_at_s = []
        self.refusal_headers = None
        self.refusal_status = 503
        self.limit = None
        self.large_body = b""
        self.refused_at_s = []
        self._runner = None
        self.port = 9  # until it is started

    async def start(self):
        app = web.Application(client_max_size=10_000_000)
        app.router.add_route("*", "/{path:.*}", self._handle_request)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def close(self):
        await self._runner.cleanup()

    def make_entry(self, **changes):
        entry = {
            "service": "desk",
            "address": f"127.0.0.1:{self.port}",
            "zone": "z",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "seq": 1,
            "born": 1_700_000_000_000,
        }
        return {**entry, **changes}

    def state_load(self):
        return "1,0,8"

    def make_limit_headers(self, request_id):
        return {} if self.limit is None else {"Server-Limit": self.limit}

    async def _handle_request(self, request):
        if request.headers["Expect-Replica"] != self.server_id:
            request_id = request.headers["Attempt-Id"]
            return web.Response(status=421, headers={"Attempt-Id": request_id})
        body = await request.read()
        now_s = asyncio.get_running_loop().time()
        if self.refusal_headers is not None:
            self.refused_at_s.append(now_s)
            return web.Response(
                status=self.refusal_status,
                headers={
                    "Attempt-Id": request.headers["Attempt-Id"],
                    "Not-Executed": "1",
                    **self.refusal_headers,
                    **self.make_limit_headers(request.headers["Attempt-Id"]),
                },
            )
        self.executed.append((request, body))
        self.executed_at_s.append(now_s)
        headers = {
            "Attempt-Id": request.headers["Attempt-Id"],
            "Response-Seal": "seal",
            "Replica-Load": self.state_load(),
        }
        if not request.path.startswith("/drafts/"):
            await asyncio.sleep(self.delay_s)
            headers.update(self.make_limit_headers(headers["Attempt-Id"]))
            if request.path.startswith("/books/"):
                return web.Response(body=self.large_body, headers=headers)
            return web.Response(body=b"done " + body, headers=headers)
        headers.update(self.make_limit_headers(headers["Attempt-Id"]))
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        for event in list_events(request, self.event_count):
            await asyncio.sleep(self.delay_s)
            await response.write(event)
        await response.write_eof()
        return response
