"""A planned stop of loft-host while its servers are slow. The settings give a
stop 6 s; what is open after 5.4 s is ended."""

import signal
import socket
import threading
import time
import unittest

import harness
import jarro_harness
from scripted_server import ScriptedServer, chunk, event, head, stream_head

MODEL = "m5"  # No stand-in holds it.
GRACE_S = 6
SLOW_S = 0.3
SILENT_S = 12
KEYS = {"counter": "key-slow"}


def configuration():
    """/pay/ and /open/ may take longer than the grace, /look/ a second, and no
    server is there for /wait/."""
    result = jarro_harness.configuration(2, KEYS)
    by_name = {route["name"]: route for route in result["routes"]}
    by_name["look"]["timeoutMs"] = 1000
    result["routes"].append({**by_name["open"], "name": "wait",
                             "pathPrefix": "/wait/", "service": "absent"})
    result["services"].append({"name": "absent", "maxConnections": 100})
    return result


class SlowFleet(jarro_harness.JarroFleet):

    def __init__(self, hosts, grace_s):
        self.grace_s = grace_s
        super().__init__(hosts)

    def settings(self, index):
        result = super().settings(index)
        result["bounds"]["graceS"] = self.grace_s
        return result


class PlannedStopTest(unittest.TestCase):
    grace_s = GRACE_S

    def setUp(self):
        self.fleet = SlowFleet(1, self.grace_s)
        self.addCleanup(self.fleet.close)
        self.fleet.configure(1)
        self.fleet.wait_ready()
        self.released = threading.Event()
        self.addCleanup(self.released.set)
        self.fleet.control("config", configuration())
        self.engine = self.start_server("s1", "llm")
        self.ledger = self.start_server("ledger-1", "ledger")
        # Replaces the second stand-in too, by the same server.
        self.fleet.control("entry", {"id": "ledger-2",
                                     "value": self.ledger.entry()})
        harness.wait_for(lambda: self.send("/chat/x").status == 200
                         and all(self.send("/pay/x").body == "a receipt"
                                 for _ in range(6)), 10,
                         "the host uses the new servers")
        self.stopped_at = None

    def start_server(self, name, service):
        models = [MODEL] if service == "llm" else []
        server = ScriptedServer(name, service, models, self.respond)
        self.addCleanup(server.close)
        server.register(self.fleet)
        return server

    def respond(self, connection, request):
        if request.target.endswith("/silent"):
            self.released.wait(SILENT_S)
            return False
        if request.target.endswith("/drips"):
            connection.sendall(
                stream_head(request, "Transfer-Encoding: chunked"))
            number = 0
            while not self.released.wait(0.1):
                number += 1
                connection.sendall(chunk(event(number)))
            return False
        if self.released.wait(SLOW_S):
            return False
        if "/chat/" in request.target:
            connection.sendall(
                stream_head(request, f"Content-Length: {len(event(1))}")
                + event(1))
        else:
            connection.sendall(head(request, "200 OK", "Content-Length: 9")
                               + b"a receipt")
        return True

    def send(self, path, deadline_ms=8000):
        headers = {"Deadline-Ms": str(deadline_ms)}
        if path.startswith("/chat/"):
            headers.update({"Model": MODEL, "Token-Usage": "100,20"})
        return self.fleet.post(path, key=KEYS["counter"], headers=headers)

    def start(self, path, deadline_ms=8000):
        """Sends a request on a thread of its own. Returns a function that waits
        for its end, and returns the reply and its time after the stop began."""
        result = []

        def run():
            reply = self.send(path, deadline_ms)
            result.extend([reply, time.monotonic()])
        thread = threading.Thread(target=run)
        thread.start()

        def join():
            thread.join()
            return result[0], result[1] - self.stopped_at
        return join

    def stop(self):
        self.stopped_at = time.monotonic()
        self.fleet.hosts[0].signal(signal.SIGTERM)

    def wait_until(self, after_s):
        time.sleep(max(0, self.stopped_at + after_s - time.monotonic()))

    def arrived(self):
        return len(self.ledger.requests) + len(self.engine.requests)

    def check_refused_at_once(self, path, deadline_ms=8000):
        arrived, began = self.arrived(), time.monotonic()
        reply = self.send(path, deadline_ms)
        what = f"{path} {deadline_ms} ms: {reply}"
        self.assertEqual(reply.status, 503, what)
        self.assertIn("host_stops", reply.body)
        self.assertIn("Retry-After", reply.headers)
        self.assertLess(time.monotonic() - began, SLOW_S, what)
        self.assertEqual(self.arrived(), arrived, what)

    def check_served(self, path, deadline_ms=8000):
        reply = self.send(path, deadline_ms)
        self.assertEqual((reply.status, reply.complete), (200, True),
                         f"{path} {deadline_ms} ms: {reply}")


class PlannedStop(PlannedStopTest):

    def test_nothing_is_taken_that_may_not_end(self):
        """Regression test: requests that came late in the grace were passed
        on, and cut at its end."""
        open_until_the_end = self.start("/chat/drips")
        harness.wait_for(lambda: self.engine.requests[-1].target
                         .endswith("/drips"), 5, "the stream has started")
        self.stop()
        self.wait_until(0.5)
        self.check_refused_at_once("/pay/silent")
        self.check_refused_at_once("/open/silent")
        self.check_served("/chat/x")
        self.check_served("/look/x")
        self.check_served("/pay/x", deadline_ms=3000)
        self.wait_until(2.8)
        self.check_refused_at_once("/chat/x")
        self.check_refused_at_once("/pay/x", deadline_ms=3000)
        self.check_served("/pay/x", deadline_ms=1000)
        self.wait_until(4.0)
        self.check_served("/look/x")
        self.wait_until(4.6)
        self.check_refused_at_once("/look/x")
        self.check_served("/look/x", deadline_ms=400)
        open_until_the_end()
        self.assertEqual(self.fleet.hosts[0].wait(), 0)

    def test_open_requests_have_a_true_answer_at_the_end(self):
        """Regression test: connections were closed without an answer."""
        silent = {path: self.start(path) for path in
                  ("/pay/silent", "/open/silent", "/chat/silent")}
        waiting = self.start("/wait/x")
        dripping = self.start("/chat/drips")
        harness.wait_for(
            lambda: {"/pay/silent", "/open/silent", "/chat/silent",
                     "/chat/drips"} <= {
                request.target for server in (self.ledger, self.engine)
                for request in server.requests}, 5, "the requests have arrived")
        self.stop()
        self.wait_until(0.5)
        late_stream = self.start("/chat/silent")
        self.wait_until(3)
        self.assertEqual(self.fleet.hosts[0].exit_status(), None)
        for path, join in (*silent.items(), ("late stream", late_stream)):
            reply, after_s = join()
            self.assertEqual((reply.status, reply.complete), (502, True),
                             f"{path}: {reply}")
            self.assertIn("host_stops", reply.body)
            self.assertNotIn("Retry-After", reply.headers)
            self.assertLess(after_s, GRACE_S)
        reply, after_s = waiting()
        self.assertEqual((reply.status, reply.complete), (503, True), reply)
        self.assertIn("Retry-After", reply.headers)
        reply, after_s = dripping()
        self.assertEqual((reply.status, reply.complete), (200, False), reply)
        self.assertIn("t1", reply.events())
        self.assertLess(after_s, GRACE_S)
        self.assertEqual(self.fleet.hosts[0].wait(), 0)
        self.assertLess(time.monotonic() - self.stopped_at, GRACE_S)

    def test_half_read_request_is_refused_at_the_end(self):
        """Regression test: it was cut, and its caller could not know that it
        had not run."""
        address = (self.fleet.address(0), self.fleet.ports["front"])
        open_until_the_end = self.start("/chat/drips")
        harness.wait_for(lambda: self.engine.requests[-1].target
                         .endswith("/drips"), 5, "the stream has started")
        self.stop()
        self.wait_until(4.5)
        with socket.create_connection(address, timeout=GRACE_S) as caller:
            caller.sendall(b"POST /pay/half HTTP/1.1\r\nHost: "
                           + jarro_harness.HOST_HEADER.encode()
                           + b"\r\nRequest-Id: half\r\nDeadline-Ms: 300\r\n"
                           b"Content-Length: 1000\r\n\r\n{")
            got = b""
            while piece := caller.recv(4096):
                got += piece
        self.assertTrue(got.startswith(b"HTTP/1.1 503 "), got)
        self.assertIn(b"\r\nRetry-After: ", got)
        open_until_the_end()
        self.assertEqual(self.fleet.hosts[0].wait(), 0)
        self.assertLess(time.monotonic() - self.stopped_at, GRACE_S)


class ShortGrace(PlannedStopTest):
    """The grace is shorter than the time in which balancers notice."""
    grace_s = 2

    def test_open_requests_have_an_answer_within_the_grace(self):
        """Regression test: the host went on for 2.8 s, whatever the grace."""
        silent = self.start("/pay/silent")
        harness.wait_for(lambda: self.ledger.requests[-1].target
                         == "/pay/silent", 5, "the request has arrived")
        self.stop()
        self.wait_until(self.grace_s - 0.5)
        late = self.start("/chat/silent")
        reply, after_s = silent()
        self.assertEqual((reply.status, reply.complete), (502, True), reply)
        self.assertLess(after_s, self.grace_s)
        reply, after_s = late()
        self.assertNotEqual(reply.status, 502, reply)
        self.assertLess(after_s, self.grace_s)
        self.assertNotIn("/chat/silent", [request.target for request
                                          in self.engine.requests])
        self.assertEqual(self.fleet.hosts[0].wait(), 0)
        self.assertLess(time.monotonic() - self.stopped_at, self.grace_s)


if __name__ == "__main__":
    unittest.main()
