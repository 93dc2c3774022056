"""Reads and checks what clients send, so that nothing malformed reaches the decision module.

Headers that clients may send: `Fawn-Class` (a request class), `Fawn-Patience-Ms` (how long it will wait),
`Fawn-Repeat: 1` (its own retry), `Fawn-Op` (its name for the operation, the same over its retries),
`Idempotency-Key`, `Fawn-Run` (requests of one run share it).
"""

from __future__ import annotations

import re
import time
from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote_to_bytes

from fawnspool.api.errors import BadRequestError, NotFoundError, UnavailableError
from fawnspool.config.head import HeadConfig
from fawnspool.net.exceptions import HttpError
from fawnspool.net.exchange import Exchange
from fawnspool.net.http import RequestHead

MAX_KEY_BYTES = 300
MAX_LISTED_KEYS = 1000
DEFAULT_LISTED_KEYS = "100"
MAX_IGNORED_BODY_BYTES = 65536
MAX_TIMEOUT_DIGITS = 9
_TOKEN = re.compile(rb"[A-Za-z0-9._-]{1,64}")
_TOKEN_HEADERS = (b"fawn-op", b"idempotency-key")
_PATH = re.compile(r"/v1/volumes/([A-Za-z0-9._-]{1,64})/objects(?:/(.*))?", re.DOTALL)
_BYTE_RANGE = re.compile(rb"bytes=(\d{1,15})-(\d{1,15})$")
_LIST_PARAMETERS = {"prefix", "after", "limit"}
_FIRST_CONTROL_FREE = 32
_DELETE_CHARACTER = 127


@dataclass(frozen=True)
class ObjectTarget:
    """A request's target; `raw_key` None: the volume itself."""

    volume: str
    raw_key: str | None
    query: str


@dataclass(frozen=True)
class ListQuery:
    """Which keys of a volume are asked for: those that begin with `prefix` and come after `after`."""

    prefix: str
    after: str
    limit: int


def read_target(raw: bytes) -> ObjectTarget:
    """Read a request's target.

    Raises
    ------
    ApiError
        It names nothing of this API.
    """
    try:
        text = raw.decode("ascii")
    except UnicodeDecodeError:
        raise BadRequestError("bad-target", "the target is not ASCII; escape it") from None
    path, _, query = text.partition("?")
    found = _PATH.fullmatch(path)
    if found is None:
        raise NotFoundError("no-such-place", "places here: /v1/volumes/{volume}/objects/{key}, /-/status, /-/metrics")
    return ObjectTarget(found[1], found[2] or None, query)


def read_key(raw: str) -> str:
    """Return the key of a target's last part.

    Raises
    ------
    ApiError
        It is no plain key.
    """
    data = unquote_to_bytes(raw)
    try:
        key = data.decode("utf-8")
    except UnicodeDecodeError:
        raise BadRequestError("bad-key", "the key is not UTF-8") from None
    if not key or len(data) > MAX_KEY_BYTES:
        raise BadRequestError("bad-key", f"a key has 1 to {MAX_KEY_BYTES} bytes")
    if any(ord(char) < _FIRST_CONTROL_FREE or ord(char) == _DELETE_CHARACTER for char in key):
        raise BadRequestError("bad-key", "a key holds no control characters")
    if any(part in ("", ".", "..") for part in key.split("/")):
        raise BadRequestError("bad-key", "a key's parts between slashes are not empty, '.' or '..'")
    return key


def read_list_query(query: str) -> ListQuery:
    """Read the query of a listing; raise ApiError where it does not read."""
    parameters = dict(parse_qsl(query, keep_blank_values=True))
    if unknown := set(parameters) - _LIST_PARAMETERS:
        raise BadRequestError("bad-query", f"unknown: {', '.join(sorted(unknown))}; known: prefix, after, limit")
    limit = parameters.get("limit", DEFAULT_LISTED_KEYS)
    if not limit.isdigit() or not 1 <= int(limit) <= MAX_LISTED_KEYS:
        raise BadRequestError("bad-query", f"limit is a number from 1 to {MAX_LISTED_KEYS}")
    return ListQuery(parameters.get("prefix", ""), parameters.get("after", ""), int(limit))


def read_token(exchange: Exchange, name: bytes) -> str:
    """Return a header that is a short name; "" where it is not there."""
    raw = exchange.head.headers.get(name)
    if raw is None:
        return ""
    if not _TOKEN.fullmatch(raw):
        raise BadRequestError("bad-header", f"{name.decode()} has 1 to 64 letters, digits, '.', '_' or '-'")
    return raw.decode()


def read_requested_bytes(exchange: Exchange, size: int) -> int:
    """Return how much of an object of `size` bytes is asked for, roughly: for counting its units."""
    found = _BYTE_RANGE.match(exchange.head.headers.get(b"range", b""))
    if found is None:
        return size
    return max(0, min(size, int(found[2]) + 1) - int(found[1]))


def discard_body(exchange: Exchange) -> None:
    """Read the body of a request that needs none; raise ApiError where it is long."""
    for _ in exchange.body():
        if exchange.body_bytes > MAX_IGNORED_BODY_BYTES:
            raise BadRequestError("body", "this request takes no body")


def body_too_long(max_bytes: int) -> HttpError:
    """Return the error for a body that turns out too long while it is read."""
    return HttpError(413, f"a body has {max_bytes} bytes at most")


class RequestReader:
    """Reads the headers whose limits the settings give."""

    def __init__(self, config: HeadConfig) -> None:
        self.config = config
        self.class_indexes = {block.name: index for index, block in enumerate(config.class_)}
        self.default_read_class = 0
        self.default_write_class = min(1, len(config.class_) - 1)

    def class_index(self, exchange: Exchange, default: int) -> int:
        """Return the request's class, `default` where it names none."""
        raw = exchange.head.headers.get(b"fawn-class")
        if raw is None:
            return default
        found = self.class_indexes.get(raw.decode("latin-1"))
        if found is None:
            raise BadRequestError("unknown-class", f"Fawn-Class is one of: {', '.join(self.class_indexes)}")
        return found

    def deadline(self, exchange: Exchange, class_index: int) -> float:
        """Check the headers before anybody else is asked anything.

        Returns
        -------
        float
            When the answer must have left, in seconds of the monotonic clock.
        """
        for name in _TOKEN_HEADERS:
            read_token(exchange, name)
        deadline = exchange.arrived_at + self.timeout_s(exchange, class_index)
        if deadline <= time.monotonic():
            raise UnavailableError("refused", "its time was up when its turn came: nothing was done for it")
        return deadline

    def timeout_s(self, exchange: Exchange, class_index: int) -> float:
        """Return the time from the request's arrival within which its answer leaves."""
        timeout_s: float = self.config.class_[class_index].deadline
        raw = exchange.head.headers.get(b"fawn-patience-ms")
        if raw is not None:
            if not raw.isdigit() or len(raw) > MAX_TIMEOUT_DIGITS or int(raw) == 0:
                raise BadRequestError("bad-patience", "Fawn-Patience-Ms is a whole number of milliseconds above 0")
            timeout_s = min(timeout_s, int(raw) / 1000)
        return self._without_margin(timeout_s)

    def start_deadline(self, head: RequestHead, arrived_at: float) -> float:
        """Return until when a request is worth a turn: roughly, as nothing of it has been checked yet."""
        raw = head.headers.get(b"fawn-patience-ms", b"")
        if raw.isdigit() and len(raw) <= MAX_TIMEOUT_DIGITS:
            timeout_s = int(raw) / 1000
        else:
            timeout_s = self.config.clients.request_timeout
        return arrived_at + self._without_margin(timeout_s)

    def _without_margin(self, timeout_s: float) -> float:
        """Leave the answer some time for its way."""
        return timeout_s - min(self.config.clients.answer_margin, timeout_s / 4)

    def units(self, size: int | None) -> float:
        """Return the units of a request for `size` bytes; None: not known."""
        units = self.config.units
        if size is None:
            return float(units.largest)
        return float(max(1, min(units.largest, -(-size // units.bytes))))
