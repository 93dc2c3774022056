"""Comparisons that are kept and shown again, predictions before their runs, and the commands round them."""

from __future__ import annotations

import json
import os
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner, Result

from fawnspool.cli.main import main
from fawnspool.config.render import render
from fawnspool.config.schema import load
from fawnspool.days.checks import check_day
from fawnspool.days.day import Day
from fawnspool.model.compare import Arm, RunFigures, compare
from fawnspool.model.fit import Fit, Part
from fawnspool.model.predict import Predicted, Prediction, hold, misfit, predict
from fawnspool.model.report import page
from fawnspool.model.store import AskedDay, Kept, Question, Store, StoreError

ROOT = Path(__file__).parent.parent


def run(*args: str) -> Result:
    return CliRunner().invoke(main, list(args))


def small(tmp_path: Path, name: str = "small", **day: object) -> Path:
    """A day of two seconds as a file."""
    one = load(ROOT / "days/burst.hcl", Day, check_day)
    one = replace(
        one,
        day=replace(one.day, length=2.0, **day),  # type: ignore[arg-type]
        trouble=tuple(replace(x, at=0.5, length=1.0) for x in one.trouble),
    )
    (tmp_path / f"{name}.hcl").write_text(render(one))
    return tmp_path / f"{name}.hcl"


def kept(answer: float = 0.1) -> Kept:
    q = Question(
        Arm("A"),
        Arm("B", "", ("plan.basic.weight=2",), (("BOUND_ALL", 8.0),)),
        ("aaa", "bbb"),
        "ppp",
        (AskedDay("calm", "text"),),
        4,
        0.005,
        1,
    )

    def fake(jobs: object) -> list[RunFigures]:
        return [
            RunFigures(
                {"worth": 0.8 + answer * (arm.name == "B") + 0.001 * seed, "worst 5 s": 0.5},
                ("order kept: <op 3>",) if seed == 2 and arm.name == "B" else (),
            )
            for _, arm, seed, *_ in jobs
        ]  # type: ignore[attr-defined]

    day = load(ROOT / "days/burst.hcl", Day, check_day)
    return Kept(q, [compare("calm", day, q.a, q.b, 4, fake)])  # type: ignore[arg-type]


def test_a_comparison_is_found_again_by_its_question(tmp_path: Path) -> None:
    store, one = Store(tmp_path), kept()
    path = store.keep(one)
    assert path.stem == one.ident and store.get(one.ident[:5]).text() == one.text()
    assert store.keep(kept()) == path and len(list(store.all())) == 1
    assert [r.figures for r in store.get(one.ident).answers[0].a] == [r.figures for r in one.answers[0].a]


def test_another_answer_to_a_question_is_never_written_over(tmp_path: Path) -> None:
    store = Store(tmp_path)
    path = store.keep(kept())
    before = path.read_bytes()
    with pytest.raises(StoreError, match="another answer"):
        store.keep(kept(0.2))
    assert path.read_bytes() == before


def test_a_store_that_was_changed_or_does_not_read_is_told(tmp_path: Path) -> None:
    store, one = Store(tmp_path), kept()
    path = store.keep(one)
    with pytest.raises(StoreError, match=f"kept there: {one.ident}"):
        store.get("zz")
    with pytest.raises(StoreError, match="0 comparisons"):
        store.get("")
    path.write_bytes(path.read_bytes().replace(b'"runs": 4', b'"runs": 5'))
    with pytest.raises(StoreError, match="changed or renamed"):
        list(store.all())
    path.write_text("{")
    with pytest.raises(StoreError, match="does not read"):
        list(store.all())


def test_a_page_is_the_same_bytes_each_time_and_needs_nothing_beside_it() -> None:
    one = kept()
    text = page(one)
    assert text == page(msgspec.json.decode(one.text(), type=Kept))
    assert text.count("<svg") == 2 and "http://" not in text.replace("http://www.w3.org", "").replace(
        "http://purl.org", ""
    ).replace("http://creativecommons.org", "")
    assert "<script" not in text and 'src="' not in text
    assert "Broken rule. calm: B, seed 2: order kept: &lt;op 3&gt;" in text
    assert "with plan.basic.weight=2, with BOUND_ALL = 8" in text and one.ident in text
    assert text.index("Broken rule") < text.index("B is better")


def test_kept_by_command_listed_shown_reported_and_played_again(tmp_path: Path) -> None:
    day, store = small(tmp_path), str(tmp_path / "store")
    came = run(
        "model", "compare", "--days", str(day), "--runs", "2", "--const-b", "MAX_REQUESTS_AT_NODE=3", "--keep", store
    )
    assert came.exit_code == 0 and "kept as" in came.output, came.output
    ident = next(Path(store).glob("*.json")).stem
    listed = json.loads(run("model", "list", "--store", store, "--json").output)
    assert [x["id"] for x in listed] == [ident]
    assert "small:" in run("model", "show", ident[:4], "--store", store).output
    pages = [tmp_path / "a.html", tmp_path / "b.html"]
    for p in pages:
        assert run("model", "report", ident, "--store", store, "--out", str(p)).exit_code == 0
    assert pages[0].read_bytes() == pages[1].read_bytes()
    again = run("model", "again", ident, "--store", store)
    assert again.exit_code == 0 and "the same answer" in again.output, again.output
    path = Path(store) / f"{ident}.json"
    row = msgspec.json.decode(path.read_bytes(), type=Kept)
    row.answers[0].a[0].figures["worth"] += 0.5
    path.write_bytes(row.text())
    doctored = run("model", "again", ident, "--store", store)
    assert doctored.exit_code == 1 and "ANOTHER ANSWER" in doctored.output
    assert run("model", "show", "nothing", "--store", store).exit_code == 2


# ---------------------------------------------------------------- predictions


def shares(values: list[float]) -> object:
    return lambda jobs: [RunFigures({"worth": values[k % len(values)]}) for k, _ in enumerate(jobs)]


def test_an_interval_holds_luck_and_what_the_model_misses() -> None:
    day = load(ROOT / "days/burst.hcl", Day, check_day)
    sure = predict("d", day, "h", 1, None, 12, shares([0.8]))  # type: ignore[arg-type]
    assert sure.low == pytest.approx(0.8) and sure.high == pytest.approx(0.8)
    luck = predict("d", day, "h", 1, None, 12, shares([0.79, 0.81]))  # type: ignore[arg-type]
    assert luck.low < 0.79 and luck.high > 0.81 and luck.high - luck.low < 0.06
    fit = Fit({}, misfit=0.02)
    both = predict("d", day, "h", 1, fit, 12, shares([0.79, 0.81]))  # type: ignore[arg-type]
    assert both.high - both.low > luck.high - luck.low and both.misfit == 0.02


def test_luck_changes_delays_and_not_what_is_asked(tmp_path: Path) -> None:
    from fawnspool.model.world import World
    from fawnspool.scheduling.scheduler import Scheduler

    day = load(small(tmp_path), Day, check_day)
    worlds = [World(day, 1, Scheduler, luck=k) for k in (0, 1, 2)]
    assert worlds[0].ops == worlds[1].ops
    assert worlds[0].slow_cells == worlds[1].slow_cells and worlds[0].held_sizes == worlds[1].held_sizes
    assert len({str(w.run()) for w in worlds}) == 3


def test_misfit_is_what_lies_beyond_luck() -> None:
    assert misfit([]) == 0.0
    assert misfit([(0.80, 0.80, 0.01, 10), (0.79, 0.80, 0.01, 10)]) == 0.0
    assert misfit([(0.75, 0.80, 0.0, 10), (0.85, 0.80, 0.0, 10)]) == pytest.approx(0.05)


def played(folder: Path, day: Path, seed: int, share: float, kept_: bool = True) -> Path:
    folder.mkdir()
    (folder / "day.hcl").write_bytes(day.read_bytes())
    (folder / "result.json").write_text(json.dumps({"seed": seed, "kept": kept_, "whole": {"share": share}}))
    return folder


def test_predictions_come_first_and_are_held_against_their_own_runs_only(tmp_path: Path) -> None:
    day, out = small(tmp_path), tmp_path / "p.json"
    early = played(tmp_path / "early", day, 1, 0.9)
    os.utime(early / "day.hcl", (1.0, 1.0))
    came = run("model", "predict", str(day), "--seeds", "1,2", "--runs", "2", "--out", str(out))
    assert came.exit_code == 0, came.output
    assert run("model", "predict", str(day), "--seeds", "1", "--runs", "2", "--out", str(out)).exit_code == 2
    rows = msgspec.json.decode(out.read_bytes(), type=Prediction).rows
    assert [r.seed for r in rows] == [1, 2]
    late = run("model", "hold", str(out), str(early))
    assert late.exit_code == 2 and "before the prediction" in late.output
    well = [played(tmp_path / f"r{k}", day, r.seed, (r.low + r.high) / 2) for k, r in enumerate(rows)]
    came = run("model", "hold", str(out), *map(str, well), "--json")
    assert came.exit_code == 0 and json.loads(came.output)["inside"] == 2
    off = played(tmp_path / "off", day, 1, rows[0].low - 0.1)
    came = run("model", "hold", str(out), str(off))
    assert came.exit_code == 1 and "0 of 1 inside" in came.output
    other = played(tmp_path / "other", small(tmp_path, "other", heads=3), 1, 0.9)
    assert "none of these runs was predicted" in run("model", "hold", str(out), str(other)).output


def test_hold_pairs_by_day_and_seed() -> None:
    rows = [Predicted("a", "x", s, 0.8, 0.7, 0.9, 0.0, 0.0, 0.95, 3) for s in (1, 2)]
    held = hold(rows, {("x", 2): (0.95, True), ("y", 1): (0.8, True)})
    assert [(h.row.seed, h.inside) for h in held] == [(2, False)]


def test_a_fit_refuses_what_it_has_not_seen_and_beyond_says_so(tmp_path: Path) -> None:
    day, fit = small(tmp_path), tmp_path / "fit.json"
    fit.write_bytes(msgspec.json.encode(Fit({"unit_scale": Part(1.0, 0.01, 100)}, classes=("tile-read",), rate=1.0)))
    args = (
        "model",
        "predict",
        str(day),
        "--seeds",
        "1",
        "--runs",
        "2",
        "--fit",
        str(fit),
        "--out",
        str(tmp_path / "p.json"),
    )
    came = run(*args)
    assert came.exit_code == 2 and "class log-write was not seen" in came.output and not (tmp_path / "p.json").exists()
    assert run(*args, "--beyond").exit_code == 0


def test_a_version_that_raises_is_compared_and_counted(tmp_path: Path) -> None:
    text = (ROOT / "fawnspool/scheduling/scheduler.py").read_text()
    at = text.index("    def handle(self, now")
    end = text.index("\n", text.index("->", at)) + 1
    (tmp_path / "scheduler.py").write_text(
        text[:end] + "        if now > 1002.0 and now < 1002.2:\n            raise ValueError('no')\n" + text[end:]
    )
    came = run("model", "run", str(small(tmp_path)), "--version", str(tmp_path / "scheduler.py"), "--json")
    said = json.loads(came.output)
    assert said["errors"] > 0 and said["figures"]["worth"] < 1


def test_traffic_by_command_described_and_compared_at_another_size(tmp_path: Path) -> None:
    from fawnspool.model.world import World
    from fawnspool.records.frames import FrameWriter
    from fawnspool.scheduling.scheduler import Scheduler

    day = load(small(tmp_path), Day, check_day)
    day = replace(day, day=replace(day.day, length=12.0))
    world = World(day, 1, Scheduler)
    world.run()
    folder = tmp_path / "run"
    (folder / "module").mkdir(parents=True)
    (folder / "day.hcl").write_text(render(day))
    writer = FrameWriter(folder / "module" / "all.rec")
    for row in world.rows:
        writer.add(row)
    writer.close()
    traffic = tmp_path / "t.json"
    came = run("model", "describe", str(folder), "--out", str(traffic))
    assert came.exit_code == 0 and "groups a second" in came.output, came.output
    came = run(
        "model",
        "compare",
        "--days",
        str(small(tmp_path)),
        "--runs",
        "2",
        "--traffic",
        str(traffic),
        "--heads",
        "5",
        "--rate",
        "40",
        "--json",
    )
    assert came.exit_code == 0, came.output
    replay, store = tmp_path / "r.json", str(tmp_path / "store")
    assert run("model", "describe", str(folder), "--out", str(replay), "--replay").exit_code == 0
    came = run("model", "run", str(small(tmp_path)), "--traffic", str(replay), "--json")
    assert came.exit_code == 0 and 0.5 < json.loads(came.output)["figures"]["worth"] <= 1, came.output
    came = run(
        "model", "compare", "--days", str(small(tmp_path)), "--runs", "2", "--traffic", str(replay), "--keep", store
    )
    assert came.exit_code == 0, came.output
    ident = next(Path(store).glob("*.json")).stem
    assert "give it with --traffic" in run("model", "again", ident, "--store", store).output
    assert run("model", "again", ident, "--store", store, "--traffic", str(replay)).exit_code == 0
    assert run("model", "compare", "--days", str(small(tmp_path)), "--heads", "5").exit_code == 2
    assert run("model", "describe", str(tmp_path / "small.hcl"), "--out", str(traffic)).exit_code == 2


def test_a_roll_out_by_command(tmp_path: Path) -> None:
    day = ROOT / "days/lead-moves.hcl"
    came = run(
        "model",
        "rollout",
        str(day),
        "",
        "--const",
        "MAX_REQUESTS_AT_NODE=64",
        "--length",
        "20",
        "--heads",
        "4",
        "--rate",
        "60",
        "--loss",
        "0.2",
        "--spend",
        "0.2",
        "--json",
    )
    said = json.loads(came.output)
    assert said["verdict"] in ("go on", "wait", "done") and said["steps"][0][1].startswith("go on"), said
    assert run("model", "rollout", str(day), str(tmp_path / "none.py")).exit_code == 2
    assert "raise spend" in run("model", "rollout", str(day), "", "--spend", "0.0001", "--length", "10").output
