"""Reading of response bodies to their end, independent of how they are received."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from ebonyglade.completeness import (
    Content,
    Ending,
    Framing,
    IncompleteResponse,
    is_complete,
)

KIB = 1024
MIB = 1024 * KIB
# Held for every request, so that a few large answers do not take the memory of all.
ALWAYS_GRANTED_BYTES = 16 * KIB


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
    buffered_bytes: int = 32 * MIB


DEFAULT_LIMITS = BodyLimits()


@dataclass(slots=True)
class BufferBudget:
    """Memory for bodies that a process holds, over all of its requests.

    Attributes:
        max_bytes: most bytes to hold.
        used: bytes that are held.
        peak: most bytes that were held at a time.
    """

    max_bytes: int = DEFAULT_LIMITS.buffered_bytes
    used: int = 0
    peak: int = 0


@dataclass(slots=True)
class BufferLease:
    """One request's part of the memory for bodies; released at its end.

    Attributes:
        budget: memory of the process.
        held: bytes that this request holds.
    """

    budget: BufferBudget = field(default_factory=BufferBudget)
    held: int = 0

    def hold(self, size: int) -> bool:
        """Change the bytes held; False if there is no memory for more."""
        used = self.budget.used + size - self.held
        small = size <= max(self.held, ALWAYS_GRANTED_BYTES)
        if used > self.budget.max_bytes and not small:
            return False
        self.budget.used = used
        self.budget.peak = max(self.budget.peak, used)
        self.held = size
        return True

    def release(self) -> None:
        """Release all bytes."""
        self.hold(0)


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
