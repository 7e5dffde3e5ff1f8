"""A model server or plain service whose responses a test writes byte by byte,
for framings and faults that a regular HTTP server does not produce."""

import json
import socket
import struct
import threading

HEAD_LIMIT = 65536


class Request:
    def __init__(self, target, headers, body):
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def id(self):
        return self.headers.get("request-id", "")


def head(request, status="200 OK", *fields, echo=True, signed=True):
    """Returns the head of a response to `request`."""
    lines = [f"HTTP/1.1 {status}"]
    if echo:
        lines.append(f"Request-Id: {request.id}")
    if signed:
        lines.append(f"Server-Signature: s.{request.id}")
    return "\r\n".join([*lines, *fields, "", ""]).encode()


def stream_head(request, *fields):
    return head(request, "200 OK", "Content-Type: text/event-stream", *fields)


def event(number, data=None):
    return f"id: {number}\ndata: {data or f't{number}'}\n\n".encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def read_request(connection, before_body=None):
    """Returns the next request; None if the connection has ended. `before_body`
    is called before the rest of a long body is read."""
    data = b""
    while b"\r\n\r\n" not in data and len(data) < HEAD_LIMIT:
        piece = connection.recv(4096)
        if not piece:
            return None
        data += piece
    text, body = data.split(b"\r\n\r\n", 1)
    first, *fields = text.decode().split("\r\n")
    headers = {name.lower(): value for name, value in
               (field.split(": ", 1) for field in fields)}
    length = int(headers.get("content-length", 0))
    if before_body is not None and len(body) < length:
        before_body()
    while len(body) < length:
        piece = connection.recv(length - len(body))
        if not piece:
            break
        body += piece
    return Request(first.split(" ")[1], headers, body)


class ScriptedServer:
    """Serves each connection on a thread of its own. `respond` is called with
    the socket and the Request for each request that is not a control call; it
    returns whether the connection stays open."""

    def __init__(self, name, service, models, respond):
        self.name = name
        self.service = service
        self.models = models
        self.respond = respond
        self.control_status = "200 OK"  # Of reports and orders.
        self.before_body = None
        self.requests = []
        self.kept = set()  # Connections that have carried a whole exchange.
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self._connections = []
        self._crash_lock = threading.Lock()
        self._crashed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, **more):
        models = [{"name": name, "version": 1, "adapters": []}
                  for name in self.models]
        return {"service": self.service, "address": f"127.0.0.1:{self.port}",
                "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
                "born": 2000, "seq": 1, "models": models,
                "available": {"inMemory": [], "onDisk": self.models}, **more}

    def register(self, fleet):
        fleet.control("entry", {"id": self.name, "value": self.entry()})

    def leave(self, fleet):
        """Removes the server's registration; it continues to run."""
        fleet.control("remove-entry", {"id": self.name})

    def crash(self):
        """Refuses new connections and ends all open ones. No report is answered
        once the first connection has ended, as none of the threads of a process
        that has crashed goes on."""
        with self._crash_lock:
            self._crashed = True
            for end in (self._listener, *self._connections):
                try:
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # Ended already.
                end.close()

    close = crash

    def shrink_receive_buffers(self, size):
        """Sets the receive buffers of the connections that follow."""
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._connections.append(connection)
            threading.Thread(target=self._serve, args=[connection],
                             daemon=True).start()

    def _serve(self, connection):
        try:
            with connection:
                while request := read_request(connection, self.before_body):
                    if not self._answer(connection, request):
                        return
                    self.kept.add(connection)
        except OSError:
            pass

    def _answer(self, connection, request):
        if request.target in ("/-/order", "/-/report"):
            body = json.dumps({"stage": "unified", "busy": False, "seq": 0,
                               "models": self.entry()["models"]}).encode()
            with self._crash_lock:
                if self._crashed:
                    return False
                connection.sendall(
                    head(request, self.control_status,
                         f"Content-Length: {len(body)}", signed=False) + body)
            return True
        self.requests.append(request)
        return self.respond(connection, request)


def reset(connection):
    """Makes the close of `connection` a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                          struct.pack("ii", 1, 0))
