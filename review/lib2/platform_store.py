"""A small stand-in for the platform's metadata store (PROTOCOL.md, "The
platform's metadata store"). It runs in threads of the script that uses it. It
behaves soundly; on demand it is away, and comes back from an older copy (news of
the pages: "In a drill the store may be away for a moment [...]")."""

import base64
import copy
import json
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

PAGE_ITEMS = 500


class Store:
    def __init__(self, address):
        self._changed = threading.Condition()
        self._revision = 100
        self._items = {}
        self._leases = {}  # Id: (time to live in s, end).
        self._next_lease = 1
        self._history = []
        self._era = 1
        self._away = False
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            # The head and the body of an answer leave in one segment.
            wbufsize = 65536
            disable_nagle_algorithm = True

            def handle_one_request(self):
                try:
                    super().handle_one_request()
                except OSError:
                    self.close_connection = True

            def _handle(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                status, answer, era = store.call(self.command, self.path, body)
                if answer is None:
                    self.close_connection = True
                    return
                text = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Store-Era", str(era))
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            do_GET = do_POST = do_DELETE = _handle

            def log_message(self, *_):
                pass

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

        self._server = Server((address, 0), Handler)
        self.address = f"{address}:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever,
                         daemon=True).start()
        threading.Thread(target=self._end_leases, daemon=True).start()

    def close(self):
        self._server.shutdown()
        self._server.server_close()

    def put(self, key, value):
        """Writes as the operator or a server."""
        with self._changed:
            self._write(key, json.dumps(value).encode(), 0)
            self._changed.notify_all()

    def remove(self, key):
        with self._changed:
            self._delete(key)
            self._changed.notify_all()

    def take_copy(self):
        with self._changed:
            return copy.deepcopy((self._revision, self._items, self._leases,
                                  self._next_lease, self._history))

    def go_away(self):
        """From now on calls, waiting ones too, end without an answer and
        without an effect."""
        with self._changed:
            self._away = True
            self._changed.notify_all()

    def come_back_from(self, older):
        """The state is that of the copy, and leases have run on since."""
        with self._changed:
            (self._revision, self._items, self._leases, self._next_lease,
             self._history) = copy.deepcopy(older)
            self._era += 1
            self._away = False

    def call(self, method, target, body):
        with self._changed:
            if self._away:
                return 0, None, 0
            era = self._era
        status, answer = self.handle(method, target, body)
        with self._changed:
            if self._away or era != self._era:
                return 0, None, 0
            return status, answer, era

    def handle(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, True))
        data = json.loads(body) if body else {}
        with self._changed:
            if url.path == "/-/kv-key":
                item = self._items.get(query.get("key"))
                return ((200, {**item, "asOf": self._revision}) if item
                        else (404, {}))
            if url.path == "/-/kv-range":
                return self._range(query)
            if url.path == "/-/kv-watch":
                return self._watch(query)
            if url.path == "/-/kv-txn":
                return self._transact(data)
            if url.path == "/-/kv-lease":
                ttl = min(max(data["ttlMs"], 1000), 600000)
                lease, self._next_lease = self._next_lease, self._next_lease + 1
                self._leases[lease] = (ttl / 1000,
                                       time.monotonic() + ttl / 1000)
                return 200, {"lease": lease, "ttlMs": ttl}
            lease = int(url.path.rsplit("/", 1)[1])
            if url.path.startswith("/-/kv-keep/"):
                if lease not in self._leases:
                    return 404, {}
                ttl = self._leases[lease][0]
                self._leases[lease] = (ttl, time.monotonic() + ttl)
                return 200, {"lease": lease, "ttlMs": int(ttl * 1000)}
            if method == "DELETE" and url.path.startswith("/-/kv-lease-end/"):
                self._end_lease(lease)
                return 200, {}
        return 400, {}

    def _range(self, query):
        prefix, after = query.get("pathPrefix", ""), query.get("after", "")
        keys = sorted(key for key in self._items
                      if key.startswith(prefix) and key > after)
        return 200, {"items": [self._items[key] for key in keys[:PAGE_ITEMS]],
                     "hasMore": len(keys) > PAGE_ITEMS,
                     "asOf": self._revision}

    def _watch(self, query):
        prefix, after = query.get("pathPrefix", ""), int(query["after"])
        if after > self._revision:
            return 410, {}
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            events = [event for event in self._history
                      if event["revision"] > after
                      and event["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0 or self._away:
                return 200, {"events": events, "asOf": self._revision}
            self._changed.wait(left)

    def _transact(self, data):
        current = []
        for row in data.get("expected", []):
            current.append(self._items.get(
                row["key"], {"key": row["key"], "revision": 0}))
        if any(item["revision"] != row["revision"] for item, row
               in zip(current, data.get("expected", []))):
            return 412, {"items": current}
        puts = data.get("puts", [])
        if any(put.get("lease", 0) and put["lease"] not in self._leases
               for put in puts):
            return 404, {}
        for put in puts:
            self._write(put["key"], base64.b64decode(put["value"]),
                        put.get("lease", 0))
        for key in data.get("delete", []):
            self._delete(key)
        self._changed.notify_all()
        return 200, {"revision": self._revision}

    def _write(self, key, value, lease):
        self._revision += 1
        created = self._items.get(key, {}).get("created", self._revision)
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "revision": self._revision, "created": created, "lease": lease}
        self._items[key] = item
        self._history.append(item)

    def _delete(self, key):
        if self._items.pop(key, None):
            self._revision += 1
            self._history.append({"key": key, "revision": self._revision,
                                  "removed": True})

    def _end_lease(self, lease):
        if self._leases.pop(lease, None):
            for key in [key for key, item in self._items.items()
                        if item["lease"] == lease]:
                self._delete(key)
            self._changed.notify_all()

    def _end_leases(self):
        while True:
            time.sleep(0.05)
            with self._changed:
                now = time.monotonic()
                for lease in [lease for lease, (_, end)
                              in self._leases.items() if end <= now]:
                    self._end_lease(lease)
