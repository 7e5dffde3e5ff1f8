"""Starts a small fleet of the real programs on loopback and stops it.

A Fleet owns every process that it starts and stops only those, by their
process ids. All waits have a time limit.
"""

import hashlib
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import unittest

BIN = pathlib.Path(os.environ.get("LOFT_BIN", "build/bin"))
LOOPBACK = "127.0.0.1"
OPERATOR_KEY = "test-operator-key"
SALT = "5a17"
KEYS = {"clinic": "test-key-clinic", "desk": "test-key-desk"}
START_LIMIT_S = 20
SHORT_LEASE_S = 5
PORTS_PER_BLOCK = 20
# Below the range from which Linux chooses ports for outgoing connections and
# for port 0 (32768 on). A port chosen by the kernel and released again could
# be given to another program before the program under test bound it.
PORT_BLOCKS = range(20000, 30000, PORTS_PER_BLOCK)


class PortBlock:
    """TCP ports that no other test uses until close().

    A UDP socket bound to the first port marks the block as in use. The kernel
    releases it with the process, so a killed test leaves no mark behind.
    """

    def __init__(self):
        blocks = list(PORT_BLOCKS)
        random.shuffle(blocks)
        for first in blocks:
            self._mark = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                self._mark.bind((LOOPBACK, first))
                self._check_unused(first)
            except OSError:
                self._mark.close()
                continue
            self._next = first
            self._end = first + PORTS_PER_BLOCK
            return
        raise AssertionError("every block of ports is in use")

    @staticmethod
    def _check_unused(first):
        """Raises OSError if a program listens on a port of the block."""
        for port in range(first, first + PORTS_PER_BLOCK):
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind(("", port))

    def reserve(self, count=1):
        """Returns the first of `count` consecutive ports."""
        first = self._next
        assert first + count <= self._end, "the block has too few ports"
        self._next += count
        return first

    def close(self):
        self._mark.close()


def wait_for(condition, limit_s, what):
    """Returns the first true result of `condition`, or fails after `limit_s`."""
    deadline = time.monotonic() + limit_s
    while True:
        result = condition()
        if result:
            return result
        if time.monotonic() > deadline:
            raise AssertionError(
                f"timed out after {limit_s} s, waiting for: {what}")
        time.sleep(0.05)


class Response:
    """An HTTP response; status 0 if none was received."""

    def __init__(self, status=0, headers=None, body=b""):
        self.status = status
        self.headers = headers or {}
        self.body = body

    @property
    def json(self):
        return json.loads(self.body or b"null")

    @property
    def problem(self):
        if self.status < 400:
            return ""
        return self.json.get("type", "").rsplit(":", 1)[-1]

    @property
    def outcome(self):
        return self.json.get("outcome", "") if self.status >= 400 else ""

    def __repr__(self):
        return f"Answer({self.status}, {self.body[:300]!r})"


def call(port, method, path, body=None, headers=None, limit_s=15):
    """Makes one HTTP call on a new connection."""
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=limit_s)
    try:
        if isinstance(body, (dict, list)):
            body = json.dumps(body)
        connection.request(method, path, body, headers or {})
        reply = connection.getresponse()
        return Response(reply.status, dict(reply.getheaders()), reply.read())
    except (OSError, http.client.HTTPException):
        return Response()
    finally:
        connection.close()


class Process:
    """One program that this test started."""

    def __init__(self, name, arguments, directory):
        self.name = name
        self.log_path = directory / f"{name}.log"
        self.port = 0
        self._log = open(self.log_path, "ab")
        self._popen = subprocess.Popen(
            [str(argument) for argument in arguments],
            stdout=self._log, stderr=self._log, stdin=subprocess.DEVNULL)

    @property
    def pid(self):
        return self._popen.pid

    def signal(self, number):
        if self._popen.poll() is None:
            self._popen.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self._popen.wait(10)

    def suspend(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def stop(self, limit_s=30):
        """Asks for a planned stop and returns the exit status."""
        self.signal(signal.SIGTERM)
        return self.wait(limit_s)

    def wait(self, limit_s=30):
        return self._popen.wait(limit_s)

    def exit_status(self):
        """Returns the exit status, or None while the process runs."""
        return self._popen.poll()

    def running(self):
        return self._popen.poll() is None

    def log(self):
        return self.log_path.read_text(errors="replace")

    def close(self):
        self.resume()
        if self.running():
            self.kill()
        self._log.close()


class Fleet:
    """Hosts, each with a coordinator and an entry, and their stand-ins."""

    def __init__(self, hosts=2, engines=1):
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="loft-test-"))
        self.processes = []
        self.platform = None
        self.coordinators = []
        self.entries = []
        self.port_block = PortBlock()
        self.admin_ports = [self.port_block.reserve() for _ in range(hosts)]
        self.peer_ports = [self.port_block.reserve() for _ in range(hosts)]
        self.entry_ports = [self.port_block.reserve() for _ in range(hosts)]
        try:
            self._start(hosts, engines)
        except BaseException:
            print(self.logs(), flush=True)
            self.close()
            raise

    def _start(self, hosts, engines):
        (self.directory / "operator.key").write_text(OPERATOR_KEY + "\n")
        self.platform = self.stand_in("platform", "loft-standin-platform")
        self.store = self.stand_in("store", "loft-standin-store")
        self.service = self.stand_in(
            "ledger-1", "loft-standin-service", "--name", "ledger-1")
        self.engines = [
            self.stand_in(f"engine-{i + 1}", "loft-standin-engine",
                          "--name", f"engine-{i + 1}",
                          "--store", f"{LOOPBACK}:{self.store.port}",
                          "--tokens-per-second-per-stream", 20)
            for i in range(engines)]
        self.publish_host_list()
        for host in range(hosts):
            self.coordinators.append(self.start_coordinator(host))
            self.entries.append(self.start_entry(host))
        for port in self.admin_ports:
            wait_for(lambda p=port: call(p, "GET", "/readyz").status == 200,
                     START_LIMIT_S, "a coordinator is ready")
        answer = self.put_document(document())
        assert answer.status in (200, 201), answer
        for port in self.entry_ports:
            wait_for(lambda p=port: call(p, "GET", "/readyz").status == 200,
                     START_LIMIT_S, "an entry is ready")
        self.wait_for_shares()

    def wait_for_shares(self):
        """Waits until every host has filled rate shares of every account."""
        for host in range(len(self.entries)):
            for account in KEYS:
                wait_for(lambda h=host, a=account:
                         self.payout(h, None, account=a).status == 200,
                         START_LIMIT_S, f"shares of {account}")

    def publish_host_list(self, leaving=()):
        targets = [("ledger-1", "service", "ledger", self.service.port)]
        targets += [(engine.name, "engine", "", engine.port)
                    for engine in self.engines]
        body = [{"targets": [f"{LOOPBACK}:{port}"],
                 "labels": {"name": name, "role": role, "service": service,
                            "failure_domain": "fd-1",
                            "leaving": str(name in leaving).lower()}}
                for name, role, service, port in targets]
        assert call(self.platform.port, "POST", "/hosts", body).status == 200

    def start(self, name, program, *arguments):
        process = Process(name, [BIN / program, *arguments], self.directory)
        self.processes.append(process)
        return process

    def stand_in(self, name, program, *arguments):
        process = self.start(name, program, "--listen", f"{LOOPBACK}:0",
                             *arguments)

        def listening():
            for line in process.log().splitlines():
                if line.startswith("listening "):
                    return int(line.rsplit(":", 1)[1])
            return 0

        process.port = wait_for(listening, START_LIMIT_S, f"{name} listens")
        return process

    def _write_settings(self, name, lines):
        path = self.directory / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    def start_coordinator(self, host):
        lines = [f'host.name = "host-{host}"',
                 f'host.failure_domain = "fd-{host}"',
                 f"peer.port = {self.peer_ports[host]}",
                 f"admin.port = {self.admin_ports[host]}",
                 f'admin.operator_key_file = "{self.directory}/operator.key"',
                 'platform.kind = "etcd"',
                 f"platform.port = {self.platform.port}",
                 f'host_list.address = "{LOOPBACK}"',
                 f"host_list.port = {self.platform.port}",
                 f"claims.short_lease_ms = {SHORT_LEASE_S * 1000}",
                 "claims.settle_ms = 1000"]
        path = self._write_settings(f"coordinator-{host}", lines)
        return self.start(f"coordinator-{host}", "loft-coordinator",
                          "--settings", path)

    def start_entry(self, host):
        lines = [f'host.name = "host-{host}"',
                 f'host.failure_domain = "fd-{host}"',
                 f"listen.port = {self.entry_ports[host]}",
                 f"coordinator.port = {self.peer_ports[host]}",
                 "drain.balancer_lag_ms = 200"]
        path = self._write_settings(f"entry-{host}", lines)
        return self.start(f"entry-{host}", "loft-entry", "--settings", path)

    def entry_ready(self, host):
        return call(self.entry_ports[host], "GET", "/readyz").status == 200

    def set_faults(self, process, **faults):
        answer = call(process.port, "POST", "/faults", faults)
        assert answer.status == 200, answer

    def fetch_record(self, process):
        return call(process.port, "GET", "/record").json

    def executions(self):
        """Returns how often the plain service executed each Idempotency-Key."""
        by_key = self.fetch_record(self.service)["by_idempotency_key"]
        return {key: item["count"] for key, item in by_key.items() if key}

    def admin(self, host, method, path, body=None, headers=None):
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}", **(headers or {})}
        return call(self.admin_ports[host], method, path, body, headers)

    def put_document(self, text, host=0, revision=None):
        headers = ({"If-None-Match": "*"} if revision is None
                   else {"If-Match": revision})
        return self.admin(host, "PUT", "/admin/documents/shop", text, headers)

    def revision(self, host=0):
        return self.admin(host, "GET", "/admin/documents/shop").headers["ETag"]

    def payout(self, host, key, body="{}", account="clinic", patience_ms=4000):
        headers = {"Authorization": f"Bearer {KEYS[account]}",
                   "Content-Type": "application/json",
                   "X-Patience-Ms": str(patience_ms)}
        if key:
            headers["Idempotency-Key"] = key
        return call(self.entry_ports[host], "POST", "/services/ledger/payouts",
                    body, headers)

    def request_completion(self, host, tokens=4, account="clinic",
                           patience_ms=10000):
        return call(self.entry_ports[host], "POST", "/v1/completions",
                    {"model": "notes", "prompt": "a", "max_tokens": tokens},
                    {"Authorization": f"Bearer {KEYS[account]}",
                     "X-Patience-Ms": str(patience_ms)})

    def start_stream(self, host, tokens, account="clinic"):
        return Stream(self.entry_ports[host], tokens, account)

    def close(self):
        for process in reversed(self.processes):
            process.close()
        self.port_block.close()
        shutil.rmtree(self.directory, ignore_errors=True)

    def logs(self):
        return "\n".join(
            f"--- {process.name} (exit status {process.exit_status()})"
            f"\n{process.log()[-1500:]}"
            for process in self.processes)


class Stream(threading.Thread):
    """Reads one streamed completion to its end in the background."""

    def __init__(self, port, tokens, account):
        super().__init__(daemon=True)
        self.status = 0
        self.text = b""
        self.ended_at = None
        self._port = port
        self._tokens = tokens
        self._account = account
        self.start()

    def run(self):
        connection = http.client.HTTPConnection(LOOPBACK, self._port, timeout=30)
        try:
            connection.request(
                "POST", "/v1/completions",
                json.dumps({"model": "notes", "prompt": "a", "stream": True,
                            "max_tokens": self._tokens}),
                {"Authorization": f"Bearer {KEYS[self._account]}",
                 "X-Patience-Ms": "10000"})
            reply = connection.getresponse()
            self.status = reply.status
            while chunk := reply.read1(65536):
                self.text += chunk
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
            self.ended_at = time.monotonic()

    def event_count(self):
        return len(self.tokens())

    def tokens(self):
        """Returns the texts of all events that have text."""
        texts = []
        for line in self.text.splitlines():
            if not line.startswith(b"data: {"):
                continue
            event = json.loads(line[len(b"data: "):])
            texts += [choice["text"].strip()
                      for choice in event.get("choices", [])
                      if choice.get("text")]
        return texts

    def is_complete(self):
        return b"data: [DONE]" in self.text


def document(keys=("clinic", "desk"), tokens_per_second=100000, burst=1000000,
             extra=""):
    """Returns the document of service "shop"; only accounts in `keys` have a
    valid key."""
    accounts = ""
    for account in ("clinic", "desk"):
        accounts += (f"[accounts.{account}]\n"
                     f"tokens_per_second = {tokens_per_second}\n"
                     f"burst_tokens = {burst}\nweight = 1\n")
        if account in keys:
            digest = hashlib.sha256((SALT + KEYS[account]).encode()).hexdigest()
            accounts += (f"[accounts.{account}.keys.first]\n"
                         f'digest = "{digest}"\n')
    return f"""
key_salt = "{SALT}"
default_patience_ms = 10000
{extra}
[capacity]
loads_per_second = 7
loads_at_full_speed = 4
adapter_loads_in_flight = 30

[kinds.payout]
weight = 5

[models.notes]
version = "1"
bytes = 1000000
peak_bytes = 1000000
max_replicas = 2

{accounts}
[services.ledger.routes.payouts]
path = "/payouts"
kind = "payout"
idempotent = false
cost_tokens = 1
"""


class FleetTest(unittest.TestCase):
    """A test with its own fleet."""

    hosts = 2
    engines = 1

    def setUp(self):
        self.fleet = Fleet(self.hosts, self.engines)
        self.addCleanup(self._close)

    def _close(self):
        outcome = self._outcome.result
        failed = any(test is self
                     for test, _ in outcome.failures + outcome.errors)
        if failed or os.environ.get("LOFT_LOGS"):
            print(self.fleet.logs(), flush=True)
        self.fleet.close()
