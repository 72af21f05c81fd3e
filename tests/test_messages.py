import pytest

from ebonyglade.wire.base import Message
from ebonyglade.wire.codec import _MESSAGE_MODULES


# A message that is not listed is dropped by its receivers, as of an unknown type.
@pytest.mark.parametrize("module", _MESSAGE_MODULES, ids=lambda module: module.__name__)
def test_every_message_of_a_module_is_listed(module):
    defined = {
        item
        for item in vars(module).values()
        if isinstance(item, type)
        and issubclass(item, Message)
        and item.__module__ == module.__name__
        and not item.__name__.startswith("_")
    }
    assert defined == set(module.MESSAGES)
