"""A stand-in for the platform's clients: one request on a new connection."""

import asyncio
import time

import http_io

HOST_HEADER = "shop.example"


class Outcome:
    """What a client saw of one request. Times are seconds since its send."""

    def __init__(self, request_id, route, host):
        self.id = request_id
        self.route = route
        self.host = host
        self.sent_at = 0.0  # On the clock of the run.
        self.status = 0  # 0: no answer.
        self.answered_s = None  # Whole answer, or its begin for a stream.
        self.ended_s = None  # End of the answer or of the connection.
        self.complete = False
        self.body = b""

    def __str__(self):
        def text(value):
            return "-" if value is None else f"{value:.3f}"
        return (f"{self.sent_at:8.3f} {self.id} {self.route} to {self.host} "
                f"status {self.status} answered {text(self.answered_s)} "
                f"ended {text(self.ended_s)} "
                f"{'complete' if self.complete else 'incomplete'}")


async def ask(host, method, path, fields, wait_s, outcome, start):
    """Sends one request and reads its answer for up to `wait_s`."""
    began = time.monotonic()
    outcome.sent_at = began - start
    writer = None

    async def talk():
        nonlocal writer
        # Clients allow a new connection one second.
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(
                host.address, host.ports["front"], limit=http_io.HEAD_LIMIT)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_HEADER}",
                 f"Request-Id: {outcome.id}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        body = b"{}" if method == "POST" else b""
        lines += [f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        message = await http_io.read_head(reader)
        if message is None:
            return
        outcome.status = message.status
        outcome.answered_s = time.monotonic() - began
        if message.field("transfer-encoding") == "chunked":
            async for data in http_io.read_chunks(reader):
                outcome.body += data
        elif message.field("content-length"):
            outcome.body = await reader.readexactly(
                int(message.field("content-length")))
        else:
            outcome.body = await reader.read()
        outcome.complete = True

    try:
        async with asyncio.timeout(wait_s):
            await talk()
        outcome.ended_s = time.monotonic() - began
    except asyncio.TimeoutError:
        pass
    except (OSError, asyncio.IncompleteReadError, ValueError):
        outcome.ended_s = time.monotonic() - began
    finally:
        if writer is not None:
            writer.transport.abort()
    return outcome


def route(prefix, kind, service, timeout_ms, **more):
    return {"name": prefix.strip("/"), "host": HOST_HEADER,
            "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout_ms,
            "targetLatencyMs": 500, "priority": 1, "service": service,
            "maxAttempts": 2, "public": False, **more}


def configuration(version, tenants=None):
    """Returns a configuration of the operator."""
    return {
        "version": version,
        "routes": [
            route("/chat/", "streaming", "llm", 3000, targetGapMs=250),
            route("/pay/", "non_idempotent", "ledger", 1500),
            route("/look/", "idempotent", "ledger", 1500)],
        "services": [
            {"name": "llm", "maxConnections": 230, "healthPath": "/healthz",
             "engine": {
                 "slots": 8, "mb": 200000, "adapterSlots": 4, "loadsPerS": 5,
                 "models": [{"name": f"m{i}", "mb": 70000, "loadS": 1.5,
                             "diskS": 0.3, "warmS": 0.1, "adapters": 4}
                            for i in range(1, 4)]}},
            {"name": "ledger", "maxConnections": 100,
             "healthPath": "/healthz"}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536,
                   "headerTimeoutMs": 2000, "idleTimeoutMs": 10000},
        "tenants": tenants or [
            {"name": "counter", "apiKeys": ["key-counter"],
             "unit": "token_count", "plainTokens": 10, "ratePerS": 100000,
             "burst": 100000}]}
