"""A comparison as one page that needs nothing beside it: tables, and charts as SVG in the page.

The same kept comparison gives the same bytes: charts carry no date and no random names.
"""

from __future__ import annotations

import io
import math
import re

import jinja2
import matplotlib
import numpy as np
from markupsafe import Markup
from matplotlib.figure import Figure

from fawnspool.model.compare import MAIN, Arm, DayComparison, words
from fawnspool.model.stats import Interval
from fawnspool.model.store import Kept

_PAGE = jinja2.Environment(
    autoescape=True, undefined=jinja2.StrictUndefined, trim_blocks=True, lstrip_blocks=True
).from_string("""<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Comparison {{ ident }}</title>
<style>
body { font: 15px/1.45 sans-serif; max-width: 62em; margin: 2em auto; padding: 0 1em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 } th, td { padding: .2em .8em; border-bottom: 1px solid #ddd }
td.n { text-align: right; font-variant-numeric: tabular-nums } tr.told { background: #fff4d6 }
.broken { background: #fdd; padding: .5em 1em } svg { max-width: 100%; height: auto } code { font-size: 90% }
</style></head><body>
<h1>Comparison {{ ident }}</h1>
<p>Simulated. A: {{ a }}. B: {{ b }}. Differences are B less A, of worth earned over due; intervals hold at 95% over all
looks that were taken. Rows in colour can be told from no difference.</p>
{% for text in broken %}<p class="broken">Broken rule. {{ text }}</p>
{% endfor %}
<ul>
{% for text in answers %}<li>{{ text }}</li>
{% endfor %}
</ul>
{{ overview }}
{% for day in days %}
<h2>{{ day.name }}</h2>
<p>{{ day.runs }} paired runs, seeds {{ day.seeds }}; ended because {{ day.why }}.</p>
<table><tr><th>figure</th><th>A</th><th>B</th><th>B - A</th><th>low</th><th>high</th><th>told</th></tr>
{% for row in day.rows %}
<tr{% if row.told %} class="told"{% endif %}><td>{{ row.figure }}</td>
{% for x in row.numbers %}
<td class="n">{{ x }}</td>
{% endfor %}
<td>{{ "yes" if row.told else "" }}</td></tr>
{% endfor %}
</table>
{{ day.chart }}
{% endfor %}
<h2>How to make it again</h2>
<p><code>fawnspool model again {{ ident }}</code> plays the same days, seeds and versions and compares the answers.</p>
<table>
{% for name, value in about %}<tr><td>{{ name }}</td><td><code>{{ value }}</code></td></tr>
{% endfor %}
</table>
</body></html>
""")


def page(kept: Kept) -> str:
    """The page of a comparison."""
    q = kept.question
    return _PAGE.render(
        ident=kept.ident,
        a=describe_arm(q.a, q.versions[0]),
        b=describe_arm(q.b, q.versions[1]),
        broken=[f"{c.day}: {text}" for c in kept.answers for text in c.broken],
        answers=[words(c, q.a, q.b) for c in kept.answers],
        overview=_overview(kept.answers),
        days=[
            {"name": c.day, "runs": c.runs, "seeds": _span(c.seeds), "why": c.why, "rows": _rows(c), "chart": _runs(c)}
            for c in kept.answers
        ],
        about=[
            ("version of A", q.versions[0]),
            ("version of B", q.versions[1]),
            ("model", q.program),
            ("fit", q.fit),
            ("first seed", q.seed),
            ("runs at most", q.runs),
            ("stops once within", q.narrow),
            *((f"traffic of {d.name}", d.traffic or "the day's own script") for d in q.days),
        ],
    )


def describe_arm(arm: Arm, version: str) -> str:
    """An arm in words."""
    parts = [f"version {version}" + (f" from {arm.version}" if arm.version else "")]
    parts += [f"with {c}" for c in arm.changes] + [f"with {k} = {v:g}" for k, v in arm.constants]
    return ", ".join(parts)


def _span(seeds: list[int]) -> str:
    return f"{min(seeds)} to {max(seeds)}" if seeds else "none"


def _ordered(c: DayComparison) -> list[tuple[str, Interval]]:
    """Figures by name, the main one first, however the comparison came to be read."""
    return sorted(c.intervals.items(), key=lambda row: (row[0] != MAIN, row[0]))


def _rows(c: DayComparison) -> list[dict[str, object]]:
    out: list[dict[str, object]] = []
    for figure, v in _ordered(c):
        a, b = (math.fsum(r.figures[figure] for r in rows) / max(1, len(rows)) for rows in (c.a, c.b))
        numbers = [f"{a:.4f}", f"{b:.4f}", f"{v.mean:+.4f}", f"{v.low:+.4f}", f"{v.high:+.4f}"]
        out.append({"figure": figure, "numbers": numbers, "told": figure in c.told})
    return out


def _svg(figure: Figure, salt: str) -> Markup:
    buffer = io.StringIO()
    with matplotlib.rc_context({"svg.hashsalt": salt, "svg.fonttype": "none"}):
        figure.savefig(buffer, format="svg", metadata={"Date": None, "Creator": None})
    text = buffer.getvalue()
    return Markup(re.sub(r"^.*?(?=<svg)", "", text, count=1, flags=re.S))


def _overview(answers: list[DayComparison]) -> Markup:
    """Every figure's interval on every day, the main one's first."""
    rows = [
        (f"{c.day}: {f}", v, f in c.told)
        for c in answers
        for f, v in _ordered(c)
        if f == MAIN or f in c.told or f == "worst 5 s"
    ]
    figure = Figure(figsize=(8, 0.8 + 0.32 * len(rows)), layout="constrained")
    axes = figure.subplots()
    for k, (_, v, told) in enumerate(rows):
        low, high = max(v.low, -1.0), min(v.high, 1.0)
        axes.plot([low, high], [k, k], color="#c60" if told else "#888", linewidth=2)
        axes.plot([v.mean], [k], "o", color="#c60" if told else "#444", markersize=5)
    axes.axvline(0, color="#222", linewidth=0.8)
    axes.set_yticks(range(len(rows)), [name for name, _, _ in rows])
    axes.invert_yaxis()
    axes.set_xlabel("B - A, share of worth")
    return _svg(figure, "overview")


def _runs(c: DayComparison) -> Markup:
    """Worth of A and B in each paired run."""
    a, b = (np.array([r.figures[MAIN] for r in rows]) for rows in (c.a, c.b))
    figure = Figure(figsize=(8, 2.6), layout="constrained")
    axes = figure.subplots()
    axes.vlines(c.seeds, np.minimum(a, b), np.maximum(a, b), color="#bbb")
    axes.plot(c.seeds, a, "o", color="#06c", markersize=4, label="A")
    axes.plot(c.seeds, b, "s", color="#c60", markersize=4, label="B")
    axes.set_xlabel("seed")
    axes.set_ylabel(MAIN)
    axes.legend(loc="best")
    return _svg(figure, c.day)
