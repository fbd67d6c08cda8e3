import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import kit

SOCKETS = 256
IDLE_CLIENTS, CONNECTIONS_EACH = 4, 275
CLIENTS, REQUESTS_EACH = 60, 3
EXPIRES_MS = (20, 50, 100)  # in turn
HALF_A_SECOND_MS = 500


async def scenario(world):
    await world.discovery.up()
    for i in range(4):
        executor = kit.Executor(world, f"s-{i}", work_ms=10)
        await executor.start()
        world.discovery.set(**executor.entry())
    node = kit.Node(world, "n0", kit.settings())
    node.config["limits"]["sockets"] = SOCKETS
    await node.start()
    await asyncio.sleep(1)
    idle = []
    if kit.trouble():
        script = str(pathlib.Path(__file__).parent / "idle.py")
        for _ in range(IDLE_CLIENTS):
            idle.append(await asyncio.create_subprocess_exec(
                sys.executable, script, str(node.port), str(CONNECTIONS_EACH), "16",
                stdout=asyncio.subprocess.PIPE))
    await asyncio.sleep(3)
    clients = []
    for i in range(CLIENTS):
        clients.append(asyncio.create_task(client(world, node, EXPIRES_MS[i % len(EXPIRES_MS)])))
        await asyncio.sleep(0.1)
    await asyncio.gather(*clients)
    for process in idle:
        opened, _ = await process.communicate()
        world.record.add("idle-client", opened=int(opened))
    return check(world)


async def client(world, node, expires):
    """A usual client: one request at a time, on a connection that it keeps while the node does."""
    reader = writer = None
    for _ in range(REQUESTS_EACH):
        if reader is None or reader.at_eof():
            reader, writer = await asyncio.open_connection(kit.HOST, node.port)
        name, data = world.job(node, expires=expires)
        writer.write(data)
        world.record.add("sent", id=name, expires=expires)
        try:
            first, headers, _ = await asyncio.wait_for(kit.read_message(reader), 20)
            world.record.add("answered", id=name, status=int(first.split()[1]))
            if headers.get("connection") == "close":
                writer.close()
                reader = None
        except (OSError, asyncio.IncompleteReadError):
            world.record.add("closed", id=name)  # new connections may be shut unread
            reader = None
        except asyncio.TimeoutError:
            world.record.add("answered", id=name, status=-1)
            reader = None
        await asyncio.sleep(0.2)


def check(world):
    sent = {f["id"]: (t, f["expires"]) for t, f in world.record.of("sent")}
    breaks = []
    for when, facts in world.record.of("answered"):
        begun, expires = sent[facts["id"]]
        late = when - begun - expires
        if facts["status"] < 0 or late > HALF_A_SECOND_MS + kit.SLACK_MS:
            breaks.append(f"lost: {facts['id']} ({expires} ms) was answered {facts['status']} "
                          f"{late:.0f} ms after its time")
    return breaks


kit.main(pathlib.Path(__file__).parent, scenario)
