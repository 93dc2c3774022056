"""The splitter of a watch's JSON objects: bounds on its memory and its time, whatever the service sends."""

from __future__ import annotations

import json
import time
import tracemalloc

import pytest

from fawnspool.gateway.json_splitter import ObjectSplitter, ObjectTooLargeError

MAX_BYTES = 200_000
MEMORY_FACTOR = 4  # of the limit: the buffers and their growth
# The beginning of an object, and what then comes again and again.
ENDLESS_OBJECTS = {
    "line in small pieces": (b'{"a": "', b"xy"),
    "short lines": (b"{\n", b"1\n"),
    "empty lines": (b"{\n", b"\n"),
}


@pytest.mark.parametrize("case", ENDLESS_OBJECTS)
def test_object_without_end_is_rejected_and_takes_little_more_memory_than_its_limit(case: str) -> None:
    """Guards against a service that decides how much memory its list takes: line ends were not counted."""
    start, repeated = ENDLESS_OBJECTS[case]
    splitter = ObjectSplitter(MAX_BYTES)
    list(splitter.feed(start))
    tracemalloc.start()
    try:
        with pytest.raises(ObjectTooLargeError):
            for _ in range(2 * MAX_BYTES // len(repeated)):
                list(splitter.feed(bytes(bytearray(repeated))))
        assert tracemalloc.get_traced_memory()[1] < MEMORY_FACTOR * MAX_BYTES
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("repeated", [b'\\"', b"x", b'"', b'\\"\\', b'{"a":"'])
def test_time_of_a_line_is_in_proportion_to_its_length(repeated: bytes) -> None:
    """Guards against a line that keeps the process from all else: an open string was searched from each quote anew."""
    splitter = ObjectSplitter(4 << 20)
    line = b'{"a": "' + repeated * (100_000 // len(repeated))
    began = time.monotonic()
    list(splitter.feed(line + b"\n"))
    assert time.monotonic() - began < 0.5


def test_strings_with_brackets_and_quotes_do_not_end_an_object() -> None:
    value = {"a": 'brace { [ and "quotes" \\ }]', "b": ["\\", "\\\\", '"', {"c": "}"}], "": ""}
    for indent in (None, 1, 4):
        text = json.dumps(value, indent=indent).encode()
        assert list(ObjectSplitter(1000).feed(text + b"\n" + text + b"\n\n")) == [text, text, b""]
