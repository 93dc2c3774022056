"""`fawnspool check`."""

from __future__ import annotations

from typing import Any

import click

from fawnspool.cli.common import EXIT_CODES, config_error, or_dash, print_json, table
from fawnspool.config.checks import check_gateway
from fawnspool.config.head import ClassBlock, HeadConfig, PlanBlock, VolumeBlock
from fawnspool.config.schema import ConfigError, load

MAX_MARGIN_DIVISOR = 4  # the margin of an answer is a quarter of the deadline at most

Row = dict[str, Any]


def meaning(config: HeadConfig) -> dict[str, Any]:
    """Return what the settings come to, through all gateways together."""
    plans = {plan.name: plan for plan in config.plan}
    total_weight = sum(plans[volume.plan].weight for volume in config.volume) or 1.0
    return {
        "heads": config.head.heads,
        "classes": [_class_row(block, config.clients.answer_margin) for block in config.class_],
        "plans": [_plan_row(plan, config, total_weight) for plan in config.plan],
        "volumes": [_volume_row(volume, plans[volume.plan], total_weight) for volume in config.volume],
    }


def _class_row(block: ClassBlock, answer_margin_s: float) -> Row:
    return {
        "class": block.name,
        "aim_s": block.aim,
        "deadline_s": block.deadline,
        "worth": block.worth,
        "effect": block.effect,
        "answers_leave_by_s": block.deadline - min(answer_margin_s, block.deadline / MAX_MARGIN_DIVISOR),
    }


def _plan_row(plan: PlanBlock, config: HeadConfig, total_weight: float) -> Row:
    count = sum(volume.plan == plan.name for volume in config.volume)
    return {
        "plan": plan.name,
        "volumes": count,
        "rate": plan.rate,
        "reserve_each": plan.reserve,
        "reserve_all": plan.reserve * count,
        "limit_each": plan.limit or None,
        "limit_all": plan.limit * count or None,
        "burst": plan.limit_depth or None,
        "share_of_the_rest": sum(plan.weight for _ in range(count)) / total_weight,
    }


def _volume_row(volume: VolumeBlock, plan: PlanBlock, total_weight: float) -> Row:
    return {
        "volume": volume.name,
        "plan": volume.plan,
        "heads": volume.heads,
        "reserve_a_head": plan.reserve / volume.heads,
        "limit_a_head": plan.limit / volume.heads if plan.limit else None,
        "share_of_the_rest": plan.weight / total_weight,
    }


@click.command("check", epilog=EXIT_CODES)
@click.argument("config_file", metavar="CONFIG", type=click.Path(dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def command(config_file: str, as_json: bool) -> None:
    """Check CONFIG and say what it means: reserve, limit and share of each plan through all heads."""
    try:
        config = load(config_file, HeadConfig, check_gateway)
    except ConfigError as error:
        config_error(error, as_json)
    if as_json:
        print_json({"ok": True, **meaning(config)})
        return
    _print_meaning(meaning(config))
    click.echo(f"{config_file}: reads well; {config.head.heads} head(s)")


def _print_meaning(said: dict[str, Any]) -> None:
    _print_rows("Classes", said["classes"])
    _print_rows("Plans, through all heads (units a second)", said["plans"])
    _print_rows("Volumes", said["volumes"])


def _print_rows(title: str, rows: list[Row]) -> None:
    if rows:
        table(title, rows[0], [[or_dash(value) for value in row.values()] for row in rows])
