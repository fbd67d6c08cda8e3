"""Executors whose every second answer to a job is cut short: a 202 without the end of its body."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from standins import *  # noqa: E402,F403

JOBS = 20  # of each class
LEAST_OVERLAP = 0.05  # seconds; the slack that the pages add to each limit on sockets
CLASSES = {"price-check": 0.3, "hold-copy": 0.15}  # seconds of running, as the pages tell of the site


class Attempt:
    def __init__(self, executor, job):
        self.executor, self.job, self.taken, self.over, self.how = executor, job, now(), None, "runs on"
        self.told_start = asyncio.Event()

    def end(self, how):
        if self.over is None:
            self.over, self.how = now(), how


class SpoiltExecutor(Executor):
    """Takes each job, tells that it started, answers 202, runs it, and tells its end. With trouble,
    every second 202 lacks the end of its body, and its connection ends there."""

    trouble = False
    attempts = []

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.answers = 0

    async def talk(self, reader, writer):
        while True:
            first, headers, _ = await read_message(reader)
            method, target, _ = first.split(" ", 2)
            if method == "DELETE":
                job = target.rsplit("/", 1)[1]
                self.record.write("executor %s is told to give up %s" % (self.name, job))
                if job in self.jobs:
                    attempt, task = self.jobs.pop(job)
                    attempt.end("given up")
                    task.cancel()
                writer.write(response(200))
                continue
            job = headers["x-trace-id"]
            attempt = Attempt(self.name, job)
            SpoiltExecutor.attempts.append(attempt)
            self.record.write("executor %s takes %s %s" % (self.name, job, target))
            work = self.work(attempt, CLASSES[target.split("/")[1]])
            self.jobs[job] = attempt, asyncio.ensure_future(work)
            # A call may arrive before the 202, and this one does: the node has heard of the start.
            await attempt.told_start.wait()
            self.answers += 1
            if self.trouble and self.answers % 2 == 1:
                writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 6\r\n\r\ntake")
                await writer.drain()
                self.record.write("executor %s has answered 202 for %s, cut short by two bytes" % (self.name, job))
                return
            writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 6\r\n\r\ntaken\n")
            await writer.drain()
            self.record.write("executor %s has answered 202 for %s" % (self.name, job))

    async def work(self, attempt, seconds):
        await self.tell({"id": attempt.job, "from": self.name, "state": "started"})
        self.record.write("executor %s has told the start of %s" % (self.name, attempt.job))
        attempt.told_start.set()
        await asyncio.sleep(seconds)
        attempt.end("run to its end")
        if self.jobs.get(attempt.job, (None,))[0] is attempt:
            del self.jobs[attempt.job]
        self.record.write("executor %s has run %s" % (self.name, attempt.job))
        await self.tell({"id": attempt.job, "from": self.name, "state": "done", "result": "ran " + attempt.job})


async def story(case):
    record = case.record
    SpoiltExecutor.trouble = case.trouble
    discovery = await case.listener(Discovery(record))
    executors = [await case.listener(SpoiltExecutor("s-0badcaf%d" % i, record)) for i in range(5)]
    for executor in executors:
        discovery.hosts[executor.name] = discovery.entry(executor)
    node = Node(record, case.folder, discovery, settings())
    case.nodes.append(node)
    for executor in executors:
        executor.node = node.port
    await node.start()
    number = 0
    for _ in range(JOBS):
        for name in CLASSES:
            identity = "%016x" % (0x9b1f03aa5c7e0000 + number)
            number += 1
            key = "%032x" % (0x5c0f6e1a2b3d4c59 + number) if name == "hold-copy" else None
            record.write("client sends %s %s" % (identity, name))
            status, answer = await node.ask(
                "POST", "/%s/1" % name, job_headers(identity, 5000, 200, key), b"a book", 6)
            record.write("client reads %s: %d %r" % (identity, status, answer))
            await asyncio.sleep(0.5)
    breaches = []
    for attempt in SpoiltExecutor.attempts:
        others = [a for a in SpoiltExecutor.attempts
                  if a.job == attempt.job and a.taken > attempt.taken
                  and (attempt.over is None or a.taken + LEAST_OVERLAP < attempt.over)]
        if others:
            breaches.append("%s was taken by %s and %.0f ms later by %s, while the first ran (%s)" % (
                attempt.job, attempt.executor, 1000 * (others[0].taken - attempt.taken),
                others[0].executor, attempt.how))
    return breaches


sys.exit(play(HERE, story))
