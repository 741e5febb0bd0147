"""Plays orders of events in which an order for a worker's former life reaches its next life (issue 70).

REPO names the folder whose target/bin and deploy/system.toml are played; see README.md.
"""
import argparse
import asyncio
import os
import random
import secrets
import signal
import sys
import time
import traceback
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "review/lib"))
import stand  # noqa: E402
from stand import Deployment, Record, Worker, ZONES, http, now, short  # noqa: E402

stand.REPO = Path(os.environ["REPO"]).resolve()

MAX_DELAY_S = 12.0  # the longest delay of a late order
# A play goes on until this long after the held order was sent: by then a leader that waits for the
# longest delay has started the task again as well.
WATCH_S = 15.0


class HeldWorker(Worker):
    """A worker of the stand. Its late orders wait for the script: `late` returns an asyncio.Event."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.arrived = []  # (time, call, body, status, answer) of late orders
        self.calls = []  # (time, life, call, status) of orders that came in time
        self.beats_acked = []  # (time, life)

    async def late_order(self, delay, call, body, instance):
        await delay.wait()
        if not self.is_up or instance not in ("", self.name):
            self.d.record(f"worker {self.name} is down: late {call} {short(body)} reaches nobody")
            self.arrived.append((now(), call, body, None, {}))
            return
        life, lease = self.life, self.lease_end_ms
        # A renewal waits for an end before it answers; nobody waits for this answer.
        status, answer = await Worker.carry_out(self, call, dict(body, waitMs=0))
        self.arrived.append((now(), call, body, status, answer))
        self.d.record(f"worker {self.name} life={life} carries out late {call} {short(body)} -> {status} {short(answer)} "
                      f"lease {lease}->{self.lease_end_ms} clock={self.clock_ms()}")

    async def carry_out(self, call, body):
        life = self.life
        status, answer = await super().carry_out(call, body)
        self.calls.append((now(), life, call, status))
        if call == "/api/hold":
            self.d.record(f"worker {self.name} life={life} hold token={body.get('fencingToken')} "
                          f"deadline={body.get('deadlineMs')} clock={self.clock_ms()} lease={self.lease_end_ms} -> {status}")
        if self.is_cut:
            await asyncio.sleep(3600)  # the answer doesn't get out either
        return status, answer

    async def tell(self, path, body, rounds=6):
        life = self.life
        told = await super().tell(path, body, rounds)
        if told and self.life == life:
            self.beats_acked.append((now(), life))
        return told


class Play:
    def __init__(self, record, options):
        self.record, self.o = record, options
        self.d = Deployment(record)
        self.held = None  # (worker, time, task or None, body)
        self.gate = asyncio.Event()
        self.notes = []
        self.hold_next = None  # predicate(worker, call, body) for the order to hold up
        self.swallow = None  # predicate for orders that never arrive

    def note(self, text):
        self.record("PLAY " + text)
        self.notes.append(text)

    def late(self, worker, call, body):
        if self.swallow and self.swallow(worker, call, body):
            return asyncio.Event()  # never set
        if self.held and self.o.get("hold_all") and worker is self.held[0] and worker.life == 1 \
                and call == "/api/run-start" and body["task"] == self.held[2]:
            self.note(f"start of run {body['run']} held up too, at +{self.since():.2f}")
            return self.gate
        if self.held is None and self.hold_next and self.hold_next(worker, call, body):
            self.held = (worker, now(), body.get("task"), body)
            return self.gate
        return None

    def add_worker(self):
        i = len(self.d.workers)
        worker = HeldWorker(self.d, f"w{i}-" + secrets.token_hex(3), f"{self.d.base}.{100 + i}", ZONES[i % 3],
                            rack=f"r{i % 3}", late=self.late)
        self.d.workers.append(worker)
        worker.start()
        return worker

    async def begin(self, workers, settle=2.0):
        self.d.start()
        for _ in range(workers):
            self.add_worker()
        if not await self.d.configure([self.d.route("q")]):
            return False
        await asyncio.sleep(settle)
        return True

    async def leader(self):
        """The member that answers a read of the configuration itself."""
        for it in self.d.cores:
            if it.process.poll() is None:
                answer = await http(f"{it.ip}:{self.d.control_port}", "GET", "/api/Config.Get", timeout=0.5)
                if answer is not None and answer[0] == 200:
                    return it
        return None

    async def kill_leader(self):
        it = await self.leader()
        if it is None:
            self.note("no leader to kill")
            return
        it.signal(signal.SIGKILL)
        it.process.wait()
        self.note(f"leader {it.name} killed at +{self.since():.2f}")

    def since(self):
        return now() - self.held[1]

    async def until(self, seconds):
        """Until so many seconds after the held order was sent."""
        await asyncio.sleep(max(0.0, seconds - self.since()))

    async def wait_held(self, seconds=6.0):
        end = now() + seconds
        while self.held is None and now() < end:
            await asyncio.sleep(0.005)
        return self.held is not None

    async def deliver(self):
        worker = self.held[0]
        delay = self.since()
        self.gate.set()
        await asyncio.sleep(0.02)
        if not worker.arrived:
            return False
        _, call, _, status, answer = worker.arrived[-1]
        beats = [t for t, life in worker.beats_acked if life == worker.life]
        orders = [t for t, life, call, _ in worker.calls if life == worker.life]
        self.note(f"the late {call} arrives at +{delay:.2f}, life {worker.life}: {status} {short(answer)}; heartbeats of this "
                  f"life acknowledged before: {len(beats)}, orders before: {len(orders)}")
        if not 2.0 <= delay <= MAX_DELAY_S:
            self.note(f"DELAY {delay:.2f} OUT OF RANGE")
        return True

    def begins(self, task):
        return [(t - self.held[1], w.rsplit(".", 1)[1], life, run) for t, w, life, what, name, run, _ in self.d.events
                if what == "begin" and name == task]

    def verdict(self):
        twice, again = self.d.overlaps(), self.d.starts_after_noted_done()
        # An overlap of a moment may be the order in which two events were noted; its length is shown.
        for task, one, other in twice:
            length = min(one[1], other[1]) - other[0]
            self.note(f"TWICE {task} run {one[4]} at .{one[2].rsplit('.', 1)[1]} life {one[3]}, run {other[4]} at "
                      f".{other[2].rsplit('.', 1)[1]} life {other[3]}, together from +{other[0] - self.held[1]:.2f} for "
                      f"{length:.2f} s")
        for task, run, w, t, done in again:
            self.note(f"AFTER DONE {task} run {run} at .{w.rsplit('.', 1)[1]} at +{t - self.held[1]:.2f}, done at "
                      f"+{done - self.held[1]:.2f}")
        return twice, again

    async def watch(self, seconds=WATCH_S):
        # Broken is broken: the rest shows nothing more.
        while self.since() < seconds:
            if self.d.overlaps() or self.d.starts_after_noted_done():
                await asyncio.sleep(0.5)
                return
            await asyncio.sleep(0.2)

    # ---- the plays

    async def late_start(self):
        o = self.o
        if not await self.begin(8):
            return 2
        jobs = []
        main = secrets.token_hex(8)
        self.hold_next = lambda w, call, body: call == "/api/run-start" and body["task"].startswith(main)
        if o.get("no_stop"):
            # No stop of it reaches the life that the start was meant for.
            self.swallow = lambda w, call, body: (call == "/api/run-stop" and self.held is not None
                                                  and w is self.held[0] and w.life == 1)
        jobs.append(await self.d.submit("q", [{"count": 1, "cpu": 2000, "memMb": 512,
                                               "estimateMs": o.get("estimate", 30000)}], job=main))
        for _ in range(3):
            jobs.append(await self.d.submit("q", [{"count": 2, "cpu": 500, "memMb": 128, "estimateMs": 300}]))
        if None in jobs or not await self.wait_held():
            return 2
        victim, _, task, body = self.held
        self.note(f"start of {task} run {body['run']} held up on its way to .{victim.ip.rsplit('.', 1)[1]}")
        at, back = 0.0, 0.0
        kill = o.get("kill")  # (reference, seconds)
        if kill and kill[0] == "order":
            await self.until(kill[1])
            await self.kill_leader()
        for n, (crash_at, down) in enumerate(o["crashes"]):
            await self.until(crash_at)
            victim.crash("the worker crashes")
            self.note(f"crash {n + 1} at +{self.since():.2f}, task had begun: {fmt(self.begins(task))}")
            if kill and kill[0] == "crash" and n == 0:
                await asyncio.sleep(kill[1])
                await self.kill_leader()
            await self.until(crash_at + down)
            victim.first_beat_s = o.get("first_beat", 0.0)
            if "cpus" in o:
                victim.cpu = o["cpus"][n]  # a new life may be of a different kind
            victim.start()
            back = self.since()
            self.note(f"back at +{back:.2f}")
        if o.get("cut"):
            await asyncio.sleep(o["cut"][0])
            victim.is_cut = True
            self.note(f"cut off at +{self.since():.2f}")
            asyncio.get_running_loop().call_later(o["cut"][1], self.uncut, victim)
        if kill and kill[0] == "return":
            await asyncio.sleep(kill[1])
            await self.kill_leader()
        await self.until(back + o["offset"])
        if not o.get("never") and not await self.deliver():
            return 2
        await self.watch(o.get("watch", WATCH_S))
        twice, again = self.verdict()
        self.note(f"task begun: {fmt(self.begins(task))}")
        if not self.begins(task):
            self.note("TASK NEVER BEGAN")
        return 1 if twice or again else 0

    def uncut(self, worker):
        worker.is_cut = False
        self.note(f"in touch again at +{self.since():.2f}")

    async def late_renewal(self):
        """A renewal with a deadline on the former clock prolongs the lease of the next life."""
        o = self.o
        if not await self.begin(4, settle=o.get("age", 6.0)):
            return 2
        # One task a worker; no worker has room for a second one.
        main = await self.d.submit("q", [{"count": 4, "cpu": 5000, "memMb": 512, "estimateMs": 40000}])
        if main is None:
            return 2
        await asyncio.sleep(1.0)
        victim = next((w for w in self.d.workers if w.running), None)
        if victim is None:
            return 2
        self.hold_next = lambda w, call, body: w is victim and call == "/api/hold" and body.get("deadlineMs")
        if not await self.wait_held():
            return 2
        self.note(f"renewal held up on its way to .{victim.ip.rsplit('.', 1)[1]}: deadline {self.held[3]['deadlineMs']}, clock "
                  f"there {victim.clock_ms()}")
        await self.until(o["crash_at"])
        victim.crash("the worker crashes")
        await asyncio.sleep(o["down"])
        victim.start()
        back = self.since()
        self.note(f"back at +{back:.2f}")
        cut_at, offset = o["cut_at"], o["offset"]
        if "kill_at" in o:
            await self.until(back + o["kill_at"])
            await self.kill_leader()
        for t, what in sorted([(offset, "late"), (cut_at, "cut")]):
            await self.until(back + t)
            if what == "late":
                if not victim.running:
                    self.note("the next life runs nothing at the arrival")
                if not await self.deliver():
                    return 2
                lease = (victim.lease_end_ms - victim.clock_ms()) / 1000
                self.note(f"its lease ends at +{self.since() + lease:.2f}; at work there: {len(victim.running)}")
            else:
                victim.is_cut = True
                self.note(f"cut off at +{self.since():.2f}; at work there: {len(victim.running)}; lease left "
                          f"{(victim.lease_end_ms - victim.clock_ms()) / 1000:.2f} s")
                asyncio.get_running_loop().call_later(10.0, self.uncut, victim)
                for _ in range(2):
                    self.add_worker()
        tasks = sorted({it[4] for it in self.d.events if it[1] == victim.ip and it[2] == victim.life and it[3] == "begin"})
        if not tasks:
            self.note("NOTHING BEGAN on the next life")
        await self.watch(back + max(cut_at, offset) + 11.0)
        for it in tasks:
            ends = [(round(t - self.held[1], 2), w.rsplit(".", 1)[1], life, run, how) for t, w, life, what, name, run, how
                    in self.d.events if what == "end" and name == it]
            self.note(f"task {it} begun: {fmt(self.begins(it))} ended: {ends}")
        twice, again = self.verdict()
        return 1 if twice or again else 0

    async def run(self):
        try:
            return await (self.late_renewal() if self.o["kind"] == "renewal" else self.late_start())
        finally:
            await self.d.stop()


def fmt(begins):
    return ", ".join(f"run {run} at +{t:.2f} on .{ip} life {life}" for t, ip, life, run in begins) or "nowhere"


def start(crashes, offset, **more):
    return dict(kind="start", crashes=crashes, offset=offset, **more)


def renewal(crash_at, down, offset, cut_at, **more):
    return dict(kind="renewal", crash_at=crash_at, down=down, offset=offset, cut_at=cut_at, **more)


# Seconds after the held order was sent; offsets and cuts after the last return. `first_beat`: the
# worker's first heartbeat comes that long after its return (a heartbeatMs).
SLOW = {"first_beat": 1.0}
PLAYS = {
    # The script itself: no crash.
    "0-no-crash": start([], 4.0),
    # a: one crash
    "a-0.05": start([(2.5, 1.5)], 0.05, **SLOW),
    "a-0.3": start([(2.5, 1.5)], 0.3, **SLOW),
    "a-0.8": start([(2.5, 1.5)], 0.8, **SLOW),
    # The first heartbeat comes at once.
    "a-0.05-quick": start([(2.5, 1.5)], 0.05),
    "a-0.3-quick": start([(2.5, 1.5)], 0.3),
    "a-2": start([(2.5, 1.5)], 2.0),
    "a-late-11.5": start([(8.0, 1.5)], 2.0),
    "a-early-crash": start([(0.2, 0.6)], 2.0),
    # b: the leader is killed
    "b-after-order": start([(5.0, 1.5)], 0.3, kill=("order", 0.35), **SLOW),
    "b-before-crash": start([(4.0, 1.5)], 2.0, kill=("order", 2.0)),
    "b-before-crash-0.3": start([(4.0, 1.5)], 0.3, kill=("order", 2.0), **SLOW),
    "b-while-down": start([(2.5, 1.5)], 2.0, kill=("crash", 0.7)),
    "b-while-down-0.3": start([(2.5, 1.5)], 0.3, kill=("crash", 0.7), **SLOW),
    "b-while-down-0.05": start([(2.5, 1.5)], 0.05, kill=("crash", 1.3), **SLOW),
    "b-after-return": start([(2.5, 1.5)], 2.0, kill=("return", 0.1)),
    "b-after-return-0.3": start([(2.5, 1.5)], 0.3, kill=("return", 0.1), **SLOW),
    # c: two crashes
    "c-2": start([(2.0, 0.8), (3.8, 0.8)], 2.0),
    "c-0.3": start([(2.0, 0.8), (3.8, 0.8)], 0.3, **SLOW),
    # The stop reaches only the second life; the third takes the start.
    "c-no-stop": start([(0.6, 0.6), (4.0, 0.8)], 0.3, no_stop=True, cpus=[1000, 8000], first_beat=0.5),
    # d: cut off right after the return
    "d-cut-0.05": start([(2.5, 1.5)], 2.0, cut=(0.05, 6.0), **SLOW),
    "d-cut-1": start([(2.5, 1.5)], 2.0, cut=(1.0, 6.0)),
    # e: a late renewal
    "e-1": renewal(0.5, 1.0, 1.0, 1.05),
    "e-2": renewal(0.5, 1.0, 2.0, 2.05),
    "e-3": renewal(0.5, 1.0, 3.0, 3.05),
    "e-cut-first": renewal(0.5, 1.0, 3.0, 1.0),
    "e-cut-first-6": renewal(0.5, 1.0, 6.0, 1.0),
    # The leader is killed, and no order of the next one reaches the life that runs the task.
    "e-kill-cut": renewal(0.5, 1.0, 3.0, 0.5, kill_at=0.3),
    # f: the task has ended done elsewhere
    "f-done": start([(4.0, 1.5)], 0.3, estimate=1500, **SLOW),
    "f-done-2": start([(4.0, 1.5)], 2.0, estimate=1500),
    # g: other times of the same events: cut off and no leader; every start at the first life held up;
    # close to the longest delay, also with a killed leader and cut off
    "g-cut-kill": start([(2.5, 1.5)], 2.0, cut=(0.05, 6.0), kill=("crash", 0.7), **SLOW),
    "g-all-starts": start([(2.5, 1.5)], 0.3, hold_all=True, **SLOW),
    "g-11.95": start([(8.0, 1.5)], 2.45, watch=20.0),
    "g-11.95-all": start([(8.0, 1.5)], 2.45, hold_all=True, watch=20.0),
    "g-11.9-cut": start([(8.0, 1.5)], 2.4, cut=(1.0, 6.0), hold_all=True, watch=24.0),
    "g-11.95-kill": start([(8.0, 1.5)], 2.45, kill=("return", 1.0), hold_all=True, watch=24.0),
}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--logs", required=True)
    parser.add_argument("--tag", required=True)
    parser.add_argument("--times", type=int, default=3)
    parser.add_argument("--first", type=int, default=1, help="number of the first round")
    parser.add_argument("--until", default="", help="start no play after this time of the day, HH:MM")
    parser.add_argument("plays", nargs="*")
    args = parser.parse_args()
    names = args.plays or list(PLAYS)
    for n in range(args.first, args.first + args.times):
        for name in names:
            if args.until and time.strftime("%H:%M") >= args.until:
                print(f"{args.tag} {name} {n}: not played, out of time", flush=True)
                continue
            path = Path(args.logs) / f"script-{args.tag}-{name}-{n}.log"
            record = Record(path)
            record(f"REPO {stand.REPO} play {name} {PLAYS[name]}")

            async def one():
                play = Play(record, PLAYS[name])
                try:
                    return await asyncio.wait_for(play.run(), 60), play.notes
                except asyncio.TimeoutError:
                    return 2, play.notes + ["out of time"]

            try:
                code, notes = asyncio.run(one())
            except Exception as error:  # noqa: BLE001
                traceback.print_exc()
                code, notes = 2, [repr(error)]
            record(f"result {code}")
            print(f"{args.tag} {name} {n}: {('held', 'BROKEN', 'could not run')[code]}", flush=True)
            for it in notes:
                print("    " + it, flush=True)


main()
