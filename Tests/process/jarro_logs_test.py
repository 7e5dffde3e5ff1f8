"""Log lines, metrics and printed settings of loft-host."""

import http.client
import json
import re
import unittest

import harness
import jarro_harness

METRICS_PORT = 9464
# The fields of each kind of log line, besides time, level, part and message.
FIELDS = {
    ("admission", "admitted"): {
        "id", "route", "account", "service", "model", "adapter", "tokens",
        "deadline_ms", "configuration", "view_age_ms"},
    ("admission", "rejected"): {
        "id", "account", "model", "status", "reason", "retry_after_ms",
        "view_age_ms"},
    ("admission", "waiting"): {
        "id", "model", "adapter", "endpoints", "waiting"},
    ("request", "sent"): {
        "id", "endpoint", "send", "waited_ms", "running", "left_ms"},
    ("request", "first event"): {"id", "endpoint", "after_ms"},
    ("request", "send failed"): {
        "id", "endpoint", "may_have_run", "events", "prompt_parts", "reason"},
    ("request", "endpoint avoided"): {"id", "endpoint", "for_ms"},
    ("request", "over"): {
        "id", "outcome", "reason", "sends", "events", "after_ms"},
    ("orders", "order given"): {
        "engine", "operation", "model", "adapter", "tier", "expected_orders",
        "fence", "holds", "reason"},
    ("orders", "order answered"): {
        "engine", "operation", "model", "adapter", "outcome", "after_ms"},
    ("knowledge", "configuration in force"): {"version", "revision"},
    ("holder", "placement lease won"): {"fence", "lease"},
    ("host", "started"): {"host", "failure_domain", "incarnation"},
}
SAMPLE = re.compile(
    r'^([a-z_]+)(\{[a-z_]+="[^"]*"(?:,[a-z_]+="[^"]*")*\})? ([0-9.e+-]+)$')


def read_metrics(address):
    """Returns the samples of a metrics page, keyed by name and labels."""
    connection = http.client.HTTPConnection(address, METRICS_PORT, timeout=5)
    try:
        connection.request("GET", "/metrics")
        answer = connection.getresponse()
        assert answer.status == 200, answer.status
        page = answer.read().decode()
    finally:
        connection.close()
    samples = {}
    for line in page.splitlines():
        if line.startswith("#"):
            continue
        sample = SAMPLE.match(line)
        assert sample, f"not a metric sample: {line}"
        samples[sample[1] + (sample[2] or "")] = float(sample[3])
    return samples


class Observability(jarro_harness.JarroTest):
    hosts = 1

    def lines(self):
        return [json.loads(line)
                for line in self.fleet.hosts[0].log().splitlines()]

    def wait_for_line(self, message, request_id):
        return harness.wait_for(
            lambda: [line for line in self.lines()
                     if line.get("id") == request_id
                     and line["message"] == message],
            5, f"a log line '{message}' for request {request_id}")[0]

    def test_log_lines_have_their_fields(self):
        fleet = self.fleet
        known_fields = {
            line.split("`")[1] for line in jarro_harness.run_program(
                "loftctl", "log-fields").stdout.splitlines()
            if line.startswith("| `")}
        self.assertEqual(fleet.chat("m5", request_id="cold").status, 200)
        fleet.control("break-streams")
        self.assertFalse(fleet.chat("m1", request_id="cut").complete)
        fleet.post("/pay/x", key="wrong", request_id="denied")
        self.assertEqual(self.wait_for_line("over", "cold")["outcome"],
                         "answered")
        self.assertEqual(self.wait_for_line("over", "cut")["outcome"],
                         "broken_off")
        self.assertEqual(self.wait_for_line("rejected", "denied")["reason"],
                         "unknown_key")
        seen_kinds = set()
        for line in self.lines():
            for name in ("time", "level", "part", "message"):
                self.assertIsInstance(line[name], str, line)
            kind = (line["part"], line["message"])
            fields = set(line) - {"time", "level", "part", "message"}
            self.assertLessEqual(fields, known_fields, line)
            if kind in FIELDS:
                seen_kinds.add(kind)
                self.assertEqual(fields, FIELDS[kind], line)
        self.assertEqual(seen_kinds, set(FIELDS))

    def test_explain_shows_the_steps_of_a_request(self):
        fleet = self.fleet
        self.assertEqual(fleet.chat("m5", request_id="cold").status, 200)
        self.wait_for_line("over", "cold")
        log = fleet.directory / "edge-0.log"
        log.write_text(fleet.hosts[0].log())
        explanation = jarro_harness.run_program(
            "loftctl", "explain", "cold", log)
        self.assertEqual(explanation.returncode, 0, explanation.stderr)
        text = explanation.stdout.splitlines()
        self.assertEqual(text[-1], "request cold: answered")
        positions = [
            next((i for i, line in enumerate(text) if part in line), None)
            for part in ("admission: admitted", "orders: order given",
                         "request: sent", "request: first event")]
        self.assertNotIn(None, positions, explanation.stdout)
        self.assertEqual(positions, sorted(positions), explanation.stdout)
        unknown = jarro_harness.run_program("loftctl", "explain", "no", log)
        self.assertNotEqual(unknown.returncode, 0)
        self.assertIn("'no'", unknown.stderr)

    def test_metrics_page(self):
        fleet = self.fleet
        self.assertEqual(fleet.chat("m5").status, 200)
        self.assertEqual(fleet.post("/pay/x").status, 200)
        fleet.post("/pay/x", key="wrong")
        harness.wait_for(
            lambda: len([line for line in self.lines()
                         if line["message"] == "over"]) == 2,
            5, "both requests have ended")
        samples = read_metrics(fleet.address(0))

        def value(name, **labels):
            text = ",".join(f'{key}="{label}"' for key, label in labels.items())
            return samples.get(name + (f"{{{text}}}" if text else ""), 0)

        def total(name):
            return sum(count for key, count in samples.items()
                       if key.startswith(name + "{"))

        self.assertEqual(value("loft_requests_total", kind="streaming",
                               account="counter", outcome="answered"), 1)
        self.assertEqual(value("loft_requests_total", kind="non_idempotent",
                               account="counter", outcome="answered"), 1)
        self.assertEqual(value("loft_refusals_total", reason="unknown_key"), 1)
        self.assertEqual(value("loft_sends_total", again="no"), 2)
        self.assertGreaterEqual(total("loft_orders_total"), 1)
        self.assertEqual(value("loft_queue_seconds_count"), 2)
        self.assertEqual(value("loft_first_event_seconds_count"), 1)
        self.assertEqual(value("loft_configuration_version"), 1)
        self.assertEqual(value("loft_holds_placement_lease"), 1)
        self.assertGreater(value("loft_account_tokens", account="counter"), 0)
        self.assertLessEqual(
            value("loft_account_tokens", account="counter"), 100000)
        self.assertIn('loft_retry_budget_sends{service="llm"}', samples)
        self.assertGreater(value("loft_resident_bytes"), 1e6)
        self.assertLess(value("loft_knowledge_age_seconds"), 3)


class Settings(unittest.TestCase):

    def test_settings_are_printed_in_the_products_names(self):
        fleet = jarro_harness.JarroFleet(0)
        self.addCleanup(fleet.close)
        path = fleet.directory / "node.json"
        path.write_text(json.dumps(fleet.settings(0)))
        printed = jarro_harness.run_program(
            "loft-host", "--settings", path, "--print-settings")
        self.assertEqual(printed.returncode, 0, printed.stderr)
        settings = json.loads(printed.stdout)
        self.assertEqual(settings["host"], "edge-0")
        self.assertEqual(settings["failure_domain"], "z0")
        self.assertEqual(settings["callers"],
                         f"{fleet.address(0)}:{fleet.ports['front']}")
        self.assertEqual(settings["bounds"]["key_withdrawal_ms"], 3000)
        self.assertEqual(settings["bounds"]["stop_grace_ms"], 6000)


if __name__ == "__main__":
    unittest.main()
