"""Logs of a process: JSON lines on standard output that never hold the process up.

Lines wait in a bounded buffer and are written as far as the pipe takes them. When the buffer is
full, lines are dropped and counted.
"""

from __future__ import annotations

import collections
import json
import os
import sys
from typing import Any

import structlog

BUFFER_LINES = 2000
"""Lines that wait for a slow reader at most: some seconds at the usual rates."""

RETRY_SECONDS = 0.1
"""Seconds after which a full pipe is tried again."""

STDOUT = 1


class LineWriter:
    """Writes lines without ever waiting."""

    def __init__(self, reactor: Any, descriptor: int = STDOUT) -> None:
        """Make a writer.

        Args:
            reactor: Twisted's reactor, for another try at a full pipe.
            descriptor: Where to write.
        """
        self._reactor = reactor
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        self._timer: Any = None
        self.dropped = 0
        """Lines dropped so far."""
        self._reported_drops = 0

    def write(self, line: str) -> None:
        """Write a line, now or later, or drop it.

        Args:
            line: The line, without its end.
        """
        if len(self._buffer) >= BUFFER_LINES:
            self.dropped += 1
            return
        self._buffer.append(line.encode("utf-8", "replace") + b"\n")
        if self._timer is None:
            self.flush()

    def flush(self) -> None:
        """Write as much as the pipe takes."""
        self._timer = None
        while self._unwritten or self._buffer:
            data = self._unwritten or self._buffer.popleft()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError as error:
                # Nobody reads any more, so there is nowhere to report this to.
                self.dropped += 1 + len(self._buffer)
                self._buffer.clear()
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


class NodeLogs:
    """The logs of one process."""

    def __init__(self, writer: LineWriter) -> None:
        self._writer = writer
        self._log = structlog.get_logger(component="program")
        self.exit_code = 0
        """Code that the process ends with."""

    @property
    def lines_dropped(self) -> int:
        """Lines dropped so far, because nobody read them."""
        return self._writer.dropped

    def fail(self, event: str, error: str, code: int = 1) -> None:
        """Write why the process ends."""
        self.exit_code = code
        self._log.error(event, error=error)
        self._writer.flush()

    def log_warning(self, event: str, detail: str) -> None:
        """Write what an operator should know."""
        self._log.warning(event, detail=detail)

    def flush(self) -> None:
        """Write what still waits."""
        self._writer.flush()


def set_up(reactor: Any) -> NodeLogs:
    """Configure structlog for the process.

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
    """What structlog hands finished lines to."""

    def __init__(self, writer: LineWriter) -> None:
        self.debug = self.info = self.warning = self.error = self.critical = writer.write


def _log_uncaught(writer: LineWriter, kind: type[BaseException], value: BaseException) -> None:
    writer.write(json.dumps({"event": "uncaught", "error": f"{kind.__name__}: {value}"}))
    writer.flush()
