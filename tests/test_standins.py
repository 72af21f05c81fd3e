import socket

import pytest

from ebonyglade_lab.standins.booking import Booking
from ebonyglade_lab.standins.server import LOOPBACK


async def test_a_stand_in_that_is_down_refuses_connections_and_keeps_its_port():
    """A server of another test that got the port would answer in its place."""
    booking = Booking()
    await booking.start()
    port = booking.port
    async with booking.down():
        with pytest.raises(ConnectionRefusedError), socket.socket() as client:
            client.connect((LOOPBACK, port))
        with pytest.raises(OSError), socket.socket() as other:
            other.bind((LOOPBACK, port))
