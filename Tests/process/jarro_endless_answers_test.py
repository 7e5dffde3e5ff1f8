"""Servers that answer many requests at once without end, against the memory of
one host."""

import re
import threading
import time
import unittest

import jarro_harness
import scripted_server

# The platform ends a host that uses more.
MEMORY_MB = 160
SLOTS = 100
AT_ONCE = 100
ROUNDS = 3
PIECE = b"x" * 16384
# About 2 MB/s on each connection.
PIECE_INTERVAL_S = 0.008
# A host hears of a new server within this time.
KNOWN_AFTER_S = 1
SOUND_BODY = b"s" * 1_000_000


def peak_memory_mb(process):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
        return int(re.search(r"VmHWM:\s+(\d+)", status.read()).group(1)) / 1024


class SmallFleet(jarro_harness.JarroFleet):
    def settings(self, index):
        settings = super().settings(index)
        settings["limits"] = {"cpuShare": 0.25, "memoryMb": MEMORY_MB}
        return settings


class ManyEndlessAnswers(unittest.TestCase):

    def setUp(self):
        self.fleet = SmallFleet(1)
        self.addCleanup(self.fleet.close)
        self.fleet.configure(1)
        self.fleet.wait_ready()
        for name in ("ledger-1", "ledger-2"):
            self.fleet.control("remove-entry", {"id": name})

    def add_server(self, name, respond):
        server = scripted_server.ScriptedServer(name, "ledger", [], respond)
        self.addCleanup(server.close)
        entry = server.entry(slots=SLOTS)
        self.fleet.control("entry", {"id": name, "value": entry})
        return server

    def ask_many(self, path, count):
        statuses = []
        threads = [threading.Thread(
            target=lambda i=i: statuses.append(
                self.fleet.post(f"{path}{i}", request_id=f"{path}{i}",
                                headers={"Deadline-Ms": "2500"}).status),
            daemon=True) for i in range(count)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(20)
        return statuses

    def check_endless(self, first, piece):
        """The server sends `first` and then `piece` without end to many
        requests at once."""
        def respond(connection, request):
            connection.sendall(first(request))
            while True:
                connection.sendall(piece)
                time.sleep(PIECE_INTERVAL_S)

        self.add_server("endless-1", respond)
        time.sleep(KNOWN_AFTER_S)
        streams = []
        stream = threading.Thread(
            target=lambda: [streams.append(self.fleet.chat("m1"))
                            for _ in range(10)], daemon=True)
        stream.start()
        for turn in range(ROUNDS):
            statuses = self.ask_many(f"/pay/{turn}-", AT_ONCE)
            self.assertEqual(len(statuses), AT_ONCE)
            self.assertNotIn(0, statuses, "a request was cut")
            self.assertNotIn(200, statuses)
        stream.join(20)
        self.assertEqual(len(streams), 10)
        self.assertTrue(all(reply.complete for reply in streams), streams)
        self.assertLess(peak_memory_mb(self.fleet.hosts[0]), MEMORY_MB)

    def test_bodies_without_a_length(self):
        """Guards against a host that runs out of memory (issue 37): each body
        was bounded, but not all of them together."""
        self.check_endless(scripted_server.head, PIECE)
        self.assertIn("answers need more than", self.fleet.hosts[0].log())

    def test_bodies_in_chunks(self):
        """Guards against the same with another framing."""
        self.check_endless(
            lambda request: scripted_server.head(
                request, "200 OK", "Transfer-Encoding: chunked"),
            scripted_server.chunk(PIECE))
        self.assertIn("answers need more than", self.fleet.hosts[0].log())

    def test_heads(self):
        """Guards against heads that are kept without a bound."""
        self.check_endless(lambda request: b"HTTP/1.1 200 OK\r\nX: ", PIECE)

    def test_interim_heads(self):
        """Guards against interim heads that are kept without a bound."""
        self.check_endless(lambda request: b"",
                           b"HTTP/1.1 100 Continue\r\n\r\n" * 400)

    def test_large_answers_of_a_sound_server_get_through(self):
        """Guards against a budget that ends the sound answers instead."""
        def endless(connection, request):
            connection.sendall(scripted_server.head(request))
            while True:
                connection.sendall(PIECE)
                time.sleep(PIECE_INTERVAL_S)

        def sound(connection, request):
            connection.sendall(scripted_server.head(
                request, "200 OK", f"Content-Length: {len(SOUND_BODY)}"))
            for at in range(0, len(SOUND_BODY), 50_000):
                connection.sendall(SOUND_BODY[at:at + 50_000])
                time.sleep(0.02)
            return True

        self.add_server("endless-1", endless)
        self.add_server("sound-1", sound)
        time.sleep(KNOWN_AFTER_S)
        statuses = self.ask_many("/pay/", 20)
        self.assertNotIn(0, statuses)
        sent_to_sound = len(self.requests_of("sound-1"))
        self.assertGreater(sent_to_sound, 0)
        self.assertEqual(statuses.count(200), sent_to_sound)
        self.assertLess(peak_memory_mb(self.fleet.hosts[0]), MEMORY_MB)

    def requests_of(self, name):
        return [line for line in self.fleet.hosts[0].log().splitlines()
                if '"sent"' in line and f'"{name}"' in line]


if __name__ == "__main__":
    unittest.main()
