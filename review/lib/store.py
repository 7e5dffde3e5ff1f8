"""A stand-in for the platform's metadata store, as PROTOCOL.md describes it:
items, revisions, transactions, leases and watches. It loses nothing, is never
down and answers at once."""

import asyncio
import base64
import json
import time
import urllib.parse

import http_io

HISTORY_LIMIT = 20000
PAGE_ITEMS = 500
SWEEP_S = 0.02


class Store:
    def __init__(self):
        self.items = {}
        self.revision = 1
        self.history = []
        self.compacted = 0
        self.leases = {}  # id: [seconds, expiry]
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.listener = http_io.Listener(self.handle)

    async def start(self):
        await self.listener.start()
        self.sweeper = asyncio.create_task(self.sweep())

    @property
    def port(self):
        return self.listener.port

    # Writes of the operator and of servers.

    def put(self, key, value, lease=0):
        self.revision += 1
        self.write(key, base64.b64encode(value.encode()).decode(), lease)
        self.wake()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            self.erase(key)
            self.wake()

    def write(self, key, value, lease):
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": value, "revision": self.revision,
                "created": created, "lease": lease}
        self.items[key] = item
        self.history.append(item)

    def erase(self, key):
        del self.items[key]
        self.history.append(
            {"key": key, "revision": self.revision, "removed": True})

    def wake(self):
        if len(self.history) > HISTORY_LIMIT:
            self.compacted = self.history[HISTORY_LIMIT // 2]["revision"]
            del self.history[:HISTORY_LIMIT // 2 + 1]
        self.changed.set()
        self.changed = asyncio.Event()

    async def sweep(self):
        while True:
            await asyncio.sleep(SWEEP_S)
            now = time.monotonic()
            for lease, (_, expiry) in list(self.leases.items()):
                if expiry <= now:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items()
                    if item["lease"] == lease]:
            self.remove(key)

    # Calls.

    async def handle(self, request, writer):
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        status, body = await self.answer(url.path, query, request)
        writer.write(http_io.head(
            f"{status} Answer",
            {"Content-Type": "application/json", "Store-Era": "1"},
            json.dumps(body).encode()))
        await writer.drain()
        return True

    async def answer(self, path, query, request):
        body = json.loads(request.body) if request.body else {}
        if path == "/-/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, {**item, "asOf": self.revision}) if item else (404, {})
        if path == "/-/kv-range":
            return self.read_range(query)
        if path == "/-/kv-watch":
            return await self.watch(query)
        if path == "/-/kv-txn":
            return self.transact(body)
        if path == "/-/kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            seconds = body["ttlMs"] / 1000
            self.leases[lease] = [seconds, time.monotonic() + seconds]
            return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
        if path.startswith("/-/kv-keep/"):
            known = self.leases.get(int(path.rsplit("/", 1)[1]))
            if known is None:
                return 404, {}
            known[1] = time.monotonic() + known[0]
            return 200, {"ttlMs": int(known[0] * 1000)}
        if path.startswith("/-/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 400, {}

    def read_range(self, query):
        keys = sorted(key for key in self.items
                      if key.startswith(query.get("pathPrefix", ""))
                      and key > query.get("after", ""))
        return 200, {"items": [self.items[key] for key in keys[:PAGE_ITEMS]],
                     "hasMore": len(keys) > PAGE_ITEMS, "asOf": self.revision}

    async def watch(self, query):
        after = int(query.get("after", 0))
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        if after < self.compacted or after > self.revision:
            return 410, {}
        while True:
            events = [event for event in self.history
                      if event["revision"] > after
                      and event["key"].startswith(query.get("pathPrefix", ""))]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        current = []
        holds = True
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            current.append(item or {"key": row["key"], "revision": 0})
            holds = holds and (item["revision"] if item else 0) == \
                row["revision"]
        if not holds:
            return 412, {"items": current}
        if any(put.get("lease", 0) and put["lease"] not in self.leases
               for put in body.get("puts", [])):
            return 404, {}
        self.revision += 1
        for put in body.get("puts", []):
            self.write(put["key"], put["value"], put.get("lease", 0))
        for key in body.get("delete", []):
            if key in self.items:
                self.erase(key)
        revision = self.revision
        self.wake()
        return 200, {"revision": revision}
