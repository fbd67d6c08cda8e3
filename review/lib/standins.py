"""Stand-ins for clients, executors, discovery and the platform, as the PROTOCOL and DEPLOY pages
describe them. Everything listens on loopback addresses and ports that the kernel chooses."""
import asyncio
import json
import os
import shutil
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DURATION_LIMIT = 110


class CannotRun(Exception):
    pass


def now():
    return time.monotonic()


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.began = now()

    def write(self, text):
        self.file.write("%9.3f %s\n" % (now() - self.began, text))


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    first, headers = await read_head(reader)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                await reader.readline()
                break
            body += await reader.readexactly(size)
            await reader.readline()
        return first, headers, body
    return first, headers, await reader.readexactly(int(headers.get("content-length", "0")))


def response(status, body=b"", extra=""):
    return (
        "HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n" % (status, len(body), extra)
    ).encode() + body


class Listener:
    """A server on a loopback port. Its connections are closed with it."""

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port

    async def serve(self, reader, writer):
        try:
            await self.talk(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Discovery(Listener):
    """Where it is asked: whole lists and watches, an empty line every 2 s."""

    def __init__(self, record):
        self.record = record
        self.seq = 1
        self.hosts = {}
        self.watches = []

    def entry(self, executor, health="ready"):
        return {
            "host": executor.name, "dial": executor.address, "site": executor.site,
            "class": "dual-fast", "block": executor.block, "health": health, "share": 1.0,
            "born_ms": 0,
        }

    def whole(self):
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    def change(self, *entries):
        self.seq += 1
        for entry in entries:
            self.hosts[entry["host"]] = entry
            if entry["health"] == "gone":
                del self.hosts[entry["host"]]
        line = json.dumps({"seq": self.seq, "whole": False, "hosts": list(entries)})
        if self.record:
            self.record.write("discovery tells " + line)
        for queue in self.watches:
            queue.put_nowait(line)

    async def talk(self, reader, writer):
        while True:
            first, _, _ = await read_message(reader)
            if "follow=1" not in first:
                writer.write(response(200, json.dumps(self.whole()).encode()))
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            queue = asyncio.Queue()
            self.watches.append(queue)
            text = json.dumps(self.whole())
            try:
                while True:
                    piece = (text + "\n").encode()
                    writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
                    await writer.drain()
                    try:
                        text = await asyncio.wait_for(queue.get(), 2)
                    except asyncio.TimeoutError:
                        text = ""
            finally:
                self.watches.remove(queue)


class Executor(Listener):
    """Takes jobs, answers 202, runs them in order on its cores, and tells of start and end."""

    def __init__(self, name, record, cores=2, site="memphis-east", block=0):
        self.name, self.record, self.site, self.block = name, record, site, block
        self.cores = asyncio.Semaphore(cores)
        self.node = None
        self.runs = []  # (id, path, when it arrived, what it was told of time left in ms)
        self.jobs = {}
        self.run_seconds = lambda path: 0.2
        self.result = lambda job: "ran " + job

    async def talk(self, reader, writer):
        while True:
            first, headers, body = await read_message(reader)
            method, target, _ = first.split(" ", 2)
            if method == "GET":
                load = "TEXT eps=0, util=0.1, x0=%d" % 2
                writer.write(response(200, load.encode()))
            elif method == "DELETE":
                job = target.rsplit("/", 1)[1]
                self.record.write("executor %s gives up %s" % (self.name, job))
                if job in self.jobs:
                    self.jobs.pop(job).cancel()
                writer.write(response(200))
            else:
                job = headers["x-trace-id"]
                left = int(headers.get("x-expires-in-ms", "0"))
                self.runs.append((job, target, now(), left))
                self.record.write("executor %s takes %s %s, told %d ms" % (self.name, job, target, left))
                self.jobs[job] = asyncio.ensure_future(self.run(job, target))
                writer.write(response(202))
            await writer.drain()

    async def run(self, job, target):
        async with self.cores:
            await self.tell({"id": job, "from": self.name, "state": "started"})
            await asyncio.sleep(self.run_seconds(target))
        self.jobs.pop(job, None)
        self.record.write("executor %s has run %s" % (self.name, job))
        await self.tell({"id": job, "from": self.name, "state": "done", "result": self.result(job)})

    async def tell(self, news):
        await self.post(json.dumps(news).encode())

    async def post(self, body):
        for _ in range(10):
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.node)
                writer.write(b"POST /_jobs/news HTTP/1.1\r\nHost: node\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                first, _, _ = await asyncio.wait_for(read_message(reader), 2)
                writer.close()
                if first.split(" ")[1] in ("200", "204"):
                    return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def settings(**changes):
    """The settings that the WIRE page shows for memphis-books, nested."""
    def one(name, effect, scope, target, give_up, value, stretch, window):
        return {"name": name, "effect": effect, "key_scope": scope, "target_ms": target,
                "give_up_ms": give_up, "value": value, "aim_stretch": stretch,
                "dedup_window_ms": window, "late_worth": 0.0, "stream": False}
    made = {
        "balancers": 1, "rank": 0,
        "classes": [one("price-check", "safe", "all", 200.0, 5000.0, 5.0, 2.5, 5000.0),
                    one("hold-copy", "keyed", "zone", 120.0, 5000.0, 10.0, 2.0, 7500.0),
                    one("close-sale", "unsafe", "all", 750.0, 15000.0, 8.0, 2.0, 5000.0)],
        "clients": {"marks_retry": False},
        "dcs": ["memphis-east", "memphis-south", "jackson-main", "tupelo-old"],
        "domain_type": "jobs",
        "family_info": {"class_kind": [-1, -1, -1], "class_priority": [0, 1, 0],
                        "class_stretch": [2.5, 2.0, 2.0], "progress_ms": 1000.0,
                        "queue_order": "fifo", "report_x0": "free slots", "report_x1": "free memory",
                        "notes": "1 it has started, 2 share done",
                        "memory_unit": "a worker has one unit for each slot", "tells_start": True},
        "goal": {"whole": 0.45, "worst_class": 0.1, "worst_tenant": 0.1, "worst_window": 0.35},
        "granularity_ms": 4.0, "kinds": ["dual-fast", "dual-slow"], "layer": 0,
        "limits": {"cancel": True, "conn_idle_ms": 5000.0, "connect_timeout_ms": 200.0,
                   "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000, "max_retry_after_ms": 2000.0,
                   "max_streams": 1, "most_held": 20000, "parallel_tries": False,
                   "peer_messages": False, "probes": True, "retry_after": True, "try_limit": 3},
        "locality": 0, "over_share_worth": 0.05,
        "penalties": {"late_fail": 0.11, "waste": 0.057, "probe": 0.0018, "cross_zone": 0.014},
        "registry_mode": "ask", "report": {"names": ["err_rps", "cpu", "x0"], "via": "probe"},
        "safety": {"ask_within_ms": 10000.0, "cold_from": 0.14, "cold_ms": 23000.0,
                   "drain_grace_ms": 500.0, "fall_ms": 2000.0, "fall_multiple": 4.0,
                   "grace_to_answer_ms": 16.0},
        "tenants": [{"name": "river-street", "fraction": 0.52, "quota_per_s": 49.0},
                    {"name": "oak-lane", "fraction": 0.37, "quota_per_s": 35.0},
                    {"name": "depot-corner", "fraction": 0.11, "quota_per_s": 10.0}],
        "tiers": ["listing-workers"], "weights": "rough", "worth_by": "work",
    }
    made.update(changes)
    return made


class Node:
    """build/keelflow, started as the deploy file's `run` says."""

    def __init__(self, record, folder, discovery, made, name="n0", limits=None):
        self.record, self.folder, self.name = record, folder, name
        self.port = free_port()
        self.config = {"name": name, "listen": "127.0.0.1:%d" % self.port,
                       "discovery": discovery.address, "seed": "8c1f30d27a5be964",
                       "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                       "known": {"seq": 0, "whole": True, "hosts": []}, "settings": made}
        self.process = None

    def write_config(self):
        path = os.path.join(self.folder, self.name + ".json")
        with open(path + ".new", "w") as file:
            json.dump(self.config, file)
        os.replace(path + ".new", path)
        return path

    async def start(self):
        environment = dict(os.environ, EDGE_CONFIG=self.write_config(), EDGE_NAME=self.name,
                           EDGE_LISTEN=self.config["listen"], EDGE_DISCOVERY=self.config["discovery"],
                           TMPDIR=self.folder)
        environment.pop("EDGE_ADMIN", None)
        environment.pop("EDGE_LISTEN_FD", None)
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", "exec build/keelflow", cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        for _ in range(300):
            try:
                status, _ = await self.ask("GET", "/up", {}, b"", 1)
                if status == 200:
                    self.record.write("node %s is ready" % self.name)
                    return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.1)
        raise CannotRun("node %s did not become ready" % self.name)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.record.write("node %s gets signal %d" % (self.name, number))
            self.process.send_signal(number)

    async def ask(self, method, target, headers, body, patience):
        """One request on a connection of its own: status and body."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(request(method, target, headers, body))
            first, _, answer = await asyncio.wait_for(read_message(reader), patience)
            return int(first.split(" ")[1]), answer
        finally:
            writer.close()


def request(method, target, headers, body):
    lines = ["%s %s HTTP/1.1" % (method, target), "Host: app.svc"]
    lines += ["%s: %s" % item for item in headers.items()]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def job_headers(identity, patience_ms, hint_ms=200, key=None, tenant="river-street"):
    made = {"X-Trace-Id": identity, "X-Customer": tenant, "X-Expires-In-Ms": str(patience_ms),
            "X-Size-Hint": str(int(hint_ms * 1000))}
    if key:
        made["Idempotency-Key"] = key
    return made


class Case:
    """Starts and ends what a case needs. `trouble` is false with TROUBLE=0."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="keelflow-review-")
        self.nodes, self.listeners, self.children = [], [], []

    async def listener(self, made):
        await made.open()
        self.listeners.append(made)
        return made

    async def end(self):
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                node.process.kill()
            if node.process:
                await node.process.wait()
        for child in self.children:
            if child.returncode is None:
                child.kill()
                await child.wait()
        for made in self.listeners:
            made.server.close()


def play(folder, story):
    """Runs `story(case)`, which returns a list of breaches."""
    case = Case(folder)

    async def whole():
        try:
            if not os.access(os.path.join(ROOT, "build/keelflow"), os.X_OK):
                raise CannotRun("build/keelflow is not built")
            return await asyncio.wait_for(story(case), DURATION_LIMIT)
        finally:
            await case.end()

    try:
        breaches = asyncio.run(whole())
    except CannotRun as fault:
        case.record.write("cannot run: %s" % fault)
        print("cannot run: %s" % fault)
        return 2
    except asyncio.TimeoutError:
        case.record.write("cannot run: took too long")
        print("cannot run: took too long")
        return 2
    finally:
        if os.environ.get("KEEP"):
            print(case.folder)
        else:
            shutil.rmtree(case.folder, ignore_errors=True)
    for breach in breaches:
        case.record.write("BROKEN " + breach)
        print("BROKEN " + breach)
    if not breaches:
        case.record.write("the rule held")
        print("the rule held")
    return 1 if breaches else 0


class Farm(Executor):
    """Many executors behind one port: the Host header says which of them is meant. Each job runs at
    once."""

    def __init__(self, record):
        super().__init__("farm", record)

    async def talk(self, reader, writer):
        while True:
            first, headers, _ = await read_message(reader)
            if first.startswith("POST"):
                job, name = headers["x-trace-id"], headers["host"]
                self.record.write("executor %s takes %s" % (name, job))
                self.jobs[job] = asyncio.ensure_future(self.work(job, name))
                writer.write(response(202))
            else:
                if first.startswith("DELETE"):
                    job = first.split(" ")[1].rsplit("/", 1)[1]
                    self.record.write("executor %s gives up %s" % (headers["host"], job))
                    if job in self.jobs:
                        self.jobs.pop(job).cancel()
                writer.write(response(200))
            await writer.drain()

    async def work(self, job, name):
        await self.tell({"id": job, "from": name, "state": "started"})
        await asyncio.sleep(0.2)
        self.jobs.pop(job, None)
        self.record.write("executor %s has run %s" % (name, job))
        await self.tell({"id": job, "from": name, "state": "done", "result": "ran " + job})
