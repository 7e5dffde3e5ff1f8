"""Runs loft-host as the deploy file starts it, and plays the platform's part
towards it: settings, readiness, the limit on memory, restarts."""

import asyncio
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
MEMORY_MB = 260
RESTART_S = 0.3
# The bounds of the site jarro-ne.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "stableMs": 3000, "ackMs": 4000,
          "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
          "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
          "strictRevoke": True, "revokeMs": 5000, "retryBudgetRatio": 0.2,
          "budgetWindowS": 10, "budgetExtra": 54, "quotaWindowS": 8,
          "quotaOverage": 0.1, "quotaSlack": 17000, "recoveryS": 12,
          "passMs": 120, "retryAfterS": 0, "requireFencing": False,
          "leaseMs": 3000, "thawSlackMs": 300}


def free_port_block(count):
    """Returns the first of `count` ports that nobody uses, below the range
    from which the system chooses ports."""
    while True:
        first = random.randrange(20000, 30000, 20)
        sockets = []
        try:
            for port in range(first, first + count):
                one = socket.socket()
                sockets.append(one)
                one.bind(("", port))
            return first
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()


class Host:
    def __init__(self, index, store_port, ports, directory, log):
        self.index = index
        self.name = f"edge-{index}"
        # One address for each host, since all use the same metrics port.
        self.address = f"127.{ports['front'] >> 8}.{ports['front'] & 255}.{21 + index}"
        self.ports = ports
        self.store_port = store_port
        self.directory = directory
        self.log = log
        self.process = None
        self.first_start = True
        self.killed_for_memory = 0
        self.ended_by_itself = 0
        self.ready = False
        self.misses = 0
        self.peak_mb = 0.0
        self.wanted = True

    def settings(self):
        return {
            "node": self.name, "role": "host", "machineClass": "edge",
            "serves": ["edge"], "ip": self.address, "zone": f"z{self.index % 2}",
            "region": "r", "bootstrap": self.first_start,
            "listen": {"front": f"{self.address}:{self.ports['front']}",
                       "ready": f"{self.address}:{self.ports['ready']}"},
            "portRange": [self.ports["peer"], self.ports["peer"] + 9],
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": MEMORY_MB,
                       "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "heartbeatMs": 1200, "bounds": BOUNDS,
            "provider": {"address": f"127.0.0.1:{self.store_port}",
                         "form": "kv", "writesPerS": 400, "readsPerS": 2000,
                         "historyS": 20, "valueBytes": 1048576,
                         "minTtlMs": 1000}}

    def start(self):
        path = self.directory / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        self.first_start = False
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["host"]["run"])
        output = open(self.directory / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=output,
            stderr=output, env={"PATH": os.environ.get("PATH", ""),
                                "HICKORYLOFT_SETTINGS": str(path)})
        output.close()

    def resident_mb(self):
        try:
            for line in pathlib.Path(
                    f"/proc/{self.process.pid}/status").read_text().split("\n"):
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def last_words(self):
        """What the processes printed that is no line of the log."""
        path = self.directory / f"{self.name}.log"
        if not path.exists():
            return []
        return [line for line in path.read_text(errors="replace").split("\n")
                if line and not line.startswith("{")]

    def kill(self, number=signal.SIGKILL):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def supervise(self):
        """Restarts the process when it ends, and kills it when it uses more
        memory than the settings allow."""
        while self.wanted:
            await asyncio.sleep(0.1)
            if self.process.poll() is not None:
                self.ended_by_itself += 1
                self.log("ended", self.name, str(self.process.returncode))
                await asyncio.sleep(RESTART_S)
                if self.wanted:
                    self.start()
                continue
            memory = self.resident_mb()
            self.peak_mb = max(self.peak_mb, memory)
            if memory > MEMORY_MB:
                self.killed_for_memory += 1
                self.log("killed, memory", self.name, f"{memory:.0f} MB")
                self.process.kill()
                self.process.wait()
                await asyncio.sleep(RESTART_S)
                if self.wanted:
                    self.start()

    async def poll_ready(self):
        while self.wanted:
            ok = await self.is_ready()
            self.misses = 0 if ok else self.misses + 1
            if ok != self.ready and (ok or self.misses >= 2):
                self.ready = ok
                self.log("ready" if ok else "not ready", self.name, "")
            await asyncio.sleep(1)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                self.address, self.ports["ready"]), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n"
                         b"Connection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            return b" 200" in line
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()


class Fleet:
    """Hosts, each on its own loopback address, in a temporary folder."""

    def __init__(self, count, store_ports, log):
        first = free_port_block(12)
        ports = {"front": first, "ready": first + 1, "peer": first + 2}
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="loft-review-"))
        self.hosts = [Host(index, store_ports[index % len(store_ports)], ports,
                           self.directory, log) for index in range(count)]
        self.tasks = []

    def start(self):
        for host in self.hosts:
            host.start()
            self.tasks.append(asyncio.create_task(host.supervise()))
            self.tasks.append(asyncio.create_task(host.poll_ready()))

    async def wait_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        while not all(host.ready for host in self.hosts):
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.1)
        return True

    def in_rotation(self):
        """The hosts that get new connections: all, if under half are ready."""
        ready = [host for host in self.hosts if host.ready]
        return ready if 2 * len(ready) >= len(self.hosts) else self.hosts

    def stop(self):
        for host in self.hosts:
            host.wanted = False
        for task in self.tasks:
            task.cancel()
        for host in self.hosts:
            host.kill(signal.SIGCONT)
            host.kill()
            if host.process is not None:
                host.process.wait()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.directory, ignore_errors=True)


def run_case(main):
    """Runs `main` and returns the exit status of the script: what `main`
    returns, or 2 if the case could not run. SIGTERM and SIGINT end it."""
    async def guarded():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await main()

    try:
        return asyncio.run(guarded())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        return 2
