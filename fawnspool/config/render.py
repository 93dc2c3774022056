"""Blocks back to HCL: what `fawnspool.config.schema` reads, written from the dataclasses."""

from __future__ import annotations

import dataclasses
from typing import Any


def render(value: Any, indent: str = "") -> str:
    """A block's body as HCL, defaults left out."""
    out: list[str] = []
    for f in dataclasses.fields(value):
        name, given = f.name.rstrip("_"), getattr(value, f.name)
        if f.metadata.get("label"):
            continue
        if "block" in f.metadata:
            for inner in given if f.metadata["many"] else () if given is None else (given,):
                label = next(
                    (getattr(inner, x.name) for x in dataclasses.fields(inner) if x.metadata.get("label")), None
                )
                body = render(inner, indent + "  ")
                if body or label is not None or f.metadata["optional"]:
                    title = f'{name} "{label}"' if label is not None else name
                    out.append(f"{indent}{title} {{\n{body}{indent}}}\n" if body else f"{indent}{title} {{}}\n")
        elif given != _default(f):
            out.append(f"{indent}{name} = {_value(given, f.metadata.get('kind', ''))}\n")
    return "".join(out)


def _default(f: dataclasses.Field[Any]) -> Any:
    if f.default_factory is not dataclasses.MISSING:
        return f.default_factory()
    return f.default


def _value(value: Any, kind: str) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if kind == "time":
        return f'"{value * 1e6:.0f}us"'
    if kind == "size":
        return f'"{value}B"'
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(value, tuple):
        return "[" + ", ".join(_value(v, "") for v in value) + "]"
    return repr(value)
