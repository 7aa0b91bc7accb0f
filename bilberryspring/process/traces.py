"""Distributed tracing: one span per hop, linked across processes by ``traceparent``.

An unsampled span costs only a comparison and a short string. A sampled span is an
OpenTelemetry span, which a background thread exports as one line of JSON.

.. seealso:: W3C Trace Context; the OpenTelemetry trace SDK.
"""

import json
import random
import re
import sys
from collections.abc import Callable, Sequence
from typing import IO

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ALWAYS_ON

__all__ = [
    "JsonLinesExporter",
    "Span",
    "Tracing",
    "format_traceparent",
    "make_tracing",
    "parse_traceparent",
    "register_exporter",
    "start_span",
]

STDERR_PATH = "-"
EXPORT_INTERVAL_MS = 200
MAX_QUEUED_SPANS = 4096
MAX_EXPORT_BATCH_SPANS = 512
TRACEPARENT_PATTERN = re.compile(r"00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")

ExporterFactory = Callable[[str], SpanExporter | None]
EXPORTER_FACTORIES: dict[str, ExporterFactory] = {}


def register_exporter(name: str) -> Callable[[ExporterFactory], ExporterFactory]:
    """Return a decorator that registers a factory of span exporters.

    The factory takes the trace path and returns an exporter, or None to export nothing.

    :param name: name of the exporter.
    """

    def register(factory: ExporterFactory) -> ExporterFactory:
        EXPORTER_FACTORIES[name] = factory
        return factory

    return register


def parse_traceparent(text: str) -> trace.SpanContext | None:
    """Parse a ``traceparent`` header from a caller or another process.

    :param text: value of the header.
    :returns: context of the parent span, or None if the value is invalid.

    >>> parse_traceparent("00-" + "a" * 32 + "-" + "b" * 16 + "-01").trace_flags
    1
    >>> parse_traceparent("99-zz") is None
    True
    """
    match = TRACEPARENT_PATTERN.fullmatch(text)
    if match is None:
        return None
    trace_id, span_id, flags = (int(part, 16) for part in match.groups())
    if trace_id == 0 or span_id == 0:
        return None
    sampled = trace.TraceFlags(flags & trace.TraceFlags.SAMPLED)
    return trace.SpanContext(trace_id, span_id, is_remote=True, trace_flags=sampled)


def format_traceparent(context: trace.SpanContext) -> str:
    """Format the ``traceparent`` header of a span.

    :param context: context of the span.
    :returns: version, trace id, span id and flags, separated by hyphens.

    >>> format_traceparent(trace.SpanContext(10, 11, False, trace.TraceFlags(1)))[-21:]
    'a-000000000000000b-01'
    """
    flags = int(context.trace_flags)
    return f"00-{context.trace_id:032x}-{context.span_id:016x}-{flags:02x}"


class Span:
    """Unsampled span of one hop of a request; a context manager that records nothing.

    :ivar traceparent: ``traceparent`` header to send to the next hop.
    """

    __slots__ = ("traceparent",)

    def __init__(self, traceparent: str) -> None:
        self.traceparent = traceparent

    def __enter__(self) -> "Span":
        return self

    def __exit__(self, kind: object, error: BaseException | None, stack: object):
        return None

    def add_event(self, name: str, **attributes: object) -> None:
        """Record a timestamped event in the span.

        :param name: name of the event in snake_case.
        :param attributes: attributes of the event; names carry their unit as a suffix.
        """

    def set_attributes(self, **attributes: object) -> None:
        """Add attributes to the span.

        :param attributes: attribute values; names carry their unit as a suffix.
        """

    def mark_failed(self, reason: str) -> None:
        """Set the status of the span to error.

        :param reason: error kind or name of the exception class.
        """


class _RecordedSpan(Span):
    __slots__ = ("_span",)

    def __init__(self, span: trace.Span) -> None:
        super().__init__(format_traceparent(span.get_span_context()))
        self._span = span

    def __exit__(self, kind: object, error: BaseException | None, stack: object):
        if error is not None:
            self.mark_failed(type(error).__name__)
        self._span.end()

    def add_event(self, name: str, **attributes: object) -> None:
        self._span.add_event(name, attributes)

    def set_attributes(self, **attributes: object) -> None:
        self._span.set_attributes(attributes)

    def mark_failed(self, reason: str) -> None:
        self._span.set_status(trace.StatusCode.ERROR, reason)


class JsonLinesExporter(SpanExporter):
    """Span exporter that writes each span as one line of JSON.

    :param stream: open text stream to write to.
    """

    def __init__(self, stream: IO[str]) -> None:
        self._stream = stream

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write the spans and flush the stream.

        :param spans: spans that have ended.
        :returns: success, or failure if the stream cannot be written.
        """
        try:
            self._stream.writelines(_format_span(span) + "\n" for span in spans)
            self._stream.flush()
        except (OSError, ValueError):
            return SpanExportResult.FAILURE
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the stream, unless it is standard error."""
        if self._stream is not sys.stderr:
            self._stream.close()


def _format_span(span: ReadableSpan) -> str:
    context, parent = span.get_span_context(), span.parent
    line = {
        "name": span.name,
        "trace_id": f"{context.trace_id:032x}",
        "span_id": f"{context.span_id:016x}",
        "parent_id": f"{parent.span_id:016x}" if parent else "",
        "start_s": span.start_time / 1e9,
        "duration_ms": (span.end_time - span.start_time) / 1e6,
        "failed": span.status.description or "",
        **dict(span.resource.attributes),
        "attributes": dict(span.attributes or {}),
        "events": [
            {
                "name": event.name,
                "after_ms": (event.timestamp - span.start_time) / 1e6,
                **dict(event.attributes or {}),
            }
            for event in span.events
        ],
    }
    return json.dumps(line, separators=(",", ":"), default=str)


@register_exporter("none")
def make_no_exporter(path: str) -> None:
    """Return None, which disables the export.

    :param path: not used.
    """


@register_exporter("stderr")
def make_stderr_exporter(path: str) -> SpanExporter:
    """Return an exporter that writes to standard error.

    :param path: not used.
    """
    return JsonLinesExporter(sys.stderr)


@register_exporter("file")
def make_file_exporter(path: str) -> SpanExporter:
    """Return an exporter that writes to a file.

    It is meant for development, since production instances have no disk.

    :param path: file to append to.
    """
    return JsonLinesExporter(open(path, "a", encoding="utf-8"))


def choose_exporter(path: str) -> str:
    """Return the name of the exporter for a trace path.

    :param path: empty for no export, ``-`` for standard error, otherwise a file path.

    >>> [choose_exporter(path) for path in ("", "-", "spans.jsonl")]
    ['none', 'stderr', 'file']
    """
    if not path:
        return "none"
    return "stderr" if path == STDERR_PATH else "file"


class Tracing:
    """Tracer of a process.

    :param exporter: name of a registered exporter.
    :param path: ``trace_path`` of the settings.
    :param ratio: ratio of new traces that are sampled, from 0 to 1.
    :param resource: attributes that every span carries, such as the instance.
    """

    def __init__(
        self, exporter: str, path: str, ratio: float, resource: dict[str, str]
    ) -> None:
        self._exporter = exporter
        self._path = path
        self._ratio = ratio
        self._resource = resource
        self._provider: TracerProvider | None = None
        self._tracer: trace.Tracer | None = None

    def start(self) -> None:
        """Open the exporter and make :func:`start_span` use this tracer."""
        global _current_tracing
        exporter = EXPORTER_FACTORIES[self._exporter](self._path)
        if exporter is not None:
            self._provider = TracerProvider(
                sampler=ALWAYS_ON,
                resource=Resource(self._resource),
                shutdown_on_exit=False,
            )
            processor = BatchSpanProcessor(
                exporter,
                max_queue_size=MAX_QUEUED_SPANS,
                schedule_delay_millis=EXPORT_INTERVAL_MS,
                max_export_batch_size=MAX_EXPORT_BATCH_SPANS,
            )
            self._provider.add_span_processor(processor)
            self._tracer = self._provider.get_tracer("bilberryspring")
        _current_tracing = self

    def close(self) -> None:
        """Export the queued spans and stop sampling."""
        global _current_tracing
        if _current_tracing is self:
            _current_tracing = _DISABLED_TRACING
        self._tracer = None
        if self._provider is not None:
            self._provider.shutdown()
            self._provider = None

    def start_span(
        self, name: str, parent_traceparent: str, attributes: dict[str, object]
    ) -> Span:
        """Start a span, as described at :func:`start_span`.

        :param name: name of the span.
        :param parent_traceparent: header of the previous hop; empty for none.
        :param attributes: attribute values by name.
        """
        parent = parse_traceparent(parent_traceparent) if parent_traceparent else None
        if parent is None:
            sampled = self._ratio > 0 and random.random() < self._ratio
        else:
            sampled = parent.trace_flags.sampled
        if not sampled or self._tracer is None:
            return Span(parent_traceparent if parent else _make_unsampled_traceparent())
        context = None
        if parent is not None:
            context = trace.set_span_in_context(trace.NonRecordingSpan(parent))
        span = self._tracer.start_span(name, context=context, attributes=attributes)
        return _RecordedSpan(span)


def _make_unsampled_traceparent() -> str:
    trace_id, span_id = random.getrandbits(128) | 1, random.getrandbits(64) | 1
    return f"00-{trace_id:032x}-{span_id:016x}-00"


def make_tracing(
    instance_id: str, role: str, path: str = "", ratio: float = 0.0
) -> Tracing:
    """Return a tracer that is not started; the caller starts and closes it.

    :param instance_id: id of the instance.
    :param role: role of the process, such as ``router``.
    :param path: ``trace_path`` of the settings; empty for no export.
    :param ratio: ``trace_ratio`` of the settings, from 0 to 1.
    """
    resource = {"service.name": f"bilberryspring-{role}", "instance": instance_id}
    return Tracing(choose_exporter(path), path, ratio, resource)


_DISABLED_TRACING = Tracing("none", "", 0.0, {})
_current_tracing = _DISABLED_TRACING


def start_span(name: str, parent_traceparent: str = "", **attributes: object) -> Span:
    """Start a span with the tracer of this process.

    A span with a valid parent is sampled if its parent is; a span without one is
    sampled with the probability ``trace_ratio``. An unsampled span passes the parent's
    ``traceparent`` on unchanged.

    :param name: name of the span: role and step, such as ``agent.queue``.
    :param parent_traceparent: header of the previous hop; empty for none.
    :param attributes: attributes of the span; names carry their unit as a suffix.
    :returns: the span, to be used as a context manager.

    >>> with start_span("router.request", rank="urgent") as span:
    ...     span.traceparent[-3:]
    '-00'
    """
    return _current_tracing.start_span(name, parent_traceparent, attributes)
