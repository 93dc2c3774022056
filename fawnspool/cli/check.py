"""`fawnspool check`."""

from __future__ import annotations

import click

from fawnspool.cli.common import EXIT_CODES, config_error, print_json, table
from fawnspool.config.checks import check_gateway
from fawnspool.config.head import HeadConfig
from fawnspool.config.schema import ConfigError, load


def meaning(config: HeadConfig) -> dict[str, object]:
    """What the settings come to, through all heads together."""
    heads = config.head.heads
    weights = sum(config.plan[[p.name for p in config.plan].index(v.plan)].weight for v in config.volume) or 1.0
    plans = []
    for p in config.plan:
        volumes = [v for v in config.volume if v.plan == p.name]
        plans.append(
            {
                "plan": p.name,
                "volumes": len(volumes),
                "rate": p.rate,
                "reserve_each": p.reserve,
                "reserve_all": p.reserve * len(volumes),
                "limit_each": p.limit or None,
                "limit_all": p.limit * len(volumes) or None,
                "burst": p.limit_depth or None,
                "share_of_the_rest": sum(p.weight for _ in volumes) / weights,
            }
        )
    rows = []
    for v in config.volume:
        plan = next(p for p in config.plan if p.name == v.plan)
        rows.append(
            {
                "volume": v.name,
                "plan": v.plan,
                "heads": v.heads,
                "reserve_a_head": plan.reserve / v.heads,
                "limit_a_head": plan.limit / v.heads if plan.limit else None,
                "share_of_the_rest": plan.weight / weights,
            }
        )
    classes = [
        {
            "class": c.name,
            "aim_s": c.aim,
            "deadline_s": c.deadline,
            "worth": c.worth,
            "effect": c.effect,
            "answers_leave_by_s": c.deadline - min(config.clients.answer_margin, c.deadline / 4),
        }
        for c in config.class_
    ]
    return {"heads": heads, "classes": classes, "plans": plans, "volumes": rows}


@click.command("check", epilog=EXIT_CODES)
@click.argument("config_file", metavar="CONFIG", type=click.Path(dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def command(config_file: str, as_json: bool) -> None:
    """Check CONFIG and say what it means: reserve, limit and share of each plan through all heads."""
    try:
        config = load(config_file, HeadConfig, check_gateway)
    except ConfigError as bad:
        config_error(bad, as_json)
    said = meaning(config)
    if as_json:
        return print_json({"ok": True, **said})
    for title, name in (
        ("Classes", "classes"),
        ("Plans, through all heads (units a second)", "plans"),
        ("Volumes", "volumes"),
    ):
        rows = said[name]
        assert isinstance(rows, list)
        if rows:
            table(title, rows[0], [["-" if x is None else x for x in r.values()] for r in rows])
    click.echo(f"{config_file}: reads well; {config.head.heads} head(s)")
