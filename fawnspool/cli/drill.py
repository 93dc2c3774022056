"""`fawnspool drill`."""

from __future__ import annotations

import json
import os
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

from fawnspool.cli.common import BROKEN, EXIT_CODES, UNREACHED, config_error, fail, parse_seeds, print_json, table
from fawnspool.config.render import render
from fawnspool.config.schema import ConfigError, load
from fawnspool.days.checks import check_day
from fawnspool.days.day import Day

MEMORY_FOLDER = Path("/dev/shm")
DAY_COLUMNS = ("day", "seconds", "heads", "nodes", "troubles", "title")
END_COLUMNS = ("asked", "in time", "late", "refused", "failed", "left", "earned", "due", "share")
SEED_COLUMNS = (
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
)


@click.group("drill", epilog=EXIT_CODES)
def command() -> None:
    """Play a scripted day on real processes and judge the seven rules from what passed over the sockets."""


def _memory_folder() -> str | None:
    """Return a folder in memory, where there is one: writes back to a disk would stall every process of a drill."""
    if MEMORY_FOLDER.is_dir() and os.access(MEMORY_FOLDER, os.W_OK):
        return str(MEMORY_FOLDER)
    return None


def _find_day(name: str, folder: str) -> Path:
    candidates = (Path(name), Path(folder) / f"{name}.hcl")
    found = next((path for path in candidates if path.is_file()), None)
    if found is None:
        known = ", ".join(sorted(path.stem for path in Path(folder).glob("*.hcl"))) or f"none in {folder}/"
        fail(f"there is no day {name!r}; days here: {known}")
    return found


def _load_day(path: Path, as_json: bool = False) -> Day:
    """Read a day file; end the command with every problem where it can't be read."""
    try:
        return load(path, Day, check_day)
    except ConfigError as error:
        config_error(error, as_json)


@command.command("list")
@click.option("--days", "folder", default="days", help="Folder of day files.")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def list_days(folder: str, as_json: bool) -> None:
    """The days there are."""
    rows = []
    for path in sorted(Path(folder).glob("*.hcl")):
        day = _load_day(path, as_json)
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
        print_json(rows)
    else:
        table("Days", DAY_COLUMNS, [list(row.values()) for row in rows])


@command.command("run")
@click.argument("day_name", metavar="DAY")
@click.option("--out", type=click.Path(file_okay=False), help="Keep configurations, logs and records here.")
@click.option("--seed", type=int, help="In place of the day's own.")
@click.option("--plain/--no-plain", default=True, help="Play it once more with a plain head, for comparison.")
@click.option("--policy", type=click.Choice(["module", "pass"]), default="module", help="`pass` decides nothing.")
@click.option("--days", "folder", default="days", help="Folder of day files.")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
@click.option("--quiet", is_flag=True, help="No lines while it runs.")
def run(  # noqa: PLR0913, PLR0917 - one argument an option
    day_name: str, out: str | None, seed: int | None, plain: bool, policy: str, folder: str, as_json: bool, quiet: bool
) -> None:
    """Play DAY (a file, or a name in ./days). Exit code 1 where a rule broke or a byte was wrong."""
    path = _find_day(day_name, folder)
    day = _load_day(path, as_json)
    number = day.day.seed if seed is None else seed
    compare = plain and policy != "pass"
    with tempfile.TemporaryDirectory(prefix="fawnspool-drill-", dir=_memory_folder()) as temporary:
        drill = _Drill(day, path, Path(out) if out else Path(temporary), number)
        say = _say_nothing if quiet else _say
        said = drill.play(policy, compare, say, "the day could not be played")
    if out:
        (Path(out) / "day.hcl").write_text(render(day))
        (Path(out) / "result.json").write_text(json.dumps(said, indent=2))
    if as_json:
        print_json(said)
    else:
        _print_result(said)
    sys.exit(0 if said["kept"] else BROKEN)


def _say(text: str) -> None:
    click.echo(text, err=True)


def _say_nothing(_text: str) -> None:
    """Drop a line of progress."""


@dataclass(frozen=True)
class _Drill:
    """A day to be played with one seed, its files in a folder."""

    day: Day
    path: Path
    folder: Path
    seed: int

    def play(self, policy: str, compare: bool, say: Callable[[str], None], failure: str) -> dict[str, Any]:
        """Play the day, and once more with plain gateways to compare; end the command where it can't be played."""
        from fawnspool.drill.fleet import DrillError
        from fawnspool.drill.play import Play
        from fawnspool.drill.report import values

        path = self.path.resolve()
        try:
            result = Play(self.day, path, self.folder / policy, self.seed, policy, say).run()
            plain = None
            if compare:
                say("the same day through plain heads")
                plain = Play(self.day, path, self.folder / "pass", self.seed, "pass").run()
        except DrillError as error:
            fail(f"{failure}: {error}", UNREACHED)
        return values(self.day, self.seed, result, plain)


def _print_result(said: dict[str, Any]) -> None:
    _print_service(said)
    _print_rules(said)
    if said["wrong_sends"]:
        _print_wrong_sends(said["wrong_sends"])
    if said["duties"]:
        _print_leases(said["duties"])
    if said["shared"]:
        _print_shared(said["shared"])
    worst = said["worst_window"]
    share = said["whole"]["share"]
    click.echo(f"worth earned over due: {share:.3f}; worst 5 s: {worst['share']:.3f} from {worst['from_s']} s")
    if said["plain"]:
        plain = said["plain"]
        broken = ", ".join(plain["broken"]) or "none"
        click.echo(f"plain heads on the same day: {plain['share']:.3f}; rules broken: {broken}")


def _print_service(said: dict[str, Any]) -> None:
    columns = ("class", "plan", *END_COLUMNS)
    rows = [[row[name] for name in columns] for row in said["rows"]]
    rows.append(["all", "", *(said["whole"][name] for name in END_COLUMNS)])
    fleet = f"{said['heads']} heads, {said['nodes']} nodes"
    table(f"{said['day']}, seed {said['seed']}: {fleet}, {said['length_s']:g} s", columns, rows)


def _print_rules(said: dict[str, Any]) -> None:
    table(
        f"Rules (allowance for noise {said['allowance_ms']} ms)",
        ["rule", "looked at", "broken", "nearest"],
        [[rule["rule"], rule["looked_at"], rule["breaches"], rule["nearest"]] for rule in said["rules"]],
    )
    for rule in said["rules"]:
        for text in rule["first"]:
            click.echo(f"BROKEN {rule['rule']}: {text}")
    if said["wrong_bytes"]:
        click.echo(f"WRONG BYTES in {said['wrong_bytes']} answers")
    if said["too_noisy"]:
        click.echo("this machine was too noisy for the allowance; a break of time may be the machine's")


def _print_wrong_sends(wrong: dict[str, Any]) -> None:
    table(
        f"Sent to a node that the extent had left, by the time since its flip ({wrong['moves']} moves)",
        [*wrong["by_time"], "not open yet", "latest s"],
        [[*wrong["by_time"].values(), wrong["not_yet"], wrong["latest_s"]]],
    )


def _print_leases(leases: dict[str, Any]) -> None:
    click.echo(
        f"duties: {leases['handed_over']} hand-overs, {leases['without_cause']} without a cause; "
        f"{leases['fenced']} steps refused by fences; {leases['moved']} extents moved, "
        f"{leases['left']} left in drained cells"
    )
    table(
        "From a fault until the next holder showed its token",
        ["cause", "hand-overs", "p50 s", "worst s"],
        [list(gap.values()) for gap in leases["gaps"]],
    )


def _print_shared(shared: dict[str, Any]) -> None:
    click.echo(
        f"limits: {shared['refused']} of {shared['asked']} tries refused, {shared['within']} of them within their "
        f"volume's limit; shared by {shared['datagrams_s']} datagrams, {shared['bytes_s']} bytes a second and head"
    )


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
    path = _find_day(day_name, folder)
    day = _load_day(path)
    rows = []
    kept = True
    for seed in parse_seeds(seeds):
        began = time.monotonic()
        with tempfile.TemporaryDirectory(prefix="fawnspool-drill-", dir=_memory_folder()) as temporary:
            drill = _Drill(day, path, Path(temporary), seed)
            said = drill.play("module", plain, _say_nothing, f"seed {seed}: the day could not be played")
        kept = kept and bool(said["kept"])
        rows.append(_seed_row(said, time.monotonic() - began))
        for rule in said["rules"]:
            for text in rule["first"]:
                click.echo(f"seed {seed}: BROKEN {rule['rule']}: {text}")
    table(day.title, SEED_COLUMNS, rows)
    sys.exit(0 if kept else BROKEN)


def _seed_row(said: dict[str, Any], took_s: float) -> list[Any]:
    whole = said["whole"]
    return [
        said["seed"],
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
        round(took_s, 1),
    ]
