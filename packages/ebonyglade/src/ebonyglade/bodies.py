"""Reading of response bodies to their end, independent of how they are received."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from ebonyglade.completeness import (
    Content,
    Ending,
    Framing,
    IncompleteResponse,
    is_complete,
)


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


async def read_document(body: Body) -> bytes:
    """Return the bytes of a complete body.

    Raises:
        IncompleteResponse: it is not complete.
    """
    parts = [part async for part in body.parts]
    body.require_complete(Content.DOCUMENT)
    return b"".join(parts)
