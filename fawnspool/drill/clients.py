"""The clients' process of a drill: reads its orders, plays the script, leaves what came of it."""

from __future__ import annotations

import gc
import time
from pathlib import Path
from typing import Any

import msgspec

from fawnspool.config.schema import load
from fawnspool.days.checks import check_day
from fawnspool.days.day import Day
from fawnspool.days.traffic import draw_operations, held_objects
from fawnspool.records.frames import FrameWriter
from fawnspool.standins.clients import Clients, lag_meter


def run(spec_file: Path) -> None:
    """Play the script named in the spec; see fawnspool.drill.play."""
    spec = msgspec.json.decode(spec_file.read_bytes())
    day, seed = load(spec["day"], Day, check_day), int(spec["seed"])
    record = FrameWriter(spec["record"])

    def note(kind: str, t: float | None = None, **more: Any) -> None:
        record.put({"k": kind, "t": time.monotonic() if t is None else t, **more})

    held = {(volume, key): size for volume, key, size, _ in held_objects(day, seed)}
    heads = {int(k): ("127.0.0.1", int(port)) for k, port in spec["heads"].items()}
    clients = Clients(day, draw_operations(day, seed), heads, note, seed, held)
    gc.collect()
    gc.freeze()  # a full collection over the script would look like a late answer
    lag_meter(note, "clients")
    ended = clients.run(float(spec["start"]))
    rows = [
        [
            e.op.at,
            e.op.volume,
            e.op.cls,
            float(max(1, min(day.units.largest, -(-e.op.size // day.units.bytes)))),
            e.how,
            e.took,
        ]
        for e in ended
    ]
    Path(spec["result"]).write_bytes(msgspec.json.encode(rows))
    record.close()
