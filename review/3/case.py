"""A worker without work crashes and starts again under its id; a job comes before its first
heartbeat."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import (HEARTBEAT_S, System, Worker, config, job, run, runs_at_once, submit,
                      wait_until_serving)


async def scenario(record, trouble):
    system = System(record, entries=1, agents=3)
    workers = []
    try:
        system.start_all()
        for n, kind in enumerate(["a", "a", "b"]):
            worker = Worker(record, "m%d" % n, system.agent_ips[n], system.worker_port,
                            system.agent_http[n], "desk", [kind, "r1-%d" % n])
            await worker.start()
            workers.append(worker)
        await system.put_config(config(1, "desk"))
        entry = system.entry_http[0]
        await wait_until_serving(record, entry, job(1, 60, 3100))
        await asyncio.sleep(6)
        if trouble:
            await workers[0].crash()
            await asyncio.sleep(1)
            await workers[0].restart(first_beat_s=HEARTBEAT_S / 2)
        await asyncio.sleep(0.25)
        await submit(record, entry, job(9, 900, 3100), 3000)
        await asyncio.sleep(3)
    finally:
        system.stop_all()
    return runs_at_once(workers)


run(FOLDER, scenario)
