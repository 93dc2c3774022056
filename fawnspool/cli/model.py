"""`fawnspool model`: the group with all its sub-commands."""

from __future__ import annotations

from fawnspool.cli import model_predict, model_store
from fawnspool.cli.model_run import command

__all__ = ["command", "model_predict", "model_store"]
