"""OpenTelemetry traces of requests: a span for the request, one for each attempt with the reason for its end.

Spans go to a file, a JSON object a line. Which requests are traced is drawn by the trace's own sampler; a
request that is not traced costs one comparison.
"""

from __future__ import annotations

import functools
import json
import time
from pathlib import Path
from typing import Any

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor, SpanExporter, SpanExportResult
from opentelemetry.sdk.trace.sampling import TraceIdRatioBased
from opentelemetry.trace import set_span_in_context

from fawnspool.records.background_writer import BackgroundWriter


class _Lines(SpanExporter):
    """Writes each span as one line."""

    def __init__(self, path: Path, behind: BackgroundWriter) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        self.file, self.behind = path.open("a", encoding="utf-8"), behind

    def export(self, spans: Any) -> SpanExportResult:
        text = "".join(json.dumps(_row(span)) + "\n" for span in spans)
        if self.behind.put(functools.partial(self._write, text), len(text)):
            return SpanExportResult.SUCCESS
        return SpanExportResult.FAILURE

    def _write(self, text: str) -> None:
        self.file.write(text)
        self.file.flush()

    def shutdown(self) -> None:
        if not self.behind.put(self.file.close):
            self.file.close()


def _row(span: ReadableSpan) -> dict[str, Any]:
    context, start, end = span.get_span_context(), span.start_time or 0, span.end_time or 0
    return {
        "name": span.name,
        "trace": f"{context.trace_id:032x}" if context else "",
        "span": f"{context.span_id:016x}" if context else "",
        "parent": f"{span.parent.span_id:016x}" if span.parent else "",
        "start_ns": start,
        "ms": (end - start) / 1e6,
        **dict(span.attributes or {}),
    }


class Traces:
    """Draws and writes traces. Times given are monotonic seconds."""

    def __init__(self, path: str, share: float, name: str, behind: BackgroundWriter) -> None:
        provider = TracerProvider(resource=Resource({"service.name": name}), sampler=TraceIdRatioBased(share))
        provider.add_span_processor(SimpleSpanProcessor(_Lines(Path(path), behind)))
        self.provider, self.tracer = provider, provider.get_tracer("fawnspool")
        self.offset = time.time() - time.monotonic()

    def _ns(self, at: float) -> int:
        return int((at + self.offset) * 1e9)

    def begin(self, at: float, **attributes: Any) -> Any:
        """A request's span, or None where it is not drawn."""
        span = self.tracer.start_span("request", start_time=self._ns(at), attributes=attributes)
        return span if span.is_recording() else None

    def attempt(self, parent: Any, began: float, ended: float, **attributes: Any) -> None:
        span = self.tracer.start_span(
            "attempt", context=set_span_in_context(parent), start_time=self._ns(began), attributes=attributes
        )
        span.end(self._ns(ended))

    def end(self, span: Any, at: float, **attributes: Any) -> None:
        span.set_attributes(attributes)
        span.end(self._ns(at))

    def close(self) -> None:
        self.provider.shutdown()
