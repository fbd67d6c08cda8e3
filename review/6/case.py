import asyncio
import itertools
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import kit

RATE_PER_S = 400
EXPIRES_MS = (300, 500, 800, 1200)  # in turn: clients give up after different times
RELOADS = 100


def pools(number):
    """Two pools by site; at each release the names change between two pairs."""
    pair = [("blue-east", "blue-west"), ("green-east", "green-west")][number % 2]
    return (f'(pool {pair[0]} (site "east"))\n(pool {pair[1]} (site "west"))\n'
            f"(route all (to ({pair[0]} 50) ({pair[1]} 50)))\n")


async def scenario(world):
    await world.discovery.up()
    for i in range(4):
        executor = kit.Executor(world, f"s-{i}", zone="east" if i % 2 else "west", slots=2,
                                work_ms=200)
        await executor.start()
        world.discovery.set(**executor.entry())
    node = kit.Node(world, "n0", kit.settings(), own=pools(0))
    await node.start()
    await asyncio.sleep(1)
    traffic = asyncio.create_task(send(world, node))
    await asyncio.sleep(2)
    for number in range(1, RELOADS + 1):
        if kit.trouble():
            fresh = node.folder / "fresh.sexp"
            fresh.write_text(pools(number))
            fresh.rename(node.own_file)
            node.signal(signal.SIGHUP)
        await asyncio.sleep(0.8)
        if node.process.returncode is not None:
            break
    traffic.cancel()
    if node.process.returncode is not None:
        world.record.add("node-ended", status=node.process.returncode)
        return [f"crash: the node ended with {node.process.returncode} "
                f"after {len(world.record.of('signal'))} new configurations"]
    node.signal(signal.SIGTERM)
    return []


async def send(world, node):
    """More than the executors can do: some requests wait until their time is up."""
    tasks = set()
    for number in itertools.count():
        expires = EXPIRES_MS[number % len(EXPIRES_MS)]
        task = asyncio.create_task(world.ask(node, expires=expires, within=5))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / RATE_PER_S)


kit.main(pathlib.Path(__file__).parent, scenario)
