"""A small deployment on loopback: the project's own programs as processes, with stand-ins for the
platform's store, the workers and the clients that follow PROTOCOL.md. Standard library only."""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SERVICE = "order-desk"
HOST = "orders.example"
PREFIX = "/quote/"

# The bounds of the sites tp-orders and asante-ops that the programs or the stand-ins use.
BOUNDS = {
    "gracePeriodS": 6, "resendMs": 1300, "maximumHoldMs": 1000, "distanceFactor": 1.5,
    "stopMs": 50, "cancel_ms": 3000, "recoveryS": 12, "contactMs": 3000,
}
HEARTBEAT_S = 1.5


def free_ports(count, ip="127.0.0.1"):
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((ip, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def render(template, fields):
    """Fills in a settings template as DEPLOY.md says."""
    def look(path, scope):
        for names in scope:
            value = names
            for part in path.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def fill(text, scope):
        def section(match):
            value = look(match[1], scope)
            if isinstance(value, list):
                out = []
                for index, item in enumerate(value):
                    inner = match[2].replace("{{.}}", str(item))
                    inner = inner.replace("{{,}}", "," if index + 1 < len(value) else "")
                    out.append(fill(inner, [item] + scope))
                return "".join(out)
            return fill(match[2], scope) if value else ""
        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
        def value_of(match):
            value = look(match[1], scope)
            return "" if value is None else str(value)
        return re.sub(r"\{\{([\w.]+)\}\}", value_of, text)

    return fill(template, [fields])


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f}  {text}\n")
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


async def read_request(reader):
    line = await reader.readline()
    if not line:
        return None
    method, path, _ = line.decode("latin1").split(" ", 2)
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin1").strip()
        if not line:
            break
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("content-length"):
        body = await reader.readexactly(int(headers["content-length"]))
    return method, path, headers, body


def response(status, body, content_type="application/json"):
    if not isinstance(body, bytes):
        body = json.dumps(body, separators=(",", ":")).encode()
    head = f"HTTP/1.1 {status} X\r\ncontent-type: {content_type}\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def http_call(address, method, path, body=b"", headers=None, timeout=2.0):
    """One call on a connection of its own. Returns the status and the body."""
    async def call():
        ip, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1", f"content-length: {len(body)}"]
            lines += [f"{k}: {v}" for k, v in ({"host": HOST} | (headers or {})).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            return await read_response(reader)
        finally:
            writer.close()
    return await asyncio.wait_for(call(), timeout)


async def read_response(reader):
    line = await reader.readline()
    if not line:
        raise ConnectionError("closed without an answer")
    status = int(line.split()[1])
    length = 0
    while True:
        line = (await reader.readline()).decode("latin1").strip()
        if not line:
            break
        name, value = line.split(":", 1)
        if name.lower() == "content-length":
            length = int(value)
    body = await reader.readexactly(length) if length else b""
    return status, body


class Store:
    """The platform's store, form `log`: appends, reads and the newest record of each key."""

    def __init__(self):
        self.topics = {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def append(self, topic, records):
        log = self.topics.setdefault(topic, [])
        offset = len(log)
        log += records
        return {"offset": offset, "end": len(log)}

    async def put(self, topic, key, value):
        key = key.encode()
        await self.append(topic, [bytes([len(key)]) + key + value])

    async def serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                writer.write(await self.answer(*request))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, headers, body):
        path, _, query = path.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        topic = query.get("topic", "")
        log = self.topics.get(topic, [])
        if path == "/hemlockhook/log-append":
            records = []
            while body:
                size = struct.unpack(">I", body[:4])[0]
                records.append(body[4:4 + size])
                body = body[4 + size:]
            return response(200, await self.append(topic, records))
        if path == "/hemlockhook/log-newest":
            newest = {}
            for offset, record in enumerate(log):
                key = record[1:1 + record[0]]
                newest.pop(key, None)
                if record[1 + record[0]:]:
                    newest[key] = (offset, record[1 + record[0]:])
            items = [{"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (offset, value) in newest.items()]
            return response(200, {"items": items, "hasMore": False, "end": len(log)})
        if path == "/hemlockhook/log-read":
            start = int(query["from"])
            until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while len(self.topics.get(topic, [])) <= start and time.monotonic() < until:
                await asyncio.sleep(0.01)
            log = self.topics.get(topic, [])
            data = struct.pack(">QQ", len(log), 0)
            for record in log[start:]:
                data += struct.pack(">I", len(record)) + record
            return response(200, data, "application/octet-stream")
        return response(404, {})


class Run:
    def __init__(self, task, number, start, work):
        self.task, self.number, self.start, self.work = task, number, start, work
        self.stopping = None


class Worker:
    """A worker as PROTOCOL.md has it, with `enforcesCapacity` false: it starts what it is told to
    start, under a lease by its own steady clock. A task works for the `work=MS` of its spec."""

    def __init__(self, lab, name, labels, cpu, memory=131072):
        self.lab, self.name, self.labels = lab, name, labels
        self.room = {"cpu": cpu, "taskMemoryMb": memory, "gpu": 0}
        self.connections = set()
        self.lives = 0
        self.server = None
        # Called with the path and the body of each call; it may delay it. If it returns "mute" the
        # call is left without an answer and is not carried out.
        self.hook = None
        # What the steady clock doesn't count.
        self.suspended_s = 0.0
        self.paused_at = None
        self.begin()

    def begin(self):
        self.lives += 1
        self.id = f"i-{self.name}-{self.lives}"
        self.born = int(time.time() * 1000)
        self.clock_zero = time.monotonic() - 1.0
        self.suspended_s = 0.0
        self.sequence = 0
        self.fence = 0
        self.lease = 0
        self.runs = {}
        self.highest = {}
        self.ended = []
        self.next_end = 1
        self.state = "ready"

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def clock_ms(self):
        return int((time.monotonic() - self.clock_zero - self.suspended_s) * 1000)

    def end(self, run, how, at=None):
        now = self.lab.record.now() if at is None else at
        self.runs.pop(run.task, None)
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.ended.append([self.next_end, run.task, run.number, how, ""])
        self.next_end += 1
        self.lab.record(f"worker {self.name}: {run.task} run {run.number} ended {how} at {now:.3f}")
        self.lab.runs.append((self.name, run.task, run.number, run.start, now, how))

    def update(self):
        """Ends what has finished, was stopped or has lost its lease, at the time when it did."""
        if self.paused_at is not None:
            return
        now = self.lab.record.now()
        lapse = now - (self.clock_ms() - self.lease) / 1000
        for run in list(self.runs.values()):
            ends = [(run.start + run.work, "done"), (lapse, "lapsed")]
            if run.stopping is not None:
                ends.append((run.stopping, "stopped"))
            at, how = min(ends)
            if at <= now:
                self.end(run, how, at)

    def suspend(self):
        """The machine is suspended: nothing is done, and the steady clock stands still."""
        self.lab.record(f"worker {self.name} is suspended")
        self.update()
        self.paused_at = self.lab.record.now()

    def resume(self):
        away = self.lab.record.now() - self.paused_at
        self.lab.record(f"worker {self.name} is resumed after {away:.3f} s")
        self.suspended_s += away
        for run in self.runs.values():
            run.start += away
            if run.stopping is not None:
                run.stopping += away
        self.paused_at = None

    async def awake(self):
        while self.paused_at is not None:
            await asyncio.sleep(0.005)

    async def heartbeat(self, **changes):
        self.sequence += 1
        beat = {"service": SERVICE, "address": self.address, "zone": "osijek", "version": "v1",
                "slots": 8, "state": self.state, "coldMs": 0, "freeCapacity": self.room,
                "labels": self.labels, "clockMs": self.clock_ms(), "sequence": self.sequence,
                "born": self.born} | changes
        return await http_call(self.control, "POST", f"/hemlockhook/Instances.Heartbeat/{self.id}",
                               json.dumps(beat).encode(), {"content-type": "application/json"}, 1.0)

    async def beat_forever(self):
        while True:
            try:
                await self.awake()
                await self.heartbeat()
                await asyncio.sleep(HEARTBEAT_S)
            except (OSError, asyncio.TimeoutError, TimeoutError):
                await asyncio.sleep(0.1)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                method, path, headers, body = request
                call = json.loads(body or b"{}")
                await self.awake()
                if self.hook and await self.hook(path, call) == "mute":
                    # Silence until the caller gives up on the connection.
                    await reader.read()
                    break
                writer.write(await self.answer(path, headers, call))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, path, headers, call):
        self.update()
        if headers.get("hemlockhook-expected-instance", self.id) != self.id:
            return response(421, {})
        def refuse(reason):
            return response(409, {"clockMs": self.clock_ms(), "reason": reason})
        if call.get("fence", 0) < self.fence:
            return refuse("fence")
        self.fence = call.get("fence", 0)
        if path == "/hemlockhook/run-start":
            return self.run_start(call, refuse)
        if path == "/hemlockhook/run-stop":
            task, number = call["task"], call["run"]
            run = self.runs.get(task)
            self.highest[task] = max(self.highest.get(task, 0), number)
            if run and run.number <= number and run.stopping is None:
                # A stop takes at most `stopMs`.
                run.stopping = self.lab.record.now() + 0.02
                self.lab.record(f"worker {self.name}: stop of {task} run {number}")
            return response(200, {"clockMs": self.clock_ms()})
        if path == "/hemlockhook/hold":
            if "untilMs" in call:
                self.renew(call["untilMs"])
            self.ended = [row for row in self.ended if row[0] > call["lastSeen"]]
            until = time.monotonic() + call.get("waitMs", 0) / 1000
            while not self.ended and time.monotonic() < until:
                await asyncio.sleep(0.004)
                await self.awake()
                self.update()
            now = self.lab.record.now()
            running = []
            for run in self.runs.values():
                percent = min(99, int(100 * (now - run.start) / run.work))
                running.append([run.task, run.number, "", percent, 1000])
            return response(200, {"clockMs": self.clock_ms(), "born": self.born, "running": running,
                                  "ended": self.ended[:500]})
        return response(404, {})

    def renew(self, until_ms):
        # A longer lease is shortened to the maximum; it never shortens.
        self.lease = max(self.lease, min(until_ms, self.clock_ms() + BOUNDS["maximumHoldMs"]))

    def run_start(self, call, refuse):
        task, number = call["task"], call["run"]
        run = self.runs.get(task)
        if run and run.number == number:
            self.renew(call["untilMs"])
            return response(200, {"clockMs": self.clock_ms()})
        if call["untilMs"] <= self.clock_ms():
            return refuse("late")
        if number <= self.highest.get(task, 0) or run:
            self.renew(call["untilMs"])
            return refuse("old")
        if not self.runs:
            # What lapsed before is gone; the lease is that of this start.
            self.lease = 0
        self.renew(call["untilMs"])
        work = int(re.search(r"work=(\d+)", call["spec"])[1]) / 1000
        self.runs[task] = Run(task, number, self.lab.record.now(), work)
        self.lab.record(f"worker {self.name}: {task} run {number} starts")
        return response(200, {"clockMs": self.clock_ms()})

    def cut(self):
        for writer in list(self.connections):
            writer.transport.abort()


class Proxy:
    """Forwards connections to an address, and resets those that it is told to reset."""

    def __init__(self, target):
        self.target = target
        self.pairs = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            ip, port = self.target().rsplit(":", 1)
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        except (OSError, ConnectionError):
            writer.transport.abort()
            return
        pair = (writer, far_writer)
        self.pairs.add(pair)

        async def pump(source, sink):
            try:
                while data := await source.read(65536):
                    sink.write(data)
                    await sink.drain()
                sink.write_eof()
            except (ConnectionError, OSError, RuntimeError):
                reset(writer)
                reset(far_writer)
        await asyncio.gather(pump(reader, far_writer), pump(far_reader, writer))
        self.pairs.discard(pair)
        writer.close()
        far_writer.close()

    def reset(self, process):
        """Resets the connections that a process has opened. Returns their number."""
        ports = {port for port, _ in sockets_of(process)}
        count = 0
        for pair in list(self.pairs):
            if pair[0].get_extra_info("peername")[1] in ports:
                count += 1
                for writer in pair:
                    reset(writer)
        return count


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Process:
    def __init__(self, lab, name, role, fields):
        self.lab, self.name, self.role, self.fields = lab, name, role, fields
        self.path = os.path.join(lab.folder, f"{name}.yaml")
        self.popen = None

    def start(self):
        role = self.lab.system["roles"][self.role]
        template = open(os.path.join(ROOT, role["template"])).read()
        with open(self.path, "w") as file:
            file.write(render(template, self.fields))
        words = role["run"].replace("/etc/hemlockhook/settings.json", self.path).split()
        words[0] = os.path.join(ROOT, words[0])
        log = open(os.path.join(self.lab.folder, f"{self.name}.log"), "ab")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["HEMLOCKHOOK_BOOT"] = self.path
        self.popen = subprocess.Popen(words, cwd=ROOT, env=env, stdout=log, stderr=log,
                                      stdin=subprocess.DEVNULL)
        self.lab.record(f"{self.name} is started")

    def send(self, sig):
        self.lab.record(f"{self.name} gets {signal.Signals(sig).name}")
        self.popen.send_signal(sig)

    def kill(self):
        if self.popen and self.popen.poll() is None:
            self.send(signal.SIGKILL)
            self.popen.wait()

    def log(self):
        with open(os.path.join(self.lab.folder, f"{self.name}.log")) as file:
            return file.read()


class Lab:
    """Entries, agents with a worker each, and the store."""

    def __init__(self, record_path, entries, workers, proxied=False):
        self.record = Record(record_path)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.system = tomllib.load(open(os.path.join(ROOT, "deploy/system.toml"), "rb"))
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temporary.name
        self.runs = []
        self.store = Store()
        self.entry_count = entries
        self.worker_specs = workers
        self.proxied = proxied
        self.entries, self.agents, self.workers = [], [], []
        self.tasks = []

    async def start(self):
        await self.store.start()
        config = {
            "version": 7,
            "routes": [{"name": "r-quote", "host": HOST, "pathPrefix": PREFIX, "kind": "unsafe",
                        "timeoutMs": 20000, "targetLatencyMs": 60, "priority": 0,
                        "service": SERVICE, "attempts": 2, "stretch": 1.6}],
            "services": [{"name": SERVICE, "healthPath": "/health", "connectionLimit": 64,
                          "protocol": "h1", "tls": False, "enforcesCapacity": False,
                          "spare": False}],
            "limits": {"headerBytes": 16384, "bodyBytes": 262144, "headerMs": 3000, "idleMs": 15000},
        }
        await self.store.put("keyed.op", "config", json.dumps(config).encode())
        common = {"bounds": BOUNDS, "platform": {"address": self.store.address}}
        for index in range(self.entry_count):
            ip = f"127.0.0.{index + 2}"
            front, ready, control, inner = free_ports(4, ip)
            if self.proxied:
                # The entry takes any port for its links, and the agents reach it by the proxy.
                control = 0
            listen = {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}",
                      "control": f"{ip}:{control}"}
            fields = common | {"node": f"front-{index + 1}", "zone": "osijek", "ip": ip,
                               "listen": listen, "internalPorts": [inner, inner]}
            entry = Process(self, f"front-{index + 1}", "entry", fields)
            entry.ip, entry.front, entry.ready = ip, listen["front"], listen["ready"]
            entry.known_ports = {front, ready, inner}
            self.entries.append(entry)
            entry.start()
        seeds = [entry.fields["listen"]["control"] for entry in self.entries]
        if self.proxied:
            for entry in self.entries:
                entry.proxy = Proxy(lambda entry=entry: links_address(entry))
                await entry.proxy.start()
            seeds = [entry.proxy.address for entry in self.entries]
        for index, spec in enumerate(self.worker_specs):
            worker = Worker(self, **spec)
            await worker.start()
            ip = "127.0.0.1"
            control, inner = free_ports(2, ip)
            worker.control = f"{ip}:{control}"
            fields = common | {"node": f"side-{index + 1}", "zone": "osijek", "ip": ip,
                               "listen": {"control": worker.control}, "app": worker.address,
                               "seeds": seeds, "internalPorts": [inner, inner]}
            agent = Process(self, f"side-{index + 1}", "agent", fields)
            self.agents.append(agent)
            self.workers.append(worker)
            agent.start()
            self.tasks.append(asyncio.create_task(worker.beat_forever()))
        self.tasks.append(asyncio.create_task(self.watch_workers()))
        for entry in self.entries:
            await self.wait_ready(entry)
        # All agents have to be linked with all entries.
        await asyncio.sleep(1.5)
        self.record("all entries are ready")

    async def wait_ready(self, entry, timeout=20):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            try:
                status, _ = await http_call(entry.ready, "GET", "/hemlockhook/ready", timeout=1)
                if status == 200:
                    return
            except (OSError, asyncio.TimeoutError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{entry.name} did not become ready")

    async def watch_workers(self):
        while True:
            for worker in self.workers:
                worker.update()
            await asyncio.sleep(0.005)

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for process in self.entries + self.agents:
            if process.popen and process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
                process.popen.wait()
        for worker in self.workers:
            for run in list(worker.runs.values()):
                worker.end(run, "at the end of the script")
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for name in os.listdir(self.folder):
                with open(os.path.join(self.folder, name), "rb") as source:
                    with open(os.path.join(keep, name), "wb") as sink:
                        sink.write(source.read())
        self.temporary.cleanup()

    def crashed(self):
        """Returns the processes that ended by themselves."""
        return [p.name for p in self.entries + self.agents if p.popen.poll() is not None]

    def twice(self):
        """Returns pairs of runs of one task that were at work at the same time."""
        found = []
        by_task = {}
        for run in self.runs:
            by_task.setdefault(run[1], []).append(run)
        for task, runs in by_task.items():
            runs.sort(key=lambda run: run[3])
            for index, first in enumerate(runs):
                for second in runs[index + 1:]:
                    overlap = min(first[4], second[4]) - second[3]
                    if overlap > 0:
                        found.append((task, first, second, overlap))
        return found

    def report_twice(self):
        found = self.twice()
        for task, first, second, overlap in found:
            self.record.say(
                f"TWICE: {task} ran on {first[0]} (run {first[2]}, {first[3]:.3f} to {first[4]:.3f} s,"
                f" {first[5]}) and on {second[0]} (run {second[2]}, {second[3]:.3f} to"
                f" {second[4]:.3f} s, {second[5]}): {overlap * 1000:.0f} ms at the same time")
        return found


def sockets_of(process):
    """Returns the local port and the state of each TCP socket of a process."""
    inodes = set()
    folder = f"/proc/{process.popen.pid}/fd"
    for name in os.listdir(folder):
        try:
            target = os.readlink(os.path.join(folder, name))
        except OSError:
            continue
        if target.startswith("socket:["):
            inodes.add(target[8:-1])
    for line in open("/proc/net/tcp").read().splitlines()[1:]:
        words = line.split()
        if words[9] in inodes:
            yield int(words[1].split(":")[1], 16), words[3]


def links_address(entry):
    """Returns the address on which an entry listens for links: the port that no setting names."""
    for port, state in sockets_of(entry):
        if state == "0A" and port not in entry.known_ports:
            return f"{entry.ip}:{port}"
    raise ConnectionError("the entry doesn't listen for links yet")


class Job:
    """A job with `bestEffort` of one step, and its client."""

    serial = 0

    def __init__(self, lab, work_ms, count=1, cpu=4000, estimated_ms=None, wait_ms=15000,
                 requirements=None, resend=True):
        Job.serial += 1
        self.lab = lab
        self.id = "%016x" % (0x5c0e000000000000 + (os.getpid() << 16) + Job.serial)
        step = {"count": count, "cpu": cpu, "taskMemoryMb": 64,
                "estimatedMs": estimated_ms or work_ms}
        if requirements:
            step["requirements"] = requirements
        self.body = json.dumps({"spec": f"work={work_ms}", "steps": [step],
                                "bestEffort": True}).encode()
        self.wait_ms = wait_ms
        self.resend = resend
        self.writer = None
        self.answers = []

    async def post(self, entry):
        """One attempt. Returns the status, or None without an answer."""
        record = self.lab.record
        record(f"client: POST {self.id} to {entry.name}")
        ip, port = entry.front.rsplit(":", 1)
        try:
            reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(ip, int(port)), 2)
            head = (f"POST {PREFIX}{self.id} HTTP/1.1\r\nhost: {HOST}\r\n"
                    f"content-type: application/json\r\ncontent-length: {len(self.body)}\r\n"
                    f"hemlockhook-deadline-milliseconds: {self.wait_ms}\r\n\r\n")
            self.writer.write(head.encode() + self.body)
            status, body = await asyncio.wait_for(read_response(reader), self.wait_ms / 1000)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, TimeoutError) as err:
            record(f"client: {self.id} got no answer from {entry.name}: {err!r}")
            self.answers.append((entry.name, None))
            return None
        finally:
            if self.writer:
                self.writer.close()
        record(f"client: {self.id} answered by {entry.name}: {status} {body.decode()[:100]}")
        self.answers.append((entry.name, status))
        return status

    async def run(self, entries, attempts=3):
        """Posts the job until it is answered; again `resendMs` after no answer, a broken connection,
        502 or 504, at the next entry."""
        for attempt in range(attempts):
            status = await self.post(entries[attempt % len(entries)])
            if status not in (None, 502, 504) or not self.resend:
                return status
            await asyncio.sleep(BOUNDS["resendMs"] / 1000)
        return None


def main(case, make):
    """Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    lab = make(os.path.join(folder, "record.txt"))

    async def play():
        await lab.start()
        return await case(lab)

    code = 2
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda loop, context: None)
    try:
        broken = loop.run_until_complete(asyncio.wait_for(play(), 110))
        code = 1 if broken else 0
        lab.record.say("the rule was broken" if broken else "the rule held")
    except Exception as err:  # The case couldn't run.
        lab.record.say(f"the case could not run: {err!r}")
    finally:
        lab.stop()
    sys.stdout.flush()
    os._exit(code)
