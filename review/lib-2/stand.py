"""Stand-ins for a small deployment on loopback: the platform, the operator, clients and workers.

Everything but the two programs of the project runs in one asyncio loop. Processes are started with the
commands of the deploy file, with INI files as `platform/*.ini.in` renders them.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BIN = Path(os.environ.get("STAND_BIN", ROOT / "target/bin"))
CONTROL_PORT, PEER_PORT, FRONT_PORT, READY_PORT = 8166, 7720, 8161, 8167
ZONES = ["za", "zb", "zc"]


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.began:9.3f} {text}\n")
        self.file.flush()

    def now(self):
        return time.monotonic() - self.began


async def call(address, method, path, body=None, timeout=1.0, headers=None, host=None):
    """One HTTP call on a connection of its own: (status, headers, body), or None without an answer."""
    ip, port = address.rsplit(":", 1)
    writer = None

    async def talk():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, int(port))
        data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        head = f"{method} {path} HTTP/1.1\r\nHost: {host or address}\r\nConnection: close\r\n"
        if body is not None:
            head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
        for key, value in (headers or {}).items():
            head += f"{key}: {value}\r\n"
        writer.write(head.encode() + b"\r\n" + data)
        await writer.drain()
        return await read_response(reader)

    try:
        return await asyncio.wait_for(talk(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for it in lines[1:]:
        key, _, value = it.partition(":")
        if value:
            headers[key.strip().lower()] = value.strip()
    return lines[0], headers


async def read_response(reader):
    first, headers = await read_head(reader)
    status = int(first.split(" ")[1])
    length = int(headers.get("content-length", 0))
    return status, headers, await reader.readexactly(length) if length else b""


def free_network():
    """A loopback network 127.x.y with free ports of ours on its first addresses."""
    for _ in range(200):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        socks = []
        try:
            for last in range(11, 31):
                for port in (CONTROL_PORT, PEER_PORT, FRONT_PORT, READY_PORT, 9464):
                    it = socket.socket()
                    it.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    socks.append(it)
                    it.bind((f"{net}.{last}", port))
            return net
        except OSError:
            continue
        finally:
            for it in socks:
                it.close()
    sys.exit(2)


class Node:
    def __init__(self, cluster, role, n):
        self.cluster, self.role, self.n = cluster, role, n
        self.ip = f"{cluster.net}.{(11 if role == 'control' else 21) + n}"
        self.zone = ZONES[n % len(ZONES)]
        self.folder = cluster.folder / f"{role}-{n}"
        self.data = self.folder / "data"
        self.process = None
        self.bootstrap = True
        self.starts = 0
        self.data.mkdir(parents=True)

    @property
    def control(self):
        return f"{self.ip}:{CONTROL_PORT}"

    @property
    def front(self):
        return f"{self.ip}:{FRONT_PORT}"

    def settings(self):
        seeds = ",".join(f"{self.cluster.net}.{11 + i}:{CONTROL_PORT}" for i in range(min(3, self.cluster.controls)))
        bounds = self.cluster.bounds
        if self.role == "control":
            return (f"[process]\ncluster = acaciafork\nzone = {self.zone}\n"
                    f"[listen]\npeers = {self.ip}:{PEER_PORT}\noperators = {self.ip}:0\n"
                    f"[control]\ndata-folder = {self.data}\n"
                    f"[discovery]\nseeds = {seeds}\nfound = {'true' if self.bootstrap else 'false'}\n"
                    f"[binding]\nkind = platform\ncontrol = {self.control}\nmetrics = {self.ip}:9464\nadvisor = \n"
                    f"[jobs]\nprompt-take-over = true\nlook-ahead = true\nlearn-durations = true\n"
                    f"stop-timeout-ms = {bounds['stopTimeoutMs']}\nworker-contact-ms = {bounds['contactMs']}\n"
                    f"worker-report-interval-ms = {self.cluster.heartbeat_ms}\ntail-harm-ms = {bounds['harmMs']}\n"
                    f"[limits]\ndescriptors = 4096\n[replacement]\nlost-after-ms = 1500\nvoters = 5\n"
                    f"[zones]\nnames = {','.join(ZONES)}\n")
        return (f"[process]\ncluster = acaciafork\nzone = {self.zone}\n"
                f"[listen]\npeers = {self.ip}:{PEER_PORT}\ncallers = {self.ip}:0\noperators = {self.ip}:0\n"
                f"[discovery]\nseeds = {seeds}\n"
                f"[binding]\nkind = platform\nclients = {self.front}\nready = {self.ip}:{READY_PORT}\n"
                f"metrics = {self.ip}:9464\n[calls]\ntimeout-ms = 2500\nunsent-timeout-ms = 150\n")

    async def start(self):
        path = self.folder / "local.toml"
        path.write_text(self.settings())
        log = open(self.folder / "log.txt", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(BIN / f"acaciafork-{self.role}"), "--settings", str(path),
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.starts += 1
        self.cluster.record.note(f"platform starts {self.role}-{self.n} pid={self.process.pid} start={self.starts}")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.cluster.record.note(f"platform signals {self.role}-{self.n} {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def rss_mb(self):
        try:
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def log(self):
        return (self.folder / "log.txt").read_text(errors="replace")


def run_case(main):
    """Runs a case and ends with its code, whatever of the stand-ins is still open."""
    code = 2
    try:
        code = asyncio.new_event_loop().run_until_complete(main())
    finally:
        sys.stdout.flush()
        os._exit(code)


class Cluster:
    def __init__(self, record, controls=5, entries=2, heartbeat_ms=1100, **bounds):
        self.record, self.controls = record, controls
        self.heartbeat_ms = heartbeat_ms
        self.bounds = {"stopTimeoutMs": 200, "contactMs": 3000, "harmMs": 4000, **bounds}
        self.net = free_network()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.members = [Node(self, "control", i) for i in range(controls)]
        self.entries = [Node(self, "entry", i) for i in range(entries)]
        self.version = 0

    async def start(self):
        for name in ("acaciafork-control", "acaciafork-entry"):
            if not (BIN / name).exists():
                print("the build of the deploy file is missing")
                sys.exit(2)
        await asyncio.gather(*(it.start() for it in self.members + self.entries))

    async def stop(self):
        for it in self.members + self.entries:
            if it.process is not None and it.process.returncode is None:
                try:
                    it.process.send_signal(signal.SIGCONT)
                    it.process.kill()
                except ProcessLookupError:
                    pass
                try:
                    await asyncio.wait_for(it.process.wait(), 3)
                except asyncio.TimeoutError:
                    self.record.note(f"{it.role}-{it.n} was killed; its end was not seen")
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def order(self, method, path, body=None, tries=40, timeout=1.0, quiet=False):
        """A call of the operator: picks a node, follows a 307 twice, goes on after no clear answer."""
        pause = 0.05
        for n in range(tries):
            address, target = random.choice(self.members).control, path
            for _ in range(3):
                answer = await call(address, method, target, body, timeout)
                if answer is None or answer[0] != 307:
                    break
                where = answer[1].get("location", "").removeprefix("http://")
                address, _, rest = where.partition("/")
                target = "/" + rest
            if answer is not None and (answer[0] < 400 or answer[0] in (400, 409, 412, 413, 422)):
                if not quiet:
                    self.record.note(f"operator {method} {path} -> {answer[0]} at {address} (try {n + 1})")
                return answer
            await asyncio.sleep(pause)
            pause = min(pause * 2, 0.5)
        self.record.note(f"operator {method} {path} -> no clear answer in {tries} tries")
        return None

    async def leader(self):
        """The member that answers a read of the configuration itself."""
        for it in self.members:
            if it.process is None or it.process.returncode is not None:
                continue
            answer = await call(it.control, "GET", "/api/Config.Get", timeout=0.5)
            if answer is not None and answer[0] == 200:
                return it
        return None

    async def wait_ready(self, seconds=20):
        """Waits until all control members have joined the group."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for it in self.members:
                lines = [x for x in it.log().splitlines() if "event=membership " in x]
                if lines:
                    members = lines[-1].split("members=")[1].split()[0]
                    if len(members.split(",")) == self.controls and ":" not in members:
                        return True
            await asyncio.sleep(0.2)
        return False


def route(name, host, prefix, service, **more):
    return {"name": name, "host": host, "pathPrefix": prefix, "type": "unsafe", "timeoutMs": 3000,
            "targetLatencyMs": 250, "priority": 0, "service": service, "maxAttempts": 4, "stretch": 1.5, **more}


def config(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def service(name, guards=True):
    return {"name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False,
            "enforcesCapacity": guards, "standby": False}
