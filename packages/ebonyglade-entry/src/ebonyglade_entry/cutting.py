"""Closing of a caller's connection in the middle of a response."""

import socket
import struct

from aiohttp import HttpVersion11, web

# Closing sends a reset in place of the orderly end of the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def cut_response(request: web.Request) -> web.Response:
    """Close the connection so that the caller sees that its response is incomplete.

    With HTTP/1.1 the missing last chunk shows it. Before that a streamed response ends
    with its connection, so that the connection is reset.

    Returns:
        What the handler returns then. It is never sent, since its connection is closed;
        an exception would be logged with a traceback for each response that is cut.
    """
    never_sent = web.Response(status=502)
    transport = request.transport
    if transport is None:
        return never_sent
    if request.version < HttpVersion11:
        raw_socket = transport.get_extra_info("socket")
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()
    return never_sent
