"""Plays seeded histories of faults against real processes, and checks by what
callers and servers saw that no request is run twice, refused with a promise
although it ran, or answered with anything but its own answer."""

import argparse
import collections
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
os.environ.setdefault("LOFT_BIN", str(ROOT / "build" / "bin"))
sys.path.insert(0, str(ROOT / "Tests" / "process"))
import harness  # noqa: E402
import jarro_harness  # noqa: E402

MODEL = "m5"  # No stand-in of the harness holds it.
SERVER = pathlib.Path(__file__).with_name("soak_server.py")
# These statuses promise that the request has not run and never will.
PROMISES = {408, 421, 429, 503}
# How long a request that was refused is given to run after all.
SETTLE_S = 2.5
REUSE_AFTER_S = 2.0
# A crashed server's entry is removed after this silence.
HEARTBEATS_S = 3.6
ROUTES = {"/chat/": 0.35, "/letter/": 0.15, "/pay/": 0.35, "/look/": 0.15}
MAY_RUN_AGAIN = {"/letter/", "/look/"}


class SoakServer:
    """A server process, which keeps its port over restarts."""

    def __init__(self, soak, name, model):
        self.soak = soak
        self.model = model
        self.port = 0
        self.births = 0
        self.log = soak.fleet.directory / f"server-{name}.log"
        self.start(name)

    def start(self, name):
        self.name = name
        self.births += 1
        offset = self.log.stat().st_size if self.log.exists() else 0
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-B", str(SERVER), name, str(self.port),
                 self.model, str(self.soak.random.randrange(1 << 30)),
                 json.dumps(self.soak.shares)], stdout=log, stderr=log)

        def listens():
            text = self.log.read_bytes()[offset:].decode()
            return text.partition("listening ")[2].partition("\n")[0]
        self.port = int(harness.wait_for(listens, 10, f"{name} listens"))
        self.register()

    def register(self, state="ready"):
        models = [{"name": self.model, "version": 1, "adapters": []}]
        self.soak.fleet.control("entry", {"id": self.name, "value": {
            "service": "llm" if self.model else "ledger",
            "address": f"127.0.0.1:{self.port}", "zone": "z1", "version": "v1",
            "slots": 8, "state": state, "born": 1000 + self.births, "seq": 1,
            "models": models if self.model else [],
            "available": {"inMemory": [],
                          "onDisk": [self.model] if self.model else []}}})

    def send(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.process.wait()


class Caller(threading.Thread):
    """Sends requests one after the other, several on each connection."""

    def __init__(self, soak, number):
        super().__init__(daemon=True)
        self.soak = soak
        self.number = number
        self.random = random.Random(f"{soak.seed}.{number}")
        self.connection = None
        self.results = []  # (id, route, status, complete, body)

    def run(self):
        sent = 0
        while not self.soak.stopping.is_set():
            sent += 1
            route = self.random.choices(list(ROUTES), ROUTES.values())[0]
            self.send(f"c{self.number}.{sent}", route)
            time.sleep(self.random.uniform(0, 0.05))

    def connect(self):
        if self.connection is None or self.random.random() < 0.1:
            self.close()
            host = self.random.randrange(len(self.soak.fleet.hosts))
            self.connection = http.client.HTTPConnection(
                self.soak.fleet.address(host), self.soak.fleet.ports["front"],
                timeout=self.random.choice([0.5, 5, 9]))
        return self.connection

    def close(self):
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def send(self, request_id, route):
        headers = {"Host": jarro_harness.HOST_HEADER, "Request-Id": request_id,
                   "Deadline-Ms": str(self.random.choice([1000, 1500, 8000])),
                   "Authorization": "Bearer key-counter"}
        if route in ("/chat/", "/letter/"):
            headers |= {"Model": MODEL, "Token-Usage": "100,20"}
        status, complete, body = 0, False, b""
        try:
            connection = self.connect()
            connection.request("POST", route + request_id, b"{}", headers)
            answer = connection.getresponse()
            status = answer.status
            body = answer.read()
            complete = True
        except http.client.IncompleteRead as error:
            body = error.partial
            self.close()
        except (OSError, http.client.HTTPException):
            self.close()
        self.results.append((request_id, route, status, complete, body))


class Soak:
    def __init__(self, seed, options):
        self.seed = seed
        self.options = options
        self.random = random.Random(seed)
        self.stopping = threading.Event()
        self.faults = collections.Counter()
        self.shares = {
            "reject": self.random.choice([0.05, 0.3]),
            "copy_at_next": 0.3, "copy_at_once": 0.1, "copy_later": 0.2,
            "stall": self.random.choice([0, 0.01, 0.05]),
            "lose_answer": 0.02, "reset": 0.5, "shed": 0.03,
            "unframed": 0.2, "break_stream": 0.01,
            "forget_idle": self.random.choice([0, 0.05]),
            **json.loads(options.shares)}
        self.fleet = jarro_harness.JarroFleet(options.hosts)
        self.servers = []
        self.busy = set()

    def start(self):
        self.fleet.configure(1)
        for server in self.fleet.platform_state()["servers"]:
            # Only servers that keep a record are used.
            self.fleet.control("remove-entry", {"id": server["id"]})
        for number in range(self.options.servers):
            self.servers.append(SoakServer(
                self, f"s{number}", MODEL if number % 3 else ""))
        self.fleet.wait_ready()

    def play(self):
        callers = [Caller(self, number)
                   for number in range(self.options.callers)]
        for caller in callers:
            caller.start()
        end = time.monotonic() + self.options.seconds
        players = []
        while time.monotonic() < end:
            time.sleep(self.random.uniform(0.1, 1) * self.options.pause)
            fault = FAULTS[self.random.choice(self.options.faults)]
            player = threading.Thread(
                target=fault, daemon=True,
                args=[self, random.Random(self.random.random())])
            self.faults[fault.__name__] += 1
            player.start()
            players.append(player)
        for player in players:
            player.join()
        self.stopping.set()
        for caller in callers:
            caller.join()
        time.sleep(SETTLE_S)
        return [result for caller in callers for result in caller.results]

    def claim(self, things, chance):
        """Returns one of `things` that no other fault is using."""
        free = [thing for thing in things if id(thing) not in self.busy]
        if not free:
            return None
        thing = chance.choice(free)
        self.busy.add(id(thing))
        return thing

    def runs(self):
        runs = collections.Counter()
        for server in self.servers:
            for line in server.log.read_text().splitlines():
                if line.startswith("run "):
                    runs[line[4:]] += 1
        return runs

    def check(self, results):
        runs, broken = self.runs(), []
        sent = {result[0] for result in results}
        for request_id, route, status, complete, body in results:
            ran = runs[request_id]
            if route not in MAY_RUN_AGAIN and ran > 1:
                broken.append(f"TWICE: {request_id} {route} ran {ran} times, "
                              f"answered {status}")
            if route not in MAY_RUN_AGAIN and ran and status in PROMISES:
                broken.append(f"REFUSED: {request_id} {route} answered "
                              f"{status} {body[:80]} and ran")
            if status == 200 and complete and not self.whole(
                    request_id, route, body):
                broken.append(f"MIXED: {request_id} {route} got {body[:80]}")
            if status and not 200 <= status <= 599:
                broken.append(f"MIXED: {request_id} {route} status {status}")
        for request_id in runs.keys() - sent:
            broken.append(f"UNASKED: {request_id} ran")
        return broken

    @staticmethod
    def whole(request_id, route, body):
        if route in ("/pay/", "/look/"):
            return body == f"done {request_id}".encode()
        events = [line[6:] for line in body.decode().splitlines()
                  if line.startswith("data: ")]
        return events == [f"{request_id}.{number}" for number in range(1, 7)]

    def close(self):
        for server in self.servers:
            server.send(signal.SIGCONT)
            server.kill()
        for host in self.fleet.hosts:
            host.signal(signal.SIGCONT)
        if not self.options.keep:
            self.fleet.close()
            return
        print("logs:", self.fleet.directory)
        for process in self.fleet.processes:
            process.close()


def pause(soak, chance, things, send):
    """Stops one of `things` with `send` for a while."""
    thing = soak.claim(things, chance)
    if thing is None:
        return
    send(thing, signal.SIGSTOP)
    time.sleep(chance.uniform(0.05, 2))
    send(thing, signal.SIGCONT)
    soak.busy.discard(id(thing))


def pause_server(soak, chance):
    pause(soak, chance, soak.servers, SoakServer.send)


def pause_host(soak, chance):
    pause(soak, chance, soak.fleet.hosts, harness.Process.signal)


def crash_server(soak, chance):
    """Comes back at its address, under its own id or under another one."""
    server = soak.claim(soak.servers, chance)
    if server is None:
        return
    server.kill()
    if chance.random() < 0.5:
        time.sleep(chance.uniform(0.1, 1))
        server.start(server.name)
    else:
        time.sleep(REUSE_AFTER_S)
        lost = server.name
        server.start(f"{lost}r")
        time.sleep(HEARTBEATS_S - REUSE_AFTER_S)
        soak.fleet.control("remove-entry", {"id": lost})
    soak.busy.discard(id(server))


def rename_server(soak, chance):
    """Another instance serves the open connections, as behind a relay."""
    server = soak.claim(soak.servers, chance)
    if server is None:
        return
    old = server.name
    server.send(signal.SIGUSR1)
    time.sleep(chance.uniform(0, 0.3))
    server.name = old + "'"
    server.births += 1
    server.register()
    soak.fleet.control("remove-entry", {"id": old})
    soak.busy.discard(id(server))


def restart_host(soak, chance):
    host = soak.claim(soak.fleet.hosts, chance)
    if host is None:
        return
    index = soak.fleet.hosts.index(host)
    host.signal(chance.choice([signal.SIGKILL, signal.SIGTERM]))
    host.wait(12)
    soak.fleet.start_host(index)


FAULTS = {fault.__name__: fault for fault in
          (pause_server, crash_server, rename_server, pause_host,
           restart_host)}


def play_seed(seed, options):
    soak = Soak(seed, options)
    try:
        soak.start()
        results = soak.play()
        broken = soak.check(results)
    finally:
        soak.close()
    statuses = collections.Counter(result[2] for result in results)
    rules = collections.Counter(line.split(":")[0] for line in broken)
    print(f"seed {seed}: {len(results)} requests, statuses "
          f"{dict(sorted(statuses.items()))}, faults {dict(soak.faults)}, "
          f"broken {dict(rules)}", flush=True)
    for line in broken[:10]:
        print("  " + line, flush=True)
    return not broken


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15,
                        help="time of faults in each play")
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--servers", type=int, default=9)
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--faults", nargs="+", choices=FAULTS,
                        default=sorted(FAULTS), help="default: all")
    parser.add_argument("--pause", type=float, default=0.5, metavar="S",
                        help="longest time between two faults")
    parser.add_argument("--shares", default="{}", metavar="JSON",
                        help="replaces shares of the servers' misbehaviour")
    parser.add_argument("--keep", action="store_true", help="keep the logs")
    options = parser.parse_args()
    results = [play_seed(seed, options) for seed in
               range(options.first, options.first + options.seeds)]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
