"""A model server of which every stream has neither a length nor chunks. After SIGTERM it
serves on for the time that it owes, until its last stream has ended, and exits."""

import os
import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
import server_base  # noqa: E402

MODEL = "m0"
EVENT_GAP_S = 0.15
# drainMs and a little longer.
DRAIN_S = 2.3


class Streams:
    def __init__(self):
        self._changed = threading.Condition()
        self._running = 0

    def respond(self, connection, request):
        events = int(request.headers["x-events"])
        with self._changed:
            self._running += 1
        server_base.say(f"runs {request.id} ({events} events)")
        try:
            connection.sendall(server_base.answer_head(
                request, f"s.{request.id}", "Content-Type: text/event-stream",
                "Connection: close"))
            for number in range(1, events + 1):
                time.sleep(EVENT_GAP_S)
                connection.sendall(
                    f"id: {number}\ndata: t{number}\n\n".encode())
            server_base.say(f"wrote all {events} events of {request.id}")
        except OSError:
            server_base.say(f"the caller left {request.id}")
        connection.close()
        with self._changed:
            self._running -= 1
            self._changed.notify_all()
        return False

    def drain(self):
        time.sleep(DRAIN_S)
        with self._changed:
            while self._running:
                self._changed.wait()
        server_base.say("exits after its drain, with nothing running")
        os._exit(0)


def main():
    streams = Streams()
    signal.signal(signal.SIGTERM, lambda *_: threading.Thread(
        target=streams.drain, daemon=True).start())
    server_base.Server(server_base.name_of_process(), streams.respond,
                       [MODEL]).serve()


if __name__ == "__main__":
    main()
