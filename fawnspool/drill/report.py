"""What came of a day, as plain values and as tables."""

from __future__ import annotations

from typing import Any

from fawnspool.days.day import Day
from fawnspool.days.worth import Row
from fawnspool.drill.play import Result
from fawnspool.rules.leases import LeaseFinding
from fawnspool.rules.misdirected import DELAY_EDGES_S

COLUMNS = ("class", "plan", "asked", "in time", "late", "refused", "failed", "left", "earned", "due", "share")

WRONG_COLUMNS = ("before the flip", *(f"under {1000 * e:g} ms" for e in DELAY_EDGES_S), "later")


def _row(row: Row) -> dict[str, Any]:
    return {
        "asked": row.asked,
        "in time": row.in_time,
        "late": row.late,
        "refused": row.refused,
        "failed": row.failed,
        "left": row.left,
        "earned": round(row.earned, 2),
        "due": round(row.due, 2),
        "share": round(row.share, 4),
    }


def _duties(d: LeaseFinding) -> dict[str, Any]:
    gaps = [
        {"cause": why, "count": len(g), "p50_s": round(sorted(g)[len(g) // 2], 3), "worst_s": round(max(g), 3)}
        for why, g in sorted(d.gaps_s.items())
    ]
    return {
        "moved": d.moved,
        "left": d.left,
        "fenced": d.fenced,
        "handed_over": d.handed_over,
        "without_cause": d.without_cause,
        "relieved": d.relieved,
        "gaps": gaps,
        "all_gaps": {k: [round(x, 4) for x in v] for k, v in sorted(d.gaps_s.items())},
    }


def values(day: Day, seed: int, result: Result, plain: Result | None) -> dict[str, Any]:
    """All of it, for JSON."""
    v = result.verdict
    worst = min(result.service.windows.items(), key=lambda x: x[1].share, default=None)
    return {
        "day": day.title,
        "seed": seed,
        "length_s": day.day.length,
        "heads": day.day.heads,
        "nodes": day.day.nodes,
        "kept": v.kept,
        "allowance_ms": round(v.allowance_s * 1000, 1),
        "too_noisy": v.too_noisy,
        "wrong_bytes": v.wrong_bytes,
        "rules": [
            {
                "rule": f.rule,
                "looked_at": f.looked_at,
                "breaches": len(f.breaches),
                "nearest": round(f.nearest, 3),
                "first": [f"{b.time_s:.3f} s: {b.text}" for b in f.breaches[:5]],
            }
            for f in v.findings
        ],
        "rows": [{"class": c, "plan": p, **_row(r)} for (c, p), r in sorted(result.service.rows.items())],
        "plans": {p: _row(r) for p, r in sorted(result.service.plans.items())},
        "whole": _row(result.service.whole),
        "worst_window": {"from_s": worst[0] * 5, **_row(worst[1])} if worst else None,
        "plain": None
        if plain is None
        else {
            **_row(plain.service.whole),
            "kept": plain.verdict.kept,
            "broken": sorted({b.rule for f in plain.verdict.findings for b in f.breaches}),
        },
        "wrong_sends": None
        if result.wrong is None
        else {
            "moves": result.wrong.migrations,
            "by_time": dict(zip(WRONG_COLUMNS, result.wrong.counts, strict=True)),
            "not_yet": result.wrong.not_yet,
            "latest_s": round(result.wrong.worst_delay_s, 4),
        },
        "duties": None if result.duties is None else _duties(result.duties),
        "head_cpu_s": round(result.head_cpu, 2),
        "shared": None
        if result.shared is None
        else {
            "asked": result.shared.asked,
            "refused": result.shared.refused,
            "within": result.shared.refused_within_limit,
            "share": round(result.shared.refused_share, 4),
            "datagrams_s": round(result.shared.datagrams_per_s, 2),
            "bytes_s": round(result.shared.bytes_per_s, 1),
        },
        "events": [[round(t, 3), text] for t, text in result.events],
    }
