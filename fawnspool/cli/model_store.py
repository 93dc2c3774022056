"""`fawnspool model list`, `show`, `report` and `again`: comparisons that were kept."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec

from fawnspool.cli.common import BROKEN, fail, print_json, table
from fawnspool.cli.model_run import command
from fawnspool.config.schema import ConfigError, parse
from fawnspool.days.checks import check_day
from fawnspool.days.day import Day
from fawnspool.model import compare as comparing
from fawnspool.model.fit import Fit
from fawnspool.model.params import Params
from fawnspool.model.seen import TrafficError
from fawnspool.model.store import Kept, Store, StoreError, program_hash

_STORE = click.option("--store", "folder", default="comparisons", help="Folder of kept comparisons.")


def _get(folder: str, ident: str) -> Kept:
    try:
        return Store(folder).get(ident)
    except StoreError as bad:
        fail(str(bad))


@command.command("list")
@_STORE
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def list_(folder: str, as_json: bool) -> None:
    """What was compared and kept."""
    try:
        kept = list(Store(folder).all())
    except StoreError as bad:
        fail(str(bad))
    if as_json:
        return print_json([{"id": k.ident, "question": msgspec.to_builtins(k.question)} for k in kept])
    table(
        f"Comparisons in {folder}",
        ["id", "A", "B", "day", "answer"],
        [
            [k.ident, _arm(k.question.a), _arm(k.question.b), c.day, comparing.words(c, k.question.a, k.question.b)]
            for k in kept
            for c in k.answers
        ],
    )


def _arm(arm: comparing.Arm) -> str:
    return " ".join([arm.version or "this", *arm.changes, *(f"{k}={v:g}" for k, v in arm.constants)])


@command.command("show")
@click.argument("ident", metavar="ID")
@_STORE
def show(ident: str, folder: str) -> None:
    """The answers of one comparison."""
    kept = _get(folder, ident)
    for c in kept.answers:
        for text in c.broken:
            click.echo(f"BROKEN {text}")
        click.echo(comparing.words(c, kept.question.a, kept.question.b))


@command.command("report")
@click.argument("ident", metavar="ID")
@click.option("--out", type=click.Path(dir_okay=False), help="Left out: ID.html.")
@_STORE
def report(ident: str, out: str | None, folder: str) -> None:
    """One self-contained HTML page; the same comparison gives the same bytes."""
    from fawnspool.model.report import page

    kept = _get(folder, ident)
    path = Path(out or f"{kept.ident}.html")
    path.write_text(page(kept), encoding="utf-8")
    click.echo(str(path))


@command.command("again")
@click.argument("ident", metavar="ID")
@click.option("--workers", type=click.IntRange(1), default=1, help="Processes; the figures stay the same.")
@click.option("--fit", "fit_file", type=click.Path(exists=True, dir_okay=False), help="The fit that was used then.")
@click.option("--traffic", "traffic_file", type=click.Path(exists=True, dir_okay=False), help="The traffic used then.")
@_STORE
def again(ident: str, workers: int, fit_file: str | None, traffic_file: str | None, folder: str) -> None:
    """Play a kept comparison again. Exit code 1 where the answer is another."""
    from fawnspool.cli.model_run import _read_fit, traffic_hash, traffic_of
    from fawnspool.model.predict import fit_hash
    from fawnspool.model.versions import VersionError
    from fawnspool.model.versions import load as version

    kept = _get(folder, ident)
    q = kept.question
    if q.program != program_hash():
        click.echo(f"the model has changed since ({q.program} then, {program_hash()} now): the answer may differ")
    got: Fit | None = _read_fit(fit_file) if fit_file else None
    if fit_hash(got) != q.fit:
        fail(f"the comparison used the fit {q.fit}, not {fit_hash(got)}: give it with --fit")
    traffic = traffic_of(traffic_file)
    if q.days and q.days[0].traffic != traffic_hash(traffic):
        fail(f"the comparison used the traffic {q.days[0].traffic or 'of the days'}: give it with --traffic")
    try:
        now = tuple(version(arm.version, dict(arm.constants))[1] for arm in (q.a, q.b))
        if now != q.versions:
            fail(f"the versions have changed: {', '.join(q.versions)} then, {', '.join(now)} now")
        days = [(d.name, parse(d.text, d.name, Day, check_day)) for d in q.days]
        answers = [
            comparing.compare(
                name,
                day,
                q.a,
                q.b,
                q.runs,
                comparing.runner(workers),
                narrow=q.narrow,
                first_seed=q.seed,
                params=got.drawn if got else lambda seed: Params(),
                traffic=traffic,
            )
            for name, day in days
        ]
    except (ConfigError, VersionError, TrafficError, comparing.ChangeError) as bad:
        fail(str(bad))
    same = Kept(q, answers).text() == kept.text()
    click.echo("the same answer, to the last digit" if same else "ANOTHER ANSWER")
    for c in answers:
        click.echo(comparing.words(c, q.a, q.b))
    sys.exit(0 if same else BROKEN)
