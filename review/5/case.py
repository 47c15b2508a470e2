"""A heartbeat of another writer arrives while a worker leaves some calls without an answer. The agent
drops the worker that it has, and reports runs as lost that go on."""

import asyncio
import json
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lab"))
from lab import Job, Lab, http_call, main  # noqa: E402

MUTE_S = 0.4
WORK_MS = 4000
# For a look at each disruption alone.
ONLY = os.environ.get("ONLY", "")


def make(path):
    workers = [dict(name=f"w{n}", labels=["a", f"r1-{n}"], cpu=12000) for n in range(1, 11)]
    return Lab(path, entries=2, workers=workers)


async def mute(path, call):
    return "mute"


async def foreign_heartbeat(lab, worker):
    """A heartbeat of another writer: its service isn't named in the configuration."""
    beat = {"service": "ledger", "address": "127.0.0.1:9", "zone": "osijek", "version": "v1",
            "slots": 8, "state": "ready", "coldMs": 0, "freeCapacity": worker.room,
            "labels": worker.labels, "clockMs": 1000, "sequence": 1, "born": worker.born + 60000}
    status, _ = await http_call(worker.control, "POST", "/hemlockhook/Instances.Heartbeat/i-ledger-1",
                                json.dumps(beat).encode(), {"content-type": "application/json"})
    lab.record(f"a heartbeat of another writer at {worker.control}: {status}")


async def case(lab):
    worker = lab.workers[0]
    job = Job(lab, WORK_MS, count=20, resend=False)
    client = asyncio.create_task(job.run([lab.entries[0]], attempts=1))
    await asyncio.sleep(1.0)
    if not worker.runs:
        raise RuntimeError("no task runs on the worker")
    if lab.trouble and ONLY != "heartbeat":
        lab.record(f"worker {worker.name} leaves its calls without an answer")
        worker.hook = mute
    if lab.trouble and ONLY != "mute":
        await foreign_heartbeat(lab, worker)
    await asyncio.sleep(MUTE_S)
    worker.hook = None
    lab.record(f"worker {worker.name} answers")
    await client
    lab.record.say(f"job {job.id}: {job.answers}")
    return lab.report_twice()


main(case, make)
