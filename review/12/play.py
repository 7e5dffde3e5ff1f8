"""ONE: the store comes back from a copy that lacks the placement lease, while
the holder is partitioned from the store."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import fleet  # noqa: E402
import servers  # noqa: E402

HOSTS = 3
ENGINES = 4
MODELS = 16
ADAPTERS = 56       # Of each busy model, as the first model of jarro-ne has.
ASK_EVERY_S = 0.05  # A third of the site's rate of streams.
AWAY_S = 0.3
RARE_AFTER_S = 2
CUT_S = 5.5         # As core_cut in the site file.
LEASE_S = fleet.BOUNDS["leaseMs"] / 1000
HOLDER_KEY = "hickoryloft/placement-holder"


def configuration():
    result = fleet.configuration(1)
    result["services"][0]["engine"]["models"] = [
        {"name": f"m{i}", "mb": 60000, "loadS": 6, "diskS": 0.3, "warmS": 0.2,
         "adapters": ADAPTERS if i <= ENGINES else 0, "adapterMb": 66}
        for i in range(1, MODELS + 1)]
    return result


async def demand(case):
    """Each engine has one busy model with many adapters. Rare models are asked
    for too from `rare_at` on."""
    rng = random.Random(1)
    count = 0
    while True:
        count += 1
        rare = time.monotonic() > case.rare_at and count % 3 == 0
        model = (f"m{rng.randint(ENGINES + 1, MODELS)}" if rare else
                 f"m{rng.randint(1, ENGINES)}/a{rng.randint(1, ADAPTERS)}")
        headers = case.headers(12000, model)
        asyncio.get_running_loop().create_task(
            case.ask(rng.randrange(HOSTS), "/chat/x", headers))
        await asyncio.sleep(ASK_EVERY_S)


def turns(engine):
    """Returns the orders that follow one of another holder, with the time
    between."""
    found = []
    for before, after in zip(engine.orders, engine.orders[1:]):
        if before[1] != after[1]:
            found.append((after[0] - before[0], before, after))
    return found


async def drill(case, holder):
    """The store is away for a moment and comes back from a copy of before the
    holder took the lease; the holder's path to the store stays cut."""
    lacking = max(copy[0] for copy in case.store.copies
                  if HOLDER_KEY not in copy[1])
    case.log("the store is away;", holder, "is partitioned from it")
    case.rare_at = time.monotonic() + RARE_AFTER_S
    case.store.away = True
    case.store.cut = {int(holder.split("-")[1])}
    await asyncio.sleep(AWAY_S)
    age_s = time.monotonic() - lacking + 0.1
    case.store.restore(age_s)
    case.store.away = False
    case.log(f"the store is back, from a copy {age_s:.2f} s old; era",
             case.store.era)
    await asyncio.sleep(CUT_S - AWAY_S)
    case.store.cut = set()
    case.log("the partition has healed")


async def play(case):
    await case.store.start(range(HOSTS))
    case.store.put_json("op/config", configuration())
    engines = []
    for i in range(1, ENGINES + 1):
        engine = servers.Engine(
            case.store, f"i-engine{i}", f"z{i % 2}", case.log,
            [f"m{i}", f"m{i + ENGINES}"],
            [f"m{k}" for k in range(1, MODELS + 1)])
        engine.events, engine.gap_s = 3, 0.01
        await engine.start(slots=32)
        engines.append(engine)
    await asyncio.sleep(2)
    for index in range(HOSTS):
        case.start_host(index)
    await case.wait_ready()
    case.rare_at = float("inf")
    task = asyncio.get_running_loop().create_task(demand(case))
    await case.wait("the holder gives orders",
                    lambda: any(engine.orders for engine in engines), 20)
    await asyncio.sleep(2)
    holder = case.store.holder()
    if case.trouble:
        await drill(case, holder)
    else:
        case.rare_at = time.monotonic() + RARE_AFTER_S
        await asyncio.sleep(CUT_S)
    task.cancel()
    orders = sum(len(engine.orders) for engine in engines)
    case.log("holder before", holder, "and after", case.store.holder(),
             "orders", orders)
    if orders < 20:
        raise fleet.CannotRun("too few orders to judge")
    breaks = []
    for engine in engines:
        for gap_s, before, after in turns(engine):
            case.log(f"turn at {engine.name}: {before[1]} fence {before[2]},"
                     f" then {after[1]} fence {after[2]} after {gap_s:.3f} s")
            if gap_s < LEASE_S:
                breaks.append(
                    f"ONE: {engine.name} gets an order of {after[1]} "
                    f"{gap_s:.3f} s after one of {before[1]}; leaseMs is "
                    f"{LEASE_S:.0f} s")
    return breaks


fleet.main(FOLDER, HOSTS, play)
