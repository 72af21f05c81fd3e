"""Reading of response bodies to their end, independent of how they are received."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from ebonyglade.buffers import DEFAULT_BUFFERED_BYTES, MIB, BufferLease
from ebonyglade.completeness import (
    Content,
    Ending,
    Framing,
    IncompleteResponse,
    is_complete,
)


@dataclass(frozen=True, slots=True)
class BodyLimits:
    """Limits of the bodies that a process reads, in bytes.

    Attributes:
        document_bytes: of a body that is passed on as a whole.
        event_bytes: of one event of a stream.
        buffered_bytes: of all bodies and unfinished events that are held at a time,
            apart from the small ones.
    """

    document_bytes: int = 8 * MIB
    event_bytes: int = MIB
    buffered_bytes: int = DEFAULT_BUFFERED_BYTES


DEFAULT_LIMITS = BodyLimits()


@dataclass(slots=True)
class Body:
    """Body of a response whose headers have arrived; it is read once.

    Attributes:
        framing: what marks its end.
        parts: its bytes as they arrive; raises `IncompleteResponse` if it ends early.
    """

    framing: Framing
    parts: AsyncIterator[bytes]

    def require_complete(self, content: Content) -> None:
        """Check a body that ended as framed.

        Raises:
            IncompleteResponse: it is not complete with this content.
        """
        if not is_complete(self.framing, Ending.AS_FRAMED, content):
            raise IncompleteResponse(f"the body ends with {content.value}", content)


def require_size(size: int, max_bytes: int, lease: BufferLease | None) -> None:
    """Hold the bytes read so far of a document or an event.

    Raises:
        IncompleteResponse: they are too many, or there is no memory for them.
    """
    if size > max_bytes:
        raise IncompleteResponse(f"over {max_bytes} bytes", Ending.LIMIT)
    if lease is not None and not lease.hold(size):
        raise IncompleteResponse("no memory left for bodies", Ending.NO_MEMORY)


async def read_document(
    body: Body,
    max_bytes: int,
    lease: BufferLease | None = None,
    on_part: Callable[[int], None] | None = None,
) -> bytes:
    """Return the bytes of a complete body.

    Args:
        body: the body.
        max_bytes: limit of its size.
        lease: holds the memory, also after the return; None for a body whose own limit
            is enough.
        on_part: called with the size of each part.

    Raises:
        IncompleteResponse: it is not complete, or larger than a limit.
    """
    parts, size = [], 0
    async for part in body.parts:
        size += len(part)
        require_size(size, max_bytes, lease)
        parts.append(part)
        if on_part is not None:
            on_part(len(part))
    body.require_complete(Content.DOCUMENT)
    return b"".join(parts)


async def read_lines(body: Body, max_bytes: int) -> AsyncIterator[bytes]:
    """Yield the lines of a body, without their ends, as they arrive.

    Args:
        body: the body.
        max_bytes: limit of one line.

    Raises:
        IncompleteResponse: it is broken off, also inside a line, or a line is too long.
    """
    buffer = bytearray()
    async for part in body.parts:
        searched = len(buffer)
        buffer += part
        end = buffer.rfind(b"\n", searched) + 1
        lines = bytes(buffer[:end]).split(b"\n")[:-1]
        del buffer[:end]
        if len(buffer) > max_bytes:
            raise IncompleteResponse(f"a line over {max_bytes} bytes", Ending.LIMIT)
        for line in lines:
            yield line
    body.require_complete(Content.UNFINISHED_EVENT if buffer else Content.DOCUMENT)
