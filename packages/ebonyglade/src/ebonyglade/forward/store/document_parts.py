"""Documents of the store, compressed and cut into parts for other members."""

import zlib
from collections.abc import Collection
from dataclasses import dataclass, field

from ebonyglade.forward.types import StoreDocument
from ebonyglade.hashing import hexdigest
from ebonyglade.wire.codec import MAX_FRAME_BYTES
from ebonyglade.wire.replica import DocumentPart, DocumentPartRequest, ReplicaDocument

# A heartbeat waits little behind one part, also on a slow link.
PART_BYTES = 32 * 1024
# Smaller documents are sent whole, which saves a round trip.
MIN_PACKED_BYTES = 8 * 1024
COMPRESSION_LEVEL = 3  # higher ones take longer and hardly save bytes
DIGEST_BYTES = 8


class InvalidContent(Exception):
    """The parts of a document do not add up to its content."""


@dataclass(frozen=True, slots=True)
class PackedDocument:
    """The compressed content of a document.

    Attributes:
        value: content that was compressed.
        data: compressed content.
        digest: hash of `data`.
    """

    value: bytes
    data: bytes
    digest: str


@dataclass(slots=True)
class DocumentPacker:
    """Compresses documents once for all members that request them."""

    _packed: dict[str, PackedDocument] = field(default_factory=dict)

    def describe(self, item: StoreDocument, parts: bool) -> ReplicaDocument:
        """Return a document as it is listed to another member.

        Args:
            item: the document.
            parts: whether the member takes large documents in parts.
        """
        revision = item.version.revision
        if not parts or len(item.value) < MIN_PACKED_BYTES:
            return ReplicaDocument(item.path, item.value, revision)
        packed = self._pack(item)
        return ReplicaDocument(
            item.path, b"", revision, len(packed.data), packed.digest
        )

    def part(
        self, item: StoreDocument | None, request: DocumentPartRequest
    ) -> DocumentPart:
        """Return the requested part of a document.

        Args:
            item: the document at the requested path; None if there is none.
            request: the part; it has no data in the answer if the document has
                other content now.
        """
        data = b""
        if item is not None:
            packed = self._pack(item)
            if packed.digest == request.digest:
                data = packed.data[request.offset : request.offset + PART_BYTES]
        return DocumentPart(request.path, request.digest, request.offset, data)

    def retain(self, paths: Collection[str]) -> None:
        """Forget the documents that are not at one of the paths."""
        self._packed = {
            path: item for path, item in self._packed.items() if path in paths
        }

    def _pack(self, item: StoreDocument) -> PackedDocument:
        packed = self._packed.get(item.path)
        if packed is None or packed.value is not item.value:
            data = zlib.compress(item.value, COMPRESSION_LEVEL)
            packed = PackedDocument(item.value, data, _digest(data))
            self._packed[item.path] = packed
        return packed


@dataclass(slots=True)
class IncomingDocument:
    """A document of which parts arrive in order.

    Attributes:
        listed: the document as another member lists it.
    """

    listed: ReplicaDocument
    _data: bytearray = field(default_factory=bytearray)

    @property
    def complete(self) -> bool:
        """Whether all parts have arrived."""
        return len(self._data) >= self.listed.size

    @property
    def next_request(self) -> DocumentPartRequest:
        """Request of the part that is missing next."""
        return DocumentPartRequest(
            self.listed.path, self.listed.digest, len(self._data)
        )

    def add(self, part: DocumentPart) -> bool:
        """Add a part; return whether it is the one that was missing next."""
        expected = self.next_request
        if (part.path, part.digest, part.offset) != (
            expected.path,
            expected.digest,
            expected.offset,
        ):
            return False
        self._data += part.data
        return bool(part.data)

    def content(self) -> bytes:
        """Return the content of a complete document.

        Raises:
            InvalidContent: the parts are not the listed content.
        """
        data = bytes(self._data)
        if _digest(data) != self.listed.digest:
            raise InvalidContent("digest differs")
        decompressor = zlib.decompressobj()
        try:
            content = decompressor.decompress(data, MAX_FRAME_BYTES)
        except zlib.error as error:
            raise InvalidContent(str(error)) from error
        if not decompressor.eof:
            raise InvalidContent("too large or incomplete")
        return content


def _digest(data: bytes) -> str:
    return hexdigest((data,), DIGEST_BYTES)
