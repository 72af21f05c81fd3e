"""Reads and watches the platform's configuration service.

The service speaks the key-value part of Consul's HTTP interface: one blocking
query over the whole tree, with the revision in the `X-Consul-Index` header.
"""

import asyncio
import base64
import logging
from collections.abc import Callable

import aiohttp
from mode import Service

from ebonyglade.wire.control import ConfigItem
from ebonyglade_node.metrics import Metrics
from ebonyglade_node.settings import PlatformSection

logger = logging.getLogger(__name__)

RETRY_S = 0.5
RETRY_MAX_S = 5.0
ANSWER_MARGIN_S = 5.0

Snapshot = Callable[[int, list[ConfigItem]], None]


class PlatformWatcher(Service):
    """Keeps one blocking query open and hands on each snapshot."""

    def __init__(
        self,
        section: PlatformSection,
        metrics: Metrics,
        on_snapshot: Snapshot,
    ) -> None:
        super().__init__()
        self._section = section
        self._metrics = metrics
        self._on_snapshot = on_snapshot
        self._session: aiohttp.ClientSession | None = None
        self._revision = 0

    async def on_start(self) -> None:
        """Open the HTTP session."""
        total = self._section.wait_s + ANSWER_MARGIN_S
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=total)
        )

    async def on_stop(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()

    @Service.task
    async def _watch(self) -> None:
        pause = RETRY_S
        while not self.should_stop:
            try:
                await self._query()
                pause = RETRY_S
            except (aiohttp.ClientError, TimeoutError, ValueError, KeyError) as error:
                self._metrics.count("platform_errors")
                logger.warning("platform not read", extra={"reason": repr(error)})
                await asyncio.sleep(pause)
                pause = min(RETRY_MAX_S, pause * 2)

    async def _query(self) -> None:
        self._metrics.count("platform_calls")
        prefix = self._section.prefix
        url = f"{self._section.url}/v1/kv/{prefix}/"
        query = {"recurse": "true", "index": str(self._revision)}
        query["wait"] = f"{int(self._section.wait_s * 1000)}ms"
        async with self._session.get(url, params=query) as answer:
            if answer.status not in (200, 404):
                raise ValueError(f"status {answer.status}")
            revision = int(answer.headers["X-Consul-Index"])
            documents = await answer.json() if answer.status == 200 else []
        # An index that went back means another copy: the next query starts anew.
        went_back = revision < self._revision
        self._revision = 0 if went_back else revision
        self._on_snapshot(revision, [item_of(row, prefix) for row in documents])
        if went_back:
            await asyncio.sleep(RETRY_S)


def item_of(row: dict, prefix: str) -> ConfigItem:
    """Return one row of the service's answer as an item.

    Args:
        row: object with `Key`, `Value` in base64 and `ModifyIndex`.
        prefix: key prefix to take off.
    """
    path = row["Key"].removeprefix(prefix + "/")
    value = base64.b64decode(row["Value"] or "").decode(errors="replace")
    return ConfigItem(path, int(row["ModifyIndex"]), value)
