"""The request of one caller crashes endpoints; other callers send the same path and body, which the
endpoints answer."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from crash_cases2 import TROUBLE, CrashCase, run  # noqa: E402
from standins2 import route  # noqa: E402

HOST = "catalogue.example"
PATH = "/price/list"
OTHER_PATH = "/price/all"
END_S = 60.0


async def play(case):
    routes = [route("r-prices", HOST, "/price/", "idempotent", "catalogue", 1)]
    await case.deployment.start(routes, ["orders", "catalogue"])
    await case.run_until(
        END_S,
        case.send_others(["orders"], "GET", PATH if TROUBLE else OTHER_PATH, b"", 0.05),
        case.send_crashing("GET"))


run(CrashCase(FOLDER, ["orders", "catalogue"] * 6, HOST, PATH, b"", caller="catalogue",
              repeat_s=3.0), play)
