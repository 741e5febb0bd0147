"""A handful of jobs that run each minute of a day come at once; the platform ends what is over memoryMb."""
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from fleet import *  # noqa: E402,F403
from stand import *  # noqa: E402,F403

MEMORY_MB = 256  # memoryMb of a core machine (sites/wft-layout.toml, sites/furiko-ops.toml)
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUNS = 1440 if TROUBLE else 4  # one run a minute for a day; without the disruption four
JOBS = 8


async def main():
    record = Record(Path(__file__).with_name("record.txt"))
    cluster = Cluster(record, controls=5, entries=2)
    fleet = Fleet(record)
    client = Client(fleet, cluster)
    ends = {it: 0 for it in cluster.members}
    largest = {it: 0.0 for it in cluster.members}
    stopping = False

    async def platform(node):
        """Ends a process that is over its memory, and starts what has ended again after a second."""
        while not stopping:
            rss = node.rss_mb()
            largest[node] = max(largest[node], rss)
            if rss > MEMORY_MB and node.process.returncode is None:
                record.note(f"platform: control-{node.n} uses {rss:.0f} MB of {MEMORY_MB}, is killed")
                await node.kill()
            if node.process.returncode is not None:
                ends[node] += 1
                record.note(f"platform: control-{node.n} has ended {ends[node]} times")
                await asyncio.sleep(1)
                if not stopping:
                    await node.start()
            await asyncio.sleep(0.05)

    try:
        await cluster.start()
        if not await cluster.wait_ready():
            record.note("the group has not formed")
            return 2
        for it in cluster.members:
            it.bootstrap = False
        await cluster.order("POST", "/api/Config.Put", config(1, [route("r-0", "a.example", "/q0/", "s1")], [service("s1")]))
        for n in range(4):
            await Worker(fleet, cluster, f"i-{n:04d}", f"{cluster.net}.{100 + n}:8080", ZONES[n % 3]).start()
        await asyncio.sleep(2)
        watches = [asyncio.create_task(platform(it)) for it in cluster.members]
        plain = {"spec": "one check", "steps": [{"count": 4, "cpu": 1000, "memMb": 512, "estimateMs": 300}]}
        first = await client.submit("/q0/", plain, (0.2, 0.4))
        await asyncio.sleep(2)
        record.note(f"before: a plain job is {await client.state(first)}")
        step = {"count": 30, "cpu": 500, "memMb": 512, "estimateMs": 500}
        for n in range(JOBS):
            body = {"spec": "each minute", "steps": [step, {**step, "after": [0]}], "runCount": RUNS,
                    "startAtMs": int(time.time() * 1000) + 60_000 + 1000 * n, "intervalMs": 60_000}
            await client.submit("/q0/", body, (0.1, 0.3))
            record.note("MB used: " + " ".join(f"{it.rss_mb():.0f}" for it in cluster.members))
            await asyncio.sleep(0.5)
        jobs = []
        while record.now() < 55 and len(jobs) < 12:
            jobs.append(await client.submit("/q0/", plain, (0.2, 0.4)))
            await asyncio.sleep(1)
        await asyncio.sleep(3)
        states = [await client.state(it) for it in jobs[-4:] if it["accepted"]]
        stopping = True
        await asyncio.gather(*watches)
        record.note(f"plain jobs afterwards: {[it['status'] for it in jobs]}; states of the last accepted ones: {states}")
        for it in cluster.members:
            record.note(f"control-{it.n}: ended {ends[it]} times, most memory {largest[it]:.0f} MB")
        broken = sum(n >= 3 for n in ends.values()) * 2 >= len(ends)
        record.note("rule Fault: " + ("BROKEN" if broken else "held"))
        return 1 if broken else 0
    finally:
        stopping = True
        await cluster.stop()


run_case(main)
