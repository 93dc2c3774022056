"""The group. Commands are loaded when they are called, so that `--help` stays quick."""

from __future__ import annotations

import importlib

import click

from fawnspool.cli.common import EXIT_CODES

COMMANDS = {
    "serve": "Run a head.",
    "check": "Check a head's settings and say what they mean.",
    "standin": "Run one stand-in: a node, the node list, the meter, the catalogue.",
    "drill": "Play a scripted day on real processes and judge the rules.",
    "rules": "Judge the seven rules from recordings.",
    "replay": "Feed a module's recording to a fresh module and compare.",
    "model": "Play days in simulated time; compare two versions or settings.",
    "extents": "Show where an extent lies; move it; drain a cell.",
    "duty": "Who holds which duty; pass one on, pause its work.",
    "shared": "What a head knows of what the fleet shares: use of limits, evidence about nodes.",
    "status": "Ask a running head what it thinks of each node.",
}


class LazyGroup(click.Group):
    """A group that imports the module of a command when it is called; the module has its name."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of the commands."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Return a command, or None where the name is not known."""
        if name not in COMMANDS:
            return None
        command = importlib.import_module(f"fawnspool.cli.{name}").command
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the commands and what they do, without importing them."""
        with formatter.section("Commands"):
            formatter.write_dl(list(COMMANDS.items()))


@click.group(cls=LazyGroup, epilog=EXIT_CODES, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="fawnspool")
def main() -> None:
    """fawnspool: a storage gateway that schedules a host's reads and writes over shared storage nodes."""
