"""A TCP relay whose link can be cut: while it is, nothing passes, and nobody is
told."""

import socket
import threading

PIECE = 65536


class Relay:
    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]
        self._open = threading.Event()
        self._open.set()
        self._generation = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        self._open.clear()

    def heal(self):
        """What was held up is lost: its senders have given up since."""
        self._generation += 1
        self._open.set()

    def close(self):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=[near],
                             daemon=True).start()

    def _connect(self, near):
        generation = self._generation
        self._open.wait()
        if generation != self._generation:
            near.close()
            return
        try:
            far = socket.create_connection(self._target)
        except OSError:
            near.close()
            return
        for source, sink in ((near, far), (far, near)):
            source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._pump,
                             args=[source, sink, generation],
                             daemon=True).start()

    def _pump(self, source, sink, generation):
        try:
            while data := source.recv(PIECE):
                self._open.wait()
                if generation != self._generation:
                    break
                sink.sendall(data)
        except OSError:
            pass
        # Also while the link is cut, an end must not pass.
        self._open.wait()
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            end.close()
