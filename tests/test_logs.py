import json
import logging

from ebonyglade_node.logs import JsonFormatter, KeyValueFormatter, LineQueue


def record(**extra):
    made = logging.makeLogRecord({"name": "part", "levelname": "INFO", "msg": "done"})
    vars(made).update(extra)
    return made


def test_key_value_line_quotes_what_is_not_plain():
    line = KeyValueFormatter().format(record(request="1", reason='a "b" c', none=""))
    assert 'level=info logger=part message=done request=1 reason="a \\"b\\" c"' in line
    assert 'none=""' in line
    assert "\n" not in KeyValueFormatter().format(record(reason="a\nb"))


def test_json_line_holds_the_same_fields():
    document = json.loads(JsonFormatter().format(record(request="1", seconds=0.5)))
    assert document["request"] == "1"
    assert document["seconds"] == 0.5
    assert document["message"] == "done"


def test_traceback_is_kept():
    try:
        raise ValueError("a bug")
    except ValueError as error:
        failed = record(exc_info=(type(error), error, error.__traceback__))
    assert "ValueError: a bug" in KeyValueFormatter().format(failed)
    assert (
        "ValueError: a bug" in json.loads(JsonFormatter().format(failed))["traceback"]
    )


def test_lines_that_nobody_writes_are_dropped_and_counted():
    lines = LineQueue(longest=3)
    for number in range(5):
        lines.handle(record(number=number))
    assert lines.queue.qsize() == 3
    assert lines.dropped == 2
