"""Reads and watches the platform's configuration service.

The service implements the key-value part of Consul's HTTP interface, with the
revision in the `X-Consul-Index` header. The watch is a blocking query for the
names at the root, whose response has a few bytes. One of the instances that watch
reads all documents immediately and passes them on; the others read them after a
delay, and only if they have not arrived.
"""

import asyncio
import base64
import binascii
import logging

import aiohttp
import msgspec
from mode import Service

from ebonyglade.bodies import read_document
from ebonyglade.buffers import MIB
from ebonyglade.completeness import IncompleteResponse
from ebonyglade.config.controller import ConfigController
from ebonyglade.config.relay import Relay
from ebonyglade.wire.control import ConfigItem
from ebonyglade_node.http_bodies import (
    StrictConnector,
    StrictResponseHandler,
    body_of,
)
from ebonyglade_node.metrics import Metrics
from ebonyglade_node.settings import PlatformSection

logger = logging.getLogger(__name__)

RETRY_S = 0.5
RETRY_MAX_S = 5.0
RESPONSE_MARGIN_S = 5.0
MAX_RESPONSE_BYTES = 64 * MIB  # all documents of the platform
READ_ERRORS = (
    aiohttp.ClientError,
    IncompleteResponse,
    TimeoutError,
    ValueError,
    KeyError,
)

ROLE_POLL_INTERVAL_S = 0.2  # between checks whether to poll the platform


class _Row(msgspec.Struct, rename="pascal"):
    """One document in a response of the service."""

    key: str
    modify_index: int
    value: str | None = None


_rows_decoder = msgspec.json.Decoder(list[_Row])


class PlatformWatcher(Service):
    """Keeps one blocking query open while this instance polls the platform."""

    def __init__(
        self,
        section: PlatformSection,
        metrics: Metrics,
        config: ConfigController,
        relay: Relay,
    ) -> None:
        super().__init__()
        self._section = section
        self._metrics = metrics
        self._config = config
        self._relay = relay
        self._session: aiohttp.ClientSession | None = None
        self._index = 0

    async def on_start(self) -> None:
        """Open the HTTP session."""
        total = self._section.wait_s + RESPONSE_MARGIN_S
        self._session = aiohttp.ClientSession(
            # A late second copy of a response would be taken for the next one.
            connector=StrictConnector(StrictResponseHandler, force_close=True),
            timeout=aiohttp.ClientTimeout(total=total),
        )

    async def on_stop(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()

    @Service.task
    async def _watch(self) -> None:
        delay = RETRY_S
        while not self.should_stop:
            if not self._relay.reads_platform:
                self._index = 0
                await asyncio.sleep(ROLE_POLL_INTERVAL_S)
                continue
            try:
                await self._wait_for_change()
                delay = RETRY_S
            except Exception as error:
                # The end of this task would be the end of the process.
                if not isinstance(error, READ_ERRORS):
                    logger.exception("reading the platform failed")
                # A change that the watch reported may not have been read yet.
                self._index = 0
                self._metrics.count("platform_errors")
                logger.warning("platform read failed", extra={"reason": repr(error)})
                await asyncio.sleep(delay)
                delay = min(RETRY_MAX_S, delay * 2)

    async def _wait_for_change(self) -> None:
        """Wait for one change; read it unless another instance passes it on first."""
        wait = f"{int(self._section.wait_s * 1000)}ms"
        query = {"keys": "true", "separator": "/", "index": str(self._index)}
        revision, _ = await self._query({**query, "wait": wait})
        # A lower index comes from another replica; the next query starts at zero.
        went_back = revision < self._index
        self._index = 0 if went_back else revision
        if went_back:
            await asyncio.sleep(RETRY_S)
        if revision <= self._config.store.revision:
            return
        await asyncio.sleep(self._relay.read_delay(revision))
        if revision > self._config.store.revision:
            await self._read_all()
        if revision > self._config.store.revision:
            # An older replica responded; the next query must not wait for a change.
            self._index = 0
            await asyncio.sleep(RETRY_S)

    async def _read_all(self) -> None:
        self._metrics.count("platform_reads")
        revision, content = await self._query({"recurse": "true"})
        prefix = self._section.prefix
        items = [config_item(row, prefix) for row in _rows_decoder.decode(content)]
        self._config.apply_snapshot(revision, items)

    async def _query(self, query: dict[str, str]) -> tuple[int, bytes]:
        self._metrics.count("platform_calls")
        url = f"{self._section.url}/v1/kv/{self._section.prefix}/"
        async with self._session.get(url, params=query) as response:
            if response.status not in (200, 404):
                raise ValueError(f"status {response.status}")
            content = await read_document(body_of(response), MAX_RESPONSE_BYTES)
            found = response.status == 200
            return int(response.headers["X-Consul-Index"]), content if found else b"[]"


def config_item(row: _Row, prefix: str) -> ConfigItem:
    """Return one row of the service's response as a configuration item.

    Args:
        row: the row; its value is in base64. Any other value counts as empty, so that
            only this document is refused.
        prefix: key prefix to remove.
    """
    path = row.key.removeprefix(prefix + "/")
    try:
        value = base64.b64decode(row.value or "", validate=True)
    except binascii.Error as error:
        logger.warning(
            "document value is not valid base64",
            extra={"path": path, "reason": str(error)},
        )
        value = b""
    return ConfigItem(path, row.modify_index, value.decode(errors="replace"))
