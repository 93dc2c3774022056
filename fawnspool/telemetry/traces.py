"""OpenTelemetry traces of requests: a span for the request, and one for each attempt with the reason for its end.

Spans are written to a file, one JSON object per line. OpenTelemetry's sampler selects the traced requests at random;
a request that is not traced costs one comparison.
"""

from __future__ import annotations

import functools
import json
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor, SpanExporter, SpanExportResult
from opentelemetry.sdk.trace.sampling import TraceIdRatioBased
from opentelemetry.trace import set_span_in_context

from fawnspool.records.background_writer import BackgroundWriter

_NS_PER_S = 1e9
_NS_PER_MS = 1e6


class _LineExporter(SpanExporter):
    """Writes each span as one line of a file, in the background."""

    def __init__(self, path: Path, writer: BackgroundWriter) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        self.file = path.open("a", encoding="utf-8")
        self.writer = writer

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        text = "".join(json.dumps(_fields(span)) + "\n" for span in spans)
        if self.writer.put(functools.partial(self._write, text), len(text)):
            return SpanExportResult.SUCCESS
        return SpanExportResult.FAILURE

    def _write(self, text: str) -> None:
        self.file.write(text)
        self.file.flush()

    def shutdown(self) -> None:
        if not self.writer.put(self.file.close):
            self.file.close()


def _fields(span: ReadableSpan) -> dict[str, Any]:
    context = span.get_span_context()
    started_ns = span.start_time or 0
    ended_ns = span.end_time or 0
    return {
        "name": span.name,
        "trace": f"{context.trace_id:032x}" if context else "",
        "span": f"{context.span_id:016x}" if context else "",
        "parent": f"{span.parent.span_id:016x}" if span.parent else "",
        "start_ns": started_ns,
        "ms": (ended_ns - started_ns) / _NS_PER_MS,
        **dict(span.attributes or {}),
    }


class Traces:
    """Samples and writes traces; its methods take times in seconds of the monotonic clock.

    Parameters
    ----------
    share
        Fraction of the requests that are traced.
    service_name
        Name of this gateway in its traces.
    """

    def __init__(self, path: str, share: float, service_name: str, writer: BackgroundWriter) -> None:
        resource = Resource({"service.name": service_name})
        self.provider = TracerProvider(resource=resource, sampler=TraceIdRatioBased(share))
        self.provider.add_span_processor(SimpleSpanProcessor(_LineExporter(Path(path), writer)))
        self.tracer = self.provider.get_tracer("fawnspool")
        self.wall_clock_offset_s = time.time() - time.monotonic()

    def _wall_clock_ns(self, at: float) -> int:
        return int((at + self.wall_clock_offset_s) * _NS_PER_S)

    def begin(self, at: float, **attributes: Any) -> Any:
        """Start and return a request's span, or return None if the request is not traced."""
        span = self.tracer.start_span("request", start_time=self._wall_clock_ns(at), attributes=attributes)
        return span if span.is_recording() else None

    def attempt(self, parent: Any, started_at: float, ended_at: float, **attributes: Any) -> None:
        """Write the span of an ended attempt."""
        context = set_span_in_context(parent)
        start_ns = self._wall_clock_ns(started_at)
        span = self.tracer.start_span("attempt", context=context, start_time=start_ns, attributes=attributes)
        span.end(self._wall_clock_ns(ended_at))

    def end(self, span: Any, at: float, **attributes: Any) -> None:
        """End and write a request's span."""
        span.set_attributes(attributes)
        span.end(self._wall_clock_ns(at))

    def close(self) -> None:
        """Write pending spans and close the file."""
        self.provider.shutdown()
