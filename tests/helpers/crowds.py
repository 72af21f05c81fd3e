"""Crowds of callers that don't behave, and what a process holds beside them."""

import asyncio
import os
import resource
import socket
from collections.abc import Callable, Iterable
from contextlib import asynccontextmanager, contextmanager, suppress
from dataclasses import dataclass, field
from itertools import count

import pytest

from helpers.forwarding_path import MODEL

# Limits of the platform's pages, which ordinary callers stay within.
BODY_BYTES = 4_194_304
PAGE_LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": BODY_BYTES,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}
MEMORY_BYTES = 150_000_000  # of an edge machine of the pages
DESCRIPTORS = 300  # that a process may open here
FREE_DESCRIPTORS = 40  # of these, for what the process opens itself
SENT_WITHIN_S = 8.0  # a crowd sends what it can; then it is looked at
SAMPLE_S = 0.05
ATTEMPTS = 3  # of an ordinary caller, as clients do
ATTEMPT_S = 30.0  # keeps a run from hanging

_FILL = bytes(BODY_BYTES)
_numbers = count(1)


@dataclass(frozen=True)
class Target:
    """What requests of a crowd are sent to."""

    path: str = "/read/x"
    host: str = "h.example"
    key: str = "Api-Key: key-1"

    def head(self, *fields, method="POST", whole=True):
        """Return the bytes of a request's head; not `whole`: without its end."""
        lines = [
            f"{method} {self.path} HTTP/1.1",
            f"Host: {self.host}",
            f"X-Request-Id: crowd-{next(_numbers)}",
            "X-Deadline-Ms: 30000",
            self.key,
            *fields,
        ]
        end = "\r\n\r\n" if whole else ""
        return ("\r\n".join(line for line in lines if line) + end).encode()


@dataclass(frozen=True)
class Crowd:
    """Callers that each send some bytes on a connection and keep it open.

    Attributes:
        size: number of connections.
        script: returns what each of them sends to a target, in parts.
        stays_s: seconds that they stay, while the process works on what was sent.
    """

    size: int
    script: Callable[[Target], Iterable[bytes]]
    stays_s: float = 2.0


def body_but_a_byte(target, size=BODY_BYTES):
    yield target.head(f"Content-Length: {size}")
    yield memoryview(_FILL)[: size - 1]


def chunks(size, number):
    """Return a script of chunks of a body that does not end."""
    batch = min(number, 1000)
    part = (b"%x\r\n" % size + _FILL[:size] + b"\r\n") * batch

    def script(target):
        yield target.head("Transfer-Encoding: chunked")
        for _ in range(number // batch):
            yield part

    return script


def unread_answers(size, number):
    """Return a script of whole requests whose answers nobody reads."""

    def script(target):
        for _ in range(number):
            yield target.head(f"Content-Length: {size}") + _FILL[:size]

    return script


def unread_stream(target):
    yield target.head(*(f"{name}: {value}" for name, value in MODEL.items()))


def body_after_a_waiting_request(target):
    """Send a body while the request before it waits for its answer."""
    yield Target("/wait/x").head(method="GET")
    yield from body_but_a_byte(target)


def heads_after_a_waiting_request(target):
    yield Target("/wait/x").head(method="GET")
    fields = [f"x-{number}: {'v' * 110}" for number in range(120)]
    for _ in range(40):
        yield target.head(*fields, method="GET")


def half_head(target):
    yield target.head(method="GET", whole=False)


def nothing(target):
    return ()


# Callers that only take connections, by what they send.
CONNECTIONS = {"half heads": Crowd(400, half_head), "nothing": Crowd(400, nothing)}


def head_without_end(fields=120, size=60_000):
    """Return a script of a head whose fields go on."""

    def script(target):
        yield target.head(method="GET", whole=False)
        for number in range(fields):
            yield b"\r\nx-%d: " % number + b"v" * size

    return script


def trailers_without_end(fields=110, size=60_000):
    """Return a script of a chunked body whose trailer fields go on."""

    def script(target):
        yield target.head("Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\n"
        for number in range(fields):
            yield b"x-%d: " % number + b"v" * size + b"\r\n"

    return script


@dataclass
class Watch:
    """What a process holds, as the system counts it.

    Attributes:
        pid: the process.
        most_descriptors: most descriptors that were open at a time.
    """

    pid: int
    most_descriptors: int = 0

    @property
    def alive(self):
        """Whether the process runs; a zombie does not."""
        return self._status().get("State", "Z")[0] not in "ZX"

    @property
    def peak_bytes(self):
        """Most memory that the process had at a time."""
        return int(self._status()["VmHWM"].split()[0]) * 1024

    def sample(self):
        with suppress(OSError):
            opened = len(os.listdir(f"/proc/{self.pid}/fd"))
            self.most_descriptors = max(self.most_descriptors, opened)

    def _status(self):
        try:
            with open(f"/proc/{self.pid}/status") as status:
                lines = (line.partition(":") for line in status)
                return {name: value.strip() for name, _, value in lines}
        except OSError:
            return {}


@dataclass
class _Members:
    """The connections of a crowd that is there."""

    address: str
    sockets: list = field(default_factory=list)

    async def run(self, crowd, target):
        host, _, port = self.address.rpartition(":")
        member = socket.socket()
        member.setblocking(False)
        self.sockets.append(member)
        loop = asyncio.get_running_loop()
        # The process may close the connection.
        with suppress(OSError):
            await loop.sock_connect(member, (host, int(port)))
            for part in crowd.script(target):
                await loop.sock_sendall(member, part)


@asynccontextmanager
async def crowd_at(address, crowd, target, watch):
    """Run a body while a crowd has sent what it can and stays connected."""
    members = _Members(address)
    tasks = [
        asyncio.ensure_future(members.run(crowd, target)) for _ in range(crowd.size)
    ]
    sampler = asyncio.ensure_future(_sample(watch))
    try:
        await asyncio.wait(tasks, timeout=SENT_WITHIN_S)
        await asyncio.sleep(crowd.stays_s)
        yield
    finally:
        for task in (*tasks, sampler):
            task.cancel()
        await asyncio.gather(*tasks, sampler, return_exceptions=True)
        for member in members.sockets:
            member.close()


async def _sample(watch):
    while True:
        watch.sample()
        await asyncio.sleep(SAMPLE_S)


def each(cases):
    """Return the mark of a test that takes each of some named cases as `case`."""
    return pytest.mark.parametrize("case", cases.values(), ids=cases.keys())


async def check(entry, address, crowd, target):
    """Check what holds while a crowd is at an address of an entry."""
    async with crowd_at(address, crowd, target, entry.watch):
        served = await entry.serves()
    assert entry.watch.alive
    assert entry.watch.peak_bytes <= MEMORY_BYTES
    assert served


@contextmanager
def descriptors(limit):
    """Let processes that are started within this open so many descriptors.

    None leaves the limit as it is.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit or soft, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


async def answer_status(address, request):
    """Send one ordinary request on a connection of its own; return its status.

    A refusal is retried some times, as clients do; None if no answer came.
    """
    status = None
    for _ in range(ATTEMPTS):
        status, retry_after = await _attempt(address, request)
        if retry_after is None:
            return status
        await asyncio.sleep(retry_after)
    return status


async def _attempt(address, request):
    """Return the status of an attempt, and the seconds after which to retry."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(ATTEMPT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(request())
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            finally:
                writer.close()
    except (OSError, asyncio.IncompleteReadError):
        return None, None
    retry_after = head.partition("retry-after: ")[2].partition("\r\n")[0]
    return int(head.split()[1]), float(retry_after) if retry_after else None
