import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import kit

NODES = 100
EXECUTORS = 12
CALLS_PER_S = 2.6
DOWN_S = 8
TOLD_MS = 6000
GRACE_MS = 500


async def scenario(world):
    discovery = world.discovery
    discovery.per_call_s = 1 / CALLS_PER_S
    executors = [kit.Executor(world, f"s-{i}", work_ms=50) for i in range(EXECUTORS)]
    for executor in executors:
        await executor.start()
        discovery.set(**executor.entry())
    udp = kit.free_udp_ports(NODES)
    peers = [f"{kit.HOST}:{port}" for port in udp]
    nodes, ports = [], {}
    for i in range(NODES):
        port = discovery.add_port()
        node = kit.Node(world, f"n{i}", kit.settings(
            rank=i, nodes=NODES, limits__peer_messages=True, family_info__tells_start=False),
            peers=peers, peer_port=udp[i], discovery_port=port)
        nodes.append(node)
        ports[node.name] = port
    await discovery.up()
    for node in nodes:
        await node.start(wait=False)
    until = time.monotonic() + 60
    while len(set(discovery.watches.values())) < 0.97 * NODES and time.monotonic() < until:
        await asyncio.sleep(0.2)
    world.record.add("watches", count=len(discovery.watches))
    if len(set(discovery.watches.values())) < 0.97 * NODES:
        raise kit.CannotRun("too many nodes have no watch")
    traffic = [asyncio.create_task(send(world, node, i)) for i, node in enumerate(nodes)]
    await asyncio.sleep(3)
    if kit.trouble():
        await discovery.down()
        await asyncio.sleep(DOWN_S)
        await discovery.up()
    await asyncio.sleep(0.5)
    began = {}
    for executor in executors[:EXECUTORS // 2]:
        discovery.set(**executor.entry("draining"))
        began[executor.name] = world.record.now()
    await asyncio.sleep(16)
    world.record.add("watches", count=len(discovery.watches))
    for task in traffic:
        task.cancel()
    return check(world, began, ports, nodes)


async def send(world, node, i):
    await asyncio.sleep(i / NODES)
    pending = set()
    while True:
        task = asyncio.create_task(world.ask(node, expires=1000))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(1)


def check(world, began, ports, nodes):
    name_of = {node.port: node.name for node in nodes}
    told = {}
    for when, facts in world.record.of("told"):
        told.setdefault(facts["port"], []).append(when)
    breaks = []
    for when, facts in world.record.of("attempt"):
        if facts["at"] not in began or when < began[facts["at"]]:
            continue
        node = name_of[world.node_of[facts["id"]]]
        change = began[facts["at"]]
        heard = [t for t in told.get(ports[node], []) if t >= change]
        due = min(heard + [change + TOLD_MS])
        late = when - due - GRACE_MS - kit.SLACK_MS
        if late > 0:
            breaks.append(f"drain: {node} sent {facts['id']} to {facts['at']} {late:.0f} ms too late, "
                          f"{when - change:.0f} ms after the change; written to it: "
                          f"{heard[0] - change if heard else 'never':.6}")
    return breaks


kit.main(pathlib.Path(__file__).parent, scenario)
