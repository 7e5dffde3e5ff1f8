"""LOST: callers that read slowly lose their answers around a planned stop."""

import asyncio
import pathlib
import signal
import socket
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import fleet  # noqa: E402
import http11  # noqa: E402
import servers  # noqa: E402

MODEL = "m1"
CLIENTS = 8
DEADLINE_MS = 25000     # Of resumen-noche; the route's timeout is the same.
GRACE_S = fleet.BOUNDS["graceS"]
# Within the largest of the site: 119 events of 420 bytes.
EVENTS, EVENT_BYTES = 119, 130
# Callers with small receive buffers that take 0.9 to 1.3 KB a second, without a
# pause, and would have the whole answer after 20 s.
RECEIVE_BUFFER = 4096
READ_BYTES = 512
STOP_AFTER_S = 0.5
STABLE_S = 4             # stableMs of the site.


def read_every_s(number):
    return 0.4 + 0.02 * number


async def call(case, number, slow):
    """Sends one request and reads its answer. Returns what came of it."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    sock.setblocking(False)
    headers = case.headers(DEADLINE_MS, MODEL)
    data, end, started = b"", "complete", time.monotonic()
    try:
        await loop.sock_connect(sock, (case.address(0), case.front))
        await loop.sock_sendall(sock, http11.request_bytes(
            "POST", "/letter/x", headers, b"{}"))
        while not data.endswith(b"\r\n0\r\n\r\n"):
            piece = await asyncio.wait_for(
                loop.sock_recv(sock, READ_BYTES),
                DEADLINE_MS / 1000 - (time.monotonic() - started))
            if not piece:
                end = "closed"
                break
            data += piece
            if slow:
                await asyncio.sleep(read_every_s(number))
    except asyncio.TimeoutError:
        end = "the deadline has passed"   # Or ETIMEDOUT; not counted.
    except OSError as error:
        end = repr(error)
    finally:
        sock.close()
    took_s = time.monotonic() - started
    case.log(f"client {headers['Request-Id']}: {len(data)} bytes in "
             f"{took_s:.2f} s, {data.count(b'id: ')} of {EVENTS} events,", end)
    return headers["Request-Id"], took_s, end, data.count(b"id: ")


async def play(case):
    await case.start(routes={"letter": {"timeoutMs": DEADLINE_MS,
                                        "targetLatencyMs": 6000}})
    engine = servers.Engine(case.store, "i-engine1", "z0", case.log,
                            [MODEL, "m2"], ["m3"])
    engine.events, engine.gap_s = EVENTS, 0.005
    engine.event_bytes = EVENT_BYTES
    await engine.start(slots=32)
    await case.wait_ready()
    await asyncio.sleep(STABLE_S + 0.5)
    calls = [asyncio.get_running_loop().create_task(
        call(case, number, case.trouble)) for number in range(CLIENTS)]
    await case.wait("all requests run", lambda: len(engine.runs) == CLIENTS, 3)
    await asyncio.sleep(STOP_AFTER_S)
    stopped_at = time.monotonic()
    case.signal(0, signal.SIGTERM)
    results = []
    for task in calls:
        results.append(await task)
    case.log("host 0 ended with", await asyncio.to_thread(
        case.hosts[0].wait, GRACE_S + 20))
    case.log("the host's log:\n" + "\n".join(
        line for line in case.host_log(0).splitlines() if '"over"' in line))
    breaks = []
    for rid, took_s, end, events in results:
        run = next(r for r in engine.runs if r["id"] == rid)
        ended_s = run["at"] + took_s - stopped_at
        if end.startswith(("closed", "Conn")) and 0 < ended_s < GRACE_S + 1:
            breaks.append(
                f"LOST: {rid} ran at a sound server, which answered it in "
                f"full; its connection ended {ended_s:.2f} s after the SIGTERM"
                f" with {events} of {EVENTS} events")
    return breaks


fleet.main(FOLDER, 1, play)
