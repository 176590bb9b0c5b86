"""Stand-ins for the users' platform, for the scripts of the second review.

A deployment on loopback addresses: a metadata store, machines with an endpoint and a node process
each, and requesters. The nodes are the project's own program, started with the command and the
settings template of the deploy file. Everything follows PROTOCOL.md and DEPLOY.md of the users.
Only the standard library is used.
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
import subprocess
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# Bounds of the small site that the scripts are set up like (sites/abebe-glow.toml).
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250,
    "maxSkewMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 64,
    "recoveryS": 15,
}
STABLE_WINDOW_S = BOUNDS["stableWindowMs"] / 1000
GRACE_S = BOUNDS["graceS"]
HEARTBEAT_S = 1.5
HEALTH_PATH = "/healthz"


class Record:
    """Writes what happens to the file `record.txt`, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {event} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Reads the head and the body of one HTTP/1.1 message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


def format_answer(status, reason, headers, body=b""):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def exchange(address, method, path, headers, body=b"", timeout_s=5.0):
    """Sends one request on a new connection. Returns (status, headers, body), or None without an
    answer."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            message = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return None
    first, answer_headers, answer_body = message
    return int(first.split()[1]), answer_headers, answer_body


class Store:
    """The platform's metadata store: rows, transactions and the feed."""

    def __init__(self, address):
        self.address = address
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = asyncio.Condition()

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def write(self, table, key, value):
        """Writes a row as the operator does."""
        await self.apply([((table, "", key), base64.b64encode(value).decode())], [])

    async def apply(self, writes, removed):
        async with self.changed:
            self.version += 1
            for name, value in writes:
                self.rows[name] = (value, self.version)
                self.history.append((name, value, self.version))
            for name in removed:
                if self.rows.pop(name, None) is not None:
                    self.history.append((name, None, self.version))
            self.changed.notify_all()

    @staticmethod
    def row(name, value, version):
        table, part, key = name
        row = {"table": table, "part": part, "key": key, "ver": version}
        row |= {"deleted": True} if value is None else {"value": value}
        return row

    def state(self):
        return {"ver": self.version, "nowMs": int(time.monotonic() * 1000)}

    async def transact(self, body):
        def name(row):
            return row["table"], row.get("part", ""), row["key"]

        expected = [(name(row), row["ver"]) for row in body.get("expect", [])]
        if any(self.rows.get(key, ("", 0))[1] != ver for key, ver in expected):
            rows = [self.row(key, *self.rows[key]) for key, _ in expected if key in self.rows]
            return 412, {"rows": rows} | self.state()
        names = [name(row) for row in body.get("writes", []) + body.get("remove", [])]
        if any(table in ("op", "servers") for table, _, _ in names):
            return 403, {}
        writes = [(name(row), row["value"]) for row in body.get("writes", [])]
        await self.apply(writes, [name(row) for row in body.get("remove", [])])
        return 200, self.state()

    def read(self, query):
        table, part = query["table"], query.get("part", "")
        limit = min(int(query.get("limit", 500)), 500)
        start, end = query.get("from", ""), query.get("target")
        names = sorted(
            name for name in self.rows
            if name[:2] == (table, part) and name[2] >= start and (end is None or name[2] < end)
        )
        rows = [self.row(name, *self.rows[name]) for name in names[:limit]]
        return 200, {"rows": rows, "hasMore": len(names) > limit} | self.state()

    async def feed(self, query):
        after, wait_s = int(query["after"]), min(int(query.get("waitMs", 0)), 30000) / 1000

        def rows():
            found = [entry for entry in self.history if entry[2] > after]
            return [self.row(*entry) for entry in found if entry[0][0] == query["table"]]

        try:
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(rows)
        except TimeoutError:
            pass
        return 200, {"rows": rows()} | self.state()

    async def answer(self, method, target, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        await asyncio.sleep(0.004)
        match method, url.path:
            case "POST", "/-/rows-tx":
                return await self.transact(json.loads(body))
            case "GET", "/-/rows-get":
                return self.read(query)
            case "GET", "/-/rows-feed":
                return await self.feed(query)
        return 404, {}

    async def serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                method, target, _ = message[0].split()
                status, answer = await self.answer(method, target, message[2])
                headers = {"Content-Type": "application/json"}
                writer.write(format_answer(status, "-", headers, json.dumps(answer).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Endpoint:
    """One application endpoint. Each start is a new boot with a new id."""

    SLOTS = 12
    QUEUE = 48
    # Time from the start of a request that crashes the endpoint to the crash.
    crash_after_s = 0.02
    # Whether a request is dropped when its connection closes.
    drops = True

    def __init__(self, record, service, zone, address, heartbeat_address, crashes, work_s=0.16):
        self.record, self.service, self.zone = record, service, zone
        self.address, self.heartbeat_address = address, heartbeat_address
        # Whether a request crashes the endpoint: a function of path, caller and body.
        self.crashes = crashes
        self.work_s = work_s
        self.transports = set()
        self.id = None

    async def boot(self):
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.slots = asyncio.Semaphore(self.SLOTS)
        self.running, self.waiting = {}, 0
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.beats = asyncio.create_task(self.send_heartbeats())
        self.record.write("boot", endpoint=self.id, service=self.service, address=self.address)

    async def crash(self, down_s):
        """Ends at once: all connections are reset, and the port refuses connections until the next
        boot."""
        lost = [request for request in self.running]
        self.record.write("crash", endpoint=self.id, running=",".join(lost))
        self.beats.cancel()
        self.server.close()
        for transport in list(self.transports):
            transport.abort()
        self.running = {}
        await asyncio.sleep(down_s)
        await self.boot()

    async def send_heartbeats(self):
        while True:
            self.sequence += 1
            body = {
                "address": self.address, "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone,
                         "slots": self.SLOTS},
                "status": {"state": "ready", "seq": self.sequence, "coldLeftMs": 0},
            }
            headers = {"Host": self.heartbeat_address, "Content-Type": "application/json"}
            path = f"/-/instances/{self.id}"
            body = json.dumps(body).encode()
            await exchange(self.heartbeat_address, "PUT", path, headers, body, timeout_s=1.0)
            await asyncio.sleep(HEARTBEAT_S)

    def load(self):
        return f"{len(self.running)},{self.waiting},{self.SLOTS}"

    async def answer(self, message, boot):
        (method, path, _), headers, body = message[0].split(), message[1], message[2]
        if path == HEALTH_PATH:
            health = {"Instance-Id": self.id, "Server-Load": self.load()}
            return format_answer(200, "OK", health)
        request = headers.get("request-id")
        if request is None:
            return format_answer(400, "Bad Request", {"Not-Executed": 1})
        if headers.get("target-instance", self.id) != self.id:
            return format_answer(421, "Misdirected", {"Instance-Id": self.id, "Request-Id": request})
        if self.waiting >= self.QUEUE:
            return format_answer(503, "Full", {"Not-Executed": 1, "Request-Id": request})
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        caller = headers.get("caller-service", "")
        self.running[request] = path
        self.record.write("run", request=request, endpoint=self.id, service=self.service,
                          address=self.address, path=path, caller=caller)
        try:
            if self.crashes(path, caller, body):
                await asyncio.sleep(self.crash_after_s)
                if self.id == boot:
                    asyncio.get_running_loop().create_task(self.crash(random.uniform(1.5, 2.5)))
                await asyncio.sleep(60)
            await asyncio.sleep(random.uniform(0.8, 1.2) * self.work_s)
        finally:
            self.running.pop(request, None)
            self.slots.release()
        signature = f"{random.getrandbits(32):08x}"
        answer = {"Request-Id": request, "Response-Signature": signature,
                  "Server-Load": self.load()}
        return format_answer(200, "OK", answer, b"done " + request.encode())

    async def serve(self, reader, writer):
        boot, transport = self.id, writer.transport
        self.transports.add(transport)
        try:
            while message := await read_message(reader):
                answer = asyncio.create_task(self.answer(message, boot))
                closed = asyncio.create_task(self.wait_for_close(reader, transport))
                await asyncio.wait({answer, closed}, return_when=asyncio.FIRST_COMPLETED)
                closed.cancel()
                if not answer.done() or self.id != boot:
                    # The connection is closed.
                    if self.drops or self.id != boot:
                        answer.cancel()
                    else:
                        await answer
                    return
                writer.write(answer.result())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.transports.discard(transport)
            writer.close()

    @staticmethod
    async def wait_for_close(reader, transport):
        while not reader.at_eof() and not transport.is_closing():
            await asyncio.sleep(0.02)


def render(text, fields):
    """Fills in the placeholders of the deploy file that agatedeck uses."""
    def value(match):
        entry = fields
        for name in match.group(1).split("."):
            entry = entry[int(name)] if isinstance(entry, list) else entry[name]
        return json.dumps(entry, separators=(",", ":")) if isinstance(entry, dict) else str(entry)

    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", value, text)


class Machine:
    """A machine with one endpoint and one node process."""

    def __init__(self, deployment, index, zone, region, service):
        self.deployment, self.zone, self.service = deployment, zone, service
        self.name = f"sidecar-{zone}-{index}"
        self.ip = f"{deployment.network}.{index}"
        port = deployment.port
        self.fields = {
            "node": self.name, "region": region, "zone": zone, "ip": self.ip, "service": service,
            "listen": {"inbound": f"{self.ip}:{port}", "outbound": f"{self.ip}:{port + 4}",
                       "ready": f"{self.ip}:{port + 2}", "control": f"{self.ip}:{port + 6}"},
            "portRange": [port + 20, port + 35], "heartbeatMs": int(HEARTBEAT_S * 1000),
            "appAddr": f"{self.ip}:{port + 1}", "bounds": BOUNDS,
            "provider": {"address": deployment.store.address},
        }
        self.settings_path = os.path.join(deployment.directory, f"{self.name}.toml")
        self.process = None
        self.disturbed_until = None
        # Spans in which the bench's rules count the machine as disturbed.
        self.disturbances = []
        self.endpoint = Endpoint(
            deployment.record, service, zone, self.fields["appAddr"],
            self.fields["listen"]["control"], deployment.crashes)

    @property
    def outbound(self):
        return self.fields["listen"]["outbound"]

    def start_node(self):
        with open(os.path.join(REPOSITORY, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["node"]
        with open(os.path.join(REPOSITORY, role["template"]), encoding="utf-8") as file:
            settings = render(file.read(), self.fields)
        with open(self.settings_path, "w", encoding="utf-8") as file:
            file.write(settings)
        command = [render(word, self.fields) for word in role["run"].split()]
        inherited = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                     if name in os.environ}
        log = open(os.path.join(self.deployment.directory, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(
            command, cwd=REPOSITORY, env=inherited | {"AGATEDECK_BOOT": self.settings_path},
            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        now = self.deployment.record.now()
        if self.disturbances and self.disturbances[-1][1] is None:
            self.disturbances[-1] = (self.disturbances[-1][0], now)
        else:
            self.disturbances.append((now, now))
        self.deployment.record.write("node-start", machine=self.name, pid=self.process.pid)

    async def stop_node(self):
        """SIGTERM, and SIGKILL after the grace period."""
        self.disturbances.append((self.deployment.record.now(), None))
        self.deployment.record.write("node-sigterm", machine=self.name)
        process = self.process
        process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + GRACE_S
        while process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            process.kill()
        process.wait()
        self.deployment.record.write("node-end", machine=self.name, code=process.returncode)

    async def restart_node(self):
        await self.stop_node()
        await asyncio.sleep(0.2)
        self.start_node()

    def in_touch(self, at):
        """Whether the machine was without disturbance for the whole stable window before `at`. The
        store is without disturbance all the while."""
        return all(start > at or (end is not None and end <= at - STABLE_WINDOW_S)
                   for start, end in self.disturbances)

    async def is_ready(self):
        answer = await exchange(self.fields["listen"]["ready"], "GET", "/-/ready",
                                {"Host": self.ip}, timeout_s=1.0)
        return answer is not None and answer[0] == 200


class Deployment:
    """A small deployment: one region per pair of zones, machines in turn over zones and services."""

    ZONES = [("addis-a", "addis"), ("dire-a", "dire"), ("bahir-a", "bahir"),
             ("addis-b", "addis"), ("dire-b", "dire"), ("bahir-b", "bahir")]

    def __init__(self, record, services, crashes=lambda path, caller, body: False):
        self.record, self.crashes = record, crashes
        self.directory = tempfile.mkdtemp(prefix="agatedeck-review-")
        self.network, self.port = self.free_network()
        self.store = Store(f"{self.network}.250:{self.port + 9}")
        self.config_version = 0
        self.machines = [
            Machine(self, index + 1, *self.ZONES[index % len(self.ZONES)], service)
            for index, service in enumerate(services)
        ]

    @staticmethod
    def free_network():
        for _ in range(50):
            network = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
            port = random.randrange(20000, 30000, 50)
            try:
                for offset in (0, 1, 2, 4, 6, 9, 20, 35):
                    with socket.socket() as listener:
                        listener.bind((f"{network}.1", port + offset))
                return network, port
            except OSError:
                continue
        raise RuntimeError("no free ports")

    async def configure(self, routes, services):
        """Writes a configuration as the operator does."""
        self.config_version += random.randrange(1, 4)
        config = {
            "version": self.config_version, "routes": routes,
            "services": [{"name": name, "healthPath": HEALTH_PATH, "maxConnections": 130,
                          "protocol": "h1", "tls": False} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        }
        await self.store.write("op", "config", json.dumps(config).encode())
        self.record.write("config", version=self.config_version)

    async def start(self, routes, services):
        await self.store.start()
        await self.configure(routes, services)
        for machine in self.machines:
            await machine.endpoint.boot()
            machine.start_node()
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            if all([await machine.is_ready() for machine in self.machines]):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the nodes do not become ready")

    def machines_of(self, service):
        return [machine for machine in self.machines if machine.service == service]

    async def call(self, machine, method, path, host, body=b"", deadline_ms=2000, label="",
                   leave_after_s=None):
        """One requester attempt on a new connection. Returns (id, time of sending, status); the
        status is 0 without an answer. The requester leaves after `leave_after_s`."""
        request = f"{random.getrandbits(64):016x}"
        headers = {"Host": host, "Request-Id": request, "Deadline-Ms": deadline_ms}
        sent_at = self.record.now()
        self.record.write("send", request=request, machine=machine.name, path=path, label=label)
        answer = await exchange(machine.outbound, method, path, headers, body,
                                timeout_s=leave_after_s or deadline_ms / 1000 + 1)
        status = answer[0] if answer else 0
        self.record.write("answer", request=request, status=status, label=label)
        return request, sent_at, status

    def stop(self):
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.directory}")
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def route(name, host, prefix, kind, service, attempts, timeout_ms=1500):
    """A route of the operator's configuration. `service` is a name, or a list of names with equal
    weights."""
    entry = {"name": name, "hostname": host, "prefix": prefix, "kind": kind,
             "timeoutMs": timeout_ms, "targetLatencyMs": 500, "priority": 1,
             "retryAttempts": attempts}
    if isinstance(service, list):
        entry["trafficSplit"] = [{"service": part, "weight": 100 // len(service)}
                                 for part in service]
    else:
        entry["service"] = service
    return entry
