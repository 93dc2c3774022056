"""`fawnspool drill`."""

from __future__ import annotations

import json
import os
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import click

from fawnspool.cli.common import BROKEN, EXIT_CODES, UNREACHED, config_error, fail, parse_seeds, print_json, table
from fawnspool.config.render import render
from fawnspool.config.schema import ConfigError, load
from fawnspool.days.checks import check_day
from fawnspool.days.day import Day


@click.group("drill", epilog=EXIT_CODES)
def command() -> None:
    """Play a scripted day on real processes and judge the seven rules from what passed over the sockets."""


def _memory() -> str | None:
    """A folder in memory, where there is one: a disk that writes back makes every process of a drill stand still."""
    return "/dev/shm" if Path("/dev/shm").is_dir() and os.access("/dev/shm", os.W_OK) else None


def _find(name: str, folder: str) -> Path:
    for path in (Path(name), Path(folder) / f"{name}.hcl"):
        if path.is_file():
            return path
    known = ", ".join(sorted(p.stem for p in Path(folder).glob("*.hcl"))) or f"none in {folder}/"
    fail(f"there is no day {name!r}; days here: {known}")


@command.command("list")
@click.option("--days", "folder", default="days", help="Folder of day files.")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def list_days(folder: str, as_json: bool) -> None:
    """The days there are."""
    rows = []
    for path in sorted(Path(folder).glob("*.hcl")):
        try:
            day = load(path, Day, check_day)
        except ConfigError as bad:
            config_error(bad, as_json)
        rows.append(
            {
                "day": path.stem,
                "seconds": day.day.length,
                "heads": day.day.heads,
                "nodes": day.day.nodes,
                "troubles": ", ".join(day.kinds()),
                "title": day.title,
            }
        )
    if as_json:
        return print_json(rows)
    table("Days", ["day", "seconds", "heads", "nodes", "troubles", "title"], [list(r.values()) for r in rows])


@command.command("run")
@click.argument("day_name", metavar="DAY")
@click.option("--out", type=click.Path(file_okay=False), help="Keep configurations, logs and records here.")
@click.option("--seed", type=int, help="In place of the day's own.")
@click.option("--plain/--no-plain", default=True, help="Play it once more with a plain head, for comparison.")
@click.option("--policy", type=click.Choice(["module", "pass"]), default="module", help="`pass` decides nothing.")
@click.option("--days", "folder", default="days", help="Folder of day files.")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
@click.option("--quiet", is_flag=True, help="No lines while it runs.")
def run(
    day_name: str, out: str | None, seed: int | None, plain: bool, policy: str, folder: str, as_json: bool, quiet: bool
) -> None:
    """Play DAY (a file, or a name in ./days). Exit code 1 where a rule broke or a byte was wrong."""
    from fawnspool.drill.fleet import DrillError
    from fawnspool.drill.play import Play
    from fawnspool.drill.report import values

    path = _find(day_name, folder)
    try:
        day = load(path, Day, check_day)
    except ConfigError as bad:
        config_error(bad, as_json)
    number = day.day.seed if seed is None else seed
    with tempfile.TemporaryDirectory(prefix="fawnspool-drill-", dir=_memory()) as temporary:
        base = Path(out) if out else Path(temporary)

        def say(text: str) -> None:
            if not quiet:
                click.echo(text, err=True)

        try:
            result = Play(day, path.resolve(), base / policy, number, policy, say).run()
            other = None
            if plain and policy != "pass":
                say("the same day through plain heads")
                other = Play(day, path.resolve(), base / "pass", number, "pass").run()
        except DrillError as bad:
            fail(f"the day could not be played: {bad}", UNREACHED)
        said = values(day, number, result, other)
    if out:
        (Path(out) / "day.hcl").write_text(render(day))
        (Path(out) / "result.json").write_text(json.dumps(said, indent=2))
    if as_json:
        print_json(said)
    else:
        _tables(said)
    sys.exit(0 if said["kept"] else BROKEN)


def _tables(said: dict[str, Any]) -> None:
    names = ["class", "plan", "asked", "in time", "late", "refused", "failed", "left", "earned", "due", "share"]
    rows = [[r[n] for n in names] for r in said["rows"]]
    whole = said["whole"]
    rows.append(["all", "", *(whole[n] for n in names[2:])])
    table(
        f"{said['day']}, seed {said['seed']}: {said['heads']} heads, {said['nodes']} nodes, {said['length_s']:g} s",
        names,
        rows,
    )
    table(
        f"Rules (allowance for noise {said['allowance_ms']} ms)",
        ["rule", "looked at", "broken", "nearest"],
        [[r["rule"], r["looked_at"], r["breaches"], r["nearest"]] for r in said["rules"]],
    )
    for r in said["rules"]:
        for text in r["first"]:
            click.echo(f"BROKEN {r['rule']}: {text}")
    if said["wrong_bytes"]:
        click.echo(f"WRONG BYTES in {said['wrong_bytes']} answers")
    if said["too_noisy"]:
        click.echo("this machine was too noisy for the allowance; a break of time may be the machine's")
    if said["wrong_sends"]:
        w = said["wrong_sends"]
        table(
            f"Sent to a node that the extent had left, by the time since its flip ({w['moves']} moves)",
            [*w["by_time"], "not open yet", "latest s"],
            [[*w["by_time"].values(), w["not_yet"], w["latest_s"]]],
        )
    if said["duties"]:
        d = said["duties"]
        click.echo(
            f"duties: {d['handed_over']} hand-overs, {d['without_cause']} without a cause; {d['fenced']} steps "
            f"refused by fences; {d['moved']} extents moved, {d['left']} left in drained cells"
        )
        table(
            "From a fault until the next holder showed its token",
            ["cause", "hand-overs", "p50 s", "worst s"],
            [list(g.values()) for g in d["gaps"]],
        )
    if said["shared"]:
        s = said["shared"]
        click.echo(
            f"limits: {s['refused']} of {s['asked']} tries refused, {s['within']} of them within their volume's "
            f"limit; shared by {s['datagrams_s']} datagrams, {s['bytes_s']} bytes a second and head"
        )
    worst = said["worst_window"]
    click.echo(f"worth earned over due: {whole['share']:.3f}; worst 5 s: {worst['share']:.3f} from {worst['from_s']} s")
    if said["plain"]:
        p = said["plain"]
        click.echo(f"plain heads on the same day: {p['share']:.3f}; rules broken: {', '.join(p['broken']) or 'none'}")


@command.command("clients", hidden=True)
@click.argument("spec", type=click.Path(dir_okay=False))
def clients(spec: str) -> None:
    """The clients' process of a drill."""
    from fawnspool.drill.clients import run as play

    play(Path(spec))


@command.command("seeds")
@click.argument("day_name", metavar="DAY")
@click.option("--seeds", default="1,2,3,4,5", help="Comma between.")
@click.option("--days", "folder", default="days", help="Folder of day files.")
@click.option("--plain/--no-plain", default=True)
def seeds(day_name: str, seeds: str, folder: str, plain: bool) -> None:
    """Play DAY with several seeds, one after the other; one line each."""
    from fawnspool.drill.fleet import DrillError
    from fawnspool.drill.play import Play
    from fawnspool.drill.report import values

    path = _find(day_name, folder)
    try:
        day = load(path, Day, check_day)
    except ConfigError as bad:
        config_error(bad, False)
    rows, kept = [], True
    for number in parse_seeds(seeds):
        began = time.monotonic()
        with tempfile.TemporaryDirectory(prefix="fawnspool-drill-", dir=_memory()) as temporary:
            try:
                result = Play(day, path.resolve(), Path(temporary) / "module", number).run()
                other = Play(day, path.resolve(), Path(temporary) / "pass", number, "pass").run() if plain else None
            except DrillError as bad:
                fail(f"seed {number}: the day could not be played: {bad}", UNREACHED)
            said = values(day, number, result, other)
        kept &= bool(said["kept"])
        whole = said["whole"]
        rows.append(
            [
                number,
                "kept" if said["kept"] else "BROKEN",
                said["wrong_bytes"],
                whole["asked"],
                whole["in time"],
                whole["late"],
                whole["refused"],
                whole["failed"],
                whole["share"],
                said["worst_window"]["share"],
                said["plain"]["share"] if said["plain"] else "-",
                said["allowance_ms"],
                round(time.monotonic() - began, 1),
            ]
        )
        for r in said["rules"]:
            for text in r["first"]:
                click.echo(f"seed {number}: BROKEN {r['rule']}: {text}")
    table(
        day.title,
        [
            "seed",
            "rules",
            "wrong",
            "asked",
            "in time",
            "late",
            "refused",
            "failed",
            "worth",
            "worst 5 s",
            "plain",
            "noise ms",
            "took s",
        ],
        rows,
    )
    sys.exit(0 if kept else BROKEN)
