"""Keeps the belief as new as the platform's store."""

import asyncio
import logging
import random
from collections.abc import Callable

import aiohttp
from mode import Service

from ebonyglade.forward.adapter import Adapter
from ebonyglade.forward.belief import Belief
from ebonyglade.forward.types import ControlCall, Document, Page
from ebonyglade.ports import Clock
from ebonyglade_node.endpoint_client import EndpointClient
from ebonyglade_node.metrics import Metrics

logger = logging.getLogger(__name__)

HISTORY_GONE = 410
READ_TIMEOUT_S = 1.5
ANSWER_MARGIN_S = 1.0  # a watch that is answered later than this counts as lost
PROBE_WAIT_S = 0.05
PROBE_MARGIN_S = 0.6  # a slow store answers within this time
RETRY_S = 0.1
RETRY_MAX_S = 0.4
OUTAGE_S = 0.8  # failures over this time count as an outage of the store
ALL = ""  # the prefix of every path


class StoreUnavailable(Exception):
    """The store did not answer, or answered that it can't."""


class StoreReader(Service):
    """Reads the whole store once, then watches it."""

    def __init__(
        self,
        address: str,
        wait_s: float,
        adapter: Adapter,
        client: EndpointClient,
        belief: Belief,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._address = address
        self._wait_s = wait_s
        self._adapter = adapter
        self._client = client
        self._belief = belief
        self._clock = clock
        self._metrics = metrics
        self._read = False
        self._failing_since: float | None = None

    @Service.task
    async def _run(self) -> None:
        pause = RETRY_S
        while not self.should_stop:
            step = self._watch if self._read else self._read_all
            try:
                await step()
                pause = RETRY_S
            except (StoreUnavailable, aiohttp.ClientError, TimeoutError) as error:
                self._failed(error)
                await asyncio.sleep(pause * random.uniform(0.5, 1.0))
                pause = min(2 * pause, RETRY_MAX_S)

    async def _read_all(self) -> None:
        started = self._clock()
        documents: list[Document] = []
        after, as_of = "", None
        while True:
            call = self._adapter.range_call(ALL, after)
            page = await self._ask(call, READ_TIMEOUT_S, self._adapter.decode_page)
            # Pages are no snapshot: changes since the first one are watched for.
            as_of = page.as_of if as_of is None else as_of
            documents += page.documents
            if not page.truncated or not page.documents:
                break
            after = page.documents[-1].path
        self._worked()
        self._belief.replace(documents, as_of)
        self._belief.confirm(started)
        self._read = True

    async def _watch(self) -> None:
        started = self._clock()
        # While the store is lost, a short wait tells sooner that it is back.
        lost = self._failing_since is not None
        wait_s = PROBE_WAIT_S if lost else self._wait_s
        call = self._adapter.watch_call(ALL, self._belief.as_of, wait_s)
        within = wait_s + (PROBE_MARGIN_S if lost else ANSWER_MARGIN_S)
        page = await self._ask(call, within, self._adapter.decode_watch)
        self._worked()
        self._belief.apply(page.documents, page.as_of)
        self._belief.confirm(started)

    async def _ask(
        self, call: ControlCall, within: float, decode: Callable[[bytes], Page]
    ) -> Page:
        self._metrics.count("store_calls")
        status, body = await self._client.call(self._address, call, within)
        if status == HISTORY_GONE:
            # What was missed can only be read as a whole.
            self._read = False
        if status != 200:
            raise StoreUnavailable(f"status {status}")
        try:
            return decode(body)
        except ValueError as error:
            raise StoreUnavailable(f"answer not understood: {error}") from error

    def _failed(self, error: Exception) -> None:
        self._metrics.count("store_failures")
        if self._failing_since is None:
            self._failing_since = self._clock()
            logger.warning(
                "store lost",
                extra={"reason": str(error) or type(error).__name__},
            )

    def _worked(self) -> None:
        """Note that the store answers, before its answer is taken.

        An endpoint that the answer does not list any more may have lapsed only
        because the store was away.
        """
        if self._failing_since is not None:
            self._note_return()

    def _note_return(self) -> None:
        now = self._clock()
        seconds = now - self._failing_since
        self._failing_since = None
        logger.info("store regained", extra={"seconds": round(seconds, 3)})
        if seconds >= OUTAGE_S:
            self._belief.outage_ended(now)
