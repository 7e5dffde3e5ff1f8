"""A server of the stand-ins: a thread a connection, one request at a time. The
script of the case gives the function that answers a request."""

import json
import socket
import sys
import threading

HEAD_LIMIT = 65536
_print_lock = threading.Lock()


def say(text):
    """Tells the script what has happened."""
    with _print_lock:
        print(text, flush=True)


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.id = headers.get("request-id", "")


def answer_head(request, signature, *fields, status="200 OK"):
    return ("\r\n".join([f"HTTP/1.1 {status}", f"Request-Id: {request.id}",
                         f"Server-Signature: {signature}", *fields])
            + "\r\n\r\n").encode()


def read_request(stream):
    line = stream.readline(HEAD_LIMIT).decode("latin-1").split()
    if len(line) != 3:
        return None
    headers = {}
    while True:
        field = stream.readline(HEAD_LIMIT).decode("latin-1").strip()
        if not field:
            break
        name, value = field.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = stream.read(length) if length else b""
    if len(body) < length:
        return None  # The caller has left.
    return Request(line[0], line[1], headers, body)


class Server:
    """`respond(connection, request)` returns whether the connection stays
    open. `models`: those that reports name."""

    def __init__(self, name, respond, models=()):
        self.name = name
        self._respond = respond
        self._models = models
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)

    def serve(self):
        print(self._listener.getsockname()[1], flush=True)
        while True:
            connection, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=[connection],
                             daemon=True).start()

    def _serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            with connection, connection.makefile("rb") as stream:
                while request := read_request(stream):
                    if not self._answer(connection, request):
                        return
        except (OSError, ValueError):
            pass

    def _answer(self, connection, request):
        expected = request.headers.get("expect-instance", self.name)
        if expected != self.name:
            connection.sendall(
                b"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: "
                + self.name.encode() + b"\r\nContent-Length: 0\r\n\r\n")
            return True
        if request.target == "/healthz":
            connection.sendall(b"HTTP/1.1 200 OK\r\nInstance-Id: "
                               + self.name.encode()
                               + b"\r\nContent-Length: 0\r\n\r\n")
            return True
        if request.target in ("/-/report", "/-/order"):
            return self._control(connection, request)
        return self._respond(connection, request)

    def _control(self, connection, request):
        # All models are held from the start, so that each order already holds.
        body = json.dumps({
            "stage": "unified", "busy": False, "seq": 0, "queueDepth": 0,
            "inFlight": 0, "kvUsed": 0, "kvTotal": 124384, "handles": 0,
            "models": [{"name": model, "version": 1, "adapters": []}
                       for model in self._models]}).encode()
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json"
                           b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        return True


def name_of_process():
    return sys.argv[1]
