"""A load process: `python -m benchmarks.load ADDRESS CONNECTIONS SECONDS RATE TARGET...` prints JSON.

RATE 0: closed loop, each connection asks again when answered. RATE > 0: open loop, arrivals at even times over all
connections, and an answer's time counts from when its request was due (no coordinated omission).
"""

from __future__ import annotations

import json
import sys
import time
from typing import Any

import gevent
from gevent import socket
from hdrh.histogram import HdrHistogram

WARM = 0.25  # part of the run that does not count


def connect(address: tuple[str, int]) -> Any:
    sock = socket.create_connection(address, timeout=30)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def ask(sock: Any, request: bytes) -> int:
    """Send, read one whole answer by its content-length; its status."""
    sock.sendall(request)
    data = sock.recv(65536)
    while (end := data.find(b"\r\n\r\n")) < 0:
        more = sock.recv(65536)
        if not more:
            raise ConnectionError("closed")
        data += more
    head = data[:end].lower()
    at = head.index(b"content-length:") + 15
    stop = head.find(b"\r", at)
    length = int(head[at : stop if stop > 0 else None])
    left = length - (len(data) - end - 4)
    while left > 0:
        piece = sock.recv(65536)
        if not piece:
            raise ConnectionError("closed")
        left -= len(piece)
    return int(data[9:12])


def run(
    address: tuple[str, int], connections: int, seconds: float, rate: float, requests: list[bytes]
) -> dict[str, Any]:
    histogram = HdrHistogram(1, 60_000_000, 3)  # microseconds
    counts: dict[int, int] = {}
    start = time.perf_counter()
    count_from, end = start + seconds * WARM, start + seconds
    due = [start]

    def one(k: int) -> None:
        sock = connect(address)
        while True:
            now = time.perf_counter()
            if rate:
                intended = due[0]
                due[0] += 1 / rate
                if intended > now:
                    gevent.sleep(intended - now)
            else:
                intended = now
            if intended >= end:
                return
            k += 1
            status = ask(sock, requests[k % len(requests)])
            done = time.perf_counter()
            if intended >= count_from and done <= end + 5:
                counts[status] = counts.get(status, 0) + 1
                histogram.record_value(max(1, int((done - intended) * 1e6)))

    jobs = [gevent.spawn(one, k * 7) for k in range(connections)]
    gevent.joinall(jobs, raise_error=True)
    span = time.perf_counter() - count_from if rate else seconds * (1 - WARM)
    return {"counts": counts, "per_s": sum(counts.values()) / span, "histogram": histogram.encode().decode()}


def main() -> None:
    where, connections, seconds, rate, *targets = sys.argv[1:]
    host, port = where.split(":")
    requests = []
    for target in targets:
        head, _, more = target.partition("|")
        requests.append(
            f"GET {head} HTTP/1.1\r\nHost: t\r\n{more.replace('|', chr(13) + chr(10))}".encode()
            + (b"\r\n" if not more else b"\r\n\r\n")
        )
    print(json.dumps(run((host, int(port)), int(connections), float(seconds), float(rate), requests)))


if __name__ == "__main__":
    main()
