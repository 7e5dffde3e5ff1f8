"""Servers that some requests crash."""

import threading
import time

from scripted_server import ScriptedServer, chunk, event, head, stream_head

TIME_TO_CRASH_S = 0.05
STREAM_EVENTS = 4
EVENT_INTERVAL_S = 0.02


def answer_stream(connection, request):
    connection.sendall(stream_head(request, "Transfer-Encoding: chunked"))
    for number in range(1, STREAM_EVENTS + 1):
        connection.sendall(chunk(event(number)))
        time.sleep(EVENT_INTERVAL_S)
    connection.sendall(chunk(b""))


def answer_whole(connection, request):
    time.sleep(EVENT_INTERVAL_S)
    connection.sendall(head(request, "200 OK", "Content-Length: 4") + b"done")


def begin_unframed(connection, request):
    """Writes the first half of an answer that ends with its connection."""
    connection.sendall(head(request) + b"do")


class CrashingServers:
    """Servers of a service that crash when they begin to answer a request for
    which `crashes` is true, and come back under another id, a model server
    empty-handed. `answer` writes the other answers; `begin` writes what a
    server has written when it crashes."""

    def __init__(self, fleet, service, models, crashes, answer=answer_stream,
                 count=10, restart_s=0.6, begin=lambda *_: None):
        self.fleet = fleet
        self.service = service
        self.models = models
        self.crashes_on = crashes
        self.answer = answer
        self.begin = begin
        self.restart_s = restart_s
        self.arrivals = []  # Times of requests that crash servers.
        self.crashes = []
        self.stopped = False
        self._lock = threading.Lock()
        self._servers = {}
        self._started = 0
        for _ in range(count):
            self.start()

    def start(self):
        with self._lock:
            if self.stopped:
                return
            self._started += 1
            name = f"{self.service}-{self._started}"
            server = ScriptedServer(name, self.service, self.models,
                                    lambda c, r: self.respond(name, c, r))
            self._servers[name] = server
        server.register(self.fleet)

    def respond(self, name, connection, request):
        if self.crashes_on(request):
            self.arrivals.append(time.monotonic())
            self.begin(connection, request)
            time.sleep(TIME_TO_CRASH_S)
            self.crash(name)
            return False
        self.answer(connection, request)
        return True

    def names(self):
        with self._lock:
            return sorted(self._servers)

    def crash(self, name):
        with self._lock:
            server = self._servers.pop(name, None)
        if server is None:
            return  # Crashed by another request.
        self.crashes.append(time.monotonic())
        server.crash()

        def restart():
            if self.stopped:
                return
            self.fleet.control("remove-entry", {"id": name})
            self.start()
        timer = threading.Timer(self.restart_s, restart)
        timer.daemon = True
        timer.start()

    def close(self):
        with self._lock:
            self.stopped = True
            servers = list(self._servers.values())
        for server in servers:
            server.close()
