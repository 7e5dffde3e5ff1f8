#!/usr/bin/env python3
"""Measures the per-host costs from which docs/CAPACITY.md is calculated.

Starts the stand-in platform, a few stand-in engines and N coordinators as
separate processes on loopback addresses, waits until the member view is
complete, and measures processor time, memory, internal messages and calls to
the key-value service over an idle window. Then applies changes of the document
and measures how long each takes to be in force on all hosts. Prints one JSON
row per fleet size. Stops only what it started.
"""

import argparse
import hashlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.path.join(ROOT, "build", "bin")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
PLATFORM = "127.0.5.1:24379"
OPERATOR_KEY = "measure-operator-key"
FAILURE_DOMAINS = 6
ENGINES = 4


def http_request(url, method="GET", body=None, headers=None, timeout=10):
    """Returns (headers, body) of a response; raises for a status >= 400."""
    request = urllib.request.Request(
        url, data=body, method=method, headers=headers or {})
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return answer.headers, answer.read()


def document_text(adapters, accounts, note=""):
    """Returns a document with 130 models that share `adapters` adapters."""
    models = 130
    lines = [f"# {note}", 'key_salt = "5a17"', "[capacity]",
             "loads_per_second = 100", "loads_at_full_speed = 8"]
    for i in range(models):
        lines += [f"[models.model-{i}]", 'version = "1"', "bytes = 1000000"]
        for j in range(i, adapters, models):
            lines += [f"[models.model-{i}.adapters.a{j}]", 'version = "1"',
                      "bytes = 1000"]
    for i in range(accounts):
        digest = hashlib.sha256(f"5a17key-{i}".encode()).hexdigest()
        lines += [f"[accounts.account-{i}]", "tokens_per_second = 1000",
                  "burst_tokens = 10000", f"[accounts.account-{i}.keys.k]",
                  f'digest = "{digest}"']
    return "\n".join(lines) + "\n"


class Fleet:
    """N coordinators and their stand-ins."""

    def __init__(self, hosts, work):
        self.hosts = hosts
        self.work = work
        self.processes = {}

    def start(self, name, program, *arguments):
        with open(os.path.join(self.work, name + ".log"), "wb") as log:
            self.processes[name] = subprocess.Popen(
                [os.path.join(BIN, program), *arguments], stdout=log,
                stderr=subprocess.STDOUT)

    def address(self, index):
        return f"127.0.6.{index + 1}"

    def admin(self, index, path):
        return f"http://{self.address(index)}:24401{path}"

    def start_all(self):
        self.start("platform", "loft-standin-platform", "--listen", PLATFORM)
        self.wait_for(f"http://{PLATFORM}/hosts")
        targets = []
        for i in range(ENGINES):
            listen = f"127.0.7.{i + 1}:24900"
            self.start(f"engine-{i}", "loft-standin-engine", "--listen",
                       listen, "--name", f"engine-{i}", "--failure-domain",
                       f"fd-{i % FAILURE_DOMAINS}", "--memory-bytes",
                       "100000000000")
            targets.append({"targets": [listen], "labels": {
                "name": f"engine-{i}", "role": "engine",
                "failure_domain": f"fd-{i % FAILURE_DOMAINS}"}})
        http_request(f"http://{PLATFORM}/hosts", "POST",
                     json.dumps(targets).encode())
        key_file = os.path.join(self.work, "operator.key")
        with open(key_file, "w", encoding="utf-8") as file:
            file.write(OPERATOR_KEY + "\n")
        for i in range(self.hosts):
            self.start_coordinator(i, key_file)
        for i in range(self.hosts):
            self.wait_for(self.admin(i, "/healthz"))
        self.wait_for_members()

    def start_coordinator(self, index, key_file):
        platform_address, platform_port = PLATFORM.split(":")
        settings = os.path.join(self.work, f"coordinator-{index}.toml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(f"""host.name = "host-{index}"
host.failure_domain = "fd-{index % FAILURE_DOMAINS}"
peer.address = "{self.address(index)}"
peer.port = 24400
admin.address = "{self.address(index)}"
admin.port = 24401
admin.operator_key_file = "{key_file}"
platform.kind = "etcd"
platform.address = "{platform_address}"
platform.port = {platform_port}
host_list.address = "{platform_address}"
host_list.port = {platform_port}
log.level = "warn"
""")
        self.start(f"coordinator-{index}", "loft-coordinator", "--settings",
                   settings)

    @staticmethod
    def wait_for(url, limit_seconds=20):
        deadline = time.monotonic() + limit_seconds
        while True:
            try:
                return http_request(url, timeout=2)
            except OSError:
                if time.monotonic() > deadline:
                    raise
                time.sleep(0.05)

    def wait_for_members(self, limit_seconds=60):
        deadline = time.monotonic() + limit_seconds
        while time.monotonic() < deadline:
            if all(self.gauge(i, "loft_coordinator_members") == self.hosts
                   for i in range(self.hosts)):
                return
            time.sleep(0.2)
        raise RuntimeError("the member view did not become complete in time")

    def metrics(self, index):
        return json.loads(http_request(self.admin(index, "/metrics.json"))[1])

    def gauge(self, index, name):
        return sum(item.get("value", 0) for item in self.metrics(index)
                   if item["name"] == name)

    def put_document(self, index, text):
        """Applies `text` through host `index`; returns the seconds taken."""
        headers = {"Authorization": "Bearer " + OPERATOR_KEY}
        url = self.admin(index, "/admin/documents/measure")
        try:
            current, _ = http_request(url, headers=headers)
            headers["If-Match"] = current["ETag"]
        except urllib.error.HTTPError:
            headers["If-None-Match"] = "*"
        begin = time.monotonic()
        http_request(url, "PUT", text.encode(), headers, timeout=30)
        return time.monotonic() - begin

    def wait_in_force(self, limit_seconds=30):
        """Waits until all hosts have the newest revision of the documents."""
        begin = time.monotonic()
        while time.monotonic() - begin < limit_seconds:
            revisions = {self.gauge(i, "loft_coordinator_documents_revision")
                         for i in range(self.hosts)}
            if len(revisions) == 1:
                return time.monotonic() - begin
            time.sleep(0.01)
        raise RuntimeError("the document did not come into force on all hosts in time")

    def start_entry(self, index):
        settings = os.path.join(self.work, f"entry-{index}.toml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(f"""host.name = "host-{index}"
host.failure_domain = "fd-{index % FAILURE_DOMAINS}"
listen.address = "{self.address(index)}"
listen.port = 24480
coordinator.address = "{self.address(index)}"
coordinator.port = 24400
log.level = "warn"
""")
        self.start(f"entry-{index}", "loft-entry", "--settings", settings)
        self.wait_for(f"http://{self.address(index)}:24480/readyz")

    def process_usage(self, name):
        """Returns (processor seconds, resident bytes) of a process."""
        pid = self.processes[name].pid
        with open(f"/proc/{pid}/stat", encoding="ascii") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / TICKS_PER_SECOND, int(fields[21]) * PAGE_BYTES

    def usage(self):
        """Returns the current counters of the fleet."""
        totals = {"cpu": 0.0, "rss": 0, "calls": 0.0, "watches": 0,
                  "sent": 0.0, "messages": 0.0, "by_type": {}, "by_kind": {}}
        for i in range(self.hosts):
            cpu, rss = self.process_usage(f"coordinator-{i}")
            totals["cpu"] += cpu
            totals["rss"] = max(totals["rss"], rss)
            for item in self.metrics(i):
                labels = item["labels"]
                if item["name"] == "loft_coordinator_key_value_calls_total":
                    totals["calls"] += item["value"]
                    add_count(totals["by_kind"], labels["kind"], item["value"])
                if labels.get("direction") != "sent":
                    continue
                if item["name"] == "loft_coordinator_bytes_total":
                    totals["sent"] += item["value"]
                if item["name"] == "loft_coordinator_messages_total":
                    totals["messages"] += item["value"]
                    add_count(totals["by_type"], labels["type"], item["value"])
        return totals

    def stop_all(self):
        for name in reversed(list(self.processes)):
            process = self.processes[name]
            process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                process.wait(timeout=20)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def add_count(counts, key, value):
    counts[key] = counts.get(key, 0) + value


def per_host_rates(before, after, seconds, hosts):
    """Returns per-host rates between two results of usage()."""
    def rates(name):
        return {key: round((value - before[name].get(key, 0)) / seconds / hosts, 3)
                for key, value in sorted(after[name].items())
                if value != before[name].get(key, 0)}
    return {
        "core_percent": round(100 * (after["cpu"] - before["cpu"]) / seconds / hosts, 3),
        "rss_mb": round(after["rss"] / 1e6, 1),
        "sent_bytes_per_s": round((after["sent"] - before["sent"]) / seconds / hosts, 1),
        "messages_per_s": round((after["messages"] - before["messages"]) / seconds / hosts, 2),
        "key_value_calls_per_s": round((after["calls"] - before["calls"]) / seconds / hosts, 3),
        "key_value_calls_by_kind": rates("by_kind"),
        "messages_by_type": rates("by_type"),
    }


def measure(hosts, adapters, accounts, changes, window):
    """Measures one fleet size; returns a row."""
    with tempfile.TemporaryDirectory() as work:
        fleet = Fleet(hosts, work)
        try:
            fleet.start_all()
            fleet.put_document(0, document_text(adapters, accounts))
            fleet.wait_in_force()
            # Claims move to a new member after its settle time.
            settle_seconds = 20 + 0.5 * hosts
            time.sleep(settle_seconds)
            before, begin = fleet.usage(), time.monotonic()
            time.sleep(window)
            after, seconds = fleet.usage(), time.monotonic() - begin
            row = {"hosts": hosts, "adapters": adapters, "accounts": accounts}
            row.update(per_host_rates(before, after, seconds, hosts))
            record = json.loads(http_request(f"http://{PLATFORM}/record")[1])
            row["platform_record"] = {
                key: value for key, value in record.items()
                if "watch" in key or "waiting" in key}
            accepted, in_force = [], []
            before = fleet.usage()
            for change in range(changes):
                text = document_text(adapters, accounts, f"change {change}")
                accepted.append(fleet.put_document(change % hosts, text))
                in_force.append(accepted[-1] + fleet.wait_in_force())
            after = fleet.usage()
            if changes:
                row["accepted_s_max"] = round(max(accepted), 3)
                row["in_force_s_max"] = round(max(in_force), 3)
                row["change_cpu_ms_per_host"] = round(
                    1000 * (after["cpu"] - before["cpu"]) / changes / hosts, 2)
                row["change_bytes_per_host"] = round(
                    (after["sent"] - before["sent"]) / changes / hosts)
            return row
        finally:
            fleet.stop_all()


def write_load_scenario(work, hosts, rate, accounts):
    """Writes a load scenario of `rate` requests/s spread over the accounts."""
    lines = [f"targets = {json.dumps([f'127.0.6.{i + 1}:24480' for i in range(hosts)])}"]
    for i in range(accounts):
        with open(os.path.join(work, f"key-{i}"), "w", encoding="utf-8") as file:
            file.write(f"key-{i}\n")
        lines += [f"[accounts.account-{i}]", f'key_file = "key-{i}"',
                  f"[flows.flow-{i}]", f'account = "account-{i}"',
                  f"requests_per_second = {rate / accounts}",
                  'models = ["model-0"]', "prompt_words = 20",
                  "max_tokens = 2"]
    path = os.path.join(work, "load.toml")
    with open(path, "w", encoding="utf-8") as file:
        file.write("\n".join(lines) + "\n")
    return path


def measure_load(hosts, adapters, accounts, rate, window):
    """Measures the cost per request of entries and coordinators."""
    with tempfile.TemporaryDirectory() as work:
        fleet = Fleet(hosts, work)
        try:
            fleet.start_all()
            text = document_text(adapters, accounts).replace(
                "tokens_per_second = 1000", "tokens_per_second = 1000000").replace(
                "burst_tokens = 10000", "burst_tokens = 10000000")
            fleet.put_document(0, text)
            fleet.wait_in_force()
            for i in range(hosts):
                fleet.start_entry(i)
            scenario = write_load_scenario(work, hosts, rate, accounts)
            load_command = [os.path.join(BIN, "loft-load"), scenario, "--json",
                            "--duration"]
            # The first load starts the replica and fills the rate shares.
            subprocess.run([*load_command, "8"], capture_output=True, check=False)
            before = fleet.usage()
            entries = [fleet.process_usage(f"entry-{i}") for i in range(hosts)]
            result = subprocess.run([*load_command, str(window)],
                                    capture_output=True, check=True)
            after = fleet.usage()
            requests = rate * window
            entry_cpu = sum(fleet.process_usage(f"entry-{i}")[0] - entries[i][0]
                            for i in range(hosts))
            return {
                "hosts": hosts, "adapters": adapters, "accounts": accounts,
                "requests_per_s": rate,
                "entry_cpu_us_per_request": round(1e6 * entry_cpu / requests, 1),
                "entry_rss_mb": round(max(
                    fleet.process_usage(f"entry-{i}")[1]
                    for i in range(hosts)) / 1e6, 1),
                "coordinator_cpu_us_per_request": round(
                    1e6 * (after["cpu"] - before["cpu"]) / requests, 1),
                "coordinator_bytes_sent_per_request": round(
                    (after["sent"] - before["sent"]) / requests, 1),
                "messages_sent_per_request": {
                    key: round((value - before["by_type"].get(key, 0)) / requests, 3)
                    for key, value in sorted(after["by_type"].items())},
                "outcomes": {
                    name: account["outcomes"] for name, account
                    in json.loads(result.stdout)["accounts"].items()},
            }
        finally:
            fleet.stop_all()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", default="2,4,8,16,32",
                        help="fleet sizes, separated by commas")
    parser.add_argument("--adapters", default="150",
                        help="numbers of adapters, separated by commas")
    parser.add_argument("--accounts", type=int, default=5)
    parser.add_argument("--changes", type=int, default=5)
    parser.add_argument("--window", type=float, default=10,
                        help="seconds at rest that are measured")
    parser.add_argument("--load", type=int, default=0,
                        help="measure under this many requests a second instead")
    options = parser.parse_args()
    for adapters in options.adapters.split(","):
        for hosts in options.hosts.split(","):
            if options.load:
                row = measure_load(int(hosts), int(adapters), options.accounts,
                                   options.load, int(options.window))
            else:
                row = measure(int(hosts), int(adapters), options.accounts,
                              options.changes, options.window)
            print(json.dumps(row), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
