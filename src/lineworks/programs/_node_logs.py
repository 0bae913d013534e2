"""Writes a process's logs as JSON lines to standard output without blocking.

Lines are held in a bounded buffer and written as soon as the pipe accepts them. When the buffer is
full, further lines are dropped and counted.
"""

from __future__ import annotations

import collections
import json
import os
import sys
from typing import Any

import structlog

BUFFER_LINES = 2000
"""Maximum number of buffered lines: enough for some seconds of a slow reader at usual rates."""

BUFFER_BYTES = 2_000_000
"""Maximum size of the buffered lines together: a line may quote what others sent."""

RETRY_SECONDS = 0.1
"""Delay before the next attempt to write to a full pipe, in seconds."""

STDOUT = 1


class LineWriter:
    """Writes lines to a file descriptor without blocking."""

    def __init__(self, reactor: Any, descriptor: int = STDOUT) -> None:
        """Create a writer.

        Args:
            reactor: Twisted's reactor, which schedules retries when the pipe is full.
            descriptor: File descriptor to write to; it must be non-blocking.
        """
        self._reactor = reactor
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._unwritten = b""
        self._timer: Any = None
        self.dropped = 0
        """Number of lines dropped so far."""
        self._reported_drops = 0

    def write(self, line: str) -> None:
        """Write or buffer a line; drop it if the buffer is full.

        Args:
            line: The line, without a line break.
        """
        data = line.encode("utf-8", "replace") + b"\n"
        is_too_long = self._buffered_bytes + len(data) > BUFFER_BYTES
        if len(self._buffer) >= BUFFER_LINES or is_too_long:
            self.dropped += 1
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        if self._timer is None:
            self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the pipe accepts; retry the rest later."""
        self._timer = None
        while self._unwritten or self._buffer:
            data = self._unwritten or self._take_line()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError as error:
                # The reader has closed the pipe, so the error cannot be logged anywhere.
                self.dropped += 1 + len(self._buffer)
                self._buffer.clear()
                self._buffered_bytes = 0
                self._unwritten = b""
                del error
                return
            self._unwritten = data[written:]
            if self._unwritten:
                self._timer = self._reactor.callLater(RETRY_SECONDS, self.flush)
                return
        if self.dropped > self._reported_drops:
            count = self.dropped - self._reported_drops
            self._reported_drops = self.dropped
            self.write(json.dumps({"event": "lines_dropped", "count": count}))

    def _take_line(self) -> bytes:
        data = self._buffer.popleft()
        self._buffered_bytes -= len(data)
        return data


class NodeLogs:
    """The logs of a process, and the exit code that follows from them."""

    def __init__(self, writer: LineWriter) -> None:
        self._writer = writer
        self._log = structlog.get_logger(component="program")
        self.exit_code = 0
        """Exit code of the process."""

    @property
    def lines_dropped(self) -> int:
        """Number of lines dropped so far because they were not read fast enough, or not at all."""
        return self._writer.dropped

    def fail(self, event: str, error: str, code: int = 1, **fields: Any) -> None:
        """Log the error that ends the process, and set the exit code."""
        self.exit_code = code
        self._log.error(event, error=error, **fields)
        self._writer.flush()

    def log_warning(self, event: str, detail: str, **fields: Any) -> None:
        """Log a warning for operators."""
        self._log.warning(event, detail=detail, **fields)

    def flush(self) -> None:
        """Write the buffered lines, as far as the pipe accepts them."""
        self._writer.flush()


def set_up(reactor: Any) -> NodeLogs:
    """Configure structlog, and log uncaught exceptions.

    Args:
        reactor: Twisted's reactor.

    Returns:
        The logs.
    """
    os.set_blocking(STDOUT, False)
    writer = LineWriter(reactor)

    def add_time(logger: Any, method: str, event: Any) -> Any:
        event["t"] = round(reactor.seconds(), 4)
        event["level"] = method
        return event

    def render(logger: Any, method: str, event: Any) -> str:
        return json.dumps(event, default=str)

    structlog.configure(
        processors=[add_time, render],
        wrapper_class=structlog.make_filtering_bound_logger(20),
        logger_factory=lambda *args: _WriterLogger(writer),
        cache_logger_on_first_use=True,
    )
    sys.excepthook = lambda kind, value, trace: _log_uncaught(writer, kind, value)
    return NodeLogs(writer)


class _WriterLogger:
    """Logger that passes structlog's rendered lines to a line writer."""

    def __init__(self, writer: LineWriter) -> None:
        self.debug = self.info = self.warning = self.error = self.critical = writer.write


def _log_uncaught(writer: LineWriter, kind: type[BaseException], value: BaseException) -> None:
    writer.write(json.dumps({"event": "uncaught", "error": f"{kind.__name__}: {value}"}))
    writer.flush()
