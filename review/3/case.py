"""One node of a large fleet while six in ten executors are replaced within 7 s."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from standins import *  # noqa: E402,F403

EXECUTORS = 3200
NODES = 300  # in the settings; one of them is started
REPLACED = EXECUTORS * 6 // 10
WITHIN = 7.0
PATIENCE = 5.0  # of a price-check, in seconds
LATEST = PATIENCE + 0.5 + 0.05  # later is lost; each time limit on sockets is 50 ms longer
JOBS = 60
PAUSE = 0.25
QUIET = 2.0  # before the first replacement
SITES = ["memphis-east", "memphis-south", "jackson-main", "tupelo-old"]


async def story(case):
    record = case.record
    discovery = await case.listener(Discovery(record))
    discovery.record = None
    farm = await case.listener(Farm(record))

    def entry(number, health="ready", born=0):
        name = "s-%08x" % (number * 2654435761 % 2**32)
        return {"host": name, "dial": farm.address, "site": SITES[number % 4], "class": "dual-fast",
                "block": number % 97, "health": health, "share": 1.0, "born_ms": born}

    for number in range(EXECUTORS):
        discovery.hosts[entry(number)["host"]] = entry(number)
    node = Node(record, case.folder, discovery, settings(balancers=NODES))
    case.nodes.append(node)
    farm.node = node.port
    await node.start()
    breaches = []

    async def job(number):
        identity = "%016x" % (0x9b1f03aa5c7e0000 + number)
        began = now()
        record.write("client sends %s" % identity)
        try:
            status, answer = await node.ask(
                "POST", "/price-check/1", job_headers(identity, int(PATIENCE * 1000)), b"a book", 5 * LATEST)
            record.write("client reads %s: %d %r after %.2f s" % (identity, status, answer, now() - began))
            if now() - began > LATEST:
                breaches.append("%s was answered after %.2f s, its time was %.1f s" % (identity, now() - began, PATIENCE))
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as fault:
            record.write("client has no answer for %s after %.2f s: %r" % (identity, now() - began, fault))
            breaches.append("%s got no answer in %.2f s, its time was %.1f s: %r" % (identity, now() - began, PATIENCE, fault))

    async def replace():
        await asyncio.sleep(QUIET)
        record.write("discovery begins to tell of %d replaced executors" % REPLACED)
        began = now()
        for number in range(REPLACED):
            discovery.change(entry(EXECUTORS + number, "ready", int(time.time() * 1000)))
            discovery.change(entry(number, "gone"))
            while now() < began + WITHIN * (number + 1) / REPLACED:
                await asyncio.sleep(0.002)
        record.write("discovery has told of all of them in %.2f s" % (now() - began))

    replacing = asyncio.ensure_future(replace()) if case.trouble else None
    jobs = []
    for number in range(JOBS):
        jobs.append(asyncio.ensure_future(job(number)))
        await asyncio.sleep(PAUSE)
    await asyncio.gather(*jobs)
    if replacing:
        await replacing
    if node.process.returncode is not None:
        breaches.append("the node ended with %d" % node.process.returncode)
    return breaches


sys.exit(play(HERE, story))
