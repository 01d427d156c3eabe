"""Stand-ins and helpers for the cases 6 to 10: route workers, discovery, clients and the node's process.

The stand-ins run in the process of the test, on free loopback ports and the real clock. The node is the program of the
deploy file, started as a process of its own.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = "target/release/postproxy"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

LIMIT = 115
# Loopback addresses of this run's own, so that no connection of another program takes a port that was found free.
HOST = f"127.{64 + os.getpid() % 64}.{os.getpid() // 64 % 250 + 1}.{os.getpid() // 16000 % 250 + 1}"

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up, so that nothing was judged."""


class Record:
    """What was sent, answered and run, in order, for record.txt."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.began = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        self.lines.append(f"{self.now():8.3f}  {text}")

    def write(self, verdict):
        with open(self.path, "w") as out:
            out.write(f"TROUBLE={int(TROUBLE)}\n")
            out.write("\n".join(self.lines) + "\n")
            out.write(f"verdict: {verdict}\n")


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def free_address():
    return f"{HOST}:{free_port()}"


async def read_message(reader):
    """Reads one HTTP message; returns (first line, headers, body), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *fields = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for field in fields:
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


def message(first, fields, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """An HTTP server on a free loopback port, whose subclass answers the requests."""

    def __init__(self):
        self.address = None
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, HOST, port)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                answer = await self.handle(*request)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, first, headers, body):
        raise NotImplementedError


class Worker(Server):
    """A route worker. It answers 202, runs the job for `duration(job)` seconds (None: it hangs), and reports it by a
    callback, which it repeats until it is answered, at most ten times."""

    def __init__(self, name, record, node, duration, result=lambda job: "result of " + job["id"], tells_start=False,
                 progress=2.0):
        super().__init__()
        self.tells_start = tells_start
        self.progress = progress
        self.name = name
        self.record = record
        self.node = node
        self.duration = duration
        self.result = result
        self.jobs = []
        self.tasks = set()
        # Connections to the node that are kept for further calls.
        self.kept = []

    async def handle(self, first, headers, body):
        method, path, _ = first.split(" ")
        if method == "DELETE":
            job_id = path.rsplit("/", 1)[-1]
            self.record.add(f"worker {self.name}: DELETE of {job_id}")
            for job in self.jobs:
                if job["id"] == job_id and job["ended"] is None:
                    job["ended"] = "cancelled"
                    if job["task"] is not None:
                        job["task"].cancel()
            return message("HTTP/1.1 200 OK", [])
        if method != "POST" or "x-request-id" not in headers:
            return message("HTTP/1.1 404 Not Found", [])
        job = {"id": headers["x-request-id"], "key": headers.get("idempotency-key"), "path": path, "ended": None,
               "deadline": headers.get("x-deadline"), "at": self.record.now(), "task": None, "acknowledged": None}
        self.jobs.append(job)
        self.record.add(f"worker {self.name}: attempt of {job['id']} key={job['key']} path={path} "
                        f"X-Deadline={job['deadline']}: 202")
        job["task"] = asyncio.ensure_future(self.run(job))
        self.tasks.add(job["task"])
        return message("HTTP/1.1 202 Accepted", [])

    async def run(self, job):
        duration = self.duration(job)
        if duration is None:
            return
        if self.tells_start:
            await self.call_back(job, {"id": job["id"], "from": self.name, "state": "started"})
        until = time.monotonic() + duration
        while self.progress and (left := until - time.monotonic()) > self.progress:
            await asyncio.sleep(self.progress)
            share = round(1 - (until - time.monotonic()) / duration, 3)
            await self.call_back(job, {"id": job["id"], "from": self.name, "state": "running", "share": share})
        await asyncio.sleep(max(0.0, until - time.monotonic()))
        job["ended"] = "done"
        self.record.add(f"worker {self.name}: {job['id']} has run")
        await self.call_back(job, {"id": job["id"], "from": self.name, "state": "done", "result": self.result(job),
                                   "load": {"queue": 0, "eps": 0.0, "x0": 4}})

    async def call_back(self, job, body):
        data = message("POST /v1/job-events HTTP/1.1", [("Host", self.node)], json.dumps(body).encode())
        for _ in range(10):
            status = await self.call_once(data)
            self.record.add(f"worker {self.name}: callback {body['state']} of {body['id']}: answer {status}")
            if status in (200, 204):
                if body["state"] == "done":
                    job["acknowledged"] = self.record.now()
                return
            await asyncio.sleep(0.3)


    async def call_once(self, data):
        """Sends one call on a kept connection, or on a new one; returns the status, -1 if none came."""
        try:
            connection = self.kept.pop() if self.kept else await Connection.open(self.node)
            connection.send(data)
        except OSError:
            return -1
        status, fields, _ = await connection.answer(5.0)
        if status > 0 and fields.get("connection") != "close":
            self.kept.append(connection)
        else:
            connection.close()
        return status


class Discovery(Server):
    """Discovery with a list that does not change."""

    def __init__(self, workers, cells=None):
        super().__init__()
        self.members = [
            {"id": worker.name, "host_port": worker.address, "locality": "riga", "flavor": "std-4",
             "cell": (cells or {}).get(worker.name, 1), "phase": "in_service", "size": 1.0, "up_since_ms": 0}
            for worker in workers
        ]

    async def handle(self, first, headers, body):
        target = first.split(" ")[1]
        wait = 0
        if "timeout_ms=" in target:
            wait = int(target.split("timeout_ms=")[1].split("&")[0]) / 1000
        if "since=" in target:
            await asyncio.sleep(wait)
            answer = {"revision": 41, "complete": False, "members": []}
        else:
            answer = {"revision": 41, "complete": True, "members": self.members}
        return message("HTTP/1.1 200 OK", [("Content-Type", "application/json")], json.dumps(answer).encode())


class Connection:
    """A client's connection, which carries one request at a time."""

    opened = []

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.opened.append(self)

    @classmethod
    async def open(cls, address):
        host, port = address.split(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def send(self, data):
        self.writer.write(data)

    async def answer(self, timeout):
        """Returns (status, headers, body); the status is 0 if no answer came in time, -1 if the connection ended."""
        try:
            got = await asyncio.wait_for(read_message(self.reader), timeout)
        except asyncio.TimeoutError:
            return 0, {}, b""
        except OSError:
            return -1, {}, b""
        if got is None:
            return -1, {}, b""
        return int(got[0].split(" ")[1]), got[1], got[2]

    def close(self):
        self.writer.close()

    def reset(self):
        self.writer.transport.abort()


class Proxy(Server):
    """A path between a client and the node on which answers take `delay` seconds; what is on its way is lost when the
    node's side of the connection ends."""

    def __init__(self, target, delay):
        super().__init__()
        self.target = target
        self.delay = delay

    async def serve(self, reader, writer):
        host, port = self.target.split(":")
        try:
            node_reader, node_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        ended = asyncio.Event()

        async def forward():
            while data := await reader.read(65536):
                node_writer.write(data)
            node_writer.close()

        async def deliver(data):
            await asyncio.sleep(self.delay)
            if not ended.is_set():
                writer.write(data)

        async def back():
            try:
                while data := await node_reader.read(65536):
                    deliveries.append(asyncio.ensure_future(deliver(data)))
            except OSError:
                pass
            ended.set()
            writer.transport.abort()

        deliveries = []
        forwarding = asyncio.ensure_future(forward())
        try:
            await back()
        finally:
            forwarding.cancel()


async def request(address, method, path, fields, body=b"", timeout=10.0):
    """Sends one request on a connection of its own."""
    try:
        connection = await Connection.open(address)
    except OSError:
        return -1, {}, b""
    connection.send(message(f"{method} {path} HTTP/1.1", [("Host", "api.internal"), *fields], body))
    try:
        return await connection.answer(timeout)
    except OSError:
        return -1, {}, b""
    finally:
        connection.close()


def job(path, request_id, deadline, key=None, body=b"{}", fields=()):
    """The bytes of a client's request."""
    all_fields = [("Host", "api.internal"), ("X-Request-Id", request_id), ("X-Tenant", "baltvedums"),
                  ("X-Deadline", f"{deadline:.3f}")]
    if key is not None:
        all_fields.append(("Idempotency-Key", key))
    all_fields.extend(fields)
    return message(f"POST {path} HTTP/1.1", all_fields, body)


def settings(**changes):
    """The settings of a small deployment, in the form of the wire page's sample."""
    base = {
        "balancers": 1, "zone": 0, "tick": 0.002, "client-habits": {"marks-retry": True}, "discovery": "on_request",
        "dcs": ["riga"], "machine-types": ["std-4"],
        "orgs": [{"name": "baltvedums", "quota-per-s": 15.0, "share": 1.0}],
        "services": [
            {"name": "reroute", "effect": "token", "dedup-scope": "cell", "memory-span": 10.0, "aim": 0.25,
             "deadline": 6.0, "importance": 3.0, "late-value": 0.0},
            {"name": "day-plan", "effect": "side_effect", "dedup-scope": "all", "memory-span": 5.0, "aim": 0.5,
             "deadline": 12.0, "importance": 8.0, "late-value": 0.0},
        ],
        "limits": {"cancel": True, "conn-idle": 5.0, "dial-timeout": 0.25, "max-attempts": 3, "max-retry-after": 2.0,
                   "may-probe": False, "peers": False, "retry-after": True, "second-copies": True},
        "report": {"fields": ["backlog", "errors_per_s", "x0"], "via": "answers"},
        "rules": {"must-ask-in": 10.0, "drain-grace": 0.25, "answer-slack": 0.008, "cold": 23.0, "cold-from": 0.12,
                  "fall-multiple": 3.0, "tip-after": 2.0},
        "prices": {"cross-zone": 0.01, "handshake": 0.02, "late-fail": 0.05, "waste": 0.05},
        "extra": {"class-kind": [-1, -1], "class-priority": [0, 1], "class-stretch": [2.0, 2.5],
                  "report-x0": "free slots", "progress": 2.0, "tells-start": False, "queue-order": "fifo"},
    }
    for name, value in changes.items():
        name = name.replace("_", "-")
        if isinstance(value, dict):
            base[name] = {**base[name], **value}
        else:
            base[name] = value
    return base


def clients_listener():
    """The clients' listening socket of a node that is replaced while it serves."""
    listener = socket.socket()
    listener.bind((HOST, 0))
    listener.listen(1024)
    return listener, "{}:{}".format(*listener.getsockname())


class Node:
    """A process of a node."""

    def __init__(self, folder, record, name, discovery, node_settings, operator=None, listen=None, mgmt=None,
                 listener=None):
        self.folder = folder
        self.record = record
        self.name = name
        self.listen = listen or free_address()
        self.mgmt = mgmt or free_address()
        self.config = os.path.join(folder, f"{name}.json")
        self.discovery = discovery
        self.log = open(os.path.join(folder, f"{name}.log"), "ab")
        self.operator = None
        self.process = None
        # The clients' listening socket, which the platform holds on days with an upgrade.
        self.listener = listener
        with open(self.config, "w") as out:
            json.dump({"name": name, "listen": self.listen, "discovery": discovery, "mgmt": self.mgmt,
                       "seed": "8c1f30d27a5be964",
                       "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": node_settings}, out)
        if operator is not None:
            self.operator = os.path.join(folder, f"{name}.operator.json")
            with open(self.operator, "w") as out:
                json.dump(operator, out)

    async def start(self, ready=True):
        command = f"exec {PROGRAM}"
        if self.operator is not None:
            command += f" serve --operator '{self.operator}'"
        temporary = os.path.join(self.folder, f"{self.name}.tmp")
        os.makedirs(temporary, exist_ok=True)
        environment = {"PATH": os.environ.get("PATH", ""), "RELAY_CONFIG": self.config, "TMPDIR": temporary}
        inherited = ()
        if self.listener is not None:
            inherited = (self.listener.fileno(),)
            environment["RELAY_SOCKET_FD"] = str(self.listener.fileno())
            environment["RELAY_MGMT"] = self.mgmt
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log,
            stdin=asyncio.subprocess.DEVNULL, pass_fds=inherited)
        self.record.add(f"node {self.name}: started, process {self.process.pid}")
        if ready:
            await self.wait_ready()

    async def wait_ready(self, seconds=15.0):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CannotRun(f"node {self.name} ended with {self.process.returncode}")
            status, _, _ = await request(self.listen, "GET", "/-/ready", [], timeout=1.0)
            if status == 200:
                self.record.add(f"node {self.name}: ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"node {self.name} is not ready after {seconds} s")

    async def call(self, method, path):
        """Calls the second address; the caller waits for 1 s."""
        status, _, body = await request(self.mgmt, method, path, [], timeout=1.0)
        self.record.add(f"process {self.process.pid}: {method} {path}: answer {status} {body!r}")
        return status

    async def wait_yes(self, seconds=6.0):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            status, _, _ = await request(self.mgmt, "GET", "/v1/readyz", [], timeout=1.0)
            if status == 200 and self.process.returncode is None:
                self.record.add(f"process {self.process.pid}: yes at its /v1/readyz")
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"process {self.process.pid} gave no yes within {seconds} s")

    async def kill(self):
        self.record.add(f"node {self.name}, process {self.process.pid}: SIGKILL")
        self.process.kill()
        await self.process.wait()

    def signal(self, number):
        self.record.add(f"node {self.name}, process {self.process.pid}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.log.close()


def main(folder, case):
    """Runs a case: an async function of (record, temporary folder, list of nodes) that returns the list of breaches."""
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="review-")
    nodes = []

    async def run():
        try:
            return await asyncio.wait_for(case(record, temporary, nodes), LIMIT)
        finally:
            for node in nodes:
                await node.end()
            for connection in Connection.opened:
                connection.writer.transport.abort()
            await asyncio.sleep(0.05)

    try:
        if not os.access(os.path.join(ROOT, PROGRAM), os.X_OK):
            raise CannotRun("the program is not built")
        breaches = asyncio.run(run())
    except Exception as error:  # whatever prevents a verdict is no verdict
        record.write(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        if os.environ.get("KEEP"):
            print(temporary)
        return CANNOT_RUN
    finally:
        if not os.environ.get("KEEP"):
            shutil.rmtree(temporary, ignore_errors=True)
    for breach in breaches:
        record.add(f"BROKEN: {breach}")
    verdict = "broken" if breaches else "held"
    record.write(verdict)
    print(verdict, *breaches, sep="\n  ")
    return BROKEN if breaches else HELD


def run_case(case_file, case):
    sys.exit(main(os.path.dirname(os.path.abspath(case_file)), case))
