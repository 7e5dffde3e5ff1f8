"""Starts hosts of the product as the deploy file does, beside a stand-in of the
platform's store, and offers the callers and the record of a case."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import threading
import time
import shutil
import http.client

import platform_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "bin" / "loft-host"  # As in deploy/system.toml.
HOST_HEADER = "shop.example"
KEY = "key-counter"
HEARTBEAT_S = 1.2
MEMORY_MB = 260
GRACE_S = 8
LIMIT_S = 110  # Of one run of a case.
MAX_BODY_BYTES = 4194304
# Those of the site jarro-ne.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stableMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": GRACE_S, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
    "strictRevoke": True, "revokeMs": 5000, "retryBudgetRatio": 0.2,
    "budgetWindowS": 10, "budgetExtra": 54, "quotaWindowS": 8,
    "quotaOverage": 0.1, "quotaSlack": 17000, "recoveryS": 12, "passMs": 120,
    "retryAfterS": 0, "requireFencing": False, "leaseMs": 3000,
    "thawSlackMs": 300, "ceilingWindowS": 5, "ceilingOverage": 1.1}


class CannotRun(Exception):
    pass


class Record:
    """record.txt of the case: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def write(self, text):
        with self._lock:
            at = time.monotonic() - self._began
            self._file.write(f"{at:8.3f} {text}\n")
            self._file.flush()


def wait_for(condition, limit_s, what):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        found = condition()
        if found:
            return found
        time.sleep(0.05)
    raise CannotRun(f"waited {limit_s} s in vain: {what}")


def route(prefix, kind, service, **more):
    return {"name": prefix.strip("/"), "host": HOST_HEADER,
            "pathPrefix": prefix, "kind": kind, "timeoutMs": 12000,
            "targetLatencyMs": 500, "priority": 1, "service": service,
            "maxAttempts": 1, "public": False, **more}


def configuration(routes, services):
    return {
        "version": 7, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": MAX_BODY_BYTES,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "counter", "apiKeys": [KEY],
                     "unit": "token_count", "plainTokens": 10,
                     "ratePerS": 1000000, "burst": 1000000}]}


def plain_service(name):
    return {"name": name, "healthPath": "/healthz", "maxConnections": 230,
            "protocol": "h1", "tls": False}


def engine_service(name, models):
    return {**plain_service(name), "engine": {
        "slots": 32, "mb": 200000, "adapterSlots": 8, "loadsPerS": 6.8,
        "models": [{"name": model, "mb": 42700, "loadS": 6, "diskS": 0.57,
                    "warmS": 0.44, "adapters": 0, "adapterMb": 66}
                   for model in models]}}


def entry(service, address, born, state="ready", models=None, slots=32):
    value = {"service": service, "address": address, "zone": "rec-a",
             "version": "v1", "slots": slots, "state": state,
             "coldRemainingMs": 0, "born": born, "models": []}
    if models is not None:
        value["stage"] = "unified"
        value["models"] = [{"name": model, "version": 1, "adapters": []}
                           for model in models]
        value["available"] = {"inMemory": list(models), "onDisk": list(models)}
    return value


class ServerProcess:
    """A server in a process of its own. It prints its port, then a line for
    whatever it begins and ends; the lines go to the record."""

    def __init__(self, fleet, name, program, *arguments):
        self.name = name
        self.born = int(time.time() * 1000)
        self.lines = []
        self._fleet = fleet
        self.process = subprocess.Popen(
            ["python3", str(program), name, *arguments],
            stdout=subprocess.PIPE, text=True)
        fleet.processes.append(self.process)
        self.address = "127.0.0.1:" + self.process.stdout.readline().strip()
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        for line in self.process.stdout:
            self.lines.append(line.strip())
            self._fleet.record.write(f"server {self.name}: {line.strip()}")

    def kill(self):
        self._fleet.record.write(f"server {self.name}: SIGKILL (it crashes)")
        self.process.kill()
        self.process.wait()


class Fleet:
    def __init__(self, folder, hosts=1):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="loft-review-"))
        self.processes = []
        self.beating = {}  # Server id: the entry that it writes.
        self._lock = threading.Lock()
        self._beats = 0
        self.closed = False
        self.first_start = True
        if not PROGRAM.exists():
            raise CannotRun("target/bin/loft-host is not built")
        self.store = platform_store.Store("127.0.0.1")
        block = os.getpid() % 240
        self._addresses = [f"127.{10 + block}.7.{21 + index}"
                           for index in range(hosts)]
        self.ports = self._free_ports()
        self.hosts = [None] * hosts
        self.logs = []
        threading.Thread(target=self._beat, daemon=True).start()

    def _free_ports(self):
        found = []
        for _ in range(3):
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                found.append(probe.getsockname()[1])
        return {"front": found[0], "ready": found[1], "peer": found[2]}

    def address(self, index=0):
        return (self._addresses[index], self.ports["front"])

    def settings(self, index):
        ip = self._addresses[index]
        return {
            "node": f"edge-rec-a-{index + 1}", "role": "host",
            "machineClass": "edge", "serves": ["edge"], "ip": ip,
            "zone": "rec-a", "region": "nordeste",
            "zones": {"rec-a": "nordeste"},
            "listen": {"front": f"{ip}:{self.ports['front']}",
                       "ready": f"{ip}:{self.ports['ready']}"},
            "portRange": [self.ports["peer"], self.ports["peer"] + 15],
            "seeds": [], "bootstrap": self.first_start, "countsAsLoss": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": MEMORY_MB,
                       "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip",
            "heartbeatMs": 1200, "bounds": BOUNDS,
            "provider": {"address": self.store_address(index), "form": "kv",
                         "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                         "valueBytes": 1048576, "minTtlMs": 1000}}

    def store_address(self, index):
        """Returns where the host reaches the store."""
        return self.store.address

    def start_host(self, index=0):
        path = self.folder / f"node-{index}.json"
        path.write_text(json.dumps(self.settings(index)))
        log = open(self.folder / f"host-{index}-{len(self.logs)}.log", "w")
        self.logs.append(log)
        # The limit of descriptors and MALLOC_ARENA_MAX as on the platform.
        process = subprocess.Popen(
            [str(PROGRAM)], cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "MALLOC_ARENA_MAX": "1",
                 "HICKORYLOFT_SETTINGS": str(path)})
        self.processes.append(process)
        self.hosts[index] = process
        self.record.write(f"host {index}: started, pid {process.pid}")
        return process

    def ready(self, index=0):
        connection = http.client.HTTPConnection(
            self._addresses[index], self.ports["ready"], timeout=1)
        try:
            connection.request("GET", "/-/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def wait_ready(self):
        for index in range(len(self.hosts)):
            wait_for(lambda i=index: self.ready(i), 20,
                     f"host {index} is ready")

    def register(self, server_id, value):
        with self._lock:
            self.beating[server_id] = value
        self.write_entry(server_id)

    def deregister(self, server_id):
        with self._lock:
            self.beating.pop(server_id, None)
        self.store.remove(f"servers/{server_id}")
        self.record.write(f"store: servers/{server_id} removed")

    def write_entry(self, server_id):
        with self._lock:
            if server_id not in self.beating:
                return
            self._beats += 1
            value = {**self.beating[server_id], "seq": self._beats}
            self.store.put(f"servers/{server_id}", value)

    def _beat(self):
        while not self.closed:
            time.sleep(HEARTBEAT_S)
            for server_id in list(self.beating):
                self.write_entry(server_id)

    def close(self):
        self.closed = True
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.store.close()
        for log in self.logs:
            log.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def head(method, path, request_id, deadline_ms, fields=(), length=0):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_HEADER}",
             f"Request-Id: {request_id}", f"Deadline-Ms: {deadline_ms}",
             f"Authorization: Bearer {KEY}", *fields]
    if method == "POST":
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Answer:
    """What a caller has received. `complete`: the framing says that nothing is
    missing."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False

    def __str__(self):
        return (f"status {self.status}, {len(self.body)} bytes of body, "
                f"{'complete' if self.complete else 'INCOMPLETE'}")


def read_answer(connection, pause_s=0, piece=65536):
    """Reads one answer. Pauses for `pause_s` after each piece."""
    answer, raw = Answer(), b""
    try:
        while b"\r\n\r\n" not in raw:
            got = connection.recv(min(piece, 4096))
            if not got:
                return answer
            raw += got
        text, raw = raw.split(b"\r\n\r\n", 1)
        lines = text.decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split()[1])
        answer.headers = {name.strip().lower(): value.strip() for name, value
                          in (line.split(":", 1) for line in lines[1:])}
        body = _Body(answer)
        body.feed(raw)
        while not answer.complete:
            if pause_s:
                time.sleep(pause_s)
            got = connection.recv(piece)
            if not got:
                body.end()
                return answer
            body.feed(got)
    except OSError:
        pass
    return answer


class _Body:
    """Decodes the body of an answer by its framing."""

    def __init__(self, answer):
        self._answer = answer
        self._raw = b""
        self._chunked = "chunked" in answer.headers.get("transfer-encoding", "")
        length = answer.headers.get("content-length")
        self._length = int(length) if length is not None else None

    def feed(self, data):
        answer = self._answer
        if self._chunked:
            self._raw += data
            while not answer.complete and b"\r\n" in self._raw:
                size_text, rest = self._raw.split(b"\r\n", 1)
                size = int(size_text.split(b";")[0], 16)
                if len(rest) < size + 2:
                    return
                answer.body += rest[:size]
                self._raw = rest[size + 2:]
                answer.complete = size == 0
            return
        answer.body += data
        if self._length is not None and len(answer.body) >= self._length:
            answer.complete = True

    def end(self):
        if not self._chunked and self._length is None:
            self._answer.complete = True


def finish(broken, what):
    """Prints the verdict. Returns the script's exit code."""
    print(("BROKEN: " if broken else "held: ") + what)
    return 1 if broken else 0


def run_case(make_case):
    """Runs the case that `make_case` returns and ends all that it started.
    Returns the script's exit code."""
    def out_of_time(*_):
        raise CannotRun(f"not done after {LIMIT_S} s")
    signal.signal(signal.SIGALRM, out_of_time)
    signal.alarm(LIMIT_S)
    case = None
    try:
        case = make_case()
        return case.run()
    except (CannotRun, OSError) as error:
        print("cannot run:", error)
        return 2
    finally:
        signal.alarm(0)
        if case is not None:
            case.fleet.close()
