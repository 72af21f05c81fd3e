"""Messages by which a member gets a newer store replica from another one.

Large documents are listed without their content, which is then requested in parts:
other messages pass between two parts, and each part that arrives shows progress.
"""

import msgspec

from ebonyglade.wire.base import Message


class ReplicaDocument(msgspec.Struct, frozen=True, array_like=True):
    """One document of the store.

    Attributes:
        path: path of the document.
        value: its content; empty if it is sent in parts.
        revision: store revision of its last change.
        size: bytes of its compressed content if that is sent in parts, else 0.
        digest: hash of the compressed content.
    """

    path: str
    value: bytes
    revision: int
    size: int = 0
    digest: str = ""


class ReplicaRequest(Message, tag="CopyAsk"):
    """Requests the changes of the store after a revision.

    Attributes:
        after: revision up to which the sender's replica is complete.
        sent_at: time by the sender's clock; the response repeats it.
        era: era of the store that the revision belongs to.
        configuration: version of the sender's configuration in force.
        parts: whether the sender takes large documents in parts.
    """

    after: int
    sent_at: float
    era: int = 0
    configuration: int = 0
    parts: bool = False


class ReplicaResponse(Message, tag="CopyAnswer"):
    """A member's replica of the store.

    Attributes:
        sent_at: `sent_at` of the `ReplicaRequest`.
        as_of: revision up to which the replica is complete.
        age_s: seconds since the replica was last known to be up to date.
        paths: paths of all documents that exist.
        changed: documents that changed after the requested revision, and the
            configuration if the requested one is older.
        era: era of the store that the revisions belong to.
        relist_s: as in `fleet.StoreState`.
    """

    sent_at: float
    as_of: int
    age_s: float
    paths: list[str] = []
    changed: list[ReplicaDocument] = []
    era: int = 0
    relist_s: float = 0.0


class DocumentPartRequest(Message):
    """Requests a part of a document's compressed content.

    Attributes:
        path: path of the document.
        digest: hash of the compressed content.
        offset: first byte of the part.
    """

    path: str
    digest: str
    offset: int


class DocumentPart(Message):
    """A part of a document's compressed content.

    Attributes:
        path: path of the document.
        digest: hash of the compressed content.
        offset: first byte of the part.
        data: the part; empty if the sender no longer has that content.
    """

    path: str
    digest: str
    offset: int
    data: bytes = b""


MESSAGES = (ReplicaRequest, ReplicaResponse, DocumentPartRequest, DocumentPart)
