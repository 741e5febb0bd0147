"""A member freezes while another is replaced by an empty machine; later two machines lose their disks."""
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from fleet import *  # noqa: E402,F403
from stand import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RECOVERY_S = 12  # recoveryS


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
        for it in cluster.members:
            it.bootstrap = False
        routes = [route("r-0", "a.example", "/q0/", "s1")]
        await cluster.order("POST", "/api/Config.Put", config(1, routes, [service("s1")]))
        for n in range(4):
            await Worker(fleet, cluster, f"i-{n:04d}", f"{cluster.net}.{100 + n}:8080", ZONES[n % 3]).start()
        await asyncio.sleep(4)
        leader = await cluster.leader()
        if leader is None:
            return 2
        followers = [it for it in cluster.members if it is not leader]
        frozen, gone = followers[0], followers[-1]
        began = record.now()
        if TROUBLE:
            frozen.signal(signal.SIGSTOP)
            await asyncio.sleep(1.8)
        await gone.kill()
        record.note(f"control-{gone.n} is gone for good")
        cluster.members.remove(gone)
        await asyncio.sleep(1)
        new = Node(cluster, "control", 5)
        new.bootstrap = False
        cluster.members.append(new)
        await new.start()
        if TROUBLE:
            await asyncio.sleep(max(0.0, 4.0 - (record.now() - began)))
            frozen.signal(signal.SIGCONT)
        await asyncio.sleep(15)  # catchUpS is 4

        job = await client.submit("/q0/", {"spec": "one check", "steps": [{"count": 4, "cpu": 1000, "memMb": 512}]}, (60, 60))
        routes[0]["timeoutMs"] = 2900
        answer = await cluster.order("POST", "/api/Config.Put", config(7, routes, [service("s1")]))
        if job["accepted"] is None or answer is None or answer[0] != 200:
            record.note("the last change was not acknowledged")
            return 2
        leader = await cluster.leader()
        lost = [it for it in (leader, new) if it is not None]
        if len(set(lost)) < 2:
            lost = [leader, next(it for it in cluster.members if it not in (leader, frozen))]
        await asyncio.gather(*(it.kill() for it in cluster.members))
        for it in lost:
            record.note(f"control-{it.n} loses its disk")
            shutil.rmtree(it.data)
            it.data.mkdir()
        await asyncio.sleep(1)
        await asyncio.gather(*(it.start() for it in cluster.members))
        await asyncio.sleep(RECOVERY_S)
        held, state = None, None
        for _ in range(10):
            answer = await cluster.order("GET", "/api/Config.Get", tries=8, quiet=True)
            held = json.loads(answer[2])["version"] if answer is not None and answer[0] == 200 else None
            state = await client.state(job)
            record.note(f"{RECOVERY_S} s and more after the machines are back: version {held}, the accepted job: {state}")
            if held == 7 and state in ("queued", "running", "completed") or record.now() > 55:
                break
            await asyncio.sleep(1)
        broken = held != 7 or state not in ("queued", "running", "completed")
        record.note("rule LOST: " + ("BROKEN" if broken else "held"))
        return 1 if broken else 0
    finally:
        await cluster.stop()


run_case(main)
