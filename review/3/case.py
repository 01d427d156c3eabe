import hashlib
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, __file__.rsplit("/", 2)[0])
import common  # noqa: E402

BODY_BYTES = 4000
COUNT = 48


def body_of(job):
    """A body in which each place tells whose it is."""
    unit = (job + ";").encode()
    return (unit * (BODY_BYTES // len(unit) + 1))[:BODY_BYTES]


def case(case):
    record = case.record
    plan = lambda worker, message: {"run": 0.15}
    workers = [common.Worker(record, f"s-{n}", plan) for n in range(2)]
    discovery = common.Discovery([worker.member() for worker in workers])
    config = case.config("n0", discovery, [common.REROUTE, common.DAY_PLAN])
    node = common.Node(case, "n0", config)
    for worker in workers:
        worker.callback = node.address
    node.wait_ready()

    sent = {}
    answers = []
    sock = common.connect(node.address)
    stream = common.Stream(sock)

    def read_answer():
        try:
            answer = stream.read()
        except OSError as error:
            record.line("client", f"connection broke: {error}")
            return False
        if answer is None:
            record.line("client", "connection closed by the node")
            return False
        record.line("client", f"answer {answer.first} {answer.body[:40]!r}")
        answers.append(answer)
        return True

    def commands(first, count):
        data = b""
        for number in range(first, first + count):
            job = f"c{number:04d}-{hashlib.sha256(str(number).encode()).hexdigest()[:8]}"
            sent[job] = body_of(job)
            data += common.request_bytes("/reroute/van", sent[job], {
                "X-Request-Id": job, "X-Tenant": "baltvedums", "X-Deadline": "6.000",
                "Idempotency-Key": hashlib.sha256(job.encode()).hexdigest()[:32]})
        return data

    if common.TROUBLE:
        reader = threading.Thread(target=lambda: [None for _ in iter(read_answer, False)], daemon=True)
        reader.start()
        try:
            for first in range(0, COUNT, 16):
                record.line("client", f"sends 16 commands at once, from {first}")
                sock.sendall(commands(first, 16))
                time.sleep(1.5)
        except OSError as error:
            record.line("client", f"cannot send: {error}")
        reader.join(timeout=15)
    else:
        for number in range(COUNT):
            sock.sendall(commands(number, 1))
            if not read_answer():
                break
    time.sleep(0.5)

    broken = []
    for worker in workers:
        for at, job, key, target, body in worker.runs:
            if job not in sent:
                broken.append(f"{worker.name} was sent {job!r}, which no client sent")
            elif body != sent[job]:
                parts = sorted({p.decode("latin-1") for p in body.split(b";")[:-1]} - {job})
                broken.append(f"{worker.name} ran {job} with a body that no client sent: "
                              f"it holds {parts[:4]}")
    return broken


common.run_case(__file__, case)
