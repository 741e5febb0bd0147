"""Jobs of which no task has started are left out of a queue's count of pending jobs."""
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from stand import *  # noqa: E402,F403

WORKERS = 12  # one of them is grey: a share of 0.083
GREY_S = 6.5
WAITING = 8


async def play(record):
    d = Deployment(record)
    try:
        d.start()
        d.start_workers(WORKERS)
        if not await d.configure([d.route("q")]):
            return 2
        await asyncio.sleep(3)
        # Long jobs fill all workers but one.
        for _ in range(WORKERS - 1):
            if await d.submit("q", [{"count": 1, "cpu": 8000, "memMb": 512, "estimateMs": 60000}]) is None:
                return 2
        await asyncio.sleep(2)
        free = [it for it in d.workers if not it.running]
        if len(free) != 1:
            return 2
        grey = free[0]
        if TROUBLE:
            record(f"worker {grey.name} is unhealthy from now on: it answers starts with 503")
            sound = grey.do_start
            grey.do_start = lambda body: (503, {})
            asyncio.get_running_loop().call_later(GREY_S, lambda: setattr(grey, "do_start", sound))
        else:
            # Without the unhealthy worker nothing has room either.
            if await d.submit("q", [{"count": 1, "cpu": 8000, "memMb": 512, "estimateMs": 60000}]) is None:
                return 2
            await asyncio.sleep(0.5)
        jobs = []
        for _ in range(WAITING):
            jobs.append(await d.submit("q", [{"count": 1, "cpu": 1000, "memMb": 256, "estimateMs": 2000}]))
        if None in jobs:
            return 2
        # visible_ms + 2 s and a little more after the last was accepted.
        await asyncio.sleep(d.bounds["visible_ms"] / 1000 + 2 + 0.5)
        broken = 0
        for front in d.fronts():
            asked = now()
            status, shown = await d.client("GET", "q", "", front=front)
            if status != 200:
                return 2
            pending = json.loads(shown)["pending"]
            begun = {it[4].split(".")[0] for it in d.events if it[3] == "begin"}
            older = [it for it in jobs if it not in begun
                     and asked - d.jobs[it]["accepted"] > d.bounds["visible_ms"] / 1000 + 2]
            record(f"pending {pending}; accepted over 5 s before and not begun: {len(older)}")
            if 2 * pending < len(older):
                broken += 1
        for it in jobs[:2]:
            await d.state("q", it)
        return 1 if broken else 0
    finally:
        await d.stop()


run_case(Path(__file__).parent, play)
