"""`fawnspool model`."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from fawnspool.cli.common import BROKEN, EXIT_CODES, config_error, fail, print_json, table
from fawnspool.config.schema import ConfigError, load
from fawnspool.days.checks import check_day
from fawnspool.days.day import Day
from fawnspool.model.params import Params


@click.group("model", epilog=EXIT_CODES)
def command() -> None:
    """The fleet in simulated time: play days, compare two versions or settings."""


def _days(names: str, folder: str) -> list[tuple[str, Day]]:
    out = []
    for name in names.split(","):
        path = Path(name) if Path(name).is_file() else Path(folder) / f"{name}.hcl"
        if not path.is_file():
            known = ", ".join(sorted(p.stem for p in Path(folder).glob("*.hcl"))) or f"none in {folder}/"
            fail(f"there is no day {name!r}; days here: {known}")
        try:
            out.append((path.stem, load(path, Day, check_day)))
        except ConfigError as bad:
            config_error(bad, False)
    return out


@command.command("fit")
@click.argument("folders", metavar="FOLDER...", nargs=-1, required=True, type=click.Path(exists=True, file_okay=False))
@click.option("--out", required=True, type=click.Path(dir_okay=False), help="Keep the fit here, as JSON.")
@click.option(
    "--runs",
    type=click.IntRange(0),
    default=6,
    help="Model runs of each folder's day, to see how far the model is off on them; 0: not looked at.",
)
@click.option("--workers", type=click.IntRange(1), default=1, help="Processes; the figures stay the same.")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def fit(folders: tuple[str, ...], out: str, runs: int, workers: int, as_json: bool) -> None:
    """Estimate the model's parameters from what `drill run --out FOLDER` left."""
    import msgspec

    from fawnspool.model import fit as fitting
    from fawnspool.model import predict as predicting
    from fawnspool.model.compare import runner

    runs_played = [played(folder, as_json) for folder in folders]
    got = fitting.fit(runs_played)
    missed = []
    if runs:
        for folder, (day, _) in zip(folders, runs_played, strict=True):
            seed, share, _ = measured(folder)
            row = predicting.predict(Path(folder).name, day, "", seed, got, runs, runner(workers))
            missed.append((share, row.mean, row.luck, runs))
        got.misfit = predicting.misfit(missed)
    Path(out).write_bytes(msgspec.json.format(msgspec.json.encode(got)))
    if as_json:
        return print_json(msgspec.to_builtins(got))
    table(
        f"Fit of {got.runs} runs",
        ["parameter", "value", "standard error", "seen"],
        [
            [name, f"{p.value:.6g}", f"{p.error:.2g}", p.seen]
            for name, p in (*got.parts.items(), *((f"class {c}", p) for c, p in got.by_class.items()))
        ],
    )
    if missed:
        table(
            "The same days on the model",
            ["folder", "measured", "model", "off", "luck"],
            [[Path(f).name, x, m, x - m, s] for f, (x, m, s, _) in zip(folders, missed, strict=True)],
        )
        off = sum(x - m for x, m, _, _ in missed) / len(missed)
        click.echo(f"off in the mean by {off:+.4f}; beyond luck by {got.misfit:.4f} (standard deviation)")
    for text in got.poor:
        click.echo(f"poor: {text}: too little was seen")


def played(folder: str, as_json: bool = False) -> tuple[Day, list[dict[str, Any]]]:
    """The day and the records that `drill run --out FOLDER` left."""
    from fawnspool.records.frames import RecordingError, rows_of

    try:
        return load(Path(folder) / "day.hcl", Day, check_day), list(rows_of(Path(folder) / "module"))
    except ConfigError as bad:
        config_error(bad, as_json)
    except RecordingError as bad:
        fail(str(bad))


def measured(folder: str) -> tuple[int, float, bool]:
    """(seed, worth, rules kept) of a played day."""
    path = Path(folder) / "result.json"
    try:
        said = json.loads(path.read_text())
        return int(said["seed"]), float(said["whole"]["share"]), bool(said["kept"])
    except (OSError, ValueError, KeyError) as bad:
        fail(f"{path}: is no result of `drill run --out`: {bad}")


def _read_fit(path: str) -> Any:
    import msgspec

    from fawnspool.model.fit import Fit

    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=Fit)
    except (OSError, msgspec.DecodeError) as bad:
        fail(f"{path}: is no fit: {bad}")


def _params(fit_file: str | None, days: list[tuple[str, Day]], beyond: bool) -> Callable[[int], Params]:
    """Parameters by seed: drawn within a fit's uncertainty, or the defaults."""
    if fit_file is None:
        return lambda seed: Params()
    got = _read_fit(fit_file)
    outside = [f"{name}: {text}" for name, day in days for text in got.refuses(day)]
    if outside and not beyond:
        fail("outside what was seen (use --beyond to predict all the same):\n" + "\n".join(outside))
    drawn: Callable[[int], Params] = got.drawn
    return drawn


@command.command("run")
@click.argument("day_name", metavar="DAY")
@click.option("--seed", type=int, default=1)
@click.option(
    "--version", "version", default="", help="A checkout, a scheduler.py or a wheel; left out: this program's."
)
@click.option("--set", "changes", multiple=True, metavar="NAME.NAME=VALUE", help="Change a setting of the day.")
@click.option("--days", "folder", default="days", help="Folder of day files.")
@click.option("--fit", "fit_file", type=click.Path(dir_okay=False), help="Parameters from `model fit`.")
@click.option("--beyond", is_flag=True, help="Predict also what the fit has not seen.")
@click.option(
    "--traffic",
    "traffic_file",
    type=click.Path(dir_okay=False),
    help="Clients ask what `model describe` wrote, not what the day's script says.",
)
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def run(
    day_name: str,
    seed: int,
    version: str,
    changes: tuple[str, ...],
    folder: str,
    fit_file: str | None,
    beyond: bool,
    traffic_file: str | None,
    as_json: bool,
) -> None:
    """Play DAY once in simulated time. Exit code 1 where a rule broke."""
    from fawnspool.model.compare import Arm, ChangeError, play
    from fawnspool.model.seen import TrafficError
    from fawnspool.model.traffic import Described, scaled
    from fawnspool.model.versions import VersionError

    (name, day), *_ = _days(day_name, folder)
    params = _params(fit_file, [(name, day)], beyond)
    try:
        traffic = traffic_of(traffic_file)
        if isinstance(traffic, Described):
            day = scaled(traffic, day, day.day.heads, day.day.nodes, traffic.rate, day.day.length)
        came = play(day, Arm("run", version, changes), seed, params(seed), traffic)
    except (ChangeError, VersionError, TrafficError) as bad:
        fail(str(bad))
    if as_json:
        print_json(
            {
                "day": name,
                "seed": seed,
                "simulated": True,
                "figures": came.figures,
                "broken": came.broken,
                "errors": came.errors,
            }
        )
    else:
        table(f"{name}, seed {seed}, simulated", ["figure", "share"], list(came.figures.items()))
        for text in came.broken:
            click.echo(f"BROKEN {text}")
        if came.errors:
            click.echo(f"the module raised {came.errors} times")
    sys.exit(BROKEN if came.broken else 0)


@command.command("compare")
@click.argument("a", metavar="A", default="")
@click.argument("b", metavar="B", default="")
@click.option("--days", "names", required=True, help="Days, comma between.")
@click.option("--runs", type=click.IntRange(2), default=20, help="At most so many paired runs a day.")
@click.option("--workers", type=click.IntRange(1), default=1, help="Processes; the figures stay the same.")
@click.option("--set-a", multiple=True, metavar="NAME.NAME=VALUE", help="Change a setting for A.")
@click.option("--set-b", multiple=True, metavar="NAME.NAME=VALUE", help="Change a setting for B.")
@click.option("--const-a", multiple=True, metavar="NAME=VALUE", help="Set a number of A's module.")
@click.option("--const-b", multiple=True, metavar="NAME=VALUE", help="Set a number of B's module.")
@click.option("--narrow", type=click.FloatRange(0), default=0.005, help="Stop once worth is known so well either way.")
@click.option("--seed", type=int, default=1, help="Seed of the first run.")
@click.option("--folder", default="days", help="Folder of day files.")
@click.option("--fit", "fit_file", type=click.Path(dir_okay=False), help="Parameters from `model fit`.")
@click.option("--beyond", is_flag=True, help="Predict also what the fit has not seen.")
@click.option(
    "--traffic",
    "traffic_file",
    type=click.Path(dir_okay=False),
    help="Clients ask what `model describe` wrote, not what the day's script says.",
)
@click.option("--heads", type=click.IntRange(1), help="With a description of traffic: another size.")
@click.option("--nodes", type=click.IntRange(1), help="With a description of traffic: another size.")
@click.option("--rate", type=click.FloatRange(0.1), help="With a description: groups of requests a second.")
@click.option("--keep", "store", is_flag=False, flag_value="comparisons", help="Keep the answer in this folder.")
@click.option("--out", type=click.Path(dir_okay=False), help="Write the results here too, as JSON.")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def compare(
    a: str,
    b: str,
    names: str,
    runs: int,
    workers: int,
    set_a: tuple[str, ...],
    set_b: tuple[str, ...],
    const_a: tuple[str, ...],
    const_b: tuple[str, ...],
    narrow: float,
    seed: int,
    folder: str,
    fit_file: str | None,
    beyond: bool,
    traffic_file: str | None,
    heads: int | None,
    nodes: int | None,
    rate: float | None,
    store: str | None,
    out: str | None,
    as_json: bool,
) -> None:
    """Compare versions A and B (a checkout, a scheduler.py or a wheel; "": this program's) on simulated days.

    Runs are paired: the same day, seed and draws for both. Exit code 1 where either breaks a rule."""
    from fawnspool.model import compare as comparing
    from fawnspool.model.seen import TrafficError
    from fawnspool.model.traffic import Described, scaled
    from fawnspool.model.versions import VersionError

    days = _days(names, folder)
    traffic = traffic_of(traffic_file)
    if not isinstance(traffic, Described) and (heads or nodes or rate):
        fail(
            "--heads, --nodes and --rate go with a description of traffic (--traffic); else change the day: "
            "--set-a day.heads=... and --set-b"
        )
    params = _params(fit_file, days, beyond)
    try:
        if isinstance(traffic, Described):
            days = [
                (
                    name,
                    scaled(
                        traffic,
                        day,
                        heads or traffic.heads,
                        nodes or traffic.nodes or day.day.nodes,
                        rate or traffic.rate,
                        day.day.length,
                    ),
                )
                for name, day in days
            ]
        arms = [
            comparing.Arm(name, version, changes, tuple(_constant(text) for text in constants))
            for name, version, changes, constants in (("A", a, set_a, const_a), ("B", b, set_b, const_b))
        ]
        done = [
            comparing.compare(
                name,
                day,
                arms[0],
                arms[1],
                runs,
                comparing.runner(workers),
                narrow=narrow,
                first_seed=seed,
                params=params,
                traffic=traffic,
            )
            for name, day in days
        ]
    except (comparing.ChangeError, VersionError, TrafficError) as bad:
        fail(str(bad))
    said = [
        {
            "day": c.day,
            "runs": c.runs,
            "why": c.why,
            "answer": comparing.words(c, *arms),
            "broken": c.broken,
            "figures": {
                f: {
                    "a": sum(r.figures[f] for r in c.a) / c.runs,
                    "b": sum(r.figures[f] for r in c.b) / c.runs,
                    "difference": v.mean,
                    "low": v.low,
                    "high": v.high,
                    "told": f in c.told,
                }
                for f, v in c.intervals.items()
            },
        }
        for c in done
    ]
    if store:
        _keep(store, days, arms, done, runs, narrow, seed, fit_file, beyond, traffic)
    if out:
        Path(out).write_text(json.dumps({"a": vars(arms[0]), "b": vars(arms[1]), "seed": seed, "days": said}, indent=2))
    if as_json:
        print_json(said)
    else:
        for c, row in zip(done, said, strict=True):
            for text in c.broken[:5]:
                click.echo(f"BROKEN {text}")
            table(
                f"{c.day}, simulated, {c.runs} paired runs ({c.why})",
                ["figure", "A", "B", "B - A", "low", "high", "told"],
                [
                    [f, x["a"], x["b"], x["difference"], x["low"], x["high"], "yes" if x["told"] else ""]
                    for f, x in row["figures"].items()  # type: ignore[attr-defined]
                ],
            )
            click.echo(row["answer"])
    sys.exit(BROKEN if any(c.broken for c in done) else 0)


def traffic_of(path: str | None) -> Any:
    """A description of traffic, or recorded traffic, from a file; None for no file."""
    import msgspec

    from fawnspool.model.seen import Recorded
    from fawnspool.model.traffic import Described

    if path is None:
        return None
    try:
        data = Path(path).read_bytes()
        recorded = "asked" in msgspec.json.decode(data)
        return msgspec.json.decode(data, type=Recorded if recorded else Described)
    except (OSError, TypeError, msgspec.DecodeError) as bad:
        fail(f"{path}: is no traffic of `model describe`: {bad}")


def traffic_hash(traffic: Any) -> str:
    """Names a description; "": none."""
    import msgspec

    from fawnspool.model.predict import text_hash

    return "" if traffic is None else text_hash(msgspec.json.encode(traffic))


def _keep(
    store: str,
    days: list[tuple[str, Day]],
    arms: list[Any],
    done: list[Any],
    runs: int,
    narrow: float,
    seed: int,
    fit_file: str | None,
    beyond: bool,
    traffic: Any,
) -> None:
    from fawnspool.config.render import render
    from fawnspool.model.predict import fit_hash
    from fawnspool.model.store import AskedDay, Kept, Question, Store, StoreError, program_hash
    from fawnspool.model.versions import load as version

    texts = [render(day) for _, day in days]
    digest = traffic_hash(traffic)
    a, b = (version(arm.version, dict(arm.constants))[1] for arm in arms)
    got = _read_fit(fit_file) if fit_file else None
    kept = Kept(
        Question(
            arms[0],
            arms[1],
            (a, b),
            program_hash(),
            tuple(AskedDay(name, text, digest) for (name, _), text in zip(days, texts, strict=True)),
            runs,
            narrow,
            seed,
            fit_hash(got),
            beyond,
        ),
        done,
    )
    try:
        click.echo(f"kept as {Store(store).keep(kept)}")
    except StoreError as bad:
        fail(str(bad))


def _constant(text: str) -> tuple[str, float]:
    name, _, value = text.partition("=")
    try:
        return name, float(value)
    except ValueError:
        fail(f"expected NAME=NUMBER, found {text!r}")
