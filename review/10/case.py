import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import kit

EXPIRES_MS = 1000
COMMANDS = 5
HALF_A_SECOND_MS = 500


async def scenario(world):
    await world.discovery.up()
    executors = [kit.Executor(world, f"s-{i}", work_ms=600) for i in range(3)]
    for executor in executors:
        await executor.start()
        world.discovery.set(**executor.entry())
    node = kit.Node(world, "n0", kit.settings())
    await node.start()
    await asyncio.sleep(1)
    if kit.trouble():
        await asyncio.gather(*[at_once(world, node) for _ in range(4)])
    else:
        await asyncio.gather(*[in_turn(world, node) for _ in range(4)])
    return check(world)


async def at_once(world, node):
    """Sends many commands at once, and reads the answers as they come."""
    reader, writer = await asyncio.open_connection(kit.HOST, node.port)
    names = []
    for _ in range(COMMANDS):
        name, data = world.job(node, expires=EXPIRES_MS)
        names.append(name)
        writer.write(data)
    await writer.drain()
    for name in names:
        world.record.add("sent", node=node.name, id=name, expires=EXPIRES_MS)
    for name in names:
        await answer(world, reader, name)
    writer.close()


async def in_turn(world, node):
    """The same requests on one connection, one at a time."""
    reader, writer = await asyncio.open_connection(kit.HOST, node.port)
    for _ in range(COMMANDS):
        name, data = world.job(node, expires=EXPIRES_MS)
        writer.write(data)
        world.record.add("sent", node=node.name, id=name, expires=EXPIRES_MS)
        await answer(world, reader, name)
    writer.close()


async def answer(world, reader, name):
    try:
        first, _, _ = await asyncio.wait_for(kit.read_message(reader), 30)
        status = int(first.split()[1])
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        status = 0
    world.record.add("answered", id=name, status=status)


def check(world):
    sent = {f["id"]: t for t, f in world.record.of("sent")}
    breaks = []
    for when, facts in world.record.of("answered"):
        late = when - sent[facts["id"]] - EXPIRES_MS - HALF_A_SECOND_MS - kit.SLACK_MS
        if facts["status"] == 0:
            breaks.append(f"lost: {facts['id']} has no answer")
        elif late > 0:
            breaks.append(f"lost: {facts['id']} was answered {facts['status']} "
                          f"{late + HALF_A_SECOND_MS + kit.SLACK_MS:.0f} ms after its time")
    for when, facts in world.record.of("attempt"):
        left = sent[facts["id"]] + EXPIRES_MS - when
        if int(facts["expires"]) > left + 150 + kit.SLACK_MS:
            breaks.append(f"an attempt of {facts['id']} tells {facts['expires']} ms, "
                          f"{left:.0f} are left")
    return breaks


kit.main(pathlib.Path(__file__).parent, scenario)
