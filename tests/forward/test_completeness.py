"""What counts as a complete answer, on all combinations and on random streams."""

import asyncio
from itertools import product
from pathlib import Path

from hypothesis import given, settings, strategies as st

from ebonyglade.bodies import Body, read_document, read_lines
from ebonyglade.buffers import BufferLease
from ebonyglade.completeness import (
    Content,
    Ending,
    Framing,
    IncompleteResponse,
    is_complete,
)
from ebonyglade.forward.call import EndpointResponse
from ebonyglade.forward.streams import EventReader
from ebonyglade.forward.types import ResponseMetadata

PAGE = Path(__file__).parents[2] / "docs/design/answers.md"
KINDS = {
    "a document, also an empty one": Content.DOCUMENT,
    "whole events": Content.WHOLE_EVENTS,
    "an unfinished event, after any number of whole ones": Content.UNFINISHED_EVENT,
    "no events, though it is a stream": Content.NO_EVENTS,
}
MAX_BYTES = 1000


def page_rows():
    """Return framings, content and outcome of the rows for bodies ended as framed."""
    for line in PAGE.read_text().splitlines():
        cells = [cell.strip() for cell in line.split("|")[1:-1]]
        if len(cells) == 4 and cells[1] == "as framed":
            yield cells[0].split(", "), KINDS[cells[2]], cells[3] == "complete"


def test_the_table_on_the_page_is_the_one_that_decides():
    rows = {
        (Framing(name), content): complete
        for names, content, complete in page_rows()
        for name in names
    }
    assert len(rows) == len(Framing) * len(Content)
    for framing, ending, content in product(Framing, Ending, Content):
        kept = ending is Ending.AS_FRAMED
        expected = kept and rows[framing, content]
        assert is_complete(framing, ending, content) is expected


def body(data, sizes, framing, ending):
    """Return a body whose parts have these sizes, repeated as often as needed."""

    async def parts():
        start, number = 0, 0
        while start < len(data):
            size = sizes[number % len(sizes)]
            yield data[start : start + size]
            start, number = start + size, number + 1
        if ending is not Ending.AS_FRAMED:
            raise IncompleteResponse("broken off", ending)

    return Body(framing, parts())


async def read_events(source):
    """Return the bytes that were passed on, and whether the stream is complete."""
    metadata = ResponseMetadata("id", True, True)
    response = EndpointResponse(200, [], metadata, source, lambda: None)
    reader = EventReader(response, MAX_BYTES, BufferLease())
    passed = b""
    try:
        while events := await reader.next_events():
            passed += events
    except IncompleteResponse:
        return passed, False
    return passed, True


line_ends = st.sampled_from([b"\n", b"\r\n", b"\r"])
values = st.binary(max_size=12).map(
    lambda value: value.replace(b"\n", b".").replace(b"\r", b".")
)


@st.composite
def streams(draw):
    """Return the bytes of some events, and the positions between two of them."""
    data, ends = b"", [0]
    line_end = draw(line_ends)
    for value in draw(st.lists(values, min_size=1, max_size=4)):
        data += b"id: 1" + line_end + b"data: " + value + line_end + line_end
        ends.append(len(data))
    return data, ends


framings = st.sampled_from(list(Framing))
endings = st.sampled_from([Ending.AS_FRAMED, Ending.EARLY, Ending.RESET])
sizes = st.lists(st.integers(1, 20), min_size=1, max_size=5)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(streams(), st.data(), framings, endings, sizes)
def test_a_stream_is_complete_only_between_events_of_a_kept_framing(
    stream, data, framing, ending, parts
):
    sent, ends = stream
    cut = data.draw(st.integers(0, len(sent)) | st.sampled_from(ends))
    source = body(sent[:cut], parts, framing, ending)
    passed, complete = asyncio.run(read_events(source))
    # With CRLF an event ends with its last CR, whether the LF still comes or not.
    between = cut in ends or (sent[:cut].endswith(b"\n\r") and cut + 1 in ends)
    proven = cut > 0 or framing is not Framing.CONNECTION
    assert complete is (ending is Ending.AS_FRAMED and between and proven)
    assert sent.startswith(passed)
    if complete:
        assert passed == sent[:cut]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=200), framings, endings, sizes)
def test_a_document_is_complete_only_with_its_framing(sent, framing, ending, parts):
    async def read():
        source = body(sent, parts, framing, ending)
        try:
            return await read_document(source, MAX_BYTES, BufferLease())
        except IncompleteResponse:
            return None

    kept = ending is Ending.AS_FRAMED
    assert asyncio.run(read()) == (sent if kept else None)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(values, max_size=5), values, framings, sizes)
def test_lines_are_complete_only_with_their_ends(lines, rest, framing, parts):
    async def read():
        sent = b"".join(line + b"\n" for line in lines) + rest
        found = []
        try:
            source = body(sent, parts, framing, Ending.AS_FRAMED)
            async for line in read_lines(source, MAX_BYTES):
                found.append(line)
        except IncompleteResponse:
            return found, False
        return found, True

    assert asyncio.run(read()) == (lines, not rest)
