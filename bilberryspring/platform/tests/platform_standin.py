"""Stand-ins for the platform's store and for a server, for tests of the adapter."""

import asyncio
import base64
import json

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


class StoreStandin:
    """The metadata store, kept in memory.

    :param fault: called with each request; what it returns is answered instead, and
        ``"silent"`` means that nothing is.
    """

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1
        self.fault = lambda request: None
        self.calls = []
        self.oldest = 0
        self._changed = asyncio.Condition()
        self._runner = None
        self.address = ""

    async def start(self):
        app = web.Application(middlewares=[self._disturb])
        app.router.add_get("/kv-key", self._read)
        app.router.add_get("/kv-range", self._list)
        app.router.add_get("/kv-watch", self._watch)
        app.router.add_post("/kv-txn", self._commit)
        app.router.add_post("/kv-lease", self._grant)
        app.router.add_post("/kv-keep/{id}", self._keep)
        app.router.add_delete("/kv-lease-end/{id}", self._keep)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def close(self):
        await self._runner.cleanup()

    async def put(self, key, value):
        if value is not None and not isinstance(value, bytes):
            value = json.dumps(value).encode()
        async with self._changed:
            self.revision += 1
            if value is None:
                self.items.pop(key, None)
                event = {"key": key, "revision": self.revision, "tombstone": True}
            else:
                event = {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "revision": self.revision,
                    "created": self.revision,
                    "lease": 0,
                }
                self.items[key] = event
            self.events.append(event)
            self._changed.notify_all()

    @web.middleware
    async def _disturb(self, request, handler):
        self.calls.append(request.path)
        found = self.fault(request)
        if found == "silent":
            await asyncio.sleep(60)
        if found is not None:
            return found
        return await handler(request)

    async def _read(self, request):
        item = self.items.get(request.query["key"])
        if item is None:
            return web.Response(status=404)
        return web.json_response({**item, "currentRev": self.revision})

    async def _list(self, request):
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

    async def _watch(self, request):
        since = int(request.query["sinceRev"])
        prefix = request.query["prefix"]
        if since < self.oldest:
            return web.Response(status=410)

        def find():
            return [
                event
                for event in self.events
                if event["revision"] > since and event["key"].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(int(request.query["waitMs"]) / 1000):
                async with self._changed:
                    await self._changed.wait_for(find)
        except TimeoutError:
            pass
        return web.json_response({"events": find(), "currentRev": self.revision})

    async def _commit(self, request):
        document = await request.json()
        for each in document["expectedRev"]:
            item = self.items.get(each["key"])
            if (item["revision"] if item else 0) != each["revision"]:
                return web.json_response({"items": []}, status=412)
        for each in document["writes"]:
            await self.put(each["key"], base64.b64decode(each["value"]))
        for key in document["remove"]:
            await self.put(key, None)
        return web.json_response({"revision": self.revision})

    async def _grant(self, request):
        return web.json_response({"lease": 7, "ttlMs": (await request.json())["ttlMs"]})

    async def _keep(self, request):
        if request.match_info["id"] != "7":
            return web.Response(status=404)
        return web.json_response({"ttlMs": 1000})


class ServerStandin:
    """One server; it journals what it runs."""

    def __init__(self, server_id="s1", events=3, pause_s=0.0):
        self.server_id = server_id
        self.events = events
        self.pause_s = pause_s
        self.journal = []
        self._runner = None
        self.port = 0

    async def start(self):
        app = web.Application(client_max_size=10_000_000)
        app.router.add_route("*", "/{path:.*}", self._run)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def close(self):
        await self._runner.cleanup()

    def describe(self, **changes):
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

    async def _run(self, request):
        if request.headers["Expect-Replica"] != self.server_id:
            return web.Response(status=421)
        body = await request.read()
        self.journal.append((request, body))
        headers = {
            "Attempt-Id": request.headers["Attempt-Id"],
            "Response-Seal": "seal",
            "Replica-Load": "1,0,8",
        }
        if not request.path.startswith("/drafts/"):
            await asyncio.sleep(self.pause_s)
            return web.Response(body=b"done " + body, headers=headers)
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.pause_s)
            await response.write(b"id: %d\ndata: x\n\n" % number)
        await response.write_eof()
        return response
