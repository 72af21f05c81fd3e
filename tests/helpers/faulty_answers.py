"""Endpoints whose answers a test spoils, and the users' rules on what callers may get.

An endpoint runs each request or refuses it; what it then writes is drawn. The rules are
judged from what endpoints did and callers got.
"""

from collections import Counter
from dataclasses import dataclass, field
from itertools import count

import aiohttp

from helpers.forwarding_path import MODEL
from helpers.raw_endpoints import response

EVENTS = (b"id: 1\ndata: %b\n\n", b"id: 2\ndata: %b\n\n")
PROMISES = (408, 421, 429, 503)
KINDS = {
    "booking": ("/book/x", {}),
    "read": ("/read/x", {}),
    "stream": ("/write/x", MODEL),
}
ENDPOINTS = ("plain-1", "plain-2", "prefill", "decode", "decode-1")


@dataclass(frozen=True)
class Answer:
    """What an endpoint does with a request, and writes.

    Attributes:
        runs: whether it runs the request; else it refuses it and states that.
        status: of an answer to a request that it ran.
        id: whose id the answer bears: "right", "none", "foreign" or "earlier", that of
            the first request of the connection.
        signed: whether the answer to a request that it ran is signed.
        framing: "length", "chunks" or "connection".
        whole: whether it is written to its end.
        extra: bytes before the answer: "", "copy" of the connection's last answer,
            "refusal", which states "not run" and bears no id, "earlier", which states
            it with the id of the connection's first request, or "error", which does
            neither.
        late: whether the extra bytes come before the connection's next answer.
    """

    runs: bool
    status: int
    id: str
    signed: bool
    framing: str
    whole: bool
    extra: str
    late: bool


@dataclass
class Faults:
    """Answers requests as drawn, and keeps what endpoints did.

    Attributes:
        answers: what is done with the next arrivals, in order; then all run.
        runs: endpoints that ran each request.
        bodies: what they wrote of it, by request; status and whole body.
        arrived: ids and bodies of requests that reached endpoints.
    """

    answers: list = field(default_factory=list)
    runs: dict = field(default_factory=dict)
    bodies: dict = field(default_factory=dict)
    arrived: list = field(default_factory=list)

    def respond(self, endpoint, request, state):
        """Return the bytes that an endpoint writes for a request."""
        if "x-request-id" not in request.headers:
            return response(200, {}, b'{"Hold": "h"}')
        state.setdefault("first", request.id)
        if request.headers.get("x-stage") == "prefill":
            handle = b'{"KvHandle": "h", "Tokens": 10, "Version": 1}'
            return response(200, {"X-Request-Id": request.id}, handle)
        self.arrived.append((request.id, request.body))
        answer = self.answers.pop(0) if self.answers else SOUND
        written = self._written(endpoint, request, state, answer)
        extra = state.pop("owed", b"")
        # Before the first answer of a connection there is no earlier request.
        earlier = state["first"] if state["first"] != request.id else ""
        now = _extra(answer.extra, state.get("last", b""), earlier)
        if answer.late:
            state["owed"] = now
        else:
            extra += now
        if answer.id != "right" or not answer.whole:
            state["ended"] = True
        state["last"] = written
        return extra + written

    def _written(self, endpoint, request, state, answer):
        ids = {"right": request.id, "foreign": "nobody", "earlier": state["first"]}
        headers = {"X-Request-Id": ids.get(answer.id, "")}
        if not answer.runs:
            return response(503, {**headers, "X-Not-Executed": "1"}, b"full")
        self.runs.setdefault(request.id, []).append(endpoint.name)
        body = _body(endpoint, request)
        if answer.signed:
            headers["X-Response-Signature"] = endpoint.name
            self.bodies.setdefault(request.id, set()).add((answer.status, body))
        if answer.framing != "length":
            state["ended"] = True
        return _framed(answer, headers, body)


SOUND = Answer(True, 200, "right", True, "length", True, "", False)


def _body(endpoint, request):
    if not endpoint.name.startswith("decode"):
        return b"booked %b at %b" % (request.body, endpoint.name.encode())
    return b"".join(event % request.body for event in EVENTS)


def _extra(kind, last, earlier):
    kinds = {
        "copy": last,
        "refusal": response(400, {"X-Not-Executed": "1"}, b"extra"),
        "error": response(500, {}, b"extra"),
        "earlier": response(503, {"X-Request-Id": earlier, "X-Not-Executed": "1"}),
    }
    return kinds.get(kind, b"")


def _framed(answer, headers, body):
    whole = response(answer.status, headers, body)
    # Nothing shows that a document was cut whose end is that of its connection; an
    # error in place of a stream is a document, too.
    is_stream = body.startswith(b"id:") and answer.status < 300
    provable = answer.whole or answer.framing == "chunks" or is_stream
    if answer.framing != "length" and provable:
        head, _, _ = whole.partition(b"Content-Length")
        chunked = answer.framing == "chunks"
        head += b"Transfer-Encoding: chunked\r\n\r\n" if chunked else b"\r\n"
        chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        whole = head + (chunk if chunked else body)
    return whole if answer.whole else whole[:-5]


@dataclass
class Caller:
    """Sends requests and judges the answers by the users' rules."""

    setup: object
    faults: Faults
    numbers: object = field(default_factory=count)

    async def ask(self, kind):
        """Send a request; return the rules that its answer breaks."""
        self._forget_failures()
        name = f"r{next(self.numbers)}"
        target, headers = KINDS[kind]
        body = name.encode()
        complete, status, got, signature = True, 0, b"", None
        try:
            status, got, received = await self.setup.ask(
                target, "POST", body=body, **headers, **{"X-Request-Id": name}
            )
            signature = received.get("X-Response-Signature")
        except aiohttp.ClientError:
            complete = False
        return list(self._broken(kind, name, body, complete, status, got, signature))

    def _forget_failures(self):
        """Let the entry use all endpoints again."""
        core = self.setup.entry.entry
        core.loads.retain([])
        core.loads.ejections.record_success(ENDPOINTS)
        core.generation_dispatcher.reserver.memory_estimates.retain([])

    def _broken(self, kind, name, body, complete, status, got, signature):
        runs = self.faults.runs.get(name, [])
        given = self.faults.bodies.get(name, set())
        if complete and 200 <= status < 300 and signature is None:
            yield "MIXED: a success that is not signed"
        if complete and signature is not None and (status, got) not in given:
            yield "MIXED: not what an endpoint gave" if kind != "stream" else "ORDER"
        if kind != "read" and max(Counter(runs).values(), default=0) + len(runs) > 2:
            yield "TWICE"
        if kind != "read" and status in PROMISES and runs:
            yield "REFUSED"
        if {item for item in self.faults.arrived if item[0] == name} - {(name, body)}:
            yield "UNASKED"
