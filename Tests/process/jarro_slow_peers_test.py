"""Callers and servers that keep their receive windows closed for seconds."""

import signal
import socket
import time
import unittest

import jarro_harness
from scripted_server import ScriptedServer, chunk, event, head, stream_head

MODEL = "m5"  # No stand-in holds it.
SMALL_BUFFER = 4096
# Longer than the silence after which a peer is considered gone.
PAUSE_S = 4.5
EVENTS = 100
EVENT = "x" * 500
BODY = b"b" * 60000
LIMIT_S = 12


class SlowPeers(jarro_harness.JarroTest):
    hosts = 1

    def start_server(self, respond):
        server = ScriptedServer("s1", "llm", [MODEL], respond)
        self.addCleanup(server.close)
        server.register(self.fleet)
        return server

    def test_slow_caller_gets_its_whole_answer_in_a_planned_stop(self):
        """Guards against answers that are cut around a planned stop because
        their callers read slowly (LOST, review/12)."""
        def respond(connection, request):
            connection.sendall(
                stream_head(request, "Transfer-Encoding: chunked")
                + b"".join(chunk(event(number, EVENT))
                           for number in range(EVENTS)) + chunk(b""))
            return True
        server = self.start_server(respond)
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        caller.settimeout(LIMIT_S)
        caller.connect((self.fleet.address(0), self.fleet.ports["front"]))
        caller.sendall("\r\n".join([
            "POST /chat/x HTTP/1.1", f"Host: {jarro_harness.HOST_HEADER}",
            "Deadline-Ms: 8000", "Request-Id: slow",
            "Authorization: Bearer key-counter", f"Model: {MODEL}",
            "Token-Usage: 100,20", "Content-Length: 2", "", "{}"]).encode())
        while not server.requests:
            time.sleep(0.01)
        time.sleep(0.3)
        self.fleet.hosts[0].signal(signal.SIGTERM)
        time.sleep(PAUSE_S)
        got = b""
        while not got.endswith(b"\r\n0\r\n\r\n"):
            piece = caller.recv(65536)
            self.assertTrue(piece, f"ended after {got.count(b'id: ')} events")
            got += piece
        self.assertEqual(got.count(b"id: "), EVENTS)

    def test_slow_server_gets_the_whole_request(self):
        """Guards against requests that fail at sound servers which read slowly:
        the cause of review/12 on the other side of the host."""
        def respond(connection, request):
            connection.sendall(head(request, "200 OK", "Content-Length: 0"))
            return True
        server = self.start_server(respond)
        server.shrink_receive_buffers(SMALL_BUFFER)
        server.before_body = lambda: time.sleep(PAUSE_S)
        reply = self.fleet.chat(MODEL, body=BODY)
        self.assertEqual(reply.status, 200, reply)
        self.assertEqual([request.body for request in server.requests], [BODY])


if __name__ == "__main__":
    unittest.main()
