"""A leaving worker whose Leave gets no answer runs on for some seconds, and its tasks start elsewhere at once."""
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from fleet import *  # noqa: E402,F403
from stand import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENDS_ANYWAY_S = 3.0  # "it ends anyway, some seconds later"
SLACK_S = 0.2  # both at work for less than this, while the answer is on its way, is not held against the system


async def main():
    record = Record(Path(__file__).with_name("record.txt"))
    cluster = Cluster(record, controls=5, entries=2)
    fleet = Fleet(record)
    client = Client(fleet, cluster)
    try:
        await cluster.start()
        if not await cluster.wait_ready():
            record.note("the group has not formed")
            return 2
        await cluster.order("POST", "/api/Config.Put", config(1, [route("r-0", "a.example", "/q0/", "s1")], [service("s1")]))
        for n in range(16):
            await Worker(fleet, cluster, f"i-{n:04d}", f"{cluster.net}.{100 + n}:8080", ZONES[n % 3]).start()
        await asyncio.sleep(2)
        step = {"count": 6, "cpu": 2000, "memMb": 512, "estimateMs": 20000}
        for _ in range(4):
            await client.submit("/q0/", {"spec": "a plan", "steps": [step]}, (20, 20))
        await asyncio.sleep(2)
        leaving = max(fleet.workers, key=lambda it: len(it.running))
        record.note(f"{leaving.id} drains with {len(leaving.running)} runs")
        leaving.draining = True
        body = leaving.report()
        answer = await cluster.order("POST", f"/api/Instances.Heartbeat/{leaving.id}", body, quiet=True)
        record.note(f"{leaving.id} says that it is draining -> {answer[0] if answer else None}")
        if answer is None or answer[0] != 200:
            return 2
        await asyncio.sleep(2.5)  # drainMs is 2,000
        for it in leaving.tasks[:1]:
            it.cancel()  # no more heartbeats
        if TROUBLE:
            # The Leave arrives; its answer is lost on the way back.
            leader = await cluster.leader()
            ip, port = leader.control.split(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            data = json.dumps({"born": leaving.born}).encode()
            writer.write(f"POST /api/Instances.Leave/{leaving.id} HTTP/1.1\r\nHost: {leader.control}\r\nContent-Type: "
                         f"application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
            await writer.drain()
            record.note(f"{leaving.id} sends its Leave to control-{leader.n}; the answer is lost")
            await asyncio.sleep(ENDS_ANYWAY_S)
            writer.close()
        else:
            answer = await cluster.order("POST", f"/api/Instances.Leave/{leaving.id}", {"born": leaving.born}, quiet=True)
            record.note(f"{leaving.id} sends its Leave -> {answer[0] if answer else None}")
        ended = time.monotonic()
        still = dict(leaving.running)
        leaving.crash()
        record.note(f"{leaving.id} ends, and {len(still)} runs with it")
        await asyncio.sleep(1)
        longest = 0.0
        for task, run in still.items():
            for other in fleet.runs[task]:
                if other is not run and run.begun < other.begun < ended:
                    both = ended - other.begun
                    longest = max(longest, both)
                    record.note(f"{'RULE TWICE' if both > SLACK_S else 'within the slack'}: {task} run {run.run} on "
                                f"{leaving.id} and run {other.run} on {other.worker.id} at work at the same time for {both:.3f} s")
        record.note(f"rule TWICE: {'BROKEN' if longest > SLACK_S else 'held'}")
        return 1 if longest > SLACK_S else 0
    finally:
        await cluster.stop()


run_case(main)
