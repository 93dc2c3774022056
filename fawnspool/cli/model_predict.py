"""`fawnspool model predict`, `hold`, `describe` and `rollout`."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import click
import msgspec

from fawnspool.cli.common import BROKEN, fail, parse_seeds, print_json, table
from fawnspool.cli.model_run import _constant, _days, _read_fit, command, measured, played
from fawnspool.config.render import render
from fawnspool.model import predict as predicting
from fawnspool.model.compare import runner
from fawnspool.model.fit import Fit


@command.command("predict")
@click.argument("names", metavar="DAY,DAY...")
@click.option("--seeds", required=True, help="Comma between.")
@click.option("--out", required=True, type=click.Path(dir_okay=False), help="A new file.")
@click.option("--fit", "fit_file", type=click.Path(dir_okay=False), help="Parameters from `model fit`.")
@click.option("--beyond", is_flag=True, help="Predict also what the fit has not seen.")
@click.option("--runs", type=click.IntRange(2), default=12, help="Model runs a prediction.")
@click.option("--workers", type=click.IntRange(1), default=1, help="Processes; the figures stay the same.")
@click.option("--folder", default="days", help="Folder of day files.")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def predict(
    names: str,
    seeds: str,
    out: str,
    fit_file: str | None,
    beyond: bool,
    runs: int,
    workers: int,
    folder: str,
    as_json: bool,
) -> None:
    """Write predictions of DAYs' worth before they are played. An old file is never written over."""
    days = _days(names, folder)
    got: Fit | None = _read_fit(fit_file) if fit_file else None
    if Path(out).exists():
        fail(f"{out}: stands already; predictions are not changed: give another name")
    outside = [f"{n}: {text}" for n, day in days for text in got.refuses(day)] if got is not None else []
    if outside and not beyond:
        fail("outside what was seen (use --beyond to predict all the same):\n" + "\n".join(outside))
    numbers, run, rows = parse_seeds(seeds), runner(workers), []
    for name, day in days:
        digest = predicting.text_hash(render(day).encode())
        rows += [predicting.predict(name, day, digest, seed, got, runs, run) for seed in numbers]
    said = predicting.Prediction(time.time(), predicting.fit_hash(got), rows)
    Path(out).write_bytes(msgspec.json.format(msgspec.json.encode(said)))
    if as_json:
        return print_json(msgspec.to_builtins(said))
    table(
        "Predicted worth, simulated",
        ["day", "seed", "mean", "low", "high", "luck"],
        [[r.day, r.seed, r.mean, r.low, r.high, r.luck] for r in rows],
    )


@command.command("hold")
@click.argument("prediction", type=click.Path(exists=True, dir_okay=False))
@click.argument("folders", metavar="FOLDER...", nargs=-1, required=True, type=click.Path(exists=True, file_okay=False))
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def hold(prediction: str, folders: tuple[str, ...], as_json: bool) -> None:
    """Hold PREDICTION against what `drill run --out FOLDER` measured later. Exit code 1: under nine in ten inside."""
    try:
        said = msgspec.json.decode(Path(prediction).read_bytes(), type=predicting.Prediction)
    except msgspec.DecodeError as bad:
        fail(f"{prediction}: is no prediction: {bad}")
    found: dict[tuple[str, int], tuple[float, bool]] = {}
    for folder in folders:
        day = Path(folder) / "day.hcl"
        if not day.is_file():
            fail(f"{folder}: holds no day.hcl: is it of `drill run --out`?")
        if day.stat().st_mtime < said.made:
            fail(f"{folder}: was measured before the prediction was written")
        seed, share, kept = measured(folder)
        found[predicting.text_hash(day.read_bytes()), seed] = (share, kept)
    rows = predicting.hold(said.rows, found)
    if not rows:
        fail("none of these runs was predicted there")
    inside = sum(r.inside for r in rows)
    width = sum(r.row.high - r.row.low for r in rows) / len(rows)
    if as_json:
        print_json({"rows": msgspec.to_builtins(rows), "inside": inside, "of": len(rows), "width": width})
    else:
        heads = ["day", "seed", "low", "mean", "high", "measured", "off", "inside", "rules"]
        table(
            "Predicted and measured worth",
            heads,
            [
                [
                    r.row.day,
                    r.row.seed,
                    r.row.low,
                    r.row.mean,
                    r.row.high,
                    r.measured,
                    r.measured - r.row.mean,
                    "yes" if r.inside else "NO",
                    "kept" if r.kept else "BROKEN",
                ]
                for r in rows
            ],
        )
        off = sum(r.measured - r.row.mean for r in rows) / len(rows)
        click.echo(f"{inside} of {len(rows)} inside; mean width {width:.4f}; off in the mean by {off:+.4f}")
    sys.exit(0 if inside >= 0.9 * len(rows) else BROKEN)


@command.command("describe")
@click.argument("folders", metavar="FOLDER|FILE...", nargs=-1, required=True, type=click.Path(exists=True))
@click.option("--out", required=True, type=click.Path(dir_okay=False), help="Keep the description here, as JSON.")
@click.option("--replay", is_flag=True, help="Keep the requests themselves, to be asked again as they were.")
@click.option("--same-clock", is_flag=True, help="One machine wrote all recordings since its last boot.")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def describe(folders: tuple[str, ...], out: str, replay: bool, same_clock: bool, as_json: bool) -> None:
    """Describe the traffic of a folder that `drill run --out` left, or of heads' recordings (.mrec files)."""
    from fawnspool.model import seen as seeing
    from fawnspool.model.traffic import describe as describing
    from fawnspool.records.frames import RecordingError

    try:
        if len(folders) == 1 and Path(folders[0]).is_dir():
            recorded = seeing.from_clients(*played(folders[0]))
        else:
            recorded = seeing.from_modules(folders, same_clock)
        got = describing(recorded)
    except (seeing.TrafficError, RecordingError, OSError) as bad:
        fail(str(bad))
    Path(out).write_bytes(msgspec.json.format(msgspec.json.encode(recorded if replay else got)))
    if as_json:
        return print_json(msgspec.to_builtins(got))
    table(
        f"{len(recorded.asked)} requests of {got.length:.1f} s at {got.heads} heads",
        ["what", "value"],
        [
            ["groups a second", got.rate],
            ["bursts, all together: sd of the log rate", got.together.sd],
            ["... kept from second to second", got.together.keeps],
            ["bursts of one volume: sd", got.alone.sd],
            ["skew over a volume's heads", got.skew],
            ["a lead lasts, s", got.lead_every],
            ["tries again", got.retries],
            ["after, s", got.backoff],
        ],
    )
    table(
        "Plans and classes",
        ["plan", "class", "share", "units", "run", "patience s", "seen"],
        [
            [p, c, plan.share * s.share, s.units[10], s.runs[10], s.patience[10], s.seen]
            for p, plan in got.plans.items()
            for c, s in plan.classes.items()
        ],
    )
    for text in [*recorded.notes, *got.poor]:
        click.echo(text)


@command.command("rollout")
@click.argument("day_name", metavar="DAY")
@click.argument("new", metavar="VERSION")
@click.option("--old", default="", help="The version that runs now; left out: this program's.")
@click.option("--const", "constants", multiple=True, metavar="NAME=VALUE", help="Set a number of the new module.")
@click.option("--length", type=click.FloatRange(10), default=None, help="Seconds; left out: the day's.")
@click.option("--heads", type=click.IntRange(2), default=None, help="Left out: the day's.")
@click.option("--rate", type=click.FloatRange(1), default=None, help="Requests a second; left out: the day's.")
@click.option("--loss", type=float, default=0.05, help="Worth, head for head, that may be lost and still go on.")
@click.option("--spend", type=float, default=0.05, help="Of the fleet's worth over --span that all of it may cost.")
@click.option("--span", type=float, default=600.0, help="Seconds.")
@click.option("--window", type=float, default=2.0, help="Seconds of one look.")
@click.option("--seed", type=int, default=1)
@click.option("--folder", default="days", help="Folder of day files.")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def rollout(
    day_name: str,
    new: str,
    old: str,
    constants: tuple[str, ...],
    length: float | None,
    heads: int | None,
    rate: float | None,
    loss: float,
    spend: float,
    span: float,
    window: float,
    seed: int,
    folder: str,
    as_json: bool,
) -> None:
    """Play a staged roll-out of VERSION (a checkout, a scheduler.py, a wheel, or "" with --const) over a simulated DAY.

    Exit code 1 where it is sent back."""
    from dataclasses import replace

    from fawnspool.model.staged import Staged, show, spread_of
    from fawnspool.model.versions import VersionError
    from fawnspool.model.versions import load as version
    from fawnspool.rollout.controller import RolloutVerdict
    from fawnspool.rollout.limits import SHORT_TRIAL, PlanError

    (name, day), *_ = _days(day_name, folder)
    day = replace(
        day,
        day=replace(day.day, length=length or day.day.length, heads=heads or day.day.heads),
        load=replace(day.load, rate=rate or day.load.rate),
    )
    bound = replace(SHORT_TRIAL, max_loss=loss, max_spend=spend, spend_period_s=span, window_s=window)
    try:
        before, _ = version(old)
        after, _ = version(new, dict(_constant(c) for c in constants))
        spread = spread_of(day, seed + 1, before, bound)
        came = Staged(day, seed, before, after, bound, spread).play()
    except (VersionError, PlanError, ValueError) as bad:
        fail(str(bad))
    if as_json:
        print_json(
            {
                "day": name,
                "seed": seed,
                "verdict": came.verdict.value,
                "why": came.why,
                "upgraded": came.upgraded,
                "worth": came.share,
                "steps": came.steps,
                "broken": came.broken,
                "spread": spread,
            }
        )
    else:
        click.echo(f"{name}, seed {seed}, simulated; one head's window varies by {spread:.3f}")
        for line in show(came):
            click.echo(line)
        click.echo(f"{came.verdict.value}: {came.why}; {came.upgraded} heads had it; worth of the day {came.share:.3f}")
        for text in came.broken:
            click.echo(f"BROKEN {text}")
    sys.exit(BROKEN if came.verdict is RolloutVerdict.ROLL_BACK else 0)
