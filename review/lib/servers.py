"""Stand-ins for model servers and plain servers, as PROTOCOL.md describes
them. They register in the stand-in of the store."""

import asyncio
import json
import time

import http_io

EVENT_INTERVAL_S = 0.12
EVENTS = 6


class Server:
    """One server. `log` receives (name of the event, server, request id).
    `crashes_on` is a prompt part that crashes this software, or empty."""

    def __init__(self, store, name, service, log, models=(), version="1",
                 crashes_on=""):
        self.store = store
        self.name = name
        self.service = service
        self.log = log
        self.models = {model: [] for model in models}
        self.on_disk = list(models)
        self.version = version
        self.crashes_on = crashes_on
        self.restart_s = 2.0
        self.seq = 0
        self.beats = 0
        self.busy = False
        self.state = "ready"
        self.born = 0
        self.port = 0
        self.crash_count = 0
        self.listener = None

    async def start(self):
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.busy = False
        self.state = "ready"
        self.listener = http_io.Listener(self.handle)
        await self.listener.start(self.port)
        self.port = self.listener.port
        self.register()

    def register(self):
        self.beats += 1
        models = [{"name": name, "version": 1, "adapters": adapters}
                  for name, adapters in self.models.items()]
        self.store.put("servers/" + self.name, json.dumps({
            "service": self.service, "address": f"127.0.0.1:{self.port}",
            "zone": "z0", "version": self.version, "slots": 8,
            "state": self.state, "born": self.born, "seq": self.beats,
            "models": models, "busy": self.busy,
            "available": {"inMemory": [], "onDisk": self.on_disk}}))

    def crash(self):
        """Ends at once and is back, empty, after `restart_s`."""
        if self.listener is None:
            return
        self.log("crash", self.name, "")
        self.crash_count += 1
        self.listener.crash()
        self.listener = None
        self.models = {}
        asyncio.create_task(self.come_back())

    async def come_back(self):
        await asyncio.sleep(self.restart_s)
        self.store.remove("servers/" + self.name)
        await self.start()

    async def replace(self, version, crashes_on, drain_s):
        """A planned restart with other software: drains, ends, starts."""
        while self.listener is None:  # It is down because of a crash.
            await asyncio.sleep(0.1)
        self.state = "draining"
        self.register()
        await asyncio.sleep(drain_s)
        if self.listener is None:
            await asyncio.sleep(self.restart_s + 0.3)
        self.listener.crash()
        self.store.remove("servers/" + self.name)
        self.models = {}
        self.version = version
        self.crashes_on = crashes_on
        await self.start()
        self.log("replaced", self.name, version)

    async def handle(self, request, writer):
        if request.target == "/-/report":
            await self.send(writer, 200, self.report())
            return True
        if request.target == "/-/order":
            await self.send(writer, self.order(json.loads(request.body)), {})
            return True
        if self.service == "llm":
            return await self.answer_stream(request, writer)
        self.log("run", self.name, request.field("request-id"))
        await asyncio.sleep(0.01)
        await self.send(writer, 200, {"done": 1}, self.signed(request))
        return True

    async def send(self, writer, status, body, fields=None):
        writer.write(http_io.head(f"{status} Answer", fields or {},
                                  json.dumps(body).encode()))
        await writer.drain()

    def signed(self, request):
        return {"Request-Id": request.field("request-id"),
                "Server-Signature": f"{self.name}.{request.field('request-id')}"}

    def report(self):
        return {"stage": "unified", "busy": self.busy, "seq": self.seq,
                "queueDepth": 0, "inFlight": 0, "kvUsed": 0, "kvTotal": 90000,
                "handles": 0,
                "models": [{"name": name, "version": 1, "adapters": adapters}
                           for name, adapters in self.models.items()]}

    def order(self, order):
        if self.busy or order.get("expected", self.seq) != self.seq:
            return 409
        model = order["model"]
        load = order["operation"] == "load"
        if (model in self.models) == load:
            return 200
        self.seq += 1
        self.busy = True
        asyncio.create_task(self.finish(model, load, self.born))
        return 202

    async def finish(self, model, load, born):
        await asyncio.sleep(0.3 if load else 0.05)
        if born != self.born or self.listener is None:
            return
        self.busy = False
        if load:
            self.models[model] = []
        else:
            self.models.pop(model, None)
        self.register()

    async def answer_stream(self, request, writer):
        request_id = request.field("request-id")
        if request.field("model") not in self.models:
            await self.send(writer, 421, {}, {"Not-Executed": "1",
                                              "Request-Id": request_id})
            return True
        self.log("run", self.name, request_id)
        parts = [part.split(":")[0]
                 for part in request.field("prompt-prefix").split(",")]
        await asyncio.sleep(0.05)
        if self.crashes_on and self.crashes_on in parts[:-1]:
            self.crash()
            return False
        fields = {**self.signed(request), "Content-Type": "text/event-stream",
                  "Transfer-Encoding": "chunked"}
        writer.write(http_io.head("200 OK", fields))
        for number in range(1, EVENTS + 1):
            data = f"id: {number}\ndata: t{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True
