"""Parses and validates client requests, so that nothing malformed reaches the decision module.

Headers that clients may send: `Fawn-Class` (a request class), `Fawn-Patience-Ms` (how long the client will
wait), `Fawn-Repeat: 1` (a retry by the client), `Fawn-Op` (the client's name for the operation, the same in its
retries), `Idempotency-Key`, `Fawn-Run` (the same value in all requests of one run).
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
_FIRST_PRINTABLE_CHARACTER = 32
_DELETE_CHARACTER = 127


@dataclass(frozen=True)
class ObjectTarget:
    """A request's target: an object, or the volume itself if `raw_key` is None."""

    volume: str
    raw_key: str | None
    query: str


@dataclass(frozen=True)
class ListQuery:
    """The keys of a volume to list: those that begin with `prefix` and sort after `after`."""

    prefix: str
    after: str
    limit: int


def read_target(raw: bytes) -> ObjectTarget:
    """Parse a request's target.

    Raises
    ------
    ApiError
        The target is not a path of this API.
    """
    try:
        text = raw.decode("ascii")
    except UnicodeDecodeError:
        raise BadRequestError("bad-target", "the target is not ASCII; percent-encode it") from None
    path, _, query = text.partition("?")
    match = _PATH.fullmatch(path)
    if match is None:
        raise NotFoundError("no-such-place", "valid paths: /v1/volumes/{volume}/objects/{key}, /-/status, /-/metrics")
    return ObjectTarget(match[1], match[2] or None, query)


def read_key(raw: str) -> str:
    """Decode and validate the key, which is the last part of a target.

    Raises
    ------
    ApiError
        The key is invalid.
    """
    data = unquote_to_bytes(raw)
    try:
        key = data.decode("utf-8")
    except UnicodeDecodeError:
        raise BadRequestError("bad-key", "the key is not UTF-8") from None
    if not key or len(data) > MAX_KEY_BYTES:
        raise BadRequestError("bad-key", f"a key must have 1 to {MAX_KEY_BYTES} bytes")
    if any(ord(char) < _FIRST_PRINTABLE_CHARACTER or ord(char) == _DELETE_CHARACTER for char in key):
        raise BadRequestError("bad-key", "a key must not contain control characters")
    if any(part in ("", ".", "..") for part in key.split("/")):
        raise BadRequestError("bad-key", "a key's parts between slashes must not be empty, '.' or '..'")
    return key


def read_list_query(query: str) -> ListQuery:
    """Parse the query of a listing; raise ApiError if it is malformed."""
    parameters = dict(parse_qsl(query, keep_blank_values=True))
    if unknown := set(parameters) - _LIST_PARAMETERS:
        raise BadRequestError(
            "bad-query", f"unknown parameters: {', '.join(sorted(unknown))}; allowed: prefix, after, limit"
        )
    limit = parameters.get("limit", DEFAULT_LISTED_KEYS)
    if not limit.isdigit() or not 1 <= int(limit) <= MAX_LISTED_KEYS:
        raise BadRequestError("bad-query", f"limit must be a number from 1 to {MAX_LISTED_KEYS}")
    return ListQuery(parameters.get("prefix", ""), parameters.get("after", ""), int(limit))


def read_token(exchange: Exchange, name: bytes) -> str:
    """Return the value of a header that holds a token (1 to 64 characters); "" if the header is absent."""
    raw = exchange.head.headers.get(name)
    if raw is None:
        return ""
    if not _TOKEN.fullmatch(raw):
        raise BadRequestError("bad-header", f"{name.decode()} must be 1 to 64 letters, digits, '.', '_' or '-'")
    return raw.decode()


def read_requested_bytes(exchange: Exchange, size: int) -> int:
    """Return roughly how many of an object's `size` bytes are requested, from which the units are computed."""
    match = _BYTE_RANGE.match(exchange.head.headers.get(b"range", b""))
    if match is None:
        return size
    return max(0, min(size, int(match[2]) + 1) - int(match[1]))


def discard_body(exchange: Exchange) -> None:
    """Read and discard the body of a request that needs none; raise ApiError if it is long."""
    for _ in exchange.body():
        if exchange.body_bytes > MAX_IGNORED_BODY_BYTES:
            raise BadRequestError("body", "this request must not have a body")


def body_too_long(max_bytes: int) -> HttpError:
    """Return the error for a body that proves too long while it is read."""
    return HttpError(413, f"the body exceeds the limit of {max_bytes} bytes")


class RequestReader:
    """Parses the headers whose limits are in the settings."""

    def __init__(self, config: HeadConfig) -> None:
        self.config = config
        self.class_indexes = {block.name: index for index, block in enumerate(config.class_)}
        self.default_read_class = 0
        self.default_write_class = min(1, len(config.class_) - 1)

    def class_index(self, exchange: Exchange, default: int) -> int:
        """Return the index of the request's class; `default` if the request names none."""
        raw = exchange.head.headers.get(b"fawn-class")
        if raw is None:
            return default
        index = self.class_indexes.get(raw.decode("latin-1"))
        if index is None:
            raise BadRequestError("unknown-class", f"Fawn-Class must be one of: {', '.join(self.class_indexes)}")
        return index

    def deadline(self, exchange: Exchange, class_index: int) -> float:
        """Validate the timeout and token headers, and return the request's deadline.

        Called before any other component is involved.

        Returns
        -------
        float
            Time by which the answer must have been sent, in seconds of the monotonic clock.
        """
        for name in _TOKEN_HEADERS:
            read_token(exchange, name)
        deadline = exchange.arrived_at + self.timeout_s(exchange, class_index)
        if deadline <= time.monotonic():
            raise UnavailableError(
                "refused", "the request's time was up before it was started; nothing was done for it"
            )
        return deadline

    def timeout_s(self, exchange: Exchange, class_index: int) -> float:
        """Return the seconds from the request's arrival within which its answer must be sent."""
        timeout_s: float = self.config.class_[class_index].deadline
        raw = exchange.head.headers.get(b"fawn-patience-ms")
        if raw is not None:
            if not raw.isdigit() or len(raw) > MAX_TIMEOUT_DIGITS or int(raw) == 0:
                raise BadRequestError("bad-patience", "Fawn-Patience-Ms must be a whole number of milliseconds above 0")
            timeout_s = min(timeout_s, int(raw) / 1000)
        return self._without_margin(timeout_s)

    def start_deadline(self, head: RequestHead, arrived_at: float) -> float:
        """Return the time after which a request need not start; an estimate, as the head is not yet validated."""
        raw = head.headers.get(b"fawn-patience-ms", b"")
        if raw.isdigit() and len(raw) <= MAX_TIMEOUT_DIGITS:
            timeout_s = int(raw) / 1000
        else:
            timeout_s = self.config.clients.request_timeout
        return arrived_at + self._without_margin(timeout_s)

    def _without_margin(self, timeout_s: float) -> float:
        """Subtract the time that the answer takes to reach the client."""
        return timeout_s - min(self.config.clients.answer_margin, timeout_s / 4)

    def units(self, size: int | None) -> float:
        """Return the units of a request for `size` bytes; those of the largest request if `size` is None."""
        units = self.config.units
        if size is None:
            return float(units.largest)
        return float(max(1, min(units.largest, -(-size // units.bytes))))
