"""Stand-ins for the platform, its store, endpoints and clients, on loopback addresses.

Each machine of a case has a loopback address of its own, so that the ports are the same on all
machines, as in a deployment. Nodes are started with the command and the settings template of
`deploy/system.toml`. Python's standard library is all that is needed.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250,
    "maxSkewMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 64,
    "recoveryS": 15,
}


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what happens to `record.txt`, with the seconds since the start of the case."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        line = f"{self.now():8.3f} s  {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


# HTTP/1.1 ------------------------------------------------------------------------------------

async def read_head(reader):
    """Reads a head; returns its first line and its headers, with names in lower case."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader, sink=None):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return await read_chunks(reader)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode_answer(status, body=b"", headers=None):
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def serve_http(address, handle):
    """Serves requests; `handle(method, target, headers, reader, writer)` reads the body and answers."""

    async def on_connection(reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                if await handle(method, target, headers, reader, writer) is False:
                    return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, address[0], address[1])


async def http_request(address, method, target, headers=None, body=b"", timeout=1.0):
    """Sends one request on a new connection; returns the status, the headers and the body."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            fields = {"Host": "platform", "Content-Length": len(body), "Connection": "close"}
            fields.update(headers or {})
            head = f"{method} {target} HTTP/1.1\r\n"
            head += "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
            first, answer_headers = await read_head(reader)
            answer = await read_body(reader, answer_headers)
            return int(first.split(" ")[1]), answer_headers, answer
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


# Store ---------------------------------------------------------------------------------------

class Store:
    """The platform's metadata store: rows, transactions and the feed of changes."""

    def __init__(self, ip):
        self.address = (ip, 8309)
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await serve_http(self.address, self.handle)

    async def put(self, table, key, value):
        async with self.changed:
            self.version += 1
            self.rows[(table, "", key)] = (base64.b64encode(value).decode(), self.version, False)
            self.changed.notify_all()

    def encoded(self, name, row):
        encoded = {"table": name[0], "part": name[1], "key": name[2], "value": row[0], "ver": row[1]}
        if row[2]:
            encoded["deleted"] = True
        return encoded

    def live_version(self, name):
        row = self.rows.get(name)
        return 0 if row is None or row[2] else row[1]

    async def handle(self, method, target, headers, reader, writer):
        body = await read_body(reader, headers)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        await asyncio.sleep(0.004)
        status, answer = 404, {}
        if (method, url.path) == ("GET", "/-/rows-get"):
            status, answer = 200, self.get(query)
        elif (method, url.path) == ("GET", "/-/rows-feed"):
            status, answer = 200, await self.feed(query)
        elif (method, url.path) == ("POST", "/-/rows-tx"):
            status, answer = await self.transact(json.loads(body))
        encoded = json.dumps(answer).encode()
        writer.write(encode_answer(status, encoded, {"Content-Type": "application/json"}))

    def stamp(self, rows):
        return {"rows": rows, "hasMore": False, "ver": self.version,
                "nowMs": int(time.monotonic() * 1000)}

    def get(self, query):
        limit = int(query.get("limit", "500"))
        rows = []
        for name in sorted(self.rows):
            row = self.rows[name]
            inside = name[0] == query["table"] and name[1] == query.get("part", "")
            inside = inside and name[2] >= query.get("from", "")
            inside = inside and ("target" not in query or name[2] < query["target"])
            if inside and not row[2]:
                rows.append(self.encoded(name, row))
        answer = self.stamp(rows[:limit])
        answer["hasMore"] = len(rows) > limit
        return answer

    async def feed(self, query):
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            rows = [self.encoded(name, row) for name, row in self.rows.items()
                    if name[0] == query["table"] and row[1] > int(query["after"])]
            if rows or time.monotonic() >= until:
                return self.stamp(sorted(rows, key=lambda row: row["ver"]))
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except TimeoutError:
                    pass

    async def transact(self, call):
        def name(row):
            return (row["table"], row.get("part", ""), row["key"])

        if any(row["table"] in ("op", "servers") for row in call["writes"] + call["remove"]):
            return 403, {}
        if any(self.live_version(name(row)) != row["ver"] for row in call["expect"]):
            current = [self.encoded(name(row), self.rows[name(row)]) for row in call["expect"]
                       if self.live_version(name(row))]
            return 412, self.stamp(current)
        async with self.changed:
            self.version += 1
            for row in call["writes"]:
                self.rows[name(row)] = (row["value"], self.version, False)
            for row in call["remove"]:
                if self.live_version(name(row)):
                    self.rows[name(row)] = ("", self.version, True)
            self.changed.notify_all()
        return 200, {"ver": self.version, "nowMs": int(time.monotonic() * 1000)}


# Machines ------------------------------------------------------------------------------------

def lookup(settings, path):
    value = settings
    for part in path.split("."):
        value = value[int(part)] if isinstance(value, list) else value.get(part)
        if value is None:
            return ""
    if isinstance(value, list):
        return ",".join(map(str, value))
    if isinstance(value, dict):
        return json.dumps(value, separators=(",", ":"))
    return str(value)


def render(text, settings):
    return re.sub(r"\{\{([\w.]+)\}\}", lambda found: lookup(settings, found[1]), text)


class Machine:
    """A machine of the deployment: a node process, and the address of the endpoint beside it."""

    def __init__(self, case, index, zone, region, service):
        self.case = case
        self.ip = f"{case.net}.{index + 1}"
        self.name = f"sidecar-{zone}-{index + 1}"
        self.service = service
        self.endpoint_address = (self.ip, 8301)
        self.outbound = (self.ip, 8304)
        self.ready = (self.ip, 8302)
        self.control = (self.ip, 8306)
        self.process = None
        self.starts = 0
        # File descriptor that takes the node's standard output in place of a file.
        self.log = None
        self.settings = {
            "node": self.name, "role": "node", "machineClass": "sidecar", "serves": ["sidecar"],
            "ip": self.ip, "zone": zone, "region": region, "portRange": [7620, 7635], "seeds": [],
            "bootstrap": True, "heartbeatMs": 1500, "bounds": BOUNDS,
            "appAddr": f"{self.ip}:8301", "service": service,
            "listen": {"inbound": f"{self.ip}:8300", "outbound": f"{self.ip}:8304",
                       "ready": f"{self.ip}:8302", "control": f"{self.ip}:8306"},
            "provider": {"address": "%s:%d" % case.store.address, "form": "table"},
        }

    async def start(self):
        """Starts the node as the deploy file says."""
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["node"]
        with open(os.path.join(ROOT, role["template"])) as file:
            template = file.read()
        path = os.path.join(self.case.folder, f"{self.name}.toml")
        with open(path, "w") as file:
            file.write(render(template, self.settings))
        words = [render(word, self.settings) for word in role["run"].split(" ")]
        words[0] = os.path.join(ROOT, words[0])
        if not os.path.exists(words[0]):
            raise CannotRun(f"{words[0]} has not been built")
        self.starts += 1
        log = open(os.path.join(self.case.folder, f"{self.name}-{self.starts}.log"), "wb")
        environment = {"PATH": os.environ.get("PATH", ""), "AGATEDECK_BOOT": path}
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stderr=log,
            stdout=log if self.log is None else self.log, stdin=asyncio.subprocess.DEVNULL)
        log.close()
        if self.log is not None:
            os.close(self.log)

    def send(self, number):
        self.process.send_signal(number)

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def is_ready(self):
        try:
            status, _, _ = await http_request(self.ready, "GET", "/-/ready")
            return status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False


class Endpoint:
    """An endpoint that announces itself to the node on its machine, and runs requests."""

    def __init__(self, case, machine, run=None):
        self.case = case
        self.machine = machine
        self.id = f"i-{random.randrange(16 ** 8):08x}"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.slots = 18
        self.beating = True
        self.healthy = True
        self.run = run or self.answer_at_once
        self.arrivals = []
        self.running = 0

    async def start(self):
        self.server = await serve_http(self.machine.endpoint_address, self.handle)
        self.beats = asyncio.create_task(self.beat_forever())

    async def beat_forever(self):
        while self.beating:
            await self.beat("ready")
            await asyncio.sleep(self.machine.settings["heartbeatMs"] / 1000)

    def beat_body(self, state):
        self.seq += 1
        settings = self.machine.settings
        return json.dumps({
            "address": settings["appAddr"],
            "info": {"service": self.machine.service, "version": "v1", "zone": settings["zone"],
                     "slots": self.slots},
            "status": {"state": state, "seq": self.seq, "coldLeftMs": 0},
            "born": self.born,
        }).encode()

    async def send_beat(self, body):
        headers = {"Content-Type": "application/json"}
        try:
            status, _, _ = await http_request(
                self.machine.control, "PUT", f"/-/instances/{self.id}", headers, body)
            return status
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return None

    async def beat(self, state):
        return await self.send_beat(self.beat_body(state))

    async def leave(self):
        """Sends `DELETE`; returns the status."""
        status, _, _ = await http_request(
            self.machine.control, "DELETE", f"/-/instances/{self.id}")
        return status

    def identity(self, headers):
        return {"Request-Id": headers.get("request-id", ""), "Response-Signature": f"sig.{self.id}",
                "Server-Load": f"{self.running},0,{self.slots}"}

    async def handle(self, method, target, headers, reader, writer):
        if target == "/healthz":
            status = 200 if self.healthy else 503
            writer.write(encode_answer(status, b"", {"Instance-Id": self.id,
                                                     "Server-Load": f"{self.running},0,{self.slots}"}))
            return None
        expected = headers.get("target-instance")
        if expected not in (None, self.id):
            await read_body(reader, headers)
            writer.write(encode_answer(421, b"", {"Instance-Id": self.id}))
            return None
        self.arrivals.append((self.case.record.now(), headers.get("request-id")))
        self.running += 1
        try:
            return await self.run(self, method, target, headers, reader, writer)
        finally:
            self.running -= 1

    async def answer_at_once(self, endpoint, method, target, headers, reader, writer):
        await read_body(reader, headers)
        await asyncio.sleep(0.01)
        writer.write(encode_answer(200, b"the bytes of " + self.id.encode(), self.identity(headers)))


class Case:
    """A deployment of some machines. `play` returns whether the rule held."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="agatedeck-review-")
        self.net = "127.{}.{}".format(*random.SystemRandom().sample(range(20, 250), 2))
        self.store = Store(f"{self.net}.250")
        self.machines = []
        self.config_version = 0

    def add_machine(self, zone, region, service):
        machine = Machine(self, len(self.machines), zone, region, service)
        self.machines.append(machine)
        return machine

    async def put_config(self, routes, services):
        self.config_version += 7
        config = {
            "version": self.config_version, "routes": routes,
            "services": [{"name": name, "healthPath": "/healthz", "maxConnections": 130,
                          "protocol": "h1", "tls": False} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        }
        await self.store.put("op", "config", json.dumps(config).encode())
        self.record.write(f"the operator writes version {self.config_version}")

    async def start_all(self, endpoints):
        """Starts the machines with their endpoints and waits until all nodes are ready."""
        for machine in self.machines:
            await machine.start()
        for endpoint in endpoints:
            await endpoint.start()
        until = time.monotonic() + 15
        while not all([await machine.is_ready() for machine in self.machines]):
            if time.monotonic() > until:
                raise CannotRun("the nodes did not become ready")
            await asyncio.sleep(0.1)
        # As long as between the start of the machines and that of the traffic in a deployment.
        await asyncio.sleep(5)
        self.record.write(f"{len(self.machines)} nodes are ready")

    async def stop_all(self):
        for machine in self.machines:
            await machine.kill()


def main(folder, play, limit_s=110):
    """Plays a case and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    case = Case(folder)

    async def run():
        await case.store.start()
        try:
            return await asyncio.wait_for(play(case), limit_s)
        finally:
            await case.stop_all()

    code = 2
    try:
        held = asyncio.run(run())
        code = 0 if held else 1
        case.record.write("the rule held" if held else "THE RULE WAS BROKEN")
    except (CannotRun, TimeoutError, OSError) as error:
        case.record.write(f"the case could not run: {error!r}")
    if os.environ.get("KEEP_LOGS"):
        case.record.write(f"logs: {case.folder}")
    else:
        shutil.rmtree(case.folder, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)
