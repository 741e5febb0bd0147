"""Stand-in workers and clients after PROTOCOL.md, and the checks of RULES.md on what they have seen."""
import asyncio
import json
import random
import time

from stand import call, read_head

MAX_HOLD_MS, GANG_S, SAVE_S, RESTORE_S = 6000, 3.0, 1.0, 0.1


class Run:
    def __init__(self, worker, task, run, step, done_s):
        self.worker, self.task, self.run, self.step = worker, task, run, step
        self.done_s = done_s  # work that the checkpoint brought along
        self.saved_s = done_s
        self.begun = time.monotonic()
        self.work_from = None if step.get("gang") else self.begun + (RESTORE_S if done_s else 0)
        self.stopping = False
        self.over = False


class Fleet:
    """All workers, the jobs that clients have sent, and what was broken."""

    def __init__(self, record, stop_ms=200):
        self.record, self.stop_ms = record, stop_ms
        self.workers, self.jobs, self.runs = [], {}, {}
        self.gangs, self.ends, self.starts, self.checkpoints = {}, {}, {}, {}
        self.broken, self.suspects, self.alone = [], [], []
        self.rng = random.Random(1)
        self.late_share, self.silent = 0.0, set()
        self.started = 0

    def breach(self, rule, text):
        self.broken.append((rule, text))
        self.record.note(f"RULE {rule}: {text}")

    # ---- what a run is

    def step_of(self, task):
        job, _, step, index = task.split(".")
        it = self.jobs.get(job)
        if it is None or int(step) >= len(it["body"]["steps"]):
            return None, None
        spec = it["body"]["steps"][int(step)]
        return (it, spec) if int(index) < spec["count"] else (None, None)

    def work_s(self, job, task):
        return random.Random(task).uniform(*job["work"])

    def check_start(self, worker, task, run, body):
        job, step = self.step_of(task)
        if job is None:
            self.breach("UNASKED", f"{task} run {run} on {worker.id}: nobody sent it")
            return None, None
        jid, k, number, index = task.split(".")
        now = time.monotonic()
        if body.get("spec") != job["body"]["spec"]:
            self.breach("UNASKED", f"{task} run {run}: another spec")
        saved = body.get("checkpoint") or ""
        scope = f"{jid}.{k}.{number}" if step.get("gang") else task
        if saved and saved not in self.checkpoints.get(scope, {}):
            self.breach("UNASKED", f"{task} run {run}: checkpoint {saved!r} is not its own")
        others = [it for it in self.runs.get(task, []) if not it.over and it.worker.up]
        if others and not step.get("speculative"):
            self.breach("TWICE", f"{task} run {run} starts on {worker.id} while run {others[0].run} is on "
                                 f"{others[0].worker.id} (stopping={others[0].stopping})")
        for how, other_run, life, n, at in self.ends.get(task, []):
            if how == "done" and not step.get("longRunning") and not step.get("speculative"):
                self.suspects.append(("TWICE", task, run, other_run, life, n, at, now))
        failed = [it for it in self.ends.get(task, []) if it[0] == "failed"]
        if len(failed) >= job["attempts"] and not step.get("longRunning"):
            self.suspects.append(("BUDGET", task, run, failed[-1][1], failed[-1][2], failed[-1][3], failed[-1][4], now))
        for it in step.get("after", []):
            for n in range(job["body"]["steps"][it]["count"]):
                earlier = f"{jid}.{k}.{it}.{n}"
                gang = job["body"]["steps"][it].get("gang")
                names = [f"{jid}.{k}.{it}.{m}" for m in range(job["body"]["steps"][it]["count"])] if gang else [earlier]
                if not any(e[0] == "done" for name in names for e in self.ends.get(name, [])):
                    self.breach("ORDER", f"{task} run {run} starts before {earlier} is done")
        if job["body"].get("runCount"):
            due = job["body"]["startAtMs"] + int(k) * job["body"]["intervalMs"]
            if int(k) >= job["body"]["runCount"]:
                self.breach("UNASKED", f"{task}: no such occurrence")
            if time.time() * 1000 < due - 250:
                self.breach("ORDER", f"{task} run {run} starts {due - time.time() * 1000:.0f} ms before its time")
        if step.get("constraints") and step["constraints"] not in worker.labels:
            self.breach("ROUTE", f"{task} run {run} on {worker.id} without label {step['constraints']}")
        if worker.service not in job["services"]:
            self.breach("ROUTE", f"{task} run {run} on {worker.id} of service {worker.service}")
        if step.get("antiAffinity"):
            same = [it for it in worker.running.values() if it.task.rsplit(".", 1)[0] == task.rsplit(".", 1)[0]]
            if len(same) + 1 > step["antiAffinity"]:
                self.breach("ROUTE", f"{task} run {run} on {worker.id}: beyond antiAffinity")
        if job.get("cancelled") is not None and now > job["cancelled"] + 3.0:
            self.breach("UNASKED", f"{task} run {run} starts {now - job['cancelled']:.1f} s after its cancelling")
        return job, step

    def settle(self):
        """Judges starts after an end by whether that end was taken note of."""
        for rule, task, run, other, life, n, ended, began in self.suspects:
            noted = life.noted.get(n)
            if noted is not None and not life.lapsed_between(ended, noted):
                self.breach(rule, f"{task} run {run} started {began - ended:.2f} s after run {other} had ended on "
                                  f"{life.id}, end {n}, noted {noted - ended:.2f} s after it")
        self.suspects = []


class Worker:
    """One life of a worker."""

    def __init__(self, fleet, cluster, id_, address, zone, service="s1", cpu=32000, mem=128000, labels=("a", "r1-1"),
                 guards=True, version="v1"):
        self.fleet, self.cluster, self.id, self.address, self.zone = fleet, cluster, id_, address, zone
        self.service, self.cpu, self.mem, self.labels, self.guards = service, cpu, mem, list(labels), guards
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic() - random.uniform(1, 500)
        self.fence = self.lease = self.lapsed = 0
        self.running, self.stopping, self.ended, self.highest, self.noted, self.lapses = {}, [], [], {}, {}, []
        self.count = self.sequence = 0
        self.up, self.draining = True, False
        self.changed = asyncio.Event()
        self.server, self.tasks, self.writers = None, [], set()
        self.beat_at = None

    def clock(self):
        return int((time.monotonic() - self.zero) * 1000)

    def lapsed_between(self, one, other):
        return any(one <= it <= other for it in self.lapses)

    async def start(self):
        ip, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, ip, int(port))
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]
        self.fleet.workers.append(self)

    def crash(self):
        self.up = False
        self.fleet.record.note(f"worker {self.id} crashes with {len(self.running)} runs")
        self.server.close()
        for it in self.tasks:
            it.cancel()
        for it in list(self.writers):
            it.transport.abort()
        for it in list(self.running.values()) + self.stopping:
            it.over = True
            self.break_gang(it)
        self.running, self.stopping = {}, []
        self.fleet.workers.remove(self)

    # ---- heartbeats

    def report(self):
        self.sequence += 1
        left = {"remainingMs": 1000} if self.draining else {}
        return {**left, "service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 8,
                "state": "draining" if self.draining else "ready", "coldRemainingMs": 0, "born": self.born,
                "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpu": 0}, "labels": self.labels,
                "clockMs": self.clock(), "sequence": self.sequence}

    async def beat(self):
        while True:
            addresses = [self.beat_at] if self.beat_at else []
            addresses += [it.control for it in random.sample(self.cluster.members, len(self.cluster.members))]
            for address in addresses:
                target = f"/api/Instances.Heartbeat/{self.id}"
                for _ in range(3):
                    answer = await call(address, "POST", target, self.report(), 1.0)
                    if answer is None or answer[0] != 307:
                        break
                    address = answer[1]["location"].removeprefix("http://").split("/")[0]
                if answer is not None and answer[0] == 200:
                    self.beat_at = json.loads(answer[2] or b"{}").get("heartbeatAddress") or self.beat_at
                    break
                self.beat_at = None
            await asyncio.sleep(self.cluster.heartbeat_ms / 1000 * random.uniform(0.9, 1.1))

    # ---- calls

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.up:
                first, headers = await read_head(reader)
                raw = await reader.readexactly(int(headers.get("content-length", 0)))
                path = first.split(" ")[1]
                body = json.loads(raw) if raw else {}
                if self.id in self.fleet.silent:
                    continue
                if headers.get("expected-instance", self.id) != self.id:
                    status, answer = 421, {}
                else:
                    if self.fleet.late_share and self.fleet.rng.random() < self.fleet.late_share:
                        delay = self.fleet.rng.uniform(2, 12)
                        asyncio.get_running_loop().call_later(delay, self.late, path, body)
                        self.fleet.record.note(f"{self.id} leaves {path} {body.get('task', '')} unanswered, late by {delay:.1f} s")
                        continue
                    if path == "/api/hold" and body.get("waitMs"):
                        status, answer = await self.hold(body)
                    else:
                        status, answer = self.carry_out(path, body)
                answer.update({"clockMs": self.clock(), "born": self.born})
                data = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def late(self, path, body):
        if self.up:
            status, answer = self.carry_out(path, body, True)
            self.fleet.record.note(f"{self.id} carries out late {path} {body.get('task', '')} {body.get('run', '')} -> {status} {answer.get('reason', '')}")

    def carry_out(self, path, body, late=False):
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return 409, {"reason": "fence"}
        self.fence = token
        if path == "/api/run-start":
            return self.run_start(body, late)
        if path == "/api/run-stop":
            return self.run_stop(body)
        if path == "/api/hold":
            self.note(body)
            return 200, self.lists()
        if path == "/api/pace":
            return 200, {}
        return 404, {}

    def extend(self, deadline):
        if deadline:
            self.lease = max(self.lease, min(deadline, self.clock() + MAX_HOLD_MS))

    def note(self, body):
        self.extend(body.get("deadlineMs"))
        cursor = body.get("ackCursor", 0)
        for it in self.ended:
            if it[0] <= cursor:
                self.noted.setdefault(it[0], time.monotonic())
        self.ended = [it for it in self.ended if it[0] > cursor]

    def lists(self):
        return {"running": [[it.task, it.run, "", 100, 10] for it in self.running.values()], "ended": self.ended[:500]}

    async def hold(self, body):
        status, answer = self.carry_out("/api/hold", body)
        if status == 200 and not answer["ended"]:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
            answer = self.lists()
        return status, answer

    def used(self):
        cpu = mem = 0
        for it in list(self.running.values()) + self.stopping:
            cpu += 0 if it.step.get("fills") else it.step.get("cpu", 0)
            mem += it.step.get("memMb", 0)
        return cpu, mem

    def run_start(self, body, late):
        task, run, fleet = body["task"], body["run"], self.fleet
        if body.get("deadlineMs", 0) <= self.clock():
            return 409, {"reason": "late"}
        if task in self.running and self.running[task].run == run:
            self.extend(body["deadlineMs"])
            return 200, {}
        if run <= self.highest.get(task, 0):
            self.extend(body["deadlineMs"])
            return 409, {"reason": "old"}
        _, step = fleet.step_of(task)
        cpu, mem = self.used()
        over = step is not None and (cpu + (0 if step.get("fills") else step.get("cpu", 0)) > self.cpu
                                     or mem + step.get("memMb", 0) > self.mem)
        if over and self.guards:
            self.extend(body["deadlineMs"])
            return 409, {"reason": "room"}
        job, step = fleet.check_start(self, task, run, body)
        if step is None:
            return 400, {}
        if over:
            fleet.breach("LIMIT", f"{task} run {run} brings {self.id} over its capacity: {cpu}+{step.get('cpu')} of "
                                  f"{self.cpu}, {mem}+{step.get('memMb')} of {self.mem}")
        self.extend(body["deadlineMs"])
        jid, k, number, _ = task.split(".")
        scope = f"{jid}.{k}.{number}" if step.get("gang") else task
        done = fleet.checkpoints.get(scope, {}).get(body.get("checkpoint") or "", 0)
        it = Run(self, task, run, step, done)
        self.running[task] = it
        self.highest[task] = max(self.highest.get(task, 0), run)
        fleet.runs.setdefault(task, []).append(it)
        fleet.started += 1
        job["begun"] = True
        fleet.record.note(f"{self.id} starts {task} run {run} token {body['fencingToken']}" + (" (late order)" if late else ""))
        if step.get("gang"):
            gang = fleet.gangs.setdefault((scope, run), {})
            gang[task] = it
            if len(gang) == step["count"]:
                for member in gang.values():
                    member.work_from = time.monotonic()
        return 200, {}

    def run_stop(self, body):
        task, run = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        it = self.running.get(task)
        if it is not None and it.run <= run:
            del self.running[task]
            it.stopping = True
            self.stopping.append(it)
            asyncio.get_running_loop().call_later(self.fleet.stop_ms / 1000 * 0.9, self.stopped, it)
        return 200, {}

    def stopped(self, it):
        if self.up and it in self.stopping:
            self.stopping.remove(it)
            self.end(it, "stopped")

    # ---- work

    def end(self, it, how):
        it.over = True
        self.count += 1
        saved = ""
        if it.step.get("checkpointing") and how != "done":
            saved = self.save(it)
        self.ended.append([self.count, it.task, it.run, how, saved])
        self.fleet.ends.setdefault(it.task, []).append((how, it.run, self, self.count, time.monotonic()))
        self.fleet.record.note(f"{self.id} lists end {self.count} of {it.task} run {it.run}: {how}")
        self.changed.set()
        if how != "done":
            self.break_gang(it)

    def save(self, it):
        jid, k, number, _ = it.task.split(".")
        scope = f"{jid}.{k}.{number}" if it.step.get("gang") else it.task
        worked = it.done_s + (max(0.0, time.monotonic() - it.work_from) if it.work_from else 0)
        text = f"{random.getrandbits(64):016x}"
        self.fleet.checkpoints.setdefault(scope, {})[text] = worked
        return text

    def break_gang(self, it):
        if not it.step.get("gang"):
            return
        jid, k, number, _ = it.task.split(".")
        gang = self.fleet.gangs.pop((f"{jid}.{k}.{number}", it.run), {})
        for member in gang.values():
            if member is not it and not member.over and not member.stopping and member.worker.up:
                member.worker.running.pop(member.task, None)
                member.worker.end(member, "broken")

    async def work(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.lease and self.lease != self.lapsed and self.clock() > self.lease:
                self.lapsed = self.lease
                self.lapses.append(now)
            if (self.running or self.stopping) and self.clock() > self.lease:
                runs = list(self.running.values()) + self.stopping
                self.running, self.stopping = {}, []
                for it in runs:
                    if not it.over:
                        self.end(it, "lapsed")
            for it in list(self.running.values()):
                if it.over:
                    continue
                if it.work_from is None:
                    if now - it.begun > GANG_S:
                        self.running.pop(it.task, None)
                        self.fleet.alone.append((it.task, it.run, now))
                        self.end(it, "alone")
                    continue
                if it.step.get("longRunning"):
                    continue
                job, _ = self.fleet.step_of(it.task)
                if now - it.work_from + it.done_s < self.fleet.work_s(job, it.task.rsplit(".", 1)[0] if it.step.get("gang") else it.task):
                    continue
                how = "failed" if self.fleet.rng.random() < job.get("fails", 0) else "done"
                if it.step.get("gang") and how == "done":
                    jid, k, number, _ = it.task.split(".")
                    gang = self.fleet.gangs.pop((f"{jid}.{k}.{number}", it.run), {})
                    for member in gang.values():
                        if not member.over and not member.stopping and member.worker.up:
                            member.worker.running.pop(member.task, None)
                            member.worker.end(member, "done")
                    continue
                self.running.pop(it.task, None)
                self.end(it, how)


class Client:
    def __init__(self, fleet, cluster, host="a.example"):
        self.fleet, self.cluster, self.host = fleet, cluster, host

    async def ask(self, method, path, body=None, tries=8, deadline=3.0):
        """A call with retries after no answer, a broken connection, 502 or 504, and after 429 and 503."""
        answer = None
        for n in range(tries):
            node = random.choice(self.cluster.entries)
            answer = await call(node.front, method, path, body, deadline, {"Deadline-Ms": int(deadline * 1000)}, self.host)
            if answer is not None and answer[0] not in (429, 502, 503, 504):
                return answer
            await asyncio.sleep(0.3 + 0.3 * n)
        return answer

    async def submit(self, prefix, body, work, services=("s1",), attempts=4, fails=0.0):
        jid = f"{random.getrandbits(64):016x}"
        job = {"id": jid, "prefix": prefix, "body": body, "work": work, "services": services, "attempts": attempts,
               "fails": fails, "accepted": None, "cancelled": None}
        self.fleet.jobs[jid] = job
        answer = await self.ask("POST", prefix + jid, body)
        status = answer[0] if answer else None
        self.fleet.record.note(f"client POST {prefix}{jid} -> {status}")
        if status is not None and status < 300:
            job["accepted"] = time.monotonic()
        job["status"] = status
        return job

    async def cancel(self, job):
        answer = await self.ask("DELETE", job["prefix"] + job["id"])
        self.fleet.record.note(f"client DELETE {job['prefix']}{job['id']} -> {answer[0] if answer else None}")
        if answer is not None and answer[0] in (200, 202, 204, 410):
            job["cancelled"] = time.monotonic()

    async def state(self, job):
        answer = await self.ask("GET", job["prefix"] + job["id"])
        if answer is None or answer[0] != 200:
            return f"status {answer[0] if answer else None}"
        return json.loads(answer[2])["state"]
