"""What the extent map costs: `python -m benchmarks.extent_map [--most N]`. One core, no sockets.

Two persistent tables from the registry beside a dict: look-up, memory an extent, time and allocation of deltas; the
map on disk.
"""

from __future__ import annotations

import argparse
import gc
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any

import immutables
import pyrsistent

from fawnspool.extents.map import ExtentMap, partition_of
from fawnspool.extents.records import ExtentRecord, MapDelta, Stamp
from fawnspool.gateway.map_store import load_map, save_map
from fawnspool.standins.map_database import MapDatabase

SHARDS = 64


def resident() -> int:
    """Bytes of this process in memory."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) * 1024
    return 0


def each(call: Callable[[Any], Any], given: list[Any]) -> float:
    """Seconds a call, the best of three rounds."""
    best = float("inf")
    for _ in range(3):
        began = time.perf_counter()
        for x in given:
            call(x)
        best = min(best, time.perf_counter() - began)
    return best / len(given)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--most", type=int, default=1_000_000)
    asked = parser.parse_args()
    print("| extents | table | look-up us | one change us | memory MiB | bytes an extent |")
    print("| --- | --- | --- | --- | --- | --- |")
    for n in (10_000, 100_000, 1_000_000):
        if n <= asked.most:
            tables(n)
    service(min(asked.most, 20_000))
    print("\n| extents | file MiB | written s | read at a start s |")
    print("| --- | --- | --- | --- |")
    for n in (10_000, 100_000, 1_000_000):
        if n <= asked.most:
            kept(n)
    print("\n| extents | look-up us (dict) | find us | build s | MiB | 1 delta us, KiB | 10,000 deltas s, MiB |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for n in (10_000, 100_000, 1_000_000):
        if n <= asked.most:
            whole(n)


def names(n: int) -> list[tuple[str, str]]:
    return [(f"volume-{k % 512}", f"tiles/{k:08d}") for k in range(n)]


def tables(n: int) -> None:
    keys = names(n)
    picks = Random(1).choices(keys, k=50_000)
    values = dict.fromkeys(keys, 1)
    made: dict[str, Callable[[], Any]] = {
        "dict": lambda: dict(values),
        "immutables": lambda: immutables.Map(values),
        "pyrsistent": lambda: pyrsistent.pmap(values),
    }
    change: dict[str, Callable[[Any, Any], Any]] = {
        "dict": lambda t, k: t.__setitem__(k, 2),
        "immutables": lambda t, k: t.set(k, 2),
        "pyrsistent": lambda t, k: t.set(k, 2),
    }
    for name, make in made.items():
        gc.collect()
        before = resident()
        table = make()
        size = max(0, resident() - before)
        found = each(table.__getitem__, picks)
        changed = each(lambda k, t=table, c=change[name]: c(t, k), picks[:5000])  # type: ignore[misc]
        print(
            f"| {n:,} | {name} | {found * 1e6:.2f} | {changed * 1e6:.2f} | {size / 2**20:.0f} | {size / n:.0f} |",
            flush=True,
        )


def made_of(keys: list[tuple[str, str]]) -> ExtentMap:
    rows: dict[int, list[ExtentRecord]] = {k: [] for k in range(SHARDS)}
    for k, (v, x) in enumerate(keys):
        rows[partition_of(v, SHARDS)].append(ExtentRecord(v, x, k % 45, Stamp(0, 1, 1)))
    m = ExtentMap.empty(SHARDS)
    for shard, facts in rows.items():
        m = m.apply(MapDelta(shard, 1, 0, 1, tuple(facts), is_snapshot=True))
    return m


def service(n: int) -> None:
    made = MapDatabase()
    try:
        cost = each(lambda k: made.put(k[0], k[1], 1, int(time.perf_counter() * 1e6)), names(n))
    finally:
        made.close()
    print(f"\nOne change at the service, LMDB, of {n:,} extents: {cost * 1e6:.0f} us", flush=True)


def kept(n: int) -> None:
    m = made_of(names(n))
    with TemporaryDirectory() as folder:
        path = Path(folder) / "map.rec"
        began = time.perf_counter()
        save_map(path, m, time.time())
        wrote = time.perf_counter() - began
        size = path.stat().st_size
        del m
        gc.collect()
        began = time.perf_counter()
        found = load_map(Path(folder)).map
        took = time.perf_counter() - began
    assert found is not None and len(found) == n
    print(f"| {n:,} | {size / 2**20:.0f} | {wrote:.2f} | {took:.2f} |", flush=True)


def whole(n: int) -> None:
    keys, random = names(n), Random(2)
    picks = random.choices(keys, k=50_000)
    gc.collect()
    before = resident()
    began = time.perf_counter()
    m = made_of(keys)
    built = time.perf_counter() - began
    gc.collect()
    size = resident() - before
    plain = dict.fromkeys(keys, 1)
    found, base = each(lambda k: m.find(k[0], k[1]), picks), each(plain.__getitem__, picks)

    def moved(k: int, version: int) -> MapDelta:
        v, x = picks[k]
        return MapDelta(
            partition_of(v, SHARDS), 1, version - 1, version, (ExtentRecord(v, x, k % 45, Stamp(version, 1, version)),)
        )

    deltas = [moved(k, 2 + k) for k in range(10_000)]
    one = each(m.apply, deltas[:2000])
    tracemalloc.start()
    other = m.apply(deltas[0])
    allocated = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    began, gone = time.perf_counter(), other
    for d in deltas:
        gone = gone.apply(d)
    took = time.perf_counter() - began
    tracemalloc.start()
    gone = m
    for d in deltas:
        gone = gone.apply(d)
    many = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(
        f"| {n:,} | {base * 1e6:.2f} | {found * 1e6:.2f} | {built:.2f} | {size / 2**20:.0f} | {one * 1e6:.0f}, "
        f"{allocated / 1024:.1f} | {took:.2f}, {many / 2**20:.1f} |",
        flush=True,
    )


if __name__ == "__main__":
    main()
