import json
import logging

from ebonyglade_node.logs import JsonFormatter, KeyValueFormatter, LineQueue


def record(**extra):
    log_record = logging.makeLogRecord(
        {"name": "part", "levelname": "INFO", "msg": "done"}
    )
    vars(log_record).update(extra)
    return log_record


def test_key_value_line_quotes_values_with_special_characters():
    line = KeyValueFormatter().format(record(request="1", reason='a "b" c', none=""))
    assert 'level=info logger=part message=done request=1 reason="a \\"b\\" c"' in line
    assert 'none=""' in line
    assert "\n" not in KeyValueFormatter().format(record(reason="a\nb"))


def test_json_line_has_the_same_fields():
    document = json.loads(JsonFormatter().format(record(request="1", seconds=0.5)))
    assert document["request"] == "1"
    assert document["seconds"] == 0.5
    assert document["message"] == "done"


def test_traceback_is_logged():
    try:
        raise ValueError("a bug")
    except ValueError as error:
        failed = record(exc_info=(type(error), error, error.__traceback__))
    assert "ValueError: a bug" in KeyValueFormatter().format(failed)
    assert (
        "ValueError: a bug" in json.loads(JsonFormatter().format(failed))["traceback"]
    )


def test_lines_beyond_the_queue_limit_are_dropped_and_counted():
    queue_handler = LineQueue(max_lines=3)
    for number in range(5):
        queue_handler.handle(record(number=number))
    assert queue_handler.queue.qsize() == 3
    assert queue_handler.dropped == 2
