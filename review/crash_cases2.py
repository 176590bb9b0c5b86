"""What the cases about a request that crashes endpoints have in common.

PROTOCOL.md: "A request may crash each endpoint that begins to run it; the endpoint is back after some
seconds. Such a request comes again, with the same path, caller and body, at any machine."

RULES.md, BUDGET: it may reach endpoints in three retries, sent by machines in touch later than
`stableWindowMs` after it has crashed the third endpoint, and in no more.
"""

import asyncio
import os
import signal
import sys

from standins2 import STABLE_WINDOW_S, Deployment, Record

ALLOWED_RETRIES = 3
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CrashCase:
    """A deployment with a requester whose request crashes the endpoints that run it."""

    def __init__(self, folder, services, host, path, body, caller, repeat_s):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.host, self.path, self.body, self.caller = host, path, body, caller
        self.repeat_s = repeat_s
        self.deployment = Deployment(self.record, services, self.crashes)
        self.by_name = {machine.name: machine for machine in self.deployment.machines}
        self.by_address = {m.fields["appAddr"]: m for m in self.deployment.machines}
        self.ended = asyncio.Event()
        # Machine at which each request began.
        self.senders = {}
        # Runs of the crashing request: (time, machine of the sender, machine of the endpoint).
        self.runs = []
        # Requests of others that were running when an endpoint crashed.
        self.lost = []
        self.others = []
        self.write, self.record.write = self.record.write, self.observe

    def crashes(self, path, caller, body):
        return (path, caller, body) == (self.path, self.caller, self.body)

    def observe(self, event, **fields):
        if event == "send":
            self.senders[fields["request"]] = self.by_name[fields["machine"]], fields["label"]
        if event == "run" and self.senders[fields["request"]][1] == "crashing":
            sender = self.senders[fields["request"]][0]
            self.runs.append((self.record.now(), sender, self.by_address[fields["address"]]))
        if event == "crash":
            self.lost += [(self.record.now(), request) for request in fields["running"].split(",")
                          if request and self.senders[request][1] != "crashing"]
        self.write(event, **fields)

    async def send_others(self, services, method, path, body, pause_s):
        """Ordinary requests, from the machines in touch of these services in turn."""
        calls = set()

        async def send(machine):
            self.others.append(await self.deployment.call(
                machine, method, path, self.host, body, label="other"))

        while not self.ended.is_set():
            for machine in self.deployment.machines:
                if machine.service in services and machine.in_touch(self.record.now()):
                    call = asyncio.create_task(send(machine))
                    calls.add(call)
                    call.add_done_callback(calls.discard)
                    await asyncio.sleep(pause_s)
            await asyncio.sleep(0)
        await asyncio.gather(*calls)

    async def send_crashing(self, method, spans=((0.0, float("inf")),), leave_after_s=None):
        """The crashing request, one at a time, from machines in touch of its caller's service, in
        these spans of time."""
        while not self.ended.is_set():
            for machine in self.deployment.machines_of(self.caller):
                now = self.record.now()
                if (machine.in_touch(now) and not self.ended.is_set()
                        and any(start <= now < end for start, end in spans)):
                    await self.deployment.call(
                        machine, method, self.path, self.host, self.body, label="crashing",
                        leave_after_s=leave_after_s)
                    await asyncio.sleep(self.repeat_s)
            await asyncio.sleep(0.05)

    async def run_until(self, end_s, *senders, disruption=None):
        """Runs the senders up to the time `end_s`, with the disruption meanwhile."""
        await asyncio.sleep(STABLE_WINDOW_S + 0.5)
        tasks = [asyncio.create_task(sender) for sender in senders]
        if disruption is not None:
            await disruption
        await asyncio.sleep(max(0.0, end_s - self.record.now()))
        self.ended.set()
        await asyncio.gather(*tasks)

    def judge(self):
        """Returns the exit code."""
        if len(self.runs) < 3:
            # Only a run without the disruption may have no crash at all.
            self.write("result", text="fewer than three endpoints were crashed")
            return 2 if TROUBLE else 0
        third_at = self.runs[2][0]
        late = [(at, sender, target) for at, sender, target in self.runs[3:]
                if at > third_at + STABLE_WINDOW_S
                and sender.in_touch(at) and target.in_touch(at)]
        late_from = late[0][0] if late else float("inf")
        lost = sum(1 for at, _ in self.lost if at > late_from)
        self.write("result", runs=len(self.runs), third_crash_at=f"{third_at:.3f}",
                   late_retries_of_machines_in_touch=len(late), allowed=ALLOWED_RETRIES,
                   requests_of_others=len(self.others), of_these_lost_in_late_crashes=lost)
        return 1 if len(late) > ALLOWED_RETRIES else 0


def run(case, play):
    """Plays a case and exits with its code."""
    async def main():
        try:
            await play(case)
            return case.judge()
        finally:
            case.deployment.stop()

    # Ends the nodes also if the script is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = asyncio.run(main())
    except Exception as error:  # The case could not run.
        print(f"{type(error).__name__}: {error}")
        code = 2
    sys.exit(code)
