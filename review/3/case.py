import hashlib
import os
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, __file__.rsplit("/", 2)[0])
import common  # noqa: E402

JOBS = 8
QUEUED_SECONDS = 0.8
RUN_SECONDS = 1.0
# A class like `teavitus` of the second deployment: it has a key, and the route workers of one cell
# drop a repeat.
SERVICE = {"name": "notice", "effect": "token", "dedup-scope": "cell", "memory-span": 10.0,
           "aim": 1.0, "deadline": 6.0, "importance": 3.0}


class QueueingWorker(common.Worker):
    """Tells the start of a job, which waits in a queue first. It has an address for each node, as
    the lists may give it, and reports to the node that sent the job. A cancel does not drop a
    waiting job ('waiting work is dropped on some days only'). A repeat of a key that a worker of
    its cell has had is not run: it is reported like the first one."""

    def __init__(self, record, name, cell, keys):
        super().__init__(record, name, lambda worker, message: {}, cell)
        self.keys = keys
        self.ran = []  # (key, id)

    def member_for(self, node):
        """Its entry in the list of a node: an address at which only that node calls."""
        listener = common.listen()
        common.serve(listener, lambda message: self.take(message, node))
        return {**self.member(), "host_port": "%s:%d" % listener.getsockname()}

    def take(self, message, node):
        if not message.first.startswith("POST "):
            return self.handle(message)
        key, job = message.fields["idempotency-key"], message.fields["x-request-id"]
        self.record.line(self.name, f"takes {job} key={key[:8]}")
        threading.Thread(target=self.work, args=(job, key, node), daemon=True).start()
        return common.response(202)

    def work(self, job, key, node):
        time.sleep(QUEUED_SECONDS)
        with self.lock:
            is_repeat = (self.cell, key) in self.keys
            self.keys.add((self.cell, key))
        if not is_repeat:
            self.record.line(self.name, f"RUNS {job} key={key[:8]} cell={self.cell}")
            self.ran.append((key, job))
            self.report({"id": job, "from": self.name, "state": "started"}, node)
        time.sleep(RUN_SECONDS)
        self.report({"id": job, "from": self.name, "state": "done", "result": "ok"}, node)


def case(case):
    record = case.record
    keys = set()
    workers = [QueueingWorker(record, f"s-{n}", 1 + n // 2, keys) for n in range(4)]
    trouble = case.folder + "/trouble"
    nodes = []
    for name in ("n0", "n1"):
        port = common.free_port()
        address = f"{common.HOST}:{port}"
        discovery = common.Discovery([worker.member_for(address) for worker in workers])
        config = case.config(name, discovery, [SERVICE, common.DAY_PLAN], port=port)
        config["settings"]["balancers"] = 2
        config["settings"]["extra"]["tells-start"] = True
        store = {"folder": f"{case.folder}/store-{name}", "keyed_durable": True}
        if name == "n0":
            store["trouble_file"] = trouble
        nodes.append(common.Node(case, name, config, {"store": store}))
    for node in nodes:
        node.wait_ready()

    def ask(node, job, key, meanwhile=lambda: None):
        record.line("client", f"sends {job} to {node.name}")
        sock = common.connect(node.address)
        start = time.monotonic()
        sock.sendall(common.request_bytes("/notice/feed/17", b"stops=4", {
            "X-Request-Id": job, "X-Tenant": "baltvedums", "X-Deadline": "6.000",
            "X-Cost-Hint": "1000000", "Idempotency-Key": key}))
        meanwhile()
        answer = common.Stream(sock).read()
        sock.close()
        if answer is None:
            raise common.CannotRun("the connection was closed without an answer")
        record.line("client", f"{job} got {answer.first} after {time.monotonic() - start:.3f} s, "
                              f"Retry-After: {answer.fields.get('retry-after')}")
        return answer

    def disk_full():
        time.sleep(0.1)
        if common.TROUBLE:
            with open(trouble, "w", encoding="utf-8") as file:
                file.write("full")
            record.line("disk of n0", "full")

    refused = []
    for number in range(JOBS):
        key = hashlib.sha256(str(number).encode()).hexdigest()[:32]
        answer = ask(nodes[0], f"notice-{number}", key, disk_full)
        if answer.status in (429, 503):
            refused.append((f"notice-{number}", key))
            # A refusal says that a retry is harmless: the client tries again, at the other node.
            time.sleep(float(answer.fields.get("retry-after", "1")))
            ask(nodes[1], f"notice-{number}-again", key)
        else:
            time.sleep(QUEUED_SECONDS + RUN_SECONDS)
        if common.TROUBLE:
            os.remove(trouble)
            record.line("disk of n0", "has room again")
            time.sleep(1.0)
    time.sleep(QUEUED_SECONDS + RUN_SECONDS)

    broken = []
    for job, key in refused:
        ran = [(worker.name, i) for worker in workers for k, i in worker.ran if k == key]
        own = [name for name, i in ran if i == job]
        if own:
            text = f"{job} was refused, though it ran at {own[0]}"
            if len(ran) > 1:
                text += f"; with the client's retry the job ran {len(ran)} times: {ran}"
            broken.append(text)
    return broken


common.run_case(__file__, case)
