import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import kit


class Store:
    """The three commands of a Redis that the node uses, from the public specification."""

    def __init__(self, world):
        self.world, self.port, self.streams = world, kit.free_port(), {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, kit.HOST, self.port)

    async def serve(self, reader, writer):
        try:
            while True:
                count = int((await reader.readline())[1:])
                words = []
                for _ in range(count):
                    size = int((await reader.readline())[1:])
                    words.append((await reader.readexactly(size + 2))[:-2])
                writer.write(self.answer(words))
        except (OSError, ValueError, asyncio.IncompleteReadError):
            writer.close()

    def answer(self, words):
        command, key = words[0].upper(), words[1].decode()
        if command == b"XADD":
            at = next(i for i, w in enumerate(words) if i > 1 and w.endswith(b"-0"))
            number, fields = int(words[at][:-2]), words[at + 1:]
            stream = self.streams.setdefault(key, [])
            taken = not stream or number > stream[-1][0]
            self.world.record.add("xadd", key=key, number=number, taken=taken,
                                  type=fields[1].decode())
            if not taken:
                return (b"-ERR The ID specified in XADD is equal or smaller than the target stream "
                        b"top item\r\n")
            stream.append((number, fields))
            return b"$%d\r\n%s\r\n" % (len(words[at]), words[at])
        if command == b"PEXPIRE":
            return b":1\r\n"
        if command == b"XRANGE":
            first = int(words[2].split(b"-")[0])
            found = [(n, f) for n, f in self.streams.get(key, []) if n >= first]
            out = b"*%d\r\n" % len(found)
            for number, fields in found:
                name = b"%d-0" % number
                out += b"*2\r\n$%d\r\n%s\r\n*%d\r\n" % (len(name), name, len(fields))
                out += b"".join(b"$%d\r\n%s\r\n" % (len(f), f) for f in fields)
            return out
        return b"-ERR unknown command\r\n"


class Box(kit.Executor):
    """Tells progress every second, and gives the request's body back in its result."""

    async def run(self, job, body):
        seconds = self.work_ms / 1000
        await self.news(self.node.port, {"id": job, "from": self.name, "state": "started"})
        for done in range(1, int(seconds)):
            await asyncio.sleep(1)
            await self.news(self.node.port, {"id": job, "from": self.name, "state": "running",
                                             "share": done / seconds})
        await asyncio.sleep(min(1, seconds))
        self.world.record.add("run-ends", at=self.name, id=job)
        await self.news(self.node.port, {"id": job, "from": self.name, "state": "done",
                                         "result": f"result for {body.decode()}"})


async def events(world, who, node, data, out):
    """Reads an event stream to its end. A list of (event, data)."""
    reader, writer = await asyncio.open_connection(kit.HOST, node.front)
    writer.write(data)
    head = await reader.readuntil(b"\r\n\r\n")
    world.record.add("head", who=who, text=head.split(b"\r\n")[0].decode())
    if b"chunked" not in head:
        return
    event = None
    while True:
        size = int(await reader.readline(), 16)
        chunk = (await reader.readexactly(size + 2))[:-2].decode()
        if size == 0:
            break
        for line in chunk.split("\n"):
            if line.startswith("event: "):
                event = line[7:]
            if line.startswith("data: "):
                out.append((event, line[6:]))
                world.record.add("event", who=who, event=event, data=line[6:])
    writer.close()


def post(path, name, body, expires):
    return kit.message("POST", path, {
        "X-Trace-Id": name, "X-Customer": "shop", "X-Expires-In-Ms": expires,
        "Accept": "text/event-stream"}, body)


async def scenario(world):
    await world.discovery.up()
    store = Store(world)
    await store.start()
    nodes = []
    for i in range(2):
        front = kit.free_port()
        node = kit.Node(world, f"n{i}", kit.settings(
            rank=i, nodes=2, kinds=["dual", "tall"], family_info__class_kind=[0, 1, -1]),
            own=f'(progress (listen "{kit.HOST}:{front}") (store "{kit.HOST}:{store.port}"))\n')
        node.front = front
        nodes.append(node)
        box = Box(world, f"s-{i}", work_ms=[4000, 120][i])
        box.node = node
        await box.start()
        entry = box.entry()
        entry["class"] = ["dual", "tall"][i]
        world.discovery.set(**entry)
    for node in nodes:
        await node.start()
    await asyncio.sleep(1)
    name = "5eb0c0de00000001"
    own, follow, bad = [], [], []
    first = asyncio.create_task(events(world, "client", nodes[0],
                                       post("/price-check/1", name, b"the client", 8000), own))
    while not own:
        await asyncio.sleep(0.02)
    second = asyncio.create_task(events(
        world, "follower", nodes[1], f"GET /progress/{name} HTTP/1.1\r\nHost: app.svc\r\n"
        "Accept: text/event-stream\r\n\r\n".encode(), follow))
    if kit.trouble():
        await asyncio.sleep(0.1)
        await events(world, "bad client", nodes[1],
                     post("/hold-copy/1", name, b"the bad client", 8000), bad)
    await asyncio.wait_for(asyncio.gather(first, second), 20)
    breaks = []
    for who, got in (("client", own), ("follower", follow)):
        for event, data in got:
            if "bad client" in data:
                breaks.append(f"foreign: the {who} of the client's request got {event}: {data}")
        if not got or got[-1] != ("done", "result for the client"):
            breaks.append(f"wrong: the {who} ended with {got[-1] if got else None}")
    world.record.add("ends", own=json.dumps(own), follow=json.dumps(follow))
    return breaks


kit.main(pathlib.Path(__file__).parent, scenario)
