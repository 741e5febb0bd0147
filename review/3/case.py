"""Accepted jobs never run after their queue has moved to another service."""
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from stand import *  # noqa: E402,F403

OLD, NEW = 2, 6  # workers of the two services


async def play(record):
    d = Deployment(record)
    try:
        d.start()
        d.start_workers(OLD + NEW)
        names = [d.service, "svc" + secrets.token_hex(3)]
        for i, it in enumerate(d.workers):
            it.service = names[0] if i < OLD else names[1]
        services = [{"name": it, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False,
                     "enforcesCapacity": True, "standby": False} for it in names]
        if not await d.configure([d.route("q"), d.route("p")], services):
            return 2
        await asyncio.sleep(4)
        # The workers of the first service are full for the whole script.
        for _ in range(OLD):
            if await d.submit("p", [{"count": 1, "cpu": 8000, "memMb": 256, "estimateMs": 200000}]) is None:
                return 2
        await asyncio.sleep(1)
        step = [{"count": 1, "cpu": 1000, "memMb": 256, "estimateMs": 1000}]
        jobs = [await d.submit("q", step) for _ in range(4)]
        if None in jobs:
            return 2
        await asyncio.sleep(1)
        workers = d.workers[:OLD]
        later = None
        changed = now()
        if TROUBLE:
            # From this version on, the workers of the second service run the tasks of the queue.
            if not await d.configure([d.route("q", service=names[1]), d.route("p")], services):
                return 2
            workers = d.workers[OLD:]
            changed = now()
            await asyncio.sleep(d.bounds["configApplyMs"] / 1000 + 1)
            later = await d.submit("q", step)
        # finish_s, and 3 s in which nothing runs.
        await asyncio.sleep(d.bounds["finish_s"] + 3)
        broken = 0
        for it in jobs + ([later] if later else []):
            shown = await d.state("q", it)
            runs = [e for e in d.events if e[3] == "begin" and e[4].startswith(it)]
            used = sum(w.used("cpu") for w in workers)
            record(f"job {it}{' (handed in later)' if it == later else ''}: {shown}, starts {len(runs)}, "
                   f"{now() - changed:.1f} s; of the queue's service {used} of {len(workers) * 8000} millicores are in use")
            if it != later and not runs and 2 * used < len(workers) * 8000:
                broken += 1
        return 1 if broken else 0
    finally:
        await d.stop()


run_case(Path(__file__).parent, play)
