"""The splitter of a watch's JSON objects: bounds on its memory and its time, whatever the service sends."""

from __future__ import annotations

import json
import time

import pytest

from fawnspool.gateway.json_splitter import ObjectSplitter


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
