"""A stand-in of the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
import urllib.parse

import http11


class Store:
    """One revision counter, leases that run in real time, watches. Each machine
    has a port of its own. `away` makes the store answer nothing, `cut` holds
    the machines that are partitioned from it."""

    def __init__(self, log):
        self.log = log
        self.items = {}      # key -> dict(value, revision, created, lease)
        self.leases = {}     # id -> [ttl, end]
        self.revision = 100
        self.next_lease = 1000
        self.history = []    # (revision, event)
        self.era = 0
        self.copies = []     # (time, items, leases, revision, next_lease)
        self.away = False
        self.cut = set()     # machines that get no answer
        self.changed = asyncio.Event()
        self.servers = []
        self.ports = {}

    async def start(self, machines):
        for machine in machines:
            server = http11.Server(
                lambda request, writer, machine=machine:
                self.handle(request, writer, machine))
            self.ports[machine] = await server.start("127.0.0.1")
            self.servers.append(server)
        asyncio.get_running_loop().create_task(self.tick())

    def drop_connections(self):
        for server in self.servers:
            server.drop_connections()

    def close(self):
        for server in self.servers:
            server.close()

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            if not self.away:
                self.expire()
            if not self.copies or time.monotonic() - self.copies[-1][0] > 0.1:
                self.copies.append((
                    time.monotonic(), {k: dict(v) for k, v in self.items.items()},
                    {k: list(v) for k, v in self.leases.items()},
                    self.revision, self.next_lease))
                del self.copies[:-300]

    def expire(self):
        now = time.monotonic()
        for lease in [i for i, (_, end) in self.leases.items() if end <= now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, v in self.items.items() if v["lease"] == lease]:
            self.remove(key)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = {
            "value": value, "revision": self.revision,
            "created": old["created"] if old else self.revision, "lease": lease}
        self.history.append((self.revision, self.row(key)))
        self.wake()
        return self.revision

    def put_json(self, key, value):
        return self.put(key, json.dumps(value).encode())

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append((self.revision, {
                "key": key, "revision": self.revision, "removed": True}))
            self.wake()

    def row(self, key):
        item = self.items[key]
        return {"key": key,
                "value": base64.b64encode(item["value"]).decode(),
                "revision": item["revision"], "created": item["created"],
                "lease": item["lease"]}

    def holder(self):
        item = self.items.get("hickoryloft/placement-holder")
        return item["value"].decode() if item else ""

    def restore(self, age_s):
        """Comes back from a copy of `age_s` seconds ago."""
        at = time.monotonic() - age_s
        copy = max((c for c in self.copies if c[0] <= at),
                   key=lambda c: c[0], default=self.copies[0])
        now = time.monotonic()
        self.items = {k: dict(v) for k, v in copy[1].items()}
        self.leases = {k: [ttl, now + ttl] for k, (ttl, _) in copy[2].items()}
        self.revision, self.next_lease = copy[3], copy[4]
        self.history = [h for h in self.history if h[0] <= self.revision]
        self.era += 1
        self.drop_connections()
        self.wake()

    def reply(self, writer, status, body):
        writer.write(http11.answer(
            status, json.dumps(body).encode(), Content_Type="application/json",
            Store_Era=self.era))
        return True

    async def handle(self, request, writer, peer):
        if self.away or peer in self.cut:
            await asyncio.sleep(30)   # It answers nothing.
            return False
        path, _, query = request.target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        if path == "/-/kv-key":
            key = query.get("key", "")
            if key not in self.items:
                return self.reply(writer, 404, {})
            return self.reply(writer, 200,
                              {**self.row(key), "asOf": self.revision})
        if path == "/-/kv-range":
            return self.read_range(query, writer)
        if path == "/-/kv-watch":
            return await self.watch(query, writer, peer)
        if path == "/-/kv-txn":
            return self.transact(json.loads(request.body), writer, peer)
        if path == "/-/kv-lease":
            ttl = json.loads(request.body)["ttlMs"]
            self.next_lease += 1
            self.leases[self.next_lease] = [
                ttl / 1000, time.monotonic() + ttl / 1000]
            return self.reply(writer, 200,
                              {"lease": self.next_lease, "ttlMs": ttl})
        number = int(path.rsplit("/", 1)[1])
        if path.startswith("/-/kv-keep/"):
            if number not in self.leases:
                return self.reply(writer, 404, {})
            lease = self.leases[number]
            lease[1] = time.monotonic() + lease[0]
            return self.reply(writer, 200, {"ttlMs": int(lease[0] * 1000)})
        self.end_lease(number)
        return self.reply(writer, 200, {})

    def read_range(self, query, writer):
        keys = sorted(k for k in self.items
                      if k.startswith(query.get("pathPrefix", ""))
                      and k > query.get("after", ""))
        return self.reply(writer, 200, {
            "items": [self.row(k) for k in keys[:500]],
            "hasMore": len(keys) > 500, "asOf": self.revision})

    async def watch(self, query, writer, peer):
        prefix, after = query.get("pathPrefix", ""), int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        era = self.era
        if after > self.revision:
            return self.reply(writer, 410, {})
        while True:
            events = [e for r, e in self.history
                      if r > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            if era != self.era or self.away or peer in self.cut:
                await asyncio.sleep(30)
                return False
        return self.reply(writer, 200,
                          {"events": events, "asOf": self.revision})

    def transact(self, body, writer, peer):
        current, match = [], True
        for row in body["expected"]:
            item = self.items.get(row["key"])
            match = match and row["revision"] == (
                item["revision"] if item else 0)
            current.append(self.row(row["key"]) if item else
                           {"key": row["key"], "revision": 0})
        if not match:
            return self.reply(writer, 412, {"items": current})
        if any(put.get("lease") and put["lease"] not in self.leases
               for put in body["puts"]):
            return self.reply(writer, 404, {})
        for put in body["puts"]:
            self.put(put["key"], base64.b64decode(put["value"]),
                     put.get("lease", 0))
            if put["key"].endswith("placement-holder"):
                self.log("store: holder is now", put["key"], self.holder(),
                         "era", self.era, "revision", self.revision)
        for key in body["delete"]:
            self.remove(key)
        return self.reply(writer, 200, {"revision": self.revision})
