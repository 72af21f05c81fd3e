"""Local HTTP server of a process for health, metrics, `explain` and `audit`."""

from aiohttp import web
from mode import Service

from ebonyglade.audit import AuditRecord
from ebonyglade.buffers import BufferBudget
from ebonyglade_node.callers.limits import ConnectionLimits
from ebonyglade_node.callers.listener import CallerListener
from ebonyglade_node.runtime import Node
from ebonyglade_node.settings import StatusSection


class StatusServer(Service):
    """HTTP server for operators, by default on the loopback address only."""

    def __init__(self, section: StatusSection, node: Node) -> None:
        super().__init__()
        self._section = section
        self._node = node
        self._listener: CallerListener | None = None

    @property
    def port(self) -> int:
        """TCP port that the server listens on, once started."""
        return self._listener.port

    async def on_start(self) -> None:
        """Start to listen."""
        app = web.Application()
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/metrics", self._metrics)
        app.router.add_get("/explain", self._explain)
        app.router.add_get("/audit", self._audit)
        section = self._section
        limits = ConnectionLimits(section.max_connections).within_descriptors()
        self._listener = CallerListener(
            app,
            f"{section.host}:{section.port}",
            limits,
            self._node.metrics.count,
            BufferBudget(),
        )
        await self._listener.start()

    async def on_stop(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            await self._listener.stop()

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(text=self._node.metrics.render())

    async def _audit(self, request: web.Request) -> web.Response:
        records = self._node.config.audit.with_path_prefix(
            request.query.get("path", "")
        )
        return web.json_response([_record_row(record) for record in records])

    async def _explain(self, request: web.Request) -> web.Response:
        prefix = request.query.get("path", "")
        store = self._node.config.store
        rows = []
        for path, accepted in sorted(store.documents.items()):
            if not path.startswith(prefix):
                continue
            latest = store.latest(path)
            rows.append(
                {
                    "path": path,
                    "revision": accepted.item.revision,
                    "author": accepted.document.author,
                    "newest_revision": latest.revision if latest else 0,
                    "in_force": accepted.document.model_dump(mode="json"),
                    "published": sorted(accepted.document.model_fields_set),
                }
            )
        document = {"revision": store.revision, "documents": rows}
        return web.json_response(document)


def _record_row(record: AuditRecord) -> dict:
    return {
        "at": record.at,
        "path": record.path,
        "revision": record.revision,
        "outcome": record.outcome.value,
        "author": record.author,
        "reason": record.reason,
    }
