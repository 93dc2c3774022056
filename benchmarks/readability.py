"""Figures of how the control, state and I/O code reads, of this checkout or of another one.

    python -m benchmarks.readability [CHECKOUT ...]

Counted are distinct names that are defined (classes, functions, parameters, variables, attributes) in a module and
that hold a word of the withdrawn house style, one-letter names outside comprehensions and lambdas, type names that
stand for several classes, modules that import each other, large modules, and what ruff finds. A table a checkout.
"""

from __future__ import annotations

import ast
import re
import subprocess
import sys
from collections import Counter, defaultdict
from collections.abc import Iterator
from pathlib import Path

CODE_PACKAGES = "scheduling adapter connections leases gossip extents gateway net relay api records"
"""The control, state and I/O code."""

FORMER_CODE_PACKAGES = "control.py interface.py adapter connections duties shared extents head net relay api records"
"""The same up to build d5787bd."""

HOUSE_WORDS = (
    "ask asked asks aim begun behind beat born cell cells claim front gate gone hear heard hears hearsay held hold "
    "holds keep keeps kept lane lanes lent life lives me moot out patience place places said say says seat shelf "
    "shelfs shut story taken taker takers tell teller tells told tries turn turnstile wanted wheel whole worth young"
)
LARGE_MODULE_LINES = 400
STRICT_RULES = "D100,D101,D102,D103,D417,C901,N,PLR09,RET,PTH,T20,TRY"


def modules(checkout: Path) -> list[Path]:
    package = checkout / "fawnspool"
    names = CODE_PACKAGES if (package / "scheduling").is_dir() else FORMER_CODE_PACKAGES
    places = [package / name for name in names.split()]
    return sorted(file for place in places for file in ([place] if place.suffix else place.rglob("*.py")))


def defined_names(tree: ast.AST) -> Iterator[str]:
    """Names that a module defines, but for those of comprehensions and lambdas."""
    inner = {
        id(part)
        for node in ast.walk(tree)
        if isinstance(node, ast.ListComp | ast.SetComp | ast.DictComp | ast.GeneratorExp | ast.Lambda)
        for part in ast.walk(node)
    }
    for node in ast.walk(tree):
        if id(node) in inner:
            continue
        match node:
            case ast.ClassDef(name=name) | ast.FunctionDef(name=name) | ast.AsyncFunctionDef(name=name):
                yield name
            case ast.arg(arg=name):
                yield name
            case ast.Name(id=name, ctx=ast.Store()):
                yield name
            case ast.Attribute(attr=name, ctx=ast.Store()):
                yield name


def words(name: str) -> set[str]:
    return {part.lower() for part in re.findall(r"[A-Z]?[a-z]+|[A-Z]+(?![a-z])", name)}


def import_cycles(files: list[Path], checkout: Path) -> list[str]:
    """Pairs of modules of which each names the other in an import, also where only the type checker runs it."""
    name_of = {file: ".".join(file.relative_to(checkout).with_suffix("").parts) for file in files}
    imports: dict[str, set[str]] = defaultdict(set)
    for file, name in name_of.items():
        for node in ast.walk(ast.parse(file.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module:
                imports[name] |= {node.module, *(f"{node.module}.{alias.name}" for alias in node.names)}
    return sorted(f"{a} ~ {b}" for a in imports for b in imports if a < b and b in imports[a] and a in imports[b])


def ruff_findings(files: list[Path]) -> Counter[str]:
    command = [sys.executable, "-m", "ruff", "check", "--isolated", "--line-length", "120", "--select", STRICT_RULES]
    command += ["--config", "lint.pydocstyle.convention='numpy'", "--output-format", "concise", "--exit-zero"]
    out = subprocess.run([*command, *map(str, files)], capture_output=True, text=True, check=True).stdout
    return Counter(m[1] for m in re.finditer(r"^\S+:\d+:\d+: ([A-Z]+\d+) ", out, re.MULTILINE))


def unformatted(checkout: Path) -> int:
    command = [sys.executable, "-m", "ruff", "format", "--check", "--isolated", "--line-length", "120"]
    command += ["fawnspool", "tests", "benchmarks"]
    out = subprocess.run(command, capture_output=True, text=True, check=False, cwd=checkout).stdout
    found = re.search(r"(\d+) files? would be reformatted", out)
    return int(found[1]) if found else 0


def figures(checkout: Path) -> dict[str, str]:
    files = modules(checkout)
    house_words = set(HOUSE_WORDS.split())
    house: set[tuple[Path, str]] = set()
    letters: set[tuple[Path, str]] = set()
    classes: Counter[str] = Counter()
    for file in files:
        tree = ast.parse(file.read_text())
        names = set(defined_names(tree))
        house |= {(file, name) for name in names if words(name) & house_words}
        letters |= {(file, name) for name in names if len(name) == 1 and name != "_"}
        classes.update({node.name for node in tree.body if isinstance(node, ast.ClassDef)})
    lines = {file: len(file.read_text().splitlines()) for file in files}
    large = [f"{f.stem} {n}" for f, n in sorted(lines.items(), key=lambda x: -x[1]) if n > LARGE_MODULE_LINES]
    found = ruff_findings(files)
    repeated = sorted(f"{name} {count}" for name, count in classes.items() if count > 1 and not name.startswith("_"))
    return {
        "modules": str(len(files)),
        "names with a house word": str(len(house)),
        "one-letter names": str(len(letters)),
        "type names with several meanings": f"{len(repeated)}: {', '.join(repeated)}",
        "modules that import each other": ", ".join(import_cycles(files, checkout)) or "none",
        f"modules over {LARGE_MODULE_LINES} lines": ", ".join(large) or "none",
        "public items without a docstring (D100 to D103)": str(sum(found[f"D10{k}"] for k in range(4))),
        "functions over complexity 10 (C901)": str(found["C901"]),
        "functions with too many arguments (PLR0913, PLR0917)": str(found["PLR0913"] + found["PLR0917"]),
        "all findings of the strict rules": str(found.total()),
        "files of the repository not in the formatter's form": str(unformatted(checkout)),
    }


def main() -> None:
    checkouts = [Path(argument).resolve() for argument in sys.argv[1:]] or [Path(__file__).parent.parent]
    tables = [figures(checkout) for checkout in checkouts]
    print("| figure |" + " |" * len(tables))
    print("| --- |" + " --- |" * len(tables))
    for name in tables[0]:
        print(f"| {name} | " + " | ".join(table[name] for table in tables) + " |")


if __name__ == "__main__":
    main()
