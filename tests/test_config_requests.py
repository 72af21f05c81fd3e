"""Requests for configuration changes while their answer is under way."""

from ebonyglade.config.controller import ConfigController
from helpers.forwarding import Clock, context


class SentMessages:
    """A transport that keeps what is sent through it."""

    def __init__(self):
        self.messages = []

    def send(self, instance, message):
        self.messages.append(message)
        return True


def test_changes_that_are_on_their_way_are_requested_ever_more_rarely():
    """Guards against updates that crowd each other out on a slow link."""
    clock, sent = Clock(), SentMessages()
    config = ConfigController(context(clock, sent))
    times = []
    for step in range(100):
        clock.now = 100.0 + step * 0.1
        before = len(sent.messages)
        config.on_remote_revision(f"peer-{step % 3}", 7)
        if len(sent.messages) > before:
            times.append(round(clock.now - 100.0, 1))
    assert times == [0.0, 0.5, 1.5, 3.5, 7.5]
