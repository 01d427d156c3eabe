"""Stand-ins for the cases in review/: discovery, route workers and clients, and the start and the
end of the project's own program. Standard library only; every address is in 127.0.0.0/8."""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

HOST = "127.0.0.1"
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run: neither kept nor broken."""


class Record:
    """Writes record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def line(self, who, text):
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{self.now():9.3f}  {who:<12} {text}\n")
                self.file.flush()


GIVEN_PORTS = set()


def free_port():
    """A port that is free for TCP and UDP and that this run has not given before."""
    while True:
        with socket.socket() as probe, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            probe.bind((HOST, 0))
            port = probe.getsockname()[1]
            try:
                datagrams.bind((HOST, port))
            except OSError:
                continue
        if port not in GIVEN_PORTS:
            GIVEN_PORTS.add(port)
            return port


def listen(port=0):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    listener.listen(256)
    return listener


class Message:
    """An HTTP message: its first line, its header fields in lower case, and its body."""

    def __init__(self, first, fields, body):
        self.first = first
        self.fields = fields
        self.body = body

    @property
    def status(self):
        return int(self.first.split(" ")[1])


class Stream:
    """Reads HTTP messages with Content-Length from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def _more(self):
        chunk = self.sock.recv(65536)
        if not chunk:
            return False
        self.buffer += chunk
        return True

    def read(self):
        """Returns the next message; None at the end of the connection."""
        while b"\r\n\r\n" not in self.buffer:
            if not self._more():
                return None
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        size = int(fields.get("content-length", "0"))
        while len(self.buffer) < size:
            if not self._more():
                return None
        body, self.buffer = self.buffer[:size], self.buffer[size:]
        return Message(lines[0], fields, body)


def response(status, body=b"", fields=()):
    words = {200: "OK", 202: "Accepted", 404: "Not Found", 400: "Bad Request"}
    head = [f"HTTP/1.1 {status} {words.get(status, 'Status')}"]
    head += [f"{name}: {value}" for name, value in fields]
    head += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(head).encode() + body


def serve(listener, handle):
    """Serves each connection on a thread: handle(message) returns the bytes of the response, or
    None to close the connection."""

    def connection(sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = Stream(sock)
        try:
            while True:
                message = stream.read()
                if message is None:
                    return
                answer = handle(message)
                if answer is None:
                    return
                sock.sendall(answer)
        except OSError:
            pass
        finally:
            sock.close()

    def accept():
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=connection, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


class Discovery:
    """Discovery with a list that does not change. `delay` is the time that an answer takes."""

    def __init__(self, members, delay=0.0):
        self.members = members
        self.delay = delay
        self.revision = 1
        self.listener = listen()
        self.address = "%s:%d" % self.listener.getsockname()
        serve(self.listener, self.handle)

    def full_list(self):
        return {"revision": self.revision, "complete": True, "members": self.members}

    def handle(self, message):
        target = message.first.split(" ")[1]
        path, _, query = target.partition("?")
        if path != "/api/targets":
            return response(404)
        time.sleep(self.delay)
        values = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        if int(values.get("since", "-1")) == self.revision:
            time.sleep(min(int(values.get("timeout_ms", "0")), 60000) / 1000.0)
            body = {"revision": self.revision, "complete": False, "members": []}
        else:
            body = self.full_list()
        return response(200, json.dumps(body).encode())


class Worker:
    """A route worker: answers 202, runs the job, and reports `done` at the node's address until
    that is answered, ten times at most.

    `plan(worker, message)` says what happens to a job: a dict with `run` (seconds of running),
    `before` (seconds until the 202) or `silent` (takes the job, starts it, never reports). A cancel
    stops a job that has not been reported, if `stops_running` is set.
    """

    def __init__(self, record, name, plan, cell=1, stops_running=False):
        self.record = record
        self.name = name
        self.plan = plan
        self.cell = cell
        self.stops_running = stops_running
        self.callback = None
        self.repeat_seconds = 0.3
        self.cancelled = set()
        self.runs = []  # (time, id, Idempotency-Key, target, body)
        self.lock = threading.Lock()
        self.listener = listen()
        self.address = "%s:%d" % self.listener.getsockname()
        serve(self.listener, self.handle)

    def member(self):
        return {"id": self.name, "host_port": self.address, "locality": "riga", "flavor": "std-4",
                "cell": self.cell, "phase": "in_service", "size": 1.0, "up_since_ms": 0}

    def handle(self, message):
        method, target, _ = message.first.split(" ", 2)
        if method == "DELETE":
            job = target.rpartition("/")[2]
            with self.lock:
                self.cancelled.add(job)
            self.record.line(self.name, f"cancel of {job}")
            return response(200)
        job = message.fields.get("x-request-id")
        if method != "POST" or job is None:
            return response(404)
        plan = self.plan(self, message)
        time.sleep(plan.get("before", 0.0))
        key = message.fields.get("idempotency-key")
        with self.lock:
            self.runs.append((self.record.now(), job, key, target, message.body))
        deadline = message.fields.get("x-deadline")
        self.record.line(self.name, f"runs {job} key={key} deadline={deadline} "
                                    f"body={len(message.body)} bytes")
        if not plan.get("silent"):
            threading.Thread(target=self.run, args=(job, plan.get("run", 0.05)),
                             daemon=True).start()
        return response(202)

    def run(self, job, seconds):
        time.sleep(seconds)
        with self.lock:
            if self.stops_running and job in self.cancelled:
                return
        self.report({"id": job, "from": self.name, "state": "done", "result": "result of " + job})

    def report(self, event, node=None):
        body = json.dumps(event).encode()
        for _ in range(10):
            try:
                status = post(node or self.callback, "/v1/job-events", body, timeout=2.0)
                self.record.line(self.name, f"reports {event['state']} of {event['id']}: {status}")
                if status in (200, 204):
                    return
            except OSError as error:
                self.record.line(self.name, f"report of {event['id']} not answered: {error}")
            time.sleep(self.repeat_seconds)


def post(address, path, body, timeout):
    host, _, port = address.partition(":")
    with socket.create_connection((host, int(port)), timeout=timeout) as sock:
        sock.sendall(request_bytes(path, body, {"Connection": "close"}))
        answer = Stream(sock).read()
        if answer is None:
            raise OSError("closed without an answer")
        return answer.status


def request_bytes(path, body, fields, method="POST"):
    head = [f"{method} {path} HTTP/1.1", "Host: api.internal"]
    head += [f"{name}: {value}" for name, value in fields.items()]
    head += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(head).encode() + body


def connect(address, timeout=30.0):
    host, _, port = address.partition(":")
    sock = socket.create_connection((host, int(port)), timeout=timeout)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def settings(services, **limits):
    """Settings like those of examples/config.json."""
    return {
        "balancers": 1, "zone": 0, "tick": 0.002, "discovery": "on_request", "dcs": ["riga"],
        "machine-types": ["std-4"], "orgs": [{"name": "baltvedums"}], "services": services,
        "limits": {"cancel": True, "conn-idle": 5.0, "dial-timeout": 0.25, "max-attempts": 3,
                   "max-retry-after": 2.0, "retry-after": True, "second-copies": True, **limits},
        "report": {"fields": ["backlog", "errors_per_s", "x0"], "via": "answers"},
        "rules": {"must-ask-in": 10.0, "cold": 23.0, "cold-from": 0.12, "answer-slack": 0.008},
        "extra": {"class-stretch": [2.0, 2.5], "report-x0": "free slots", "progress": 2.0,
                  "tells-start": False},
    }


REROUTE = {"name": "reroute", "effect": "token", "dedup-scope": "cell", "memory-span": 10.0,
           "aim": 0.25, "deadline": 6.0, "importance": 3.0}
DAY_PLAN = {"name": "day-plan", "effect": "side_effect", "aim": 0.5, "deadline": 12.0,
            "importance": 8.0}


class Node:
    """One process of the project's program, started with the command of the deploy file."""

    def __init__(self, case, name, config, operator=None, listener=None, env=()):
        self.case = case
        self.name = name
        self.address = config["listen"]
        path = os.path.join(case.folder, f"{name}.config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        command = deploy_command()
        if operator is not None:
            operator_path = os.path.join(case.folder, f"{name}.operator.json")
            with open(operator_path, "w", encoding="utf-8") as file:
                json.dump(operator, file)
            command += f" serve --operator {operator_path}"
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "RELAY_CONFIG": path}
        environment.update(dict(env))
        self.log = open(os.path.join(case.folder, f"{name}.log"), "ab")
        pass_fds = ()
        if listener is not None:
            environment["RELAY_SOCKET_FD"] = str(listener.fileno())
            pass_fds = (listener.fileno(),)
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log,
                                        pass_fds=pass_fds)
        case.processes.append(self.process)

    def wait_ready(self, seconds=10.0):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                break
            try:
                with connect(self.address, timeout=1.0) as sock:
                    sock.sendall(request_bytes("/-/ready", b"", {"Connection": "close"}, "GET"))
                    answer = Stream(sock).read()
                    if answer is not None and answer.status == 200:
                        return
            except OSError:
                pass
            time.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready; its log:\n{self.log_text()}")

    def log_text(self):
        self.log.flush()
        with open(self.log.name, encoding="utf-8", errors="replace") as file:
            return file.read()

    def signal(self, number):
        self.process.send_signal(number)


def deploy_command():
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        for line in file:
            key, _, value = line.partition("=")
            if key.strip() == "run":
                return value.strip().strip('"')
    raise CannotRun("deploy/balancer.toml has no line `run`")


class Case:
    """A temporary folder, the record, and the processes to end."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = []

    def config(self, name, discovery, services, port=None, **limits):
        return {"name": name, "listen": f"{HOST}:{port or free_port()}",
                "discovery": discovery.address, "seed": "8c1f30d27a5be964",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": discovery.full_list(), "settings": settings(services, **limits)}

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        if os.environ.get("KEEP"):
            print("kept:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def too_long(*_):
    raise CannotRun("100 seconds are over")


def run_case(file, body):
    """Runs body(case), which returns what broke the rule (a list of texts). Exits with 1 if the
    rule was broken, 0 if it held, 2 if the case could not run."""
    case = Case(os.path.dirname(os.path.abspath(file)))
    code = 2
    try:
        signal.signal(signal.SIGALRM, too_long)
        signal.alarm(100)
        broken = body(case)
        for text in broken:
            case.record.line("verdict", text)
            print("broken:", text)
        verdict = "the rule was broken" if broken else "the rule held"
        case.record.line("verdict", verdict)
        print(verdict)
        code = 1 if broken else 0
    except CannotRun as error:
        case.record.line("verdict", f"could not run: {error}")
        print("could not run:", error)
    finally:
        case.close()
    sys.stdout.flush()
    os._exit(code)
