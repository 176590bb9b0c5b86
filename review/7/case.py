"""A request that crashes endpoints comes again during a rolling restart of the nodes."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from crash_cases2 import TROUBLE, CrashCase, run  # noqa: E402
from standins2 import route  # noqa: E402

HOST = "orders.example"
# `roll_term`, one machine at a time. On the days of the users the pause is shorter (1.1 to 2 s).
ROLL_GAP_S = 4.0
ROLL_FROM_S = 12.0
END_S = 80.0


async def roll(case):
    """Stops and starts each node in turn."""
    await asyncio.sleep(max(0.0, ROLL_FROM_S - case.record.now()))
    restarts = []
    for machine in case.deployment.machines:
        restarts.append(asyncio.create_task(machine.restart_node()))
        await asyncio.sleep(ROLL_GAP_S)
    await asyncio.gather(*restarts)


async def play(case):
    routes = [route("r-orders", HOST, "/order/", "non_idempotent", "orders", 1)]
    await case.deployment.start(routes, ["orders", "catalogue"])
    await case.run_until(
        END_S,
        case.send_others(["orders", "catalogue"], "POST", "/order/new", b"cartons=2", 0.025),
        case.send_crashing("POST"),
        disruption=roll(case) if TROUBLE else None)


run(CrashCase(FOLDER, ["orders", "catalogue"] * 6, HOST, "/order/new", b"cartons=-1",
              caller="catalogue", repeat_s=1.0), play)
