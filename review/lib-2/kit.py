"""Stand-ins for the cases of the second review: nodes as processes, and in this process discovery,
executors and clients, as the protocol page describes them. Loopback addresses and the real clock."""
import asyncio
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
SLACK_MS = 50  # each time limit of the rules is so much longer on sockets


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


HELD = []  # bound and never listening: whoever sets SO_REUSEADDR may listen there, nobody else gets it


def free_port():
    """A free port of TCP, which stays reserved for this case."""
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind((HOST, 0))
    HELD.append(s)
    return s.getsockname()[1]


def free_udp_ports(count):
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for s in sockets:
        s.bind((HOST, 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def settings(rank=0, nodes=1, classes=None, **changes):
    """Settings of a small deployment, with the names and units of the wire page."""
    out = {
        "balancers": nodes, "rank": rank, "locality": 0, "dcs": ["east", "west"], "layer": 0,
        "tiers": ["workers"], "kinds": ["dual"], "domain_type": "jobs", "weights": "nominal",
        "granularity_ms": 4.0, "registry_mode": "ask", "worth_by": "work", "over_share_worth": 0.05,
        "classes": classes or [
            {"name": "price-check", "effect": "safe", "key_scope": "all", "dedup_window_ms": 5000.0,
             "give_up_ms": 5000.0, "target_ms": 200.0, "value": 5.0, "late_worth": 0.0,
             "stream": False},
            {"name": "hold-copy", "effect": "keyed", "key_scope": "zone", "dedup_window_ms": 7500.0,
             "give_up_ms": 5000.0, "target_ms": 120.0, "value": 10.0, "late_worth": 0.0,
             "stream": False},
            {"name": "close-sale", "effect": "unsafe", "key_scope": "all",
             "dedup_window_ms": 5000.0, "give_up_ms": 15000.0, "target_ms": 750.0, "value": 8.0,
             "late_worth": 0.0, "stream": False}],
        "tenants": [{"name": "shop", "fraction": 1.0, "quota_per_s": 1000.0}],
        "clients": {"marks_retry": False},
        "family_info": {"class_kind": [-1, -1, -1], "class_priority": [0, 0, 0],
                        "class_stretch": [2.5, 2.0, 2.0], "progress_ms": 1000.0,
                        "queue_order": "fifo", "tells_start": True, "report_x0": "free_slots"},
        "goal": {"whole": 0.45},
        "limits": {"cancel": True, "conn_idle_ms": 5000.0, "connect_timeout_ms": 200.0,
                   "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000,
                   "max_retry_after_ms": 2000.0, "max_streams": 1, "most_held": 20000,
                   "parallel_tries": False, "peer_messages": False, "probes": False,
                   "retry_after": True, "try_limit": 3},
        "penalties": {"probe": 0.0018, "peer": 0.011},
        "report": {"names": ["err_rps", "cpu", "x0"], "via": "none"},
        "safety": {"ask_within_ms": 10000.0, "cold_from": 0.14, "cold_ms": 23000.0,
                   "drain_grace_ms": 500.0, "fall_ms": 2000.0, "fall_multiple": 4.0,
                   "grace_to_answer_ms": 16.0},
    }
    for path, value in changes.items():
        at = out
        *way, last = path.split("__")
        for name in way:
            at = at[name]
        at[last] = value
    return out


class Record:
    """Lines for record.txt; `add` also keeps them for the check."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.lines = []

    def now(self):
        return 1000 * (time.monotonic() - self.start)

    def add(self, what, /, **facts):
        now = self.now()
        self.lines.append((now, what, facts))
        text = " ".join(f"{k}={v}" for k, v in facts.items())
        self.file.write(f"{now:10.1f} {what} {text}\n")
        return now

    def of(self, what, /, **facts):
        return [(t, f) for t, w, f in self.lines
                if w == what and all(f.get(k) == v for k, v in facts.items())]


class Node:
    """One node: the run line of the deploy file as a process of its own."""

    def __init__(self, world, name, config_settings, own=None, peers=None, peer_port=None,
                 discovery_port=None, known=None):
        self.world, self.name = world, name
        self.port = free_port()
        self.folder = pathlib.Path(world.folder) / name
        self.folder.mkdir()
        self.config = {
            "name": name, "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery_port or world.discovery.port}", "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known or {"seq": 0, "whole": True, "hosts": []},
            "settings": config_settings}
        if peers:
            self.config["peer_listen"] = f"{HOST}:{peer_port}"
            self.config["peers"] = peers
        self.config_file = self.folder / "config.json"
        self.own_file = self.folder / "keelflow.sexp"
        self.own = own
        self.process = None

    def write_config(self):
        fresh = self.folder / "config.new"
        fresh.write_text(json.dumps(self.config))
        fresh.rename(self.config_file)

    async def start(self, wait=True):
        self.write_config()
        env = dict(os.environ, EDGE_CONFIG=str(self.config_file), EDGE_NAME=self.name,
                   EDGE_LISTEN=self.config["listen"], EDGE_DISCOVERY=self.config["discovery"],
                   TMPDIR=str(self.folder))
        env.pop("EDGE_LISTEN_FD", None)
        program = str(ROOT / os.environ.get("KEELFLOW_BUILD", "build") / "keelflow")
        command = [program]
        if self.own:
            self.own_file.write_text(self.own)
            command += ["run", "--file", str(self.own_file)]
        self.log = open(self.folder / "log.txt", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stdout=self.log, stderr=self.log)
        self.world.processes.append(self.process)
        self.world.record.add("node-started", name=self.name, port=self.port)
        if wait:
            await self.ready()

    async def ready(self, within=30):
        until = time.monotonic() + within
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            try:
                status, _, _ = await call(self.port, "GET", "/up", within=1)
                if status == 200:
                    return
            except (OSError, asyncio.TimeoutError, EOFError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    def signal(self, number):
        self.world.record.add("signal", name=self.name, number=int(number))
        self.process.send_signal(number)


class CannotRun(Exception):
    pass


async def read_message(reader, first=None):
    """One HTTP message with a Content-Length body: first line, headers, body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            key, value = line.split(":", 1)
            headers[key.strip().lower()] = value.strip()
    size = int(headers.get("content-length", 0))
    body = await reader.readexactly(size) if size else b""
    return lines[0], headers, body


async def call(port, method, path, headers=None, body=b"", within=20):
    """One exchange on a new connection."""
    async def go():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(message(method, path, headers or {}, body))
            first, got, data = await read_message(reader)
            return int(first.split()[1]), got, data
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(go(), within)
    except asyncio.IncompleteReadError as fault:
        raise EOFError from fault


def message(method, path, headers, body=b""):
    text = f"{method} {path} HTTP/1.1\r\nHost: app.svc\r\n"
    for key, value in headers.items():
        text += f"{key}: {value}\r\n"
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Discovery:
    """Discovery where it is asked: the whole list, and a watch with an empty line every 2 s.
    `per_call_s`: calls are handled one after another and take so long each; one that has waited for
    `timeout_s` ends with 503."""

    def __init__(self, world, per_call_s=0.0, timeout_s=1.0):
        self.world, self.port = world, free_port()
        self.hosts, self.seq, self.changes = {}, 0, []
        self.watches, self.listeners, self.ports = {}, [], [self.port]
        self.per_call_s, self.timeout_s, self.turn = per_call_s, timeout_s, asyncio.Lock()

    def list_of(self, entries, whole):
        return json.dumps({"seq": self.seq, "whole": whole, "hosts": entries}).encode() + b"\n"

    def set(self, **entry):
        """Adds or changes an entry and tells the watches."""
        self.seq += 1
        self.hosts[entry["host"]] = entry
        self.changes.append((self.seq, entry))
        self.world.record.add("list-changed", host=entry["host"], health=entry["health"])
        for writer, who in list(self.watches.items()):
            self.write_object(writer, self.list_of([entry], False), who)

    def write_object(self, writer, data, who):
        self.world.record.add("told", port=who, seq=self.seq)
        self.chunk(writer, data)

    @staticmethod
    def chunk(writer, data):
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def has_turn(self):
        """Waits until the calls before are handled, and handles this one."""
        try:
            await asyncio.wait_for(self.turn.acquire(), self.timeout_s)
        except asyncio.TimeoutError:
            return False
        try:
            await asyncio.sleep(self.per_call_s)
        finally:
            self.turn.release()
        return True

    def add_port(self):
        """A further address of the same service, which tells who calls."""
        self.ports.append(free_port())
        return self.ports[-1]

    @staticmethod
    def port_of(writer):
        return writer.get_extra_info("sockname")[1]

    async def up(self):
        self.listeners = [await asyncio.start_server(self.serve, HOST, port, backlog=1024)
                          for port in self.ports]
        self.world.record.add("discovery-up")

    async def down(self):
        self.world.record.add("discovery-down")
        for listener in self.listeners:
            listener.close()
        self.listeners = []
        for writer in list(self.watches):
            writer.transport.abort()
        self.watches.clear()

    async def serve(self, reader, writer):
        try:
            first, _, _ = await read_message(reader)
            if self.per_call_s and not await self.has_turn():
                self.world.record.add("call-refused", port=self.port_of(writer))
                writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                await writer.drain()
                return writer.close()
            if writer.is_closing() or reader.at_eof():
                return writer.close()
            query = first.split()[1].partition("?")[2]
            since = [int(p[6:]) for p in query.split("&") if p.startswith("since=")]
            live = [e for e in self.hosts.values() if e["health"] != "gone"]
            if "follow=1" not in query:
                data = self.list_of(live, True)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(data), data))
                await writer.drain()
                return writer.close()
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            who = self.port_of(writer)
            if since and since[0] <= self.seq:
                newer = {e["host"]: e for seq, e in self.changes if seq > since[0]}
                self.write_object(writer, self.list_of(list(newer.values()), False), who)
            else:
                self.write_object(writer, self.list_of(live, True), who)
            self.watches[writer] = who
            while not reader.at_eof():
                try:
                    await asyncio.wait_for(reader.read(100), 2)
                except asyncio.TimeoutError:
                    self.chunk(writer, b"\n")
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watches.pop(writer, None)
            writer.close()


class Executor:
    """A sound executor: 202 and call-backs. It runs `slots` jobs at a time, in their order."""

    def __init__(self, world, name, zone="east", slots=64, share=2.0, work_ms=50, block=1):
        self.world, self.name, self.zone = world, name, zone
        self.port, self.share, self.work_ms, self.block = free_port(), share, work_ms, block
        self.jobs, self.server, self.free = {}, None, asyncio.Semaphore(slots)

    def entry(self, health="ready", dial=None, born_ms=0):
        return {"host": self.name, "dial": f"{HOST}:{dial or self.port}", "site": self.zone,
                "class": "dual", "block": self.block, "health": health, "share": self.share,
                "born_ms": born_ms}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port, backlog=1024)
        self.world.servers.append(self.server)

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                if method == "DELETE":
                    job = target.rsplit("/", 1)[1]
                    task = self.jobs.pop(job, None)
                    self.world.record.add("delete", at=self.name, id=job, known=task is not None)
                    if task:
                        task.cancel()
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                    continue
                await self.take(target, headers, body, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def take(self, target, headers, body, writer):
        job = headers["x-trace-id"]
        self.world.record.add("attempt", at=self.name, id=job, expires=headers["x-expires-in-ms"])
        writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
        self.jobs[job] = asyncio.create_task(self.run(job, body))

    async def run(self, job, body):
        node = self.world.node_of[job]
        async with self.free:
            started = asyncio.create_task(self.news(node, {"id": job, "from": self.name,
                                                           "state": "started"}))
            self.world.record.add("run-begins", at=self.name, id=job)
            await asyncio.sleep(self.work_ms / 1000)
            self.world.record.add("run-ends", at=self.name, id=job)
        self.jobs.pop(job, None)
        await started
        await self.news(node, {"id": job, "from": self.name, "state": "done",
                               "result": f"result of {job} by {self.name}"})

    async def news(self, port, what):
        for _ in range(10):
            try:
                status, _, _ = await call(port, "POST", "/_jobs/news", {},
                                          json.dumps(what).encode(), within=2)
                if status in (200, 204):
                    return
            except (OSError, EOFError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)


class World:
    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="keelflow-review-")
        self.processes, self.servers, self.node_of = [], [], {}
        self.discovery = Discovery(self)
        self.ids = 0

    def job(self, node, path="/price-check/1", expires=5000, key=None, **headers):
        """A new request for a node: its id and its bytes."""
        self.ids += 1
        name = f"{os.getpid():06x}{self.ids:010x}"
        self.node_of[name] = node.port
        fields = {"X-Trace-Id": name, "X-Customer": "shop", "X-Expires-In-Ms": expires,
                  "X-Size-Hint": 50000}
        if key:
            fields["Idempotency-Key"] = key
        fields.update({k.replace("_", "-"): v for k, v in headers.items()})
        return name, message("POST", path, fields, b"{}")

    async def ask(self, node, path="/price-check/1", expires=5000, within=None, **more):
        """A client's request on a connection of its own. Returns id, status (0: closed, -1: none)."""
        name, data = self.job(node, path, expires, **more)
        sent = self.record.add("sent", node=node.name, id=name, expires=expires)
        status = -1
        try:
            async def go():
                reader, writer = await asyncio.open_connection(HOST, node.port)
                try:
                    writer.write(data)
                    first, _, body = await read_message(reader)
                    return int(first.split()[1]), body
                finally:
                    writer.close()
            status, _ = await asyncio.wait_for(go(), within or expires / 1000 + 3)
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        except asyncio.TimeoutError:
            pass
        took = self.record.now() - sent
        self.record.add("answered", node=node.name, id=name, status=status, ms=round(took, 1))
        return name, status, took

    async def end(self):
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            await process.wait()


def main(case_folder, scenario, limit_s=115):
    """Runs scenario(world), which returns the list of breaks. Exit: 1 broken, 0 held, 2 could not run."""
    async def go():
        world = World(case_folder)
        code = 2
        try:
            breaks = await asyncio.wait_for(scenario(world), limit_s)
            crashed = [p.pid for p in world.processes
                       if p.returncode is not None and p.returncode not in (0, -9)]
            breaks += [f"a node ended by itself: pid {pid}" for pid in crashed]
            for line in breaks[:20]:
                world.record.add("break", text=line)
                print(line)
            print(f"{len(breaks)} breaks")
            code = 1 if breaks else 0
        except Exception as fault:  # pylint: disable=broad-except
            print(f"could not run: {fault!r}")
        finally:
            await world.end()
            world.record.file.close()
            if not os.environ.get("KEEP"):
                import shutil
                shutil.rmtree(world.folder, ignore_errors=True)
            else:
                print(world.folder)
        sys.stdout.flush()
        os._exit(code)
    asyncio.run(go())
