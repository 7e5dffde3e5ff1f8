"""A server process of the soak. It serves each connection on a thread, misbehaves
at random, and writes a line for each request that it runs or rejects.

Arguments: name, port (0: any), model (empty: a plain service), seed, and the
shares of misbehaviour as JSON. SIGUSR1: it is called `name`+"'" from then on."""

import json
import os
import pathlib
import random
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "process"))
from scripted_server import chunk, event, read_request, reset  # noqa: E402

EVENT_GAP_S = 0.03
STREAM_EVENTS = 6
NOT_RUN = "Not-Executed: 1"


def write_line(text):
    # One call for each line, so that a kill loses none that came before it.
    os.write(1, (text + "\n").encode())


def head(request_id, status, *fields, signed=True):
    lines = [f"HTTP/1.1 {status}", f"Request-Id: {request_id}"]
    if signed:
        lines.append(f"Server-Signature: s.{request_id}")
    return "\r\n".join([*lines, *fields, "", ""]).encode()


def with_length(request_id, status, body, *fields, signed=True):
    return head(request_id, status, f"Content-Length: {len(body)}", *fields,
                signed=signed) + body


class Connection:
    """A caller's connection, on which an answer may be written once more."""

    def __init__(self, handle):
        self.handle = handle
        self.lock = threading.Lock()
        self.rejection = None  # The last one.

    def write(self, data):
        with self.lock:
            self.handle.sendall(data)

    def write_later(self, data, delay_s):
        def write():
            try:
                self.write(data)
            except OSError:
                pass  # The caller closed the connection.
        timer = threading.Timer(delay_s, write)
        timer.daemon = True
        timer.start()

    def reset(self):
        reset(self.handle)
        self.handle.close()


class Server:
    def __init__(self, name, port, model, seed, shares):
        self.name = name
        self.model = model
        self.shares = shares
        self.random = random.Random(seed)
        self.lock = threading.Lock()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(64)

    def happens(self, what):
        with self.lock:
            return self.random.random() < self.shares.get(what, 0)

    def draw(self, low, high):
        with self.lock:
            return self.random.uniform(low, high)

    def serve(self):
        write_line(f"listening {self.listener.getsockname()[1]}")
        while True:
            handle, _ = self.listener.accept()
            threading.Thread(target=self.serve_connection, args=[handle],
                             daemon=True).start()

    def serve_connection(self, handle):
        connection = Connection(handle)
        try:
            with handle:
                while request := read_request(handle):
                    if not self.answer(connection, request):
                        return
                    if self.happens("forget_idle"):
                        connection.reset()
                        return
        except (OSError, ValueError):
            pass  # The caller closed the connection.

    def answer(self, connection, request):
        if request.headers.get("expect-instance", self.name) != self.name:
            return self.reject(connection, request, "421 Misdirected Request")
        if request.target.startswith("/-/"):
            models = [{"name": self.model, "version": 1, "adapters": []}]
            body = json.dumps({"stage": "unified", "busy": False, "seq": 0,
                               "models": models if self.model else []})
            connection.write(with_length("", "200 OK", body.encode(),
                                         signed=False).replace(
                                             b"Request-Id: \r\n", b""))
            return True
        if connection.rejection and self.happens("copy_at_next"):
            # An answer too many, where the next one is due.
            connection.write(connection.rejection)
            connection.rejection = None
        if self.happens("reject"):
            return self.reject(connection, request, "503 Full")
        write_line(f"run {request.id}")
        if self.happens("stall"):
            time.sleep(self.draw(0.3, 3))
        if self.happens("lose_answer"):
            if self.happens("reset"):
                connection.reset()
            return False
        if self.happens("shed"):
            status = ["503 Busy", "429 Busy", "408 Slow", "500 Failed"][
                int(self.draw(0, 4))]
            connection.write(with_length(request.id, status, b"shed"))
            return True
        if "/chat" in request.target or "/letter" in request.target:
            return self.stream(connection, request)
        time.sleep(self.draw(0.002, 0.03))
        connection.write(with_length(request.id, "200 OK",
                                     f"done {request.id}".encode()))
        self.write_copies(connection, with_length(request.id, "200 OK",
                                                  b"a copy"))
        return True

    def reject(self, connection, request, status):
        """421 needs no mark that the request has not run."""
        mark = [] if status.startswith("421") else [NOT_RUN]
        rejection = with_length(request.id, status, b"", *mark, signed=False)
        write_line(f"reject {request.id}")
        connection.write(rejection)
        connection.rejection = rejection
        self.write_copies(connection, rejection)
        return True

    def write_copies(self, connection, answer):
        if self.happens("copy_at_once"):
            connection.write(answer)
        if self.happens("copy_later"):
            connection.write_later(answer, self.draw(0, 0.4))

    def stream(self, connection, request):
        framed = not self.happens("unframed")
        fields = ["Content-Type: text/event-stream",
                  "Transfer-Encoding: chunked" if framed
                  else "Connection: close"]
        first = int(request.headers.get("last-event-id", 0)) + 1
        connection.write(head(request.id, "200 OK", *fields))
        for number in range(first, STREAM_EVENTS + 1):
            time.sleep(EVENT_GAP_S)
            data = event(number, f"{request.id}.{number}")
            connection.write(chunk(data) if framed else data)
            if self.happens("break_stream"):
                connection.reset()
                return False
        if framed:
            connection.write(chunk(b""))
        return framed


def main():
    name, port, model, seed, shares = sys.argv[1:]
    server = Server(name, int(port), model, int(seed), json.loads(shares))

    def rename(*_):
        server.name += "'"
    signal.signal(signal.SIGUSR1, rename)
    server.serve()


if __name__ == "__main__":
    main()
