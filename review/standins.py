"""Small stand-ins of the platform for the cases with a script: workers, clients and a
runner of the system's processes. Python's standard library only."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BINARY = os.path.join(ROOT, "target", "release", "gentiancove")
HOLD_MAX_MS = 1000
HEARTBEAT_S = 1.5


class Record:
    """What was sent, answered and run, in record.txt of the case's folder."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def write(self, *words):
        line = "%8.3f  %s" % (time.monotonic() - self.start, " ".join(str(w) for w in words))
        self.file.write(line + "\n")
        self.file.flush()
        return line


async def read_message(reader):
    """Reads one HTTP/1.1 message: its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


async def call(address, method, path, body=None, headers=None, timeout=1.0):
    """One call on a connection of its own; returns (status, body), or (0, why)."""
    ip, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = ["%s %s HTTP/1.1" % (method, path)]
            all_headers = {"host": address, "content-type": "application/json"}
            all_headers.update(headers or {})
            all_headers["content-length"] = str(len(data))
            lines += ["%s: %s" % pair for pair in all_headers.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            first, answer_headers, answer = await read_message(reader)
            return int(first.split()[1]), answer, answer_headers
        finally:
            writer.close()

    try:
        status, answer, answer_headers = await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        return 0, type(error).__name__.encode(), {}
    return status, answer, answer_headers


class Worker:
    """A worker, as PROTOCOL.md tells it: it guards its capacity, keeps the highest fencing
    token, and ends all that runs when its lease is over."""

    def __init__(self, record, machine, ip, port, agent, service, labels, cpu=32000):
        self.record, self.machine, self.ip, self.port = record, machine, ip, port
        self.agent, self.service, self.cpu = agent, service, cpu
        self.labels = labels
        self.lives = 0
        self.starts = []  # (time, worker id, labels, task, run, task's own words)
        self.runs = []  # (task, run, when it began, when it ended)
        self.server = None
        self.first_beat_s = 0.0
        self.reset()

    def reset(self):
        """What a life knows at its beginning: nothing."""
        self.lives += 1
        self.id = "i-%s-%d" % (self.machine, self.lives)
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic()
        self.token = 0
        self.lease_ms = 0
        self.running = {}  # task -> [run, end time, cpu, start time]
        self.finished = {}
        self.ended = []
        self.last_end = 0
        self.seq = 0
        self.changed = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.zero) * 1000)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.tick())]
        self.connections = set()
        self.record.write("worker", self.id, "is up, born", self.born, "labels", self.labels)

    async def crash(self):
        """Ends at once, and says nothing."""
        self.record.write("worker", self.id, "crashes; running:", sorted(self.running))
        self.server.close()
        for task in self.tasks:
            task.cancel()
        for writer in list(self.connections):
            writer.transport.abort()
        for task, (run, _, _, began) in self.running.items():
            self.runs.append((task, run, began, time.monotonic()))
        self.running = {}

    async def restart(self, first_beat_s=0.0):
        """Begins a new life at the same address, under the id that it had."""
        ident = self.id
        self.reset()
        self.id, self.first_beat_s = ident, first_beat_s
        await self.start()

    async def beat(self):
        await asyncio.sleep(self.first_beat_s)
        while True:
            self.seq += 1
            body = {
                "service": self.service, "address": "%s:%d" % (self.ip, self.port),
                "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
                "cold-remaining-ms": 0,
                "capacity": {"cpu": self.cpu, "mem-mb": 65536, "gpu": 0},
                "labels": self.labels, "clock-ms": self.clock_ms(), "seq": self.seq,
                "born": self.born,
            }
            path = "/-/instances/%s/heartbeat" % self.id
            status, _, _ = await call(self.agent, "POST", path, body)
            await asyncio.sleep(HEARTBEAT_S if status // 100 == 2 else 0.2)

    async def tick(self):
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            lapsed = self.clock_ms() > self.lease_ms
            for task, (run, end, _, _) in list(self.running.items()):
                if lapsed:
                    self.end(task, "lapsed")
                elif now >= end:
                    self.end(task, "done")

    def end(self, task, how):
        run, _, _, began = self.running.pop(task)
        self.runs.append((task, run, began, time.monotonic()))
        self.finished[task] = max(run, self.finished.get(task, 0))
        self.last_end += 1
        self.ended.append([self.last_end, task, run, how, ""])
        self.record.write("worker", self.id, "ends", task, "run", run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                path = first.split()[1]
                status, answer = await self.order(path, headers, json.loads(body))
                data = json.dumps(answer).encode()
                head = "HTTP/1.1 %d X\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
                writer.write((head % (status, len(data))).encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def order(self, path, headers, body):
        if headers.get("expect-instance") != self.id:
            return 421, {}
        token = body.get("fencing-token", 0)
        if token < self.token:
            return 409, {"clock-ms": self.clock_ms(), "reason": "fence"}
        self.token = token
        deadline = body.get("deadline-ms")
        if deadline is not None:
            self.lease_ms = max(self.lease_ms, min(deadline, self.clock_ms() + HOLD_MAX_MS))
        if path == "/-/run-start":
            status, answer = self.run_start(body)
        elif path == "/-/run-stop":
            task, run = body["task"], body["run-id"]
            self.finished[task] = max(run, self.finished.get(task, 0))
            if task in self.running and self.running[task][0] <= run:
                self.end(task, "stopped")
            status, answer = 200, {}
        else:
            status, answer = 200, await self.hold(body)
            answer["born"] = self.born
        answer["clock-ms"] = self.clock_ms()
        return status, answer

    def run_start(self, body):
        task, run = body["task"], body["run-id"]
        if body.get("deadline-ms", 1 << 60) <= self.clock_ms():
            return 409, {"reason": "late"}
        if task in self.running and self.running[task][0] == run:
            return 200, {}
        if task in self.running or self.finished.get(task, 0) >= run:
            return 409, {"reason": "old"}
        spec = json.loads(body["spec"])
        used = sum(entry[2] for entry in self.running.values())
        if used + spec["cpu"] > self.cpu:
            return 409, {"reason": "room"}
        now = time.monotonic()
        self.running[task] = [run, now + spec["ms"] / 1000, spec["cpu"], now]
        self.starts.append((now, self.id, list(self.labels), task, run, spec))
        self.record.write("worker", self.id, self.labels, "starts", task, "run", run)
        return 200, {}

    async def hold(self, body):
        acked = body.get("ack-seq", 0)
        self.ended = [end for end in self.ended if end[0] > acked]
        wait = min(body.get("wait-ms", 0), 2000) / 1000
        if not self.ended and wait:
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        rows = []
        for task, (run, end, _, start) in self.running.items():
            percent = int(100 * (now - start) / max(end - start, 0.001))
            rows.append([task, run, "", min(percent, 99), 0])
        return {"running": rows, "ended-runs": self.ended[:500]}


class System:
    """The system's processes, each on a loopback address of its own, as deploy/ has them."""

    def __init__(self, record, controls=3, entries=1, agents=1):
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        base = "127.%d.%d." % (random.randrange(10, 250), random.randrange(250))
        ips = [base + str(n) for n in range(1, controls + entries + agents + 1)]
        http, ready, peer, self.worker_port = free_ports(ips, 4)
        self.control_ips = ips[:controls]
        self.entry_ips = ips[controls:controls + entries]
        self.agent_ips = ips[controls + entries:]
        self.seeds = ["%s:%d" % (ip, peer) for ip in self.control_ips[:3]]
        self.control_http = ["%s:%d" % (ip, http) for ip in self.control_ips]
        self.entry_http = ["%s:%d" % (ip, http) for ip in self.entry_ips]
        self.entry_ready = ["%s:%d" % (ip, ready) for ip in self.entry_ips]
        self.agent_http = ["%s:%d" % (ip, http) for ip in self.agent_ips]
        self.peer_port = peer
        self.processes = {}
        self.settings = {}
        for n in range(controls):
            self.write_settings("control-%d" % n, self.control_settings(n, True))
        for n in range(entries):
            self.write_settings("entry-%d" % n, {"entry": {
                "http": self.entry_http[n], "ready": self.entry_ready[n],
                "dialect": "platform", "drain_timeout": "6s"}})
        for n in range(agents):
            self.write_settings("agent-%d" % n, {"agent": {
                "http": self.agent_http[n], "peer": "%s:%d" % (self.agent_ips[n], peer),
                "dialect": "platform", "drain_timeout": "6s"}})

    def control_settings(self, n, found):
        return {"controller": {
            "http": self.control_http[n], "peer": "%s:%d" % (self.control_ips[n], self.peer_port),
            "dialect": "platform", "data": os.path.join(self.folder.name, "data-%d" % n),
            "found": found, "tolerates": 1, "data_centers": ["z1"]}}

    def write_settings(self, name, section):
        settings = {"name": name, "data_center": "z1", "rack": "none", "region": "r1",
                    "control": self.seeds, "control_port": self.peer_port,
                    "log": {"format": "json"}}
        settings.update(section)
        path = os.path.join(self.folder.name, name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        self.settings[name] = path

    def start(self, name):
        log = open(os.path.join(self.folder.name, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(
            [BINARY, "run", "--settings", self.settings[name]], cwd=ROOT,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.record.write("process", name, "starts")

    def start_all(self):
        for name in self.settings:
            self.start(name)

    def send_signal(self, name, number):
        self.record.write("process", name, "gets", signal.Signals(number).name)
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.send_signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            subprocess.run(["cp", "-r", self.folder.name, os.environ["KEEP_LOGS"]])
        self.folder.cleanup()

    async def put_config(self, config):
        """Sends a configuration to control, one after the other, until it is acknowledged."""
        for attempt in range(200):
            address = self.control_http[attempt % len(self.control_http)]
            status, answer, headers = await call(address, "POST", "/-/config/put", config)
            if status == 307:
                address = headers["location"].split("/")[2]
                status, answer, _ = await call(address, "POST", "/-/config/put", config)
            if status == 200:
                self.record.write("config", config["version"], "acknowledged by", address)
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("no acknowledgement of the configuration")


def runs_at_once(workers):
    """Pairs of runs of one task that were at work at the same time."""
    runs = {}
    for worker in workers:
        for task, number, began, ended in worker.runs:
            runs.setdefault(task, []).append((began, ended, worker.id, number))
    pairs = []
    for task, of_task in runs.items():
        of_task.sort()
        for first, second in zip(of_task, of_task[1:]):
            if second[0] < first[1]:
                pairs.append("%s ran at %s (run %d) and at %s (run %d) at the same time for %d ms" % (
                    task, first[2], first[3], second[2], second[3],
                    1000 * (min(first[1], second[1]) - second[0])))
    return pairs


def free_ports(ips, count):
    """Ports that nobody uses on any of these loopback addresses."""
    sockets, ports = [], []
    while len(ports) < count:
        port = 0
        bound = []
        try:
            for ip in ips:
                sock = socket.socket()
                bound.append(sock)
                sock.bind((ip, port))
                port = sock.getsockname()[1]
        except OSError:  # in use on one of them: another one is tried
            port = 0
        sockets += bound
        ports += [port] if port else []
    for sock in sockets:
        sock.close()
    return ports


def config(version, service, timeout_ms=1500):
    route = {"name": "r-1", "host": "desk.example", "path-prefix": "/q/", "kind": "unsafe",
             "timeout-ms": timeout_ms, "target-latency-ms": 60, "priority": 0,
             "service": service, "max-attempts": 4, "stretch": 1.6}
    return {"version": version, "routes": [route], "services": [
        {"name": service, "health-path": "/health", "max-conns": 64, "protocol": "h1",
         "tls": False, "admission-control": True, "standby": False}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}


def job(count, ms, cpu, **fields):
    step = {"count": count, "cpu": cpu, "mem-mb": 64, "estimate-ms": ms}
    step.update(fields)
    return {"spec": json.dumps({"ms": ms, "cpu": cpu}), "best-effort": True, "steps": [step]}


def job_id():
    return "%016x" % random.getrandbits(64)


async def submit(record, address, body, deadline_ms=1500, ident=None):
    """Hands a job in, and waits as long as its deadline says."""
    ident = ident or job_id()
    headers = {"host": "desk.example", "deadline-ms": str(deadline_ms)}
    record.write("client sends", ident, "to", address)
    status, answer, _ = await call(address, "POST", "/q/" + ident, body, headers,
                                   deadline_ms / 1000)
    record.write("client gets", ident, status, answer[:80].decode("latin-1"))
    return ident, status, answer


async def wait_until_serving(record, address, body):
    for _ in range(300):
        _, status, _ = await submit(record, address, body)
        if status == 200:
            return
        await asyncio.sleep(0.1)
    raise RuntimeError("the system does not serve")


def run(folder, scenario):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # Ends the processes as well if the case is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(asyncio.wait_for(scenario(record, trouble), 110))
    except Exception as error:  # whatever it is, the case has not run
        print(record.write("could not run:", repr(error)))
        sys.exit(2)
    for line in broken:
        print(record.write("BROKEN:", line))
    if not broken:
        print(record.write("the rule held"))
    sys.exit(1 if broken else 0)
