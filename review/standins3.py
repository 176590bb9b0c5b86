"""Stand-ins for the third review: the platform's store, an endpoint, requesters and the platform that starts nodes.

Python 3.11 or later, standard library only. Each node has a loopback address of its own (127.x.y.z), so
that the ports of the deploy file's template can be the same on all of them.
"""

import asyncio
import base64
import json
import logging
import os
import re
import signal
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "shop.example"
STARTED = time.monotonic()
# A peer that has closed its connection is no news here.
logging.getLogger("asyncio").setLevel(logging.ERROR)


def now():
    """Seconds since the script started."""
    return time.monotonic() - STARTED


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, folder):
        self.lines = []
        self.path = os.path.join(folder, "record.txt")

    def add(self, text):
        self.lines.append(f"{now():8.3f} {text}")

    def write(self):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")


# HTTP/1.1


async def read_head(reader):
    """Reads the head of a message: its first line and its headers, with names in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *rest = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def encode(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    if "Content-Length" not in headers and "Transfer-Encoding" not in headers:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Answer:
    """The answer to one request of a caller: a status, or the reason why there is none."""

    def __init__(self, status, headers=None, body=b""):
        self.status = status
        self.headers = headers or {}
        self.body = body


async def send_request(address, method, path, headers, body=b"", timeout=30.0):
    """Sends one request on a connection of its own and returns its answer."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
            first, answered = await read_head(reader)
            return Answer(int(first.split()[1]), answered, await read_body(reader, answered))
    except (OSError, EOFError, ValueError, TimeoutError, asyncio.IncompleteReadError) as error:
        return Answer(f"no answer ({type(error).__name__})")
    finally:
        if writer is not None:
            writer.close()


# The store


class Store:
    """The platform's store: rows, the feed and transactions, as PROTOCOL.md has them."""

    def __init__(self):
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = asyncio.Event()
        # Called with the body of each transaction; returns how many seconds later it is done, without an
        # answer; None for a transaction that is done and answered at once.
        self.lose = lambda body: None
        self.lost = 0

    async def start(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0, limit=1 << 24)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def put(self, table, key, value):
        """Writes a row as the operator does; the return is the acknowledgement."""
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.apply({"writes": [{"table": table, "part": "", "key": key, "value": base64.b64encode(text).decode()}]})

    def read(self, table, key):
        row = self.rows.get((table, "", key))
        return None if row is None else json.loads(base64.b64decode(row["value"]))

    def apply(self, body):
        """Applies a transaction; returns the status and the answer."""
        expected = [((e["table"], e["part"], e["key"]), e["ver"]) for e in body.get("expect", [])]
        if any(self.rows.get(name, {"ver": 0})["ver"] != ver for name, ver in expected):
            rows = [self.rows[name] for name, _ in expected if name in self.rows]
            return 412, {"rows": rows, "ver": self.version, "nowMs": int(now() * 1000)}
        self.version += 1
        for write in body.get("writes", []):
            row = {**{n: write[n] for n in ("table", "part", "key", "value")}, "ver": self.version}
            self.rows[(row["table"], row["part"], row["key"])] = row
            self.history.append(row)
        for name in body.get("remove", []):
            if self.rows.pop((name["table"], name["part"], name["key"]), None):
                row = {n: name[n] for n in ("table", "part", "key")}
                self.history.append({**row, "ver": self.version, "deleted": True})
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, {"ver": self.version, "nowMs": int(now() * 1000)}

    async def answer(self, path, query, body):
        if path == "/-/rows-get":
            low, high = query.get("from", ""), query.get("target", "\U0010ffff")
            rows = [
                row
                for (table, part, key), row in sorted(self.rows.items())
                if table == query["table"] and part == query.get("part", "") and low <= key < high
            ]
            limit = int(query.get("limit", 500))
            return 200, {"rows": rows[:limit], "hasMore": len(rows) > limit, "ver": self.version, "nowMs": int(now() * 1000)}
        if path == "/-/rows-feed":
            after, end = int(query["after"]), now() + int(query.get("waitMs", 0)) / 1000
            while True:
                rows = [r for r in self.history if r["table"] == query["table"] and r["ver"] > after]
                left = end - now()
                if rows or left <= 0:
                    return 200, {"rows": rows, "ver": self.version, "nowMs": int(now() * 1000)}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass
        if path == "/-/rows-tx":
            return self.apply(json.loads(body))
        return 404, {}

    async def apply_late(self, delay, body):
        await asyncio.sleep(delay)
        self.apply(body)

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                path, _, query = first.split()[1].partition("?")
                query = dict(pair.split("=", 1) for pair in query.split("&") if pair)
                query = {name: unquote(value) for name, value in query.items()}
                if path == "/-/rows-tx":
                    delay = self.lose(json.loads(body))
                    if delay is not None:
                        self.lost += 1
                        self.late = asyncio.create_task(self.apply_late(delay, json.loads(body)))
                        await asyncio.sleep(delay + 30)
                        return
                status, answer = await self.answer(path, query, body)
                await asyncio.sleep(0.004)
                answer = json.dumps(answer).encode()
                writer.write(encode(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"}, answer))
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def unquote(text):
    text = text.replace("+", " ")
    return re.sub(r"%([0-9A-Fa-f]{2})", lambda m: chr(int(m.group(1), 16)), text)


# Endpoints


class Endpoint:
    """An application endpoint beside a node. Subclasses change what it answers."""

    def __init__(self, record, service, ident, slots=8, version="v1"):
        self.record, self.service, self.ident, self.slots, self.version = record, service, ident, slots, version
        self.running = 0
        self.runs = {}
        self.state = "ready"
        self.seq = 0
        self.born = int(time.time() * 1000)

    async def start(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0, limit=1 << 24)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"

    async def beat(self, control, period=0.5):
        """Sends heartbeats until it is cancelled."""
        while True:
            self.seq += 1
            body = {
                "address": self.address,
                "born": self.born,
                "info": {"service": self.service, "version": self.version, "zone": "addis-a", "slots": self.slots},
                "status": {"state": self.state, "seq": self.seq, "coldLeftMs": 0},
            }
            headers = {"Host": control, "Content-Type": "application/json"}
            path = f"/-/instances/{self.ident}"
            await send_request(control, "PUT", path, headers, json.dumps(body).encode(), timeout=1.0)
            await asyncio.sleep(period)

    async def work(self, headers):
        """Runs a request: returns its status and its answer."""
        await asyncio.sleep(0.03)
        return 200, f"run by {self.ident}".encode()

    def proof(self):
        """Further headers of an answer."""
        return {}

    async def after(self, writer, ident):
        """Called once an answer has been written."""

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self.handle(first, headers, body, writer)
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, first, headers, body, writer):
        load = {"Server-Load": f"{self.running},0,{self.slots}"}
        if first.split()[1] == "/healthz":
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            writer.write(encode(f"HTTP/1.1 {status}", {"Instance-Id": self.ident, **load}))
            return await writer.drain()
        ident = headers.get("request-id")
        if headers.get("target-instance", self.ident) != self.ident:
            writer.write(encode("HTTP/1.1 421 Misdirected Request", {"Instance-Id": self.ident}))
            return await writer.drain()
        self.running += 1
        self.runs[ident] = self.runs.get(ident, 0) + 1
        self.record.add(f"run       {ident} by {self.ident}, run {self.runs[ident]} of it here")
        try:
            status, text = await self.work(headers)
        finally:
            self.running -= 1
        proof = {"Request-Id": ident, "Response-Signature": f"3e1b.{ident}.{len(text)}", **load, **self.proof()}
        writer.write(encode(f"HTTP/1.1 {status} X", proof, text))
        await writer.drain()
        await self.after(writer, ident)


# Nodes


def render(template, values):
    return re.sub(r"\{\{([A-Za-z0-9.]+)\}\}", lambda m: str(lookup(values, m.group(1))), template)


def lookup(values, path):
    for name in path.split("."):
        values = values[int(name)] if isinstance(values, list) else values[name]
    return values


BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 4000, "ackMs": 5000, "catchUpS": 6, "drainMs": 3000,
    "graceS": 6, "lossSlackMs": 200, "configMs": 3000, "rollbackSlackMs": 250, "maxSkewMs": 5000,
    "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 158, "exposureShare": 0.1,
    "exposureSlack": 50, "rollbackMs": 5000, "recoveryS": 15,
}


class Node:
    """A node process, started with the command and the template of the deploy file."""

    def __init__(self, folder, name, host, zone, service, app, store, bounds=None, memory_mb=260):
        self.name, self.folder = name, folder
        ports = free_ports(host, 6)
        listen = dict(zip(("outbound", "inbound", "ready", "control"), (f"{host}:{p}" for p in ports)))
        self.values = {
            "node": name, "ip": host, "zone": zone, "region": zone.rsplit("-", 1)[0], "service": service,
            "appAddr": app, "heartbeatMs": 500, "listen": listen, "portRange": ports[4:6],
            "provider": {"address": store}, "limits": {"memoryMb": memory_mb, "maxFds": 4100},
            "bounds": json.dumps(BOUNDS if bounds is None else bounds, separators=(",", ":")),
        }
        self.outbound, self.control, self.ready = listen["outbound"], listen["control"], listen["ready"]
        self.process = None

    async def start(self):
        with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
            deploy = file.read()
        command = re.search(r'^run = "(.*)"$', deploy, re.M).group(1).split(" ")
        with open(os.path.join(ROOT, "deploy/node.toml"), encoding="utf-8") as file:
            settings = render(file.read(), self.values)
        path = os.path.join(self.folder, f"{self.name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        command = [command[0]] + [render(word, self.values) for word in command[1:]]
        environment = {"AGATEDECK_BOOT": path, "PATH": os.environ.get("PATH", "")}
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()

    def send_signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    async def wait_ready(self, limit=20.0):
        end = now() + limit
        while now() < end:
            answer = await send_request(self.ready, "GET", "/-/ready", {"Host": self.ready}, timeout=1.0)
            if answer.status == 200:
                return True
            await asyncio.sleep(0.1)
        return False


def free_ports(host, count):
    import socket

    sockets = []
    while len(sockets) < count:
        sock = socket.socket()
        sock.bind((host, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def service_config(name):
    return {"name": name, "healthPath": "/healthz", "maxConnections": 130, "protocol": "h1", "tls": False}


def route_config(name, prefix, kind, service, timeout_ms=3000, attempts=2):
    return {
        "name": name, "hostname": HOST, "prefix": prefix, "kind": kind, "timeoutMs": timeout_ms,
        "targetLatencyMs": 800, "priority": 0, "service": service, "retryAttempts": attempts, "public": False,
    }


LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


def config(version, routes, services):
    return {"version": version, "routes": routes, "services": [service_config(s) for s in services], "limits": LIMITS}


class Unable(Exception):
    """The case could not run."""


def run_case(folder, case):
    """Runs a case: `case(record, folder of the nodes, whether there is trouble)` returns whether the rule held."""

    async def main():
        record = Record(folder)
        trouble = os.environ.get("TROUBLE", "1") != "0"
        with tempfile.TemporaryDirectory() as nodes:
            try:
                async with asyncio.timeout(110):
                    held = await case(record, nodes, trouble)
            # Whatever goes wrong in the script itself is no broken rule.
            except Exception as error:
                record.add(f"the case could not run: {error!r}")
                record.write()
                return 2
            finally:
                if os.environ.get("KEEP_LOGS"):
                    os.system(f"cp -r {nodes} {os.environ['KEEP_LOGS']}")
            record.add("the rule held" if held else "the rule was broken")
            record.write()
            return 0 if held else 1

    sys.exit(asyncio.run(main()))
