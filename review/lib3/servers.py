"""Stand-ins of model servers and plain servers, as PROTOCOL.md has them."""

import asyncio
import json
import time

import http11

BEAT_S = 1.2


class Server:
    """Registers itself in the store and beats; keeps what ran in `runs`."""

    def __init__(self, store, name, service, zone, log):
        self.store, self.name, self.service = store, name, service
        self.zone, self.log = zone, log
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.seq = 0
        self.runs = []
        self.http = http11.Server(self.handle)
        self.address, self.port = "127.0.0.1", 0
        self.beats = None

    async def start(self, slots=8, address=None):
        self.slots = slots
        self.port = await self.http.start("127.0.0.1")
        self.address = address or f"127.0.0.1:{self.port}"
        self.register()
        self.beats = asyncio.get_running_loop().create_task(self.beat())

    async def beat(self):
        while True:
            await asyncio.sleep(BEAT_S)
            if not self.store.away:
                self.register()

    def entry(self):
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "coldRemainingMs": 0, "seq": self.seq,
                "born": self.born}

    def register(self):
        """Writes the entry if more than its number has changed."""
        self.seq += 1
        entry = self.entry()
        key = f"servers/{self.name}"
        known = self.store.items.get(key)
        if known:
            old = json.loads(known["value"])
            if {**old, "seq": 0} == {**entry, "seq": 0}:
                return
        self.store.put_json(key, entry)

    def stop(self):
        if self.beats:
            self.beats.cancel()
        self.http.close()

    def signed(self, request):
        rid = request.headers.get("request-id", "")
        return {"Request_Id": rid, "Server_Signature": f"sig.{self.name}.{rid}"}

    async def handle(self, request, writer):
        expected = request.headers.get("expect-instance", self.name)
        rid = {"Request_Id": request.headers["request-id"]} \
            if "request-id" in request.headers else {}
        if expected != self.name:
            writer.write(http11.answer(421, Instance_Id=self.name, **rid))
            return True
        if request.target == "/-/report":
            writer.write(http11.answer(200, json.dumps(self.report()).encode(),
                                       Content_Type="application/json"))
            return True
        if request.target == "/-/order":
            return await self.order(request, writer)
        return await self.run(request, writer)

    def report(self):
        return {"stage": "unified", "models": [], "busy": False, "seq": 0,
                "queueDepth": 0, "inFlight": 0, "kvUsed": 0, "kvTotal": 1,
                "handles": 0}

    async def order(self, request, writer):
        writer.write(http11.answer(400))
        return True

    def record_run(self, request):
        self.runs.append({"id": request.headers.get("request-id"),
                          "at": time.monotonic(),
                          "tenant": request.headers.get("tenant")})
        self.log("server", self.name, "runs", request.headers.get("request-id"))

    async def run(self, request, writer):
        self.record_run(request)
        writer.write(http11.answer(200, b"done", **self.signed(request)))
        return True


class Engine(Server):
    """A model server: `models` maps a model to its set of adapters."""

    LOAD_S = {"disk": 0.3}
    UNLOAD_S = 0.05

    def __init__(self, store, name, zone, log, models, on_disk):
        super().__init__(store, name, "llm", zone, log)
        self.models = {model: set() for model in models}
        self.on_disk = set(on_disk) | set(models)
        self.busy = False
        self.accepted = 0
        self.orders = []      # (time, holder, fence, operation, model, status)
        self.max_mb, self.model_mb = 200000, 70000
        self.events, self.gap_s, self.event_bytes = 40, 0.02, 60

    def entry(self):
        return {**super().entry(), "stage": "unified",
                "models": [{"name": m, "version": 1, "adapters": sorted(a)}
                           for m, a in sorted(self.models.items())],
                "available": {"inMemory": [], "onDisk": sorted(self.on_disk)}}

    def report(self):
        return {**super().report(), "busy": self.busy, "seq": self.accepted,
                "models": self.entry()["models"],
                "available": self.entry()["available"]}

    def answer_order(self, body, writer, status):
        self.orders.append((time.monotonic(), body.get("holder"),
                            body.get("fence"), body.get("operation"),
                            body.get("model"), body.get("adapter"), status))
        self.log("server", self.name, "order", json.dumps(body), "->", status)
        writer.write(http11.answer(status))
        return True

    async def order(self, request, writer):
        body = json.loads(request.body)
        if "holder" not in body or "fence" not in body:
            return self.answer_order(body, writer, 400)
        model, adapter = body["model"], body.get("adapter")
        load = body["operation"] == "load"
        holds = (model in self.models and
                 (adapter is None or adapter in self.models[model]))
        if self.busy or body.get("expected", self.accepted) != self.accepted:
            return self.answer_order(body, writer, 409)
        if adapter is None and holds == load:
            return self.answer_order(body, writer, 200)
        if adapter is not None:
            if model not in self.models:
                return self.answer_order(body, writer, 400)
            if holds == load:
                return self.answer_order(body, writer, 200)
            self.accepted += 1
            if load:
                self.models[model].add(adapter)
                return self.answer_order(body, writer, 202)
            self.models[model].discard(adapter)
            return self.answer_order(body, writer, 200)
        self.accepted += 1
        self.busy = True
        asyncio.get_running_loop().create_task(self.carry_out(model, load))
        return self.answer_order(body, writer, 202)

    async def carry_out(self, model, load):
        await asyncio.sleep(self.LOAD_S["disk"] if load else self.UNLOAD_S)
        if load:
            self.models[model] = set()
            self.on_disk.add(model)
        else:
            self.models.pop(model, None)
        self.busy = False
        if not self.store.away:
            self.register()

    async def run(self, request, writer):
        model, _, adapter = request.headers.get("model", "").partition("/")
        if model not in self.models or (
                adapter and adapter not in self.models[model]):
            writer.write(http11.answer(
                421, Not_Executed=1,
                Request_Id=request.headers.get("request-id", "")))
            return True
        self.record_run(request)
        await self.stream(request, writer)
        return True

    async def stream(self, request, writer):
        first = int(request.headers.get("last-event-id", 0)) + 1
        writer.write(http11.head(200, Content_Type="text/event-stream",
                                 Transfer_Encoding="chunked",
                                 Weight_Versions=1, **self.signed(request)))
        for number in range(first, self.events + 1):
            text = f"p{number} ".ljust(self.event_bytes, "x")
            event = f"id: {number}\ndata: {text}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
