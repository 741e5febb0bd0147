"""Tasks of a worker that leaves as planned run elsewhere before it has heard that it may end."""
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from stand import *  # noqa: E402,F403

WORKERS = 16  # one of them leaves: a share of 0.0625
DRAIN_S = 2.5  # drainMs after the acknowledgement, and a little longer
TASKS = 16


async def play(record):
    d = Deployment(record)
    try:
        d.start()
        d.start_workers(WORKERS)
        if not await d.configure([d.route("q")]):
            return 2
        await asyncio.sleep(4)
        jobs = [await d.submit("q", [{"count": 1, "cpu": 2000, "memMb": 256, "estimateMs": 15000}])
                for _ in range(TASKS)]
        if None in jobs:
            return 2
        await asyncio.sleep(1)
        worker = max(d.workers, key=lambda it: len(it.running))
        record(f"worker {worker.name} runs {len(worker.running)} tasks")
        if TROUBLE:
            # Reports that it drains, serves on, sends Leave, and ends when that is acknowledged, or
            # some seconds later when it is not.
            await worker.leave(DRAIN_S)
        await asyncio.sleep(5)
        twice = d.overlaps()
        for task, one, other in twice:
            record(f"TWICE {task}: run {one[4]} at {one[2]} and run {other[4]} at {other[2]} at the same time "
                   f"for {1000 * (min(one[1], other[1]) - other[0]):.1f} ms")
        return 1 if twice else 0
    finally:
        await d.stop()


run_case(Path(__file__).parent, play)
