"""Runs loft-host with the stand-in of the Jarro platform."""

import http.client
import json
import pathlib
import shutil
import subprocess
import tempfile
import unittest

import harness

HOST_HEADER = "shop.example"
KEYS = {"counter": "key-counter", "shop": "key-shop"}
PEER_PORT_COUNT = 10


def configuration(version, keys=None):
    """Returns the operators' configuration in the platform's format."""
    def route(prefix, kind, service, **more):
        return {"name": prefix.strip("/"), "host": HOST_HEADER,
                "pathPrefix": prefix, "kind": kind, "timeoutMs": 8000,
                "targetLatencyMs": 500, "priority": 1, "service": service,
                "maxAttempts": 2, "public": False, **more}
    return {
        "version": version,
        "routes": [
            route("/chat/", "streaming", "llm"),
            route("/letter/", "streaming", "llm", resumable=True),
            route("/pay/", "non_idempotent", "ledger"),
            route("/look/", "idempotent", "ledger"),
            route("/open/", "idempotent", "ledger", public=True),
        ],
        "services": [
            {"name": "llm", "maxConnections": 100, "engine": {
                "slots": 8, "mb": 200000, "adapterSlots": 4, "loadsPerS": 5,
                "models": [{"name": f"m{i}", "mb": 70000, "loadS": 1.5,
                            "diskS": 0.2, "warmS": 0.1, "adapters": 4}
                           for i in range(1, 7)]}},
            {"name": "ledger", "maxConnections": 100}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536,
                   "headerTimeoutMs": 2000, "idleTimeoutMs": 10000},
        "tenants": [{"name": name, "apiKeys": [key], "unit": "token_count",
                     "plainTokens": 10, "ratePerS": 100000, "burst": 100000}
                    for name, key in (KEYS if keys is None else keys).items()]}


class Reply:
    """A response, or the part of it that was received."""

    def __init__(self, status=0, headers=None, body=b"", complete=False):
        self.status = status
        self.headers = headers or {}
        self.body = body.decode(errors="replace")
        self.complete = complete

    def events(self):
        return [line[6:] for line in self.body.splitlines()
                if line.startswith("data: ")]

    def __repr__(self):
        return (f"Reply({self.status}, complete={self.complete}, "
                f"{self.body[-200:]!r})")


class JarroFleet:
    """The stand-in and the hosts, each on its own loopback address."""

    def __init__(self, hosts=2, bounds=None):
        self.bounds = bounds or {}
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="loft-jarro-"))
        self.processes = []
        self.next_request = 0
        self.port_block = harness.PortBlock()
        self.ports = {"front": self.port_block.reserve(),
                      "ready": self.port_block.reserve(),
                      "peer": self.port_block.reserve(PEER_PORT_COUNT)}
        self.platform = self.start(
            "platform", "loft-standin-jarro", "--listen", "127.0.0.1:0")
        self.platform.port = harness.wait_for(
            self._platform_port, harness.START_LIMIT_S, "the platform listens")
        self.hosts = [None] * hosts
        self.first_hosts = hosts
        for index in range(hosts):
            self.start_host(index)

    def _platform_port(self):
        for line in self.platform.log().splitlines():
            if line.startswith("listening "):
                return int(line.rsplit(":", 1)[1])
        return 0

    def start(self, name, program, *arguments):
        process = harness.Process(
            name, [harness.BIN / program, *arguments], self.directory)
        self.processes.append(process)
        return process

    def address(self, index):
        """Returns an address that no other fleet on this machine uses: the
        hosts' metrics port is the same in all fleets."""
        fleet = self.ports["front"]
        return f"127.{fleet >> 8}.{fleet & 255}.{21 + index}"

    def settings(self, index):
        address = self.address(index)
        return {
            "bootstrap": index < self.first_hosts,
            "node": f"edge-{index}", "ip": address, "zone": f"z{index % 2}",
            "zones": {"z0": "west", "z1": "east"},
            "listen": {"front": f"{address}:{self.ports['front']}",
                       "ready": f"{address}:{self.ports['ready']}"},
            "portRange": [self.ports["peer"],
                          self.ports["peer"] + PEER_PORT_COUNT - 1],
            "limits": {"cpuShare": 0.25},
            "bounds": {"revokeMs": 3000, "graceS": 6, "leaseMs": 500,
                       "strictRevoke": True, **self.bounds},
            "provider": {"address": f"127.0.0.1:{self.platform.port}",
                         "minTtlMs": 1000}}

    def start_host(self, index):
        path = self.directory / f"host-{index}.json"
        path.write_text(json.dumps(self.settings(index)))
        self.hosts[index] = self.start(
            f"host-{index}-{len(self.processes)}", "loft-host",
            "--settings", path)

    def control(self, command, body=None):
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.platform.port, timeout=5)
        connection.request("POST", "/control/" + command,
                           body if isinstance(body, str) else json.dumps(body))
        try:
            return json.loads(connection.getresponse().read())
        finally:
            connection.close()

    def configure(self, version, keys=None):
        self.control("config", configuration(version, keys))

    def ready(self, index):
        connection = http.client.HTTPConnection(
            self.address(index), self.ports["ready"], timeout=2)
        try:
            connection.request("GET", "/-/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def wait_ready(self):
        for index in range(len(self.hosts)):
            harness.wait_for(lambda i=index: self.ready(i),
                             harness.START_LIMIT_S, f"host {index} is ready")

    def post(self, path, index=0, key="key-counter", headers=None, body=b"{}",
             limit_s=12, request_id=None):
        self.next_request += 1
        all_headers = {"Host": HOST_HEADER, "Deadline-Ms": "8000",
                       "Request-Id": request_id or f"r{self.next_request:04}"}
        if key:
            all_headers["Authorization"] = f"Bearer {key}"
        all_headers.update(headers or {})
        connection = http.client.HTTPConnection(
            self.address(index), self.ports["front"], timeout=limit_s)
        reply = Reply()
        try:
            connection.request("POST", path, body, all_headers)
            answer = connection.getresponse()
            reply = Reply(answer.status, dict(answer.getheaders()))
            reply.body = answer.read().decode(errors="replace")
            reply.complete = True
        except http.client.IncompleteRead as error:
            reply.body = error.partial.decode(errors="replace")
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        return reply

    def chat(self, model, index=0, path="/chat/x", **more):
        return self.post(path, index, headers={
            "Model": model, "Token-Usage": "100,20"}, **more)

    def platform_state(self):
        return self.control("seen")

    def runs(self):
        return [run for server in self.platform_state()["servers"]
                for run in server["runs"]]

    def close(self):
        for process in self.processes:
            process.close()
        self.port_block.close()
        shutil.rmtree(self.directory, ignore_errors=True)


class JarroTest(unittest.TestCase):
    hosts = 2
    bounds = {}

    def setUp(self):
        self.fleet = JarroFleet(self.hosts, self.bounds)
        self.addCleanup(self.fleet.close)
        self.fleet.configure(1)
        self.fleet.wait_ready()

    def wait_for_placement_leader(self):
        """Waits until a host holds the placement lease."""
        harness.wait_for(lambda: self.fleet.platform_state()["holder"], 10,
                         "a host holds the placement lease")


def run_program(program, *arguments):
    return subprocess.run([harness.BIN / program, *arguments],
                          capture_output=True, text=True, timeout=20,
                          check=False)
