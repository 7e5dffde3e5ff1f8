"""An operator adds rarely used models to the configuration, and another edit
takes them out again, while traffic runs. See claim.txt."""

import asyncio
import json
import os
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import client  # noqa: E402
import hosts  # noqa: E402
import servers  # noqa: E402
import store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110
EVENT_INTERVAL_S = 0.2
HOSTS = 3
# Two models fit on an engine. All have more replicas than their use needs.
ASKED = ["m1", "m2", "m3"]
PLACES = [ASKED[:2], ASKED[1:], [ASKED[0], ASKED[2]]] * 8
# Engines have held these before, and hold copies of them on their disks.
RARE = [f"m{i}" for i in range(4, 44)]
QUIET_S = 12.0
EDITS = 12
EDITED_AT_ONCE = 3
EDIT_EVERY_S = 5.0
# Time between an operator's edit and the one that takes it back.
TAKEN_BACK_S = (0.2, 0.8)
LOAD_DISK_S = 0.57
LOAD_STORE_S = 6.0
# The rule LOST: a cut counts from the sending of a configuration until
# configApplyMs + 1 s after its acknowledgement.
WINDOW_S = 3.0
USED_SHARE = 0.7
TIMEOUT_S = {"/pay/x": 1.5, "/chat/x": 3.0}


class Engine(servers.Server):
    """A model server with copies of models on its disk, whose unloads wait
    for the runs of the model."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.runs = {}
        self.on_disk = [*ASKED, *RARE]

    async def finish(self, model, load, born):
        await asyncio.sleep(LOAD_DISK_S if load else 0.1)
        while not load and self.runs.get(model, 0) > 0:
            await asyncio.sleep(0.02)
        self.busy = False
        if load:
            self.models[model] = []
        else:
            self.models.pop(model, None)
        self.register()

    async def answer_stream(self, request, writer):
        model = request.field("model")
        self.runs[model] = self.runs.get(model, 0) + 1
        try:
            return await super().answer_stream(request, writer)
        finally:
            self.runs[model] -= 1


servers.EVENT_INTERVAL_S = EVENT_INTERVAL_S


class Run:
    def __init__(self):
        self.start = time.monotonic()
        self.lines = []
        self.outcomes = []
        self.ran = {}
        self.changes = []
        self.tasks = set()
        self.number = 0
        self.version = 0
        self.random = random.Random(1)
        self.store = store.Store()
        self.fleet = None

    def now(self):
        return time.monotonic() - self.start

    def log(self, what, who, detail):
        if what == "run":
            self.ran.setdefault(detail, []).append((self.now(), who))
        else:
            self.lines.append(f"{self.now():8.3f} {what} {who} {detail}")

    def configure(self, rare, timeout_ms=1500):
        """Writes the next version, with the rare models that it names."""
        self.version += 3
        configuration = client.configuration(self.version)
        configuration["services"][0]["engine"].update({
            "loadsPerS": 6.8, "models": [
                {"name": name, "mb": 70000, "loadS": LOAD_STORE_S,
                 "diskS": LOAD_DISK_S, "warmS": 0.44, "adapters": 0}
                for name in [*ASKED, *rare]]})
        configuration["routes"][2]["timeoutMs"] = timeout_ms
        self.changes.append(self.now())
        self.log("configuration", str(self.version),
                 f"models {','.join([*ASKED, *rare])}")
        self.store.put("op/config", json.dumps(configuration))

    async def set_up(self):
        await self.store.start()
        self.configure([])
        self.engines = [Engine(self.store, f"engine-{i}", "llm", self.log,
                               models) for i, models in enumerate(PLACES)]
        self.ledgers = [servers.Server(self.store, f"ledger-{i}", "ledger",
                                       self.log) for i in range(2)]
        for server in self.engines + self.ledgers:
            await server.start()
        self.fleet = hosts.Fleet(HOSTS, [self.store.port], self.log)
        self.fleet.start()
        return await self.fleet.wait_ready()

    async def traffic(self):
        turn = 0
        while True:
            turn += 1
            rotation = self.fleet.in_rotation()
            host = rotation[turn % len(rotation)]
            self.number += 1
            fields = {"Authorization": "Bearer key-counter"}
            if turn % 4 == 0:
                path = "/pay/x"
                fields["Deadline-Ms"] = "1500"
            else:
                path = "/chat/x"
                fields.update({
                    "Deadline-Ms": "3000", "Token-Usage": "90,20",
                    "Prompt-Prefix": f"f00d:40,{self.number + 4096:x}:50",
                    "Model": ASKED[turn // 4 % len(ASKED)]})
            outcome = client.Outcome(f"r{self.number:05}", path, host.name)
            self.outcomes.append(outcome)
            task = asyncio.create_task(client.ask(
                host, "POST", path, fields, 4, outcome, self.start))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(0.022)

    async def story(self):
        traffic = asyncio.create_task(self.traffic())
        await asyncio.sleep(QUIET_S)
        for number in range(EDITS):
            rare = RARE[number * EDITED_AT_ONCE:][:EDITED_AT_ONCE]
            pause = self.random.uniform(*TAKEN_BACK_S)
            # With TROUBLE=0 both edits change a time-out only.
            self.configure(rare if TROUBLE else [], 1510)
            await asyncio.sleep(pause)
            self.configure([])
            await asyncio.sleep(EDIT_EVERY_S - pause)
        traffic.cancel()
        await asyncio.sleep(4)

    def cut(self, one):
        """Whether the connection ended without a complete answer although the
        request had been passed on to a server, well before its time-out. No
        server here breaks off."""
        return one.ended_s is not None and not one.complete and \
            one.id in self.ran and \
            one.ended_s < USED_SHARE * TIMEOUT_S[one.route]

    def judge(self):
        """LOST beside a configuration: more than three times as many cuts as
        at other times, by share of the requests."""
        inside = outside = cuts_inside = cuts_outside = 0
        for one in self.outcomes:
            ended = one.sent_at + (one.ended_s or 4)
            near = any(change <= ended < change + WINDOW_S
                       for change in self.changes[1:])
            inside += near
            outside += not near
            cuts_inside += near and self.cut(one)
            cuts_outside += not near and self.cut(one)
        share_inside = cuts_inside / max(1, inside)
        share_outside = cuts_outside / max(1, outside)
        broken = cuts_inside > 0 and share_inside > 3 * share_outside
        ends = ", ".join(f"{host.name} ended by itself {host.ended_by_itself} "
                         f"times" for host in self.fleet.hosts)
        return broken, (
            f"cut beside a configuration: {cuts_inside} of {inside} requests; "
            f"at other times: {cuts_outside} of {outside}; {ends}")


async def main():
    run = Run()
    code = 2
    verdict = "the hosts did not become ready"
    try:
        if await run.set_up():
            await asyncio.wait_for(run.story(), LIMIT_S - run.now())
            broken, verdict = run.judge()
            code = 1 if broken else 0
    except asyncio.TimeoutError:
        verdict = "the run took too long"
    finally:
        last_words = []
        if run.fleet is not None:
            last_words = [f"{host.name}: {line}" for host in run.fleet.hosts
                          for line in host.last_words()]
            run.fleet.stop()
    text = [f"TROUBLE={1 if TROUBLE else 0}", "", "what happened"] + run.lines
    text += ["", "requests that were cut"] + [
        f"{one} ran at {run.ran[one.id]}" for one in run.outcomes
        if run.cut(one)]
    text += ["", "requests"] + [str(one) for one in run.outcomes]
    text += ["", "last words of processes"] + last_words
    text += ["", verdict, f"exit {code}"]
    (HERE / "record.txt").write_text("\n".join(text) + "\n")
    print(f"{verdict}; exit {code}")
    return code


sys.exit(hosts.run_case(main))
