import socket
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, __file__.rsplit("/", 2)[0])
import common  # noqa: E402

KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
RUN_SECONDS = 3.0
DOWN_SECONDS = 1.5  # the pages: 1.2 to 7.9 s
REPEAT_SECONDS = 0.5


class Path:
    """The network between the route worker and the node. While `loses_answers` is set, what the
    node answers does not arrive: the connection is reset."""

    def __init__(self, record, node):
        self.record = record
        self.node = node
        self.loses_answers = False
        listener = common.listen()
        self.address = "%s:%d" % listener.getsockname()
        threading.Thread(target=self.accept, args=(listener,), daemon=True).start()

    def accept(self, listener):
        while True:
            sock, _ = listener.accept()
            threading.Thread(target=self.carry, args=(sock,), daemon=True).start()

    def carry(self, sock):
        try:
            with sock, common.connect(self.node, timeout=5.0) as onward:
                message = common.Stream(sock).read()
                if message is None:
                    return
                onward.sendall(common.request_bytes("/v1/job-events", message.body, {}))
                answer = common.Stream(onward).read()
                if answer is None:
                    return
                if self.loses_answers:
                    self.record.line("network", f"loses the answer {answer.status}")
                    return
                sock.sendall(common.response(answer.status, answer.body))
        except OSError:
            pass


class ReturningWorker(common.Worker):
    """Hands the first job back unstarted, then takes what comes. It repeats each report until it is
    answered, ten times at most."""

    handed_back = False

    def handle(self, message):
        job = message.fields.get("x-request-id")
        if message.first.startswith("POST ") and not self.handed_back:
            self.handed_back = True
            self.record.line(self.name, f"takes {job}, and hands it back")
            event = {"id": job, "from": self.name, "state": "returned"}
            threading.Thread(target=self.report, args=(event,), daemon=True).start()
            return common.response(202)
        return super().handle(message)


def case(case):
    record = case.record
    worker = ReturningWorker(record, "s-0", lambda worker, message: {"run": RUN_SECONDS})
    worker.repeat_seconds = REPEAT_SECONDS
    discovery = common.Discovery([worker.member()])
    services = [common.REROUTE, common.DAY_PLAN]
    config = case.config("n0", discovery, services)
    config["settings"]["balancers"] = 2
    operator = {"store": {"folder": case.folder + "/store"}}
    # A second node lives through the case: at most half of the nodes die.
    other = common.Node(case, "n1", {**case.config("n1", discovery, services),
                                     "settings": config["settings"]},
                        {"store": {"folder": case.folder + "/store-1"}})
    other.wait_ready()
    path = Path(record, config["listen"])
    path.loses_answers = common.TROUBLE
    worker.callback = path.address
    node = common.Node(case, "n0", config, operator)
    node.wait_ready()

    def send(job):
        sock = common.connect(config["listen"])
        record.line("client", f"sends {job} key={KEY[:8]}")
        sock.sendall(common.request_bytes("/day-plan/driver/17", b"stops=4", {
            "X-Request-Id": job, "X-Tenant": "baltvedums", "X-Deadline": "12.000",
            "Idempotency-Key": KEY}))
        return sock

    def read(job, sock):
        try:
            answer = common.Stream(sock).read()
        except OSError as error:
            answer = None
            record.line("client", f"{job}: {error}")
        text = "no answer" if answer is None else f"{answer.first} {answer.body!r}"
        record.line("client", f"{job} got {text}")
        return answer

    sock = send("plan-1")
    until = time.monotonic() + 5
    while not worker.runs and time.monotonic() < until:
        time.sleep(0.01)
    if not worker.runs:
        raise common.CannotRun("the job was not sent again after it had been handed back")
    if common.TROUBLE:
        time.sleep(0.1)
        path.loses_answers = False
        record.line("node", "killed")
        node.process.kill()
        node.process.wait()
    read("plan-1", sock)
    if common.TROUBLE:
        time.sleep(DOWN_SECONDS)
        record.line("node", "started again")
        node = common.Node(case, "n0", config, operator)
        node.wait_ready()
        time.sleep(2 * REPEAT_SECONDS)
    for number in range(2, 5):  # a refusal says that a retry is harmless
        answer = read(f"plan-{number}", send(f"plan-{number}"))
        if answer is None or answer.status not in (429, 503):
            break
        time.sleep(float(answer.fields.get("retry-after", "1")))
    time.sleep(RUN_SECONDS)

    runs = [f"{job} at {at:.3f}" for at, job, key, *_ in worker.runs if key == KEY]
    if len(runs) > 1:
        return [f"the day-plan of key {KEY[:8]} ran {len(runs)} times: " + ", ".join(runs)]
    return []


common.run_case(__file__, case)
