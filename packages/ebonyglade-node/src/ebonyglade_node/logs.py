"""Logs as key=value pairs or JSON; no line may hold an API key or a prompt.

A separate thread writes the lines, so that a slow reader of the output does not
block requests. Lines that exceed its queue are dropped and counted.
"""

import atexit
import json
import logging
import logging.handlers
import queue
import sys

from ebonyglade_node.settings import LogSection

MAX_QUEUED_LINES = 10_000
_STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {
    "message",
    "asctime",
}


def record_fields(record: logging.LogRecord) -> dict[str, object]:
    """Return a record's standard fields and those passed as `extra`."""
    fields: dict[str, object] = {
        "time": round(record.created, 3),
        "level": record.levelname.lower(),
        "logger": record.name,
        "message": record.getMessage(),
    }
    fields.update(
        (name, value)
        for name, value in vars(record).items()
        if name not in _STANDARD_ATTRIBUTES
    )
    return fields


class KeyValueFormatter(logging.Formatter):
    """Formats a record as key=value pairs on one line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line; a traceback follows it where there is one."""
        pairs = [
            f"{name}={_quote(value)}" for name, value in record_fields(record).items()
        ]
        return _with_traceback(self, record, " ".join(pairs))


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the object on one line."""
        fields = record_fields(record)
        if record.exc_info:
            fields["traceback"] = self.formatException(record.exc_info)
        return json.dumps(fields, default=str)


class LineQueue(logging.handlers.QueueHandler):
    """Queues records for the writer thread; drops them while the queue is full."""

    def __init__(self, max_lines: int = MAX_QUEUED_LINES) -> None:
        super().__init__(queue.Queue(max_lines))
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of dropped lines."""
        return self._dropped

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record unchanged; it never leaves this process."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record without waiting."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self._dropped += 1


def dropped_lines() -> int:
    """Return the number of log lines that this process has dropped."""
    handlers = logging.getLogger().handlers
    return sum(item.dropped for item in handlers if isinstance(item, LineQueue))


def configure(section: LogSection, instance: str) -> None:
    """Send all logs to standard output in the chosen format."""
    handler = logging.StreamHandler(sys.stdout)
    formatters = {"keyvalue": KeyValueFormatter, "json": JsonFormatter}
    handler.setFormatter(formatters[section.format]())
    queue_handler = LineQueue()
    queue_handler.addFilter(_InstanceFilter(instance))
    writer = logging.handlers.QueueListener(queue_handler.queue, handler)
    writer.start()
    # Write the queued lines at exit; the last ones say why the process ended.
    atexit.register(writer.stop)
    root = logging.getLogger()
    root.handlers[:] = [queue_handler]
    root.setLevel(section.level)
    for noisy in ("aiohttp.access", "mode", "asyncio"):
        logging.getLogger(noisy).setLevel(logging.WARNING)


class _InstanceFilter(logging.Filter):
    """Adds the instance id to each record."""

    def __init__(self, instance: str) -> None:
        super().__init__()
        self._instance = instance

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the instance id and keep the record."""
        record.instance = self._instance
        return True


def _quote(value: object) -> str:
    text = str(value)
    plain = text and not any(char in text for char in ' "=\n')
    return text if plain else json.dumps(text)


def _with_traceback(
    formatter: logging.Formatter, record: logging.LogRecord, line: str
) -> str:
    if not record.exc_info:
        return line
    return f"{line}\n{formatter.formatException(record.exc_info)}"
