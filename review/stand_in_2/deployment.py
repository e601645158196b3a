"""A small deployment on loopback addresses: the platform's store, workers and callers as stand-ins in
this process, and the project's daemon as separate processes. The stand-ins do what PROTOCOL.md says."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOLD_MAX_MS = 1000
HEARTBEAT_S = 1.5
EXPIRY_S = 3 * HEARTBEAT_S
STOP_S = 0.02  # at most stopTimeoutMs, 50
STORE_ANSWER_S = 0.004


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.path = path
        self.begin = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.begin

    def add(self, text):
        self.lines.append(f"{self.now():9.4f}  {text}")

    def write(self):
        with open(self.path, "w") as out:
            out.write("\n".join(self.lines) + "\n")


def free_port(ip):
    with socket.socket() as it:
        it.bind((ip, 0))
        return it.getsockname()[1]


class HttpServer:
    """HTTP/1.1 with keep-alive; `handler(method, target, headers, body)` returns status and body, or
    None to close the connection without an answer."""

    def __init__(self, ip, port, handler):
        self.ip, self.port, self.handler = ip, port, handler
        self.server = None
        self.writers = set()
        self.tasks = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, reuse_address=True,
                                                 backlog=512)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {}
                for line in head[1:]:
                    if line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    break
                status, content = answer
                if isinstance(content, (dict, list)):
                    content = json.dumps(content).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()

    def stop(self):
        """Ends the listener and all connections, as the end of a process does."""
        if self.server:
            self.server.close()
            self.server = None
        for it in list(self.tasks):
            it.cancel()
        for it in list(self.writers):
            it.transport.abort()


class Store:
    """The platform's log. Topics whose names begin with `keyed.` keep the newest record of a key."""

    def __init__(self, ip):
        self.topics = {}
        self.changed = asyncio.Event()
        self.state = "up"  # up, or silent: no answer
        self.server = HttpServer(ip, free_port(ip), self.handle)

    def put(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, headers, body):
        if self.state == "silent":
            await asyncio.sleep(600)
        await asyncio.sleep(STORE_ANSWER_S)
        path, _, query_text = target.partition("?")
        query = dict(it.split("=", 1) for it in query_text.split("&") if it)
        topic = query.get("topic", "")
        records = self.topics.setdefault(topic, [])
        if path == "/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return 403, {}
            first, at = len(records), 0
            while at < len(body):
                n = struct.unpack(">I", body[at:at + 4])[0]
                content = body[at + 4:at + 4 + n]
                key, value = content[1:1 + content[0]], content[1 + content[0]:]
                self.put(topic, key.decode("latin-1"), value or None)
                at += 4 + n
            return 200, {"offset": first, "end": len(records)}
        if path == "/log-read":
            begin, until = int(query["from"]), time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while len(records) <= begin and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            out = struct.pack(">QQ", len(records), 0)
            for key, value in records[begin:]:
                content = bytes([len(key)]) + key.encode("latin-1") + (value or b"")
                out += struct.pack(">I", len(content)) + content
            return 200, out
        if path == "/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (offset, value)
            items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (offset, value) in sorted(newest.items()) if value is not None]
            return 200, {"items": items, "hasMore": False, "end": len(records)}
        return 404, {}


class Run:
    def __init__(self, task, number, demand, ends_at):
        self.task, self.number, self.demand, self.ends_at = task, number, demand, ends_at
        self.begun = time.monotonic()
        self.stopping = False


class Worker:
    """One worker. `start` begins a life; `crash` ends it with all that runs."""

    def __init__(self, deployment, name, ip, capacity, labels):
        self.deployment, self.name = deployment, name
        self.capacity, self.labels = capacity, labels
        self.server = HttpServer(ip, free_port(ip), self.handle)
        self.up = False
        self.life = 0
        self.state = "ready"
        self.seq = 0

    def clock(self):
        return int((time.monotonic() - self.started) * 1000) + 5000

    async def start(self):
        self.life += 1
        self.started = time.monotonic()
        self.born = int(time.time() * 1000)
        self.running, self.finished, self.ended_runs = {}, [], {}
        self.last_end, self.token, self.lease, self.seq = 0, 0, 0, 0
        self.ended = asyncio.Event()
        await self.server.start()
        self.up = True
        self.deployment.record.add(f"worker {self.name} life {self.life} begins with {self.capacity['cpu']} "
                                   f"thousandths of a core, labels {self.labels}")
        life = self.life
        asyncio.ensure_future(self.beat(life))
        asyncio.ensure_future(self.watch(life))

    def crash(self):
        self.up = False
        self.life += 0
        self.server.stop()
        for it in list(self.running.values()):
            self.deployment.on_run_over(self, it, "crashed")
        self.running = {}
        self.deployment.record.add(f"worker {self.name} crashes")

    def alive(self, life):
        return self.up and self.life == life

    async def beat(self, life):
        while self.alive(life):
            self.seq += 1
            self.last_beat = time.monotonic()
            entry = {"service": self.deployment.service, "address": self.server.address,
                     "zone": "zone-a", "version": "v1", "slots": 8, "state": self.state,
                     "coldRemainingMs": 0, "capacity": self.capacity, "labels": self.labels,
                     "clockMs": self.clock(), "seq": self.seq, "born": self.born}
            if self.deployment.store.state == "up":
                self.deployment.store.put("keyed.servers", self.name, json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_S)

    async def watch(self, life):
        """Ends runs whose work is done, and all when the lease has expired."""
        while self.alive(life):
            now = time.monotonic()
            if self.running and self.clock() > self.lease:
                for it in list(self.running.values()):
                    self.end(it, "lapsed")
            for it in list(self.running.values()):
                if now >= it.ends_at and not it.stopping:
                    self.end(it, "done")
            await asyncio.sleep(0.002)

    def end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self.ended_runs[run.task] = max(run.number, self.ended_runs.get(run.task, 0))
        self.last_end += 1
        self.finished.append([self.last_end, run.task, run.number, how, ""])
        self.deployment.on_run_over(self, run, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def used(self):
        return sum(it.demand for it in self.running.values())

    async def handle(self, method, target, headers, body):
        if target == "/healthz":
            return 200, {}
        expected = headers.get("expect-instance")
        if expected and expected != self.name:
            return 421, {"clockMs": self.clock()}
        call = json.loads(body)
        token = call.get("fencingToken", 0)
        if token < self.token:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.token = token
        if target == "/run-start":
            return self.run_start(call)
        if target == "/run-stop":
            return self.run_stop(call)
        if target == "/hold":
            return await self.hold(call)
        return 404, {}

    def extend(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + HOLD_MAX_MS))

    def run_start(self, call):
        task, number = call["task"], call["run"]
        if call["deadlineMs"] < self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        present = self.running.get(task)
        if present and present.number == number:
            return 200, {"clockMs": self.clock()}
        self.extend(call["deadlineMs"])
        if number <= max(self.ended_runs.get(task, 0), present.number if present else 0):
            return 409, {"clockMs": self.clock(), "reason": "old"}
        job = self.deployment.jobs.get(task.split(".")[0])
        step = job["steps"][int(task.split(".")[2])] if job else {"cpu": 0}
        work = job["work"] if job else 0.2
        run = Run(task, number, step["cpu"], time.monotonic() + work)
        self.running[task] = run
        self.deployment.on_run(self, run, call)
        return 200, {"clockMs": self.clock()}

    def run_stop(self, call):
        task, number = call["task"], call["run"]
        run = self.running.get(task)
        if run and run.number == number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(STOP_S, self.end, run, "stopped")
        elif not run or run.number < number:
            self.ended_runs[task] = max(number, self.ended_runs.get(task, 0))
        return 200, {"clockMs": self.clock()}

    async def hold(self, call):
        if "deadlineMs" in call:
            self.extend(call["deadlineMs"])
        self.finished = [it for it in self.finished if it[0] > call.get("lastSeen", 0)]
        if call.get("waitMs") and not self.finished:
            try:
                await asyncio.wait_for(self.ended.wait(), min(call["waitMs"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = []
        for it in self.running.values():
            share = (now - it.begun) / max(it.ends_at - it.begun, 0.001)
            running.append([it.task, it.number, "", min(99, int(100 * share)), it.demand])
        return 200, {"clockMs": self.clock(), "born": self.born, "running": running,
                     "finished": self.finished[:500]}


class Instance:
    """One process of the daemon, started with the command of the deploy file."""

    def __init__(self, deployment, number, ip):
        self.deployment, self.name, self.ip = deployment, f"edge-{number}", ip
        self.front, self.ready, self.control = (f"{ip}:{free_port(ip)}" for _ in range(3))
        self.process = None
        self.advertised = None  # a proxy before the link address

    def settings(self):
        seeds = json.dumps([it.control for it in self.deployment.instances[:3]])
        return f"""node = "{self.name}"
role = "dispatcher"
machineClass = "edge"
serves = ["edge","control"]
ip = "{self.ip}"
zone = "zone-a"
region = "region"
portRange = [7720,7735]
seeds = {seeds}
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
orders = "rpc"
[zones]
zone-a = "region"
[listen]
front = "{self.front}"
readyAddr = "{self.ready}"
control = "{self.control}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
recoveryS = 12
holdMaxMs = {HOLD_MAX_MS}
stopTimeoutMs = 50
cancel_ms = 3000
visible_ms = 3000
remotePenalty = 3
resendMs = 1300
[platform]
address = "{self.deployment.store.server.address}"
form = "log"
writesPerS = 600
readsPerS = 2000
parts = 12
keep_s = 300
"""

    def start(self):
        path = os.path.join(self.deployment.folder, self.name + ".toml")
        with open(path, "w") as out:
            out.write(self.settings())
        self.log_path = os.path.join(self.deployment.folder, self.name + ".log")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
               "GSETTINGS_BACKEND": "memory", "CACTUSLOOM_BOOT": path}
        if self.advertised:
            env["CACTUSLOOM_ADVERTISE_LINK"] = self.advertised
        with open(self.log_path, "a") as log:
            self.process = subprocess.Popen(
                ["target/tools/cactusloomd", "platform"], cwd=REPOSITORY, env=env,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.deployment.record.add(f"instance {self.name} is started, front {self.front}")

    def signal(self, number):
        self.deployment.record.add(f"instance {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def log(self):
        with open(self.log_path) as it:
            return it.read()


class Deployment:
    """`workers`: a list of (capacity in thousandths of a core, labels)."""

    service = "desk"
    host = "shop.example"
    prefix = "/desk/"

    def __init__(self, record_path, instances, workers):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="cactusloom-review-")
        self.ip = f"127.{random.randrange(60, 200)}.{random.randrange(1, 250)}."
        self.store = Store(self.ip + "250")
        self.instances = []
        for n in range(1, instances + 1):
            self.instances.append(Instance(self, n, self.ip + str(n)))
        self.workers = [Worker(self, f"i-{n:04x}", self.ip + str(100 + n % 100),
                               {"cpu": cpu, "memMb": 131072, "gpu": 0}, labels)
                        for n, (cpu, labels) in enumerate(workers)]
        self.jobs = {}      # by id
        self.runs = {}      # by task: those at work, (worker, run)
        self.violations = []
        self.all_runs = []  # (time, worker, task, run)

    def configure(self, version=1, timeout_ms=1500):
        route = {"name": "r-desk", "host": self.host, "pathPrefix": self.prefix,
                 "kind": "non_idempotent", "timeoutMs": timeout_ms, "targetLatencyMs": 60,
                 "priority": 0, "service": self.service, "attempts": 3, "stretch": 1.6}
        config = {"version": version, "routes": [route],
                  "services": [{"name": self.service, "healthPath": "/healthz", "maxConns": 64,
                                "protocol": "h1", "tls": False, "admissionCheck": False,
                                "standby": False}],
                  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                             "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        self.store.put("keyed.op", "config", json.dumps(config).encode())

    async def start(self):
        await self.store.server.start()
        self.configure()
        for it in self.workers:
            await it.start()
        for it in self.instances:
            it.start()
        for it in self.instances:
            await self.wait_ready(it)

    async def wait_ready(self, instance, limit=10):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            status, _ = await self.request(instance.ready, "GET", "/readyz", limit=1)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{instance.name} is not ready")

    def stop(self):
        for it in self.instances:
            if it.process and it.process.poll() is None:
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
                it.process.wait()
        for it in self.workers:
            if it.up:
                it.up = False
                it.server.stop()
        self.store.server.stop()

    def remove_folder(self):
        shutil.rmtree(self.folder, ignore_errors=True)

    def controller(self):
        """The instance whose newest claim is the newest of all, from the logs."""
        best, found = 0, None
        for it in self.instances:
            for line in it.log().splitlines():
                if "event=cell_claimed" in line:
                    token = int(line.split("token=")[1].split()[0])
                    if token > best:
                        best, found = token, it
        return found

    def on_run(self, worker, run, call):
        self.record.add(f"worker {worker.name} begins {run.task} run {run.number}, "
                        f"{worker.used()} of {worker.capacity['cpu']} in use")
        self.all_runs.append((time.monotonic(), worker, run.task, run.number))
        others = self.runs.setdefault(run.task, [])
        if others:
            self.violate(f"TWICE: {run.task} run {run.number} begins on {worker.name} while it runs on "
                         f"{[it[0].name for it in others]}")
        others.append((worker, run))
        if worker.used() > worker.capacity["cpu"]:
            self.violate(f"LIMIT: {worker.name} runs {worker.used()} of {worker.capacity['cpu']}")
        job = self.jobs.get(run.task.split(".")[0])
        if job is None:
            self.violate(f"UNASKED: {run.task} is of no job")
        elif job["spec"] != call["spec"]:
            self.violate(f"UNASKED: {run.task} has another spec")
        else:
            label = job["steps"][int(run.task.split(".")[2])].get("requires")
            if label and label not in worker.labels:
                self.violate(f"ROUTE: {run.task} requires {label}, {worker.name} has {worker.labels}")

    def on_run_over(self, worker, run, how):
        self.record.add(f"worker {worker.name} ends {run.task} run {run.number}: {how}")
        self.runs[run.task] = [it for it in self.runs.get(run.task, []) if it[1] is not run]

    def violate(self, text):
        self.violations.append(text)
        self.record.add("BROKEN " + text)

    @staticmethod
    async def request(address, method, target, headers=(), body=b"", limit=10.0):
        """Returns status and body; (0, reason) without a whole answer."""
        writer = None

        async def talk():
            nonlocal writer
            ip, port = address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(ip, int(port))
            lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ", 2)[1])
            length = 0
            for line in head.split("\r\n")[1:]:
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":", 1)[1])
            return status, await reader.readexactly(length)

        try:
            return await asyncio.wait_for(talk(), limit)
        except asyncio.TimeoutError:
            return 0, b"no answer in time"
        except (OSError, asyncio.IncompleteReadError) as ec:
            return 0, str(ec).encode()
        finally:
            if writer:
                writer.close()

    def new_job(self, steps, work, spec="(text)"):
        job_id = f"{random.getrandbits(64):016x}"
        self.jobs[job_id] = {"steps": steps, "work": work, "spec": spec}
        return job_id

    async def submit(self, instance, job_id, deadline_ms=1500):
        """Hands a job in and waits for the answer until the deadline."""
        job = self.jobs[job_id]
        body = json.dumps({"spec": job["spec"], "steps": job["steps"], "bestEffort": True}).encode()
        self.record.add(f"caller hands in {job_id} at {instance.name}, Deadline-Ms {deadline_ms}")
        status, content = await self.request(
            instance.front, "POST", self.prefix + job_id,
            [("Host", self.host), ("Content-Type", "application/json"), ("Deadline-Ms", deadline_ms)],
            body, deadline_ms / 1000)
        self.record.add(f"caller gets {status} {content.decode('latin-1')} for {job_id}")
        return status

    async def cancel(self, instance, job_id):
        self.record.add(f"caller cancels {job_id} at {instance.name}")
        status, _ = await self.request(instance.front, "DELETE", self.prefix + job_id,
                                       [("Host", self.host)], limit=4)
        self.record.add(f"caller gets {status} for the cancelling of {job_id}")
        return status


def main(case, record_path):
    """Runs `case(deployment_maker, trouble)` and exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    made = []

    def make(instances, workers):
        made.append(Deployment(record_path, instances, workers))
        return made[-1]

    async def run():
        try:
            return await case(make, trouble)
        finally:
            for it in made:
                it.stop()

    code = 2
    try:
        broken = asyncio.run(run())
        code = 1 if broken else 0
        print(("broken: " + broken[0] + f" ({len(broken)} in all)") if broken else "held")
    except Exception as ec:  # the case could not run
        print(f"could not run: {ec!r}")
    finally:
        for it in made:
            it.record.write()
            if os.environ.get("KEEP_LOGS"):
                print("logs in", it.folder)
            else:
                it.remove_folder()
    return code
