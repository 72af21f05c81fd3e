"""Stand-in for the platform's configuration service."""

import asyncio
import base64
from dataclasses import dataclass

from aiohttp import web

from ebonyglade_lab.standins.server import StandIn

DEFAULT_WAIT_S = 30.0


@dataclass(frozen=True, slots=True)
class _Row:
    value: str
    revision: int


class Platform(StandIn):
    """A key-value tree that is read and watched over HTTP.

    Attributes:
        silent: whether all reads and watches hang for `DEFAULT_WAIT_S` and then fail.
        calls: requests so far, answered or still waiting.
        failing_reads: number of next reads of all documents that fail.
        spoiled_reads: bodies of the next reads of all documents.
        older_reads: number of next reads of all documents that lack the newest change.
        reads: of the calls, how many read all documents.
    """

    def __init__(self, port: int = 0, prefix: str = "ebonyglade") -> None:
        super().__init__(port)
        self._prefix = prefix
        self._rows: dict[str, _Row] = {}
        self._revision = 1
        self._changed = asyncio.Event()
        self._frozen: tuple[int, dict[str, _Row]] | None = None
        self.silent = False
        self.calls = 0
        self.reads = 0
        self.failing_reads = 0
        self.older_reads = 0
        self.spoiled_reads: list[bytes] = []
        router = self.app.router
        router.add_get("/v1/kv/{path:.*}", self._get)
        router.add_put("/v1/kv/{path:.*}", self._put)
        router.add_delete("/v1/kv/{path:.*}", self._delete)

    @property
    def revision(self) -> int:
        """Revision of the newest change."""
        return self._revision

    def put(self, path: str, value: str) -> int:
        """Publish a document and return its revision."""
        self._revision += 1
        self._rows[path] = _Row(value, self._revision)
        self._notify_watchers()
        return self._revision

    def delete(self, path: str) -> int:
        """Remove a document and return the revision of the removal."""
        self._revision += 1
        self._rows.pop(path, None)
        self._notify_watchers()
        return self._revision

    def freeze(self) -> None:
        """Answer with the current copy from now on, also when it gets old."""
        self._frozen = (self._revision, dict(self._rows))

    def thaw(self) -> None:
        """Answer with the newest copy again."""
        self._frozen = None
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _visible_copy(self) -> tuple[int, dict[str, _Row]]:
        return self._frozen or (self._revision, self._rows)

    async def _get(self, request: web.Request) -> web.Response:
        self.calls += 1
        if self.silent:
            await asyncio.sleep(DEFAULT_WAIT_S)
            raise web.HTTPServiceUnavailable
        await self._wait(
            int(request.query.get("index", "0")), _parse_wait(request.query.get("wait"))
        )
        revision, rows = self._visible_copy()
        if "keys" in request.query:
            names = sorted({f"{self._prefix}/{path.split('/')[0]}/" for path in rows})
            return web.json_response(names, headers={"X-Consul-Index": str(revision)})
        self.reads += 1
        if self.failing_reads > 0:
            self.failing_reads -= 1
            raise web.HTTPServiceUnavailable
        if self.spoiled_reads:
            return web.Response(
                body=self.spoiled_reads.pop(0),
                content_type="application/json",
                headers={"X-Consul-Index": str(revision)},
            )
        if self.older_reads > 0:
            self.older_reads -= 1
            rows = {path: row for path, row in rows.items() if row.revision < revision}
            revision -= 1
        documents = [self._document(path, row) for path, row in sorted(rows.items())]
        return web.json_response(
            documents,
            status=200 if documents else 404,
            headers={"X-Consul-Index": str(revision)},
        )

    async def _put(self, request: web.Request) -> web.Response:
        """Store a document for an operator; the system itself never writes."""
        self.put(self._path(request), await request.text())
        return web.json_response(True)

    async def _delete(self, request: web.Request) -> web.Response:
        self.delete(self._path(request))
        return web.json_response(True)

    def _path(self, request: web.Request) -> str:
        return request.match_info["path"].removeprefix(self._prefix + "/")

    async def _wait(self, index: int, max_wait_s: float) -> None:
        try:
            async with asyncio.timeout(max_wait_s):
                while index == self._visible_copy()[0]:
                    await self._changed.wait()
        except TimeoutError:
            return

    def _document(self, path: str, row: _Row) -> dict:
        return {
            "Key": f"{self._prefix}/{path}",
            "Value": base64.b64encode(row.value.encode()).decode(),
            "ModifyIndex": row.revision,
            "CreateIndex": row.revision,
            "LockIndex": 0,
            "Flags": 0,
        }


def _parse_wait(text: str | None) -> float:
    if not text:
        return DEFAULT_WAIT_S
    if text.endswith("ms"):
        return float(text[:-2]) / 1000
    return float(text.rstrip("s"))
