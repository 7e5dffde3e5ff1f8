"""Starts loft-host processes with the commands of the deploy file, beside the
stand-ins, and sends requests to them."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import http11
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "shop.example"
KEY = "key-counter"
# Those of the sites that claim.txt names.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "stableMs": 3000, "ackMs": 4000,
          "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
          "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
          "strictRevoke": True, "revokeMs": 5000, "retryBudgetRatio": 0.2,
          "budgetWindowS": 10, "budgetExtra": 54, "quotaWindowS": 8,
          "quotaOverage": 0.1, "quotaSlack": 17000, "recoveryS": 12,
          "passMs": 120, "retryAfterS": 0, "requireFencing": False,
          "leaseMs": 3000, "thawSlackMs": 300, "ceilingWindowS": 5,
          "ceilingOverage": 1.1}


def run_command():
    with open(ROOT / "deploy" / "system.toml", "rb") as file:
        return tomllib.load(file)["roles"]["host"]["run"].split()


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def configuration(version, **services):
    """`routes` and `engine` may replace fields."""
    changes = services.pop("routes", {})

    def route(prefix, kind, service, **more):
        name = prefix.strip("/")
        return {"name": name, "host": HOST, "pathPrefix": prefix,
                "kind": kind, "timeoutMs": 12000, "targetLatencyMs": 500,
                "priority": 1, "service": service, "maxAttempts": 2,
                "public": False, **more, **changes.get(name, {})}
    return {
        "version": version,
        "routes": [
            route("/chat/", "streaming", "llm", sticky=True, resumable=False),
            route("/letter/", "streaming", "llm", sticky=True, resumable=True,
                  timeoutMs=20000, targetLatencyMs=2500),
            route("/pay/", "non_idempotent", "ledger", timeoutMs=1500),
            route("/look/", "idempotent", "ledger", timeoutMs=1500)],
        "services": [
            {"name": "llm", "healthPath": "/healthz", "maxConnections": 230,
             "protocol": "h1", "tls": False, "engine": {
                 "slots": 8, "kvTokens": 124384, "mb": 200000,
                 "adapterSlots": 8, "loadsPerS": 6.8,
                 "models": [{"name": f"m{i}", "mb": 60000, "loadS": 6,
                             "diskS": 0.3, "warmS": 0.2, "adapters": 4,
                             "adapterMb": 66} for i in range(1, 9)],
                 **services.get("engine", {})}},
            {"name": "ledger", "healthPath": "/healthz", "maxConnections": 100,
             "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "counter", "apiKeys": [KEY], "priority": 1,
                     "unit": "token_count", "plainTokens": 200, "ratePerS": 0,
                     "burst": 0}]}


class Case:
    """One run: record.txt, the store, the hosts. Ends what it has started."""

    def __init__(self, folder, hosts, zones=2):
        self.record = open(pathlib.Path(folder) / "record.txt", "w",
                           encoding="utf-8")
        self.started = time.monotonic()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.directory = tempfile.TemporaryDirectory(prefix="loft-review-")
        self.store = Store(self.log)
        self.host_count, self.zones = hosts, zones
        self.hosts = {}
        # The metrics port is the same for all hosts, so the addresses differ.
        number = os.getpid()
        self.net = f"127.{64 + number // 250 % 128}.{1 + number % 250}"
        self.front, self.ready, self.peer = free_ports(3)
        self.next_id = 0
        self.log("TROUBLE", int(self.trouble))

    def log(self, *words):
        self.record.write(f"{time.monotonic() - self.started:8.3f} " +
                          " ".join(str(word) for word in words) + "\n")
        self.record.flush()

    def address(self, index):
        return f"{self.net}.{11 + index}"

    def settings(self, index):
        address = self.address(index)
        zones = [f"z{i}" for i in range(self.zones)]
        return {
            "node": f"edge-{index}", "role": "host", "machineClass": "edge",
            "serves": ["edge"], "ip": address, "zone": zones[index % self.zones],
            "region": "west", "zones": {zone: "west" for zone in zones},
            "listen": {"front": f"{address}:{self.front}",
                       "ready": f"{address}:{self.ready}"},
            "portRange": [self.peer, self.peer + 15], "seeds": [],
            "bootstrap": True, "countsAsLoss": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260,
                       "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip",
            "heartbeatMs": 1200, "tolerate": {"machines": 2},
            "bounds": BOUNDS,
            "provider": {"address": f"127.0.0.1:{self.store.ports[index]}",
                         "form": "kv", "writesPerS": 400, "readsPerS": 2000,
                         "historyS": 20, "valueBytes": 1048576,
                         "minTtlMs": 1000}}

    def start_host(self, index):
        path = pathlib.Path(self.directory.name) / f"node-{index}.json"
        path.write_text(json.dumps(self.settings(index)), encoding="utf-8")
        output = open(pathlib.Path(self.directory.name) /
                      f"host-{index}.log", "ab")
        environment = {name: os.environ[name] for name in
                       ("PATH", "HOME", "LANG") if name in os.environ}
        environment["HICKORYLOFT_SETTINGS"] = str(path)
        self.hosts[index] = subprocess.Popen(
            run_command(), cwd=ROOT, env=environment, stdout=output,
            stderr=output, stdin=subprocess.DEVNULL)
        output.close()
        self.log("started host", index, "at", self.address(index))

    def signal(self, index, number):
        self.log("signal", signal.Signals(number).name, "to host", index)
        self.hosts[index].send_signal(number)

    def host_log(self, index):
        return (pathlib.Path(self.directory.name) /
                f"host-{index}.log").read_text(errors="replace")

    async def is_ready(self, index):
        try:
            reader, writer = await asyncio.open_connection(
                self.address(index), self.ready)
            writer.write(http11.request_bytes(
                "GET", "/-/ready", {"Host": "node"}))
            reply = await asyncio.wait_for(http11.read_head(reader), 1)
            writer.close()
            return reply is not None and reply.start[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    async def start(self, **services):
        await self.store.start(range(self.host_count))
        self.store.put_json("op/config", configuration(1, **services))
        for index in range(self.host_count):
            self.start_host(index)

    async def wait(self, what, condition, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.02)
        raise CannotRun(f"not within {limit_s} s: {what}")

    async def wait_ready(self):
        for index in range(self.host_count):
            await self.wait(f"host {index} is ready",
                            lambda i=index: self.is_ready(i))

    def headers(self, deadline_ms, model=None, **more):
        self.next_id += 1
        result = {"Host": HOST, "Request-Id": f"r{self.next_id:05}",
                  "Deadline-Ms": str(deadline_ms),
                  "Authorization": f"Bearer {KEY}"}
        if model:
            result.update({"Model": model, "Token-Usage": "100,40",
                           "Prompt-Prefix": f"5c1e07a2:60,{self.next_id:x}:40"})
        result.update(more)
        return result

    async def ask(self, index, path, headers, body=b"{}", limit_s=12):
        """Returns the status and whether the whole answer has come; the status
        is 0 if there is none."""
        status, complete, writer = 0, False, None
        try:
            async with asyncio.timeout(limit_s):
                reader, writer = await asyncio.open_connection(
                    self.address(index), self.front)
                writer.write(http11.request_bytes("POST", path, headers, body))
                reply = await http11.read_head(reader)
                if reply is not None:
                    status = int(reply.start[1])
                    if "chunked" in reply.headers.get("transfer-encoding", ""):
                        while await http11.read_chunk(reader):
                            pass
                    else:
                        await reader.readexactly(
                            int(reply.headers.get("content-length", 0)))
                    complete = True
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self.log("client", headers["Request-Id"], headers.get("Model", ""),
                 "host", index, "status", status, "complete", int(complete))
        return status, complete

    def close(self):
        for process in self.hosts.values():
            if process.poll() is None:
                process.kill()
        for process in self.hosts.values():
            process.wait()
        self.store.close()
        self.record.close()
        self.directory.cleanup()


class CannotRun(Exception):
    pass


def main(folder, hosts, play):
    """Runs `play(case)`, which returns a list of breaks. Exits with 1 if there
    are any, 0 if not, 2 if it could not run."""
    case = Case(folder, hosts)
    status = 2
    try:
        breaks = asyncio.run(asyncio.wait_for(play(case), 115))
        for one in breaks:
            case.log("BROKEN:", one)
            print("BROKEN:", one)
        status = 1 if breaks else 0
        case.log("exit", status)
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        case.log("cannot run:", repr(error))
        print("cannot run:", repr(error), file=sys.stderr)
    finally:
        case.close()
    sys.exit(status)
