"""Idempotency keys that a group of stand-in nodes remembers for a window, as files in a folder that they share."""

from __future__ import annotations

import contextlib
import os
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec

_FILE_MODE = 0o644


@dataclass(frozen=True, slots=True)
class PriorClaim:
    """A key was claimed before, within its window.

    Attributes
    ----------
    etag
        Of the object that the first write left; None: that write has not completed.
    """

    etag: str | None


class KnownKey(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """A key that changed an object.

    Attributes
    ----------
    scope
        Name of the group that knows it.
    etag
        Of the object that the write left.
    age_s
        Seconds since.
    """

    scope: str
    key: str
    etag: str
    age_s: float


class IdempotencyKeys:
    """The keys of one group of nodes."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        folder.mkdir(parents=True, exist_ok=True)

    def claim(self, key: str, window_s: float) -> PriorClaim | None:
        """Claim a key. Returns None if it was new or its window over, else the claim that stands."""
        path = self._folder / key
        while True:
            try:
                os.close(os.open(path, os.O_CREAT | os.O_EXCL | os.O_WRONLY, _FILE_MODE))
            except FileExistsError:
                # Another node may remove the file in between: then the key is free again.
                with contextlib.suppress(FileNotFoundError):
                    if time.time() - path.stat().st_mtime <= window_s:
                        etag = path.read_text().partition("\n")[0]
                        return PriorClaim(etag or None)
                    path.unlink(missing_ok=True)
            else:
                return None

    def complete(self, key: str, etag: str, volume: str = "", name: str = "") -> None:
        """Remember the etag that a key's write left; a migration of the object takes its keys along."""
        (self._folder / key).write_text(f"{etag}\n{volume}\n{name}" if volume else etag)

    def keys_of(self, scope: str, volume: str, name: str) -> list[KnownKey]:
        """Return the keys that changed an object. Reads the whole folder, as migrations are few."""
        known = list[KnownKey]()
        for path in self._folder.iterdir():
            with contextlib.suppress(OSError):
                etag, _, rest = path.read_text().partition("\n")
                if rest == f"{volume}\n{name}":
                    known.append(KnownKey(scope, path.name, etag, time.time() - path.stat().st_mtime))
        return known

    def adopt(self, known: KnownKey, volume: str, name: str) -> None:
        """Remember a key that another node knew; one that is known here stays."""
        path = self._folder / known.key
        if not path.exists():
            self.complete(known.key, known.etag, volume, name)
            claimed_at = time.time() - known.age_s
            os.utime(path, (claimed_at, claimed_at))

    def release(self, key: str) -> None:
        """Forget a key whose write was not done."""
        (self._folder / key).unlink(missing_ok=True)
