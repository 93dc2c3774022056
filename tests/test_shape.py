"""What the deploy file says of the decisions is true, and the decisions stay in modules of one job."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
LINE_LENGTH = 120


def decision_modules() -> list[Path]:
    return sorted(
        p for p in (ROOT / "fawnspool/scheduling").glob("*.py") if p.name not in ("__init__.py", "interface.py")
    )


def test_the_deploy_file_lists_every_module_of_the_decisions_as_policy() -> None:
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    assert deploy["policy"] == [str(module.relative_to(ROOT)) for module in decision_modules()]


def test_modules_of_the_decisions_open_with_a_docstring_and_keep_to_the_line_length() -> None:
    for module in decision_modules():
        text = module.read_text()
        assert ast.get_docstring(ast.parse(text)), module.name
        assert max(map(len, text.splitlines())) <= LINE_LENGTH, module.name
