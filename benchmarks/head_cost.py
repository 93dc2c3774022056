"""What a head itself costs: straight to a node, through the plain head, through the module, side by side.

    python -m benchmarks.head_cost [--seconds 4] [--quick] [--against CHECKOUT]

With `--against` the arms are another checkout's gateway (with its own `.venv`) and this one's, both with the module.

4 KiB GETs on loopback sockets; nodes, head and load are processes of their own, the head is pinned to one core.
Closed loop at 1, 64 and 1,000 connections, then open loop at half the aimed load for the time that is added; last a
1 GiB PUT and GET. The arms take turns within one run, and each ratio is of figures of that run.
"""

from __future__ import annotations

import argparse
import http.client
import json
import os
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

NODES = 4
KEYS = 64
AIM = 3000
CONFIG = """
head {{ listen = "127.0.0.1:{port}"
  data = "{data}"
  log = "none"
  policy = "{policy}" }}
list {{ address = "127.0.0.1:{services}" }}
catalogue {{ address = "127.0.0.1:{catalogue}" }}
nodes {{ cells = {nodes}
  connections = 1200 }}
clients {{ connections = 8192 }}
class "read" {{ aim = "500ms"
  deadline = "10s" }}
class "bulk" {{ aim = "60s"
  deadline = "120s" }}
plan "basic" {{ rate = 1000 }}
volume "demo" {{ plan = "basic" }}
"""


def free_port() -> int:
    import socket

    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def wait_listening(port: int) -> None:
    import socket

    end = time.monotonic() + 20
    while True:
        try:
            socket.create_connection(("127.0.0.1", port), timeout=1).close()
            return
        except OSError:
            if time.monotonic() > end:
                raise
            time.sleep(0.05)


def cpu(pid: int) -> float:
    """CPU seconds of a process so far."""
    part = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(part[11]) + int(part[12])) / os.sysconf("SC_CLK_TCK")


def memory(pid: int, field: str) -> float:
    """VmRSS or VmHWM, MiB."""
    line = next(x for x in Path(f"/proc/{pid}/status").read_text().splitlines() if x.startswith(field))
    return int(line.split()[1]) / 1024


@dataclass(frozen=True)
class Arm:
    """One gateway that is measured: its name in the table, its policy and the checkout that it runs from."""

    name: str
    policy: str
    checkout: Path | None = None

    def command(self) -> list[str]:
        python = sys.executable if self.checkout is None else str(self.checkout / ".venv/bin/python")
        return [python, "-m", "fawnspool.cli"]


POLICIES = (Arm("pass", "pass"), Arm("module", "module"))


class Setup:
    """Services and nodes, and one head an arm, all as processes."""

    def __init__(self, folder: Path, arms: tuple[Arm, ...] = POLICIES) -> None:
        self.arms = arms
        self.folder, self.procs = folder, list[subprocess.Popen[bytes]]()
        self.heads: dict[str, tuple[int, int]] = {}
        cores = sorted(os.sched_getaffinity(0))
        self.cores = cores[-2:] if len(cores) > 3 else [cores[-1]] * 2
        if len(cores) > 3:
            os.sched_setaffinity(0, set(cores[:-2]))  # nodes and load keep off the heads' cores
        self.node_ports = [free_port() for _ in range(NODES)]

    def open(self) -> None:
        folder = self.folder
        self.list_port, self.catalogue_port = free_port(), free_port()
        cli = [sys.executable, "-m", "fawnspool.cli"]
        for k, port in enumerate(self.node_ports):
            self.start(
                [
                    *cli,
                    "standin",
                    "node",
                    "--ident",
                    str(k + 1),
                    "--listen",
                    f"127.0.0.1:{port}",
                    "--data",
                    str(folder / f"node-{k}"),
                    "--unit-time",
                    "0",
                ],
                port,
            )
        nodes = [f"{k + 1}=127.0.0.1:{p}" for k, p in enumerate(self.node_ports)]
        self.start([*cli, "standin", "list", "--listen", f"127.0.0.1:{self.list_port}", *nodes], self.list_port)
        self.start([*cli, "standin", "catalogue", "--listen", f"127.0.0.1:{self.catalogue_port}"], self.catalogue_port)
        for arm, core in zip(self.arms, self.cores, strict=True):
            port = free_port()
            config = folder / f"{arm.name}.hcl"
            config.write_text(
                CONFIG.format(
                    port=port,
                    data=folder / arm.name,
                    policy=arm.policy,
                    services=self.list_port,
                    catalogue=self.catalogue_port,
                    nodes=NODES,
                )
            )
            proc = self.start([*arm.command(), "serve", str(config)], port, arm.checkout)
            os.sched_setaffinity(proc.pid, {core})
            self.heads[arm.name] = (port, proc.pid)

    def start(self, command: list[str], port: int, checkout: Path | None = None) -> subprocess.Popen[bytes]:
        proc = subprocess.Popen(command, stdout=subprocess.DEVNULL, cwd=checkout)
        self.procs.append(proc)
        wait_listening(port)
        return proc

    def stop(self) -> None:
        for proc in self.procs:
            proc.terminate()
        for proc in self.procs:
            try:
                proc.wait(5)
            except subprocess.TimeoutExpired:
                proc.kill()


def load(port: int, connections: int, seconds: float, rate: float, targets: list[str]) -> dict[str, Any]:
    """Runs load processes; p50 and p99 in milliseconds over all."""
    workers = 1 if connections == 1 else 3
    each = -(-connections // workers)
    procs = [
        subprocess.Popen(
            [
                sys.executable,
                "-m",
                "benchmarks.load",
                f"127.0.0.1:{port}",
                str(each),
                str(seconds),
                str(rate / workers),
                *targets,
            ],
            stdout=subprocess.PIPE,
        )
        for _ in range(workers)
    ]
    total, counts, per_s = HdrHistogram(1, 60_000_000, 3), dict[str, int](), 0.0
    for proc in procs:
        out = json.loads(proc.communicate()[0])
        total.decode_and_add(out["histogram"])
        per_s += out["per_s"]
        for status, count in out["counts"].items():
            counts[status] = counts.get(status, 0) + count
    return {
        "per_s": per_s,
        "p50": total.get_value_at_percentile(50) / 1000,
        "p99": total.get_value_at_percentile(99) / 1000,
        "good": counts.get("200", 0) / max(1, sum(counts.values())),
    }


def module_share(port: int) -> tuple[float, int]:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    connection.request("GET", "/-/metrics")
    rows = dict(
        line.rsplit(" ", 1)
        for line in connection.getresponse().read().decode().splitlines()
        if line.startswith("fawnspool_module_") and "{" not in line
    )
    return float(rows["fawnspool_module_seconds_total"]), int(float(rows["fawnspool_module_events_total"]))


def big(port: int, pid: int) -> dict[str, float]:
    """1 GiB up and down, MB/s, and the head's growth in MiB."""
    piece, size = bytes(1 << 20), 1 << 30
    Path(f"/proc/{pid}/clear_refs").write_text("5")  # the peak counts anew
    before = memory(pid, "VmRSS")
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=120)
    place = "/v1/volumes/demo/objects/big"
    began = time.perf_counter()
    connection.putrequest("PUT", place)
    connection.putheader("Content-Length", str(size))
    connection.putheader("Fawn-Class", "bulk")
    connection.endheaders()
    for _ in range(size // len(piece)):
        connection.send(piece)
    answer = connection.getresponse()
    answer.read()
    put = time.perf_counter() - began
    assert answer.status in (200, 201), answer.status
    began = time.perf_counter()
    connection.request("GET", place, headers={"Fawn-Class": "bulk"})
    answer, got = connection.getresponse(), 0
    while data := answer.read(1 << 20):
        got += len(data)
    get = time.perf_counter() - began
    assert got == size
    return {"put_mb_s": size / put / 1e6, "get_mb_s": size / get / 1e6, "growth_mib": memory(pid, "VmHWM") - before}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--big", action="store_true", help="the 1 GiB bodies only")
    parser.add_argument("--quick", action="store_true", help="one pass of 2 s, no 1 GiB")
    parser.add_argument("--against", type=Path, help="another checkout, whose gateway is the arm `old`")
    asked = parser.parse_args()
    arms = POLICIES
    if asked.against is not None:
        arms = (Arm("old", "module", asked.against.resolve()), Arm("new", "module"))
    seconds = 2.0 if asked.quick else asked.seconds
    with tempfile.TemporaryDirectory() as temporary:
        setup = Setup(Path(temporary), arms)
        try:
            setup.open()
            if not asked.big:
                run(setup, seconds)
            if not asked.quick:
                bodies(setup)
        finally:
            setup.stop()


def bodies(setup: Setup) -> None:
    print("\n| arm | 1 GiB PUT MB/s | GET MB/s | growth MiB |\n| --- | --- | --- | --- |")
    names = [arm.name for arm in setup.arms]
    for arm in (*names, *reversed(names)):  # each is first and second once
        port, pid = setup.heads[arm]
        os.sync()  # what an arm wrote is on the disk before the next begins
        row = big(port, pid)
        print(f"| {arm} | {row['put_mb_s']:.0f} | {row['get_mb_s']:.0f} | {row['growth_mib']:.0f} |", flush=True)


def run(setup: Setup, seconds: float) -> None:
    port, _ = setup.heads[setup.arms[-1].name]
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    for k in range(KEYS):
        for _ in range(200):
            connection.request("PUT", f"/v1/volumes/demo/objects/k{k}", os.urandom(4096))
            answer = connection.getresponse()
            answer.read()
            if answer.status in (200, 201):
                break
            time.sleep(0.05)
        else:
            raise SystemExit(f"the head does not take writes: {answer.status}")
    through = [f"/v1/volumes/demo/objects/k{k}" for k in range(KEYS)]
    connection = http.client.HTTPConnection("127.0.0.1", setup.node_ports[0], timeout=10)
    connection.request("GET", "/-/objects")
    held = [row[1] for row in json.loads(connection.getresponse().read())]
    straight = [f"/o/demo/{key}|Fawn-Call: 0;1;0;0;1;0;safe;cell;0;500;op;" for key in held]
    print("| connections | arm | requests/s | p50 ms | p99 ms | 200s | head CPU us/request | module us/request |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for connections, rate in ((1, 0), (64, 0), (1000, 0), (64, AIM / 2)):
        for arm in ("node", *(arm.name for arm in setup.arms)):
            if arm == "node":
                got = load(setup.node_ports[0], connections, seconds, rate, straight)
                cost = own = ""
            else:
                port, pid = setup.heads[arm]
                before, (spent, _) = cpu(pid), module_share(port)
                began = time.monotonic()
                got = load(port, connections, seconds, rate, through)
                took = time.monotonic() - began
                asked = max(1.0, got["per_s"] * min(took, seconds))
                cost = f"{(cpu(pid) - before) / asked * 1e6:.0f}"
                own = f"{(module_share(port)[0] - spent) / asked * 1e6:.0f}"
            label = f"{connections}, open at {rate:.0f}/s" if rate else str(connections)
            print(
                f"| {label} | {arm} | {got['per_s']:.0f} | {got['p50']:.2f} | {got['p99']:.2f} | "
                f"{got['good']:.3f} | {cost} | {own} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
