"""Usual clients beside four bad clients that send at full speed."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from standins import *  # noqa: E402,F403

BAD_CLIENTS = 4
MEGABYTES = 60  # the most that the pages let a bad client send
BAD_SECONDS = 40
PATIENCE = 5.0  # of a price-check, in seconds
LATEST = PATIENCE + 0.5 + 0.05  # later is lost; each time limit on sockets is 50 ms longer
JOBS = 60
PAUSE = 0.25


def memory_mb(process):
    with open("/proc/%d/status" % process) as status:
        for line in status:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0


async def story(case):
    record = case.record
    discovery = await case.listener(Discovery(record))
    executors = [await case.listener(Executor("s-0badcaf%d" % i, record)) for i in range(4)]
    for executor in executors:
        discovery.hosts[executor.name] = discovery.entry(executor)
    node = Node(record, case.folder, discovery, settings())
    case.nodes.append(node)
    for executor in executors:
        executor.node = node.port
    await node.start()
    breaches = []

    async def job(number):
        identity = "%016x" % (0x9b1f03aa5c7e0000 + number)
        began = now()
        record.write("client sends %s" % identity)
        try:
            status, answer = await node.ask(
                "POST", "/price-check/1", job_headers(identity, int(PATIENCE * 1000)), b"a book", 3 * LATEST)
            record.write("client reads %s: %d %r after %.2f s" % (identity, status, answer, now() - began))
            if now() - began > LATEST:
                breaches.append("%s was answered after %.2f s, its time was %.1f s" % (identity, now() - began, PATIENCE))
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as fault:
            record.write("client has no answer for %s after %.2f s: %r" % (identity, now() - began, fault))
            breaches.append("%s got no answer in %.2f s, its time was %.1f s: %r" % (identity, now() - began, PATIENCE, fault))

    bad = case.children
    if case.trouble:
        for _ in range(BAD_CLIENTS):
            bad.append(await asyncio.create_subprocess_exec(
                sys.executable, os.path.join(os.path.dirname(HERE), "lib", "bad_client.py"),
                str(node.port), str(MEGABYTES), str(BAD_SECONDS), stdout=asyncio.subprocess.PIPE))
        record.write("%d bad clients begin, each with %d MB of requests" % (BAD_CLIENTS, MEGABYTES))
    most_memory = 0
    jobs = []
    for number in range(JOBS):
        jobs.append(asyncio.ensure_future(job(number)))
        await asyncio.sleep(PAUSE)
        if node.process.returncode is None:
            most_memory = max(most_memory, memory_mb(node.process.pid))
    await asyncio.gather(*jobs)
    record.write("the node held up to %.0f MB while jobs came" % most_memory)
    if node.process.returncode is not None:
        breaches.append("the node ended with %d" % node.process.returncode)
    for process in bad:
        try:
            told, _ = await asyncio.wait_for(process.communicate(), BAD_SECONDS)
            record.write("bad client " + told.decode().strip())
        except asyncio.TimeoutError:
            record.write("a bad client has not ended in time")
    return breaches


sys.exit(play(HERE, story))
