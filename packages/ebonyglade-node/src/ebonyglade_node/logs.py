"""Log lines as key=value pairs or JSON; never a key, never a prompt.

A thread of its own writes them, so that a reader who is slow blocks no request.
What it can't write in time is dropped and counted.
"""

import atexit
import json
import logging
import logging.handlers
import queue
import sys

from ebonyglade_node.settings import LogSection

MOST_WAITING = 10_000  # lines that wait to be written
_STANDARD = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


def fields_of(record: logging.LogRecord) -> dict[str, object]:
    """Return a record's standard fields and those passed as `extra`."""
    fields: dict[str, object] = {
        "time": round(record.created, 3),
        "level": record.levelname.lower(),
        "logger": record.name,
        "message": record.getMessage(),
    }
    fields.update(
        (name, value) for name, value in vars(record).items() if name not in _STANDARD
    )
    return fields


class KeyValueFormatter(logging.Formatter):
    """Formats a record as key=value pairs on one line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line; a traceback follows it where there is one."""
        pairs = [
            f"{name}={_quoted(value)}" for name, value in fields_of(record).items()
        ]
        return _with_traceback(self, record, " ".join(pairs))


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the object on one line."""
        fields = fields_of(record)
        if record.exc_info:
            fields["traceback"] = self.formatException(record.exc_info)
        return json.dumps(fields, default=str)


class LineQueue(logging.handlers.QueueHandler):
    """Hands records to the thread that writes; drops them when it is behind."""

    def __init__(self, longest: int = MOST_WAITING) -> None:
        super().__init__(queue.Queue(longest))
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Lines that were dropped so far."""
        return self._dropped

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record as it is; it stays in this process."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record without waiting."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self._dropped += 1


def dropped_lines() -> int:
    """Return how many lines this process has dropped."""
    handlers = logging.getLogger().handlers
    return sum(item.dropped for item in handlers if isinstance(item, LineQueue))


def configure(section: LogSection, instance: str) -> None:
    """Send all logs to standard output in the chosen format."""
    handler = logging.StreamHandler(sys.stdout)
    chosen = {"keyvalue": KeyValueFormatter, "json": JsonFormatter}
    handler.setFormatter(chosen[section.format]())
    lines = LineQueue()
    lines.addFilter(_Stamp(instance))
    writer = logging.handlers.QueueListener(lines.queue, handler)
    writer.start()
    # The last lines tell why the process ended.
    atexit.register(writer.stop)
    root = logging.getLogger()
    root.handlers[:] = [lines]
    root.setLevel(section.level)
    for noisy in ("aiohttp.access", "mode", "asyncio"):
        logging.getLogger(noisy).setLevel(logging.WARNING)


class _Stamp(logging.Filter):
    """Adds the instance id to each record."""

    def __init__(self, instance: str) -> None:
        super().__init__()
        self._instance = instance

    def filter(self, record: logging.LogRecord) -> bool:
        """Stamp the record and let it pass."""
        record.instance = self._instance
        return True


def _quoted(value: object) -> str:
    text = str(value)
    plain = text and not any(mark in text for mark in ' "=\n')
    return text if plain else json.dumps(text)


def _with_traceback(
    formatter: logging.Formatter, record: logging.LogRecord, line: str
) -> str:
    if not record.exc_info:
        return line
    return f"{line}\n{formatter.formatException(record.exc_info)}"
