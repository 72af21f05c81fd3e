"""Reads and watches the platform's store to update the local replica of it."""

import asyncio
import logging
import random
from collections.abc import Callable

from mode import Service

from ebonyglade.forward.adapter import Adapter
from ebonyglade.forward.store.store_replica import StoreReplica
from ebonyglade.forward.types import (
    ControlCall,
    ControlResponse,
    StoreDocument,
    StorePage,
    StoreVersion,
)
from ebonyglade.ports import Clock
from ebonyglade_node.endpoint_client import CALL_ERRORS, EndpointClient, ProgressLimits
from ebonyglade_node.metrics import Metrics

logger = logging.getLogger(__name__)

HISTORY_GONE_STATUS = 410
READ_TIMEOUT_S = 1.5  # until a response begins
STALL_TIMEOUT_S = 1.0  # between two parts of a response
READ_LIMIT_S = 20.0  # for a whole response; a large one on a slow link takes seconds
RESPONSE_MARGIN_S = 1.0  # after the wait of a watch; a later response counts as lost
PROBE_WAIT_S = 0.05  # wait of a watch while the store is unreachable
PROBE_MARGIN_S = 0.6  # as RESPONSE_MARGIN_S; a slow store responds within it
RETRY_S = 0.1
RETRY_MAX_S = 0.4
# The same while other members still read the store, so that no time is lost by it.
FOLLOWING_RETRY_MAX_S = 1.6
FOLLOWING_MAX_AGE_S = 2.0  # age of a replica that other members still confirm
FOLLOW_POLL_S = 0.1  # while other members read, time between two checks for that
MIN_OUTAGE_S = 0.8  # failures for at least this time count as an outage
ALL_PATHS = ""  # a prefix of every path


class StoreUnavailable(Exception):
    """The store responded with an error or with invalid data."""


EXPECTED_ERRORS = (StoreUnavailable, *CALL_ERRORS)


class StoreReader(Service):
    """Reads the whole store, then watches it for changes."""

    def __init__(
        self,
        address: str,
        wait_s: float,
        adapter: Adapter,
        client: EndpointClient,
        replica: StoreReplica,
        clock: Clock,
        metrics: Metrics,
        should_read: Callable[[float], bool],
    ) -> None:
        """Create the reader.

        Args:
            address: "IP:port" of the store.
            wait_s: longest wait of one watch for a change.
            adapter: calls of the store and their decoding.
            client: HTTP client.
            replica: replica to update.
            clock: seconds; runs on while the machine is suspended.
            metrics: counters of calls and failures.
            should_read: whether this process reads the store at a time, or follows
                other members that do.
        """
        super().__init__()
        self._should_read = should_read
        self._address = address
        self._wait_s = wait_s
        self._adapter = adapter
        self._client = client
        self._replica = replica
        self._clock = clock
        self._metrics = metrics
        self._has_snapshot = False
        self._failing_since: float | None = None
        self._called_at = 0.0
        self._received_bytes = 0  # of the response to the latest call

    @Service.task
    async def _run(self) -> None:
        delay = RETRY_S
        while not self.should_stop:
            if not self._should_read(self._clock()):
                self._failing_since = None
                await asyncio.sleep(FOLLOW_POLL_S)
                continue
            step = self._watch if self._has_snapshot else self._read_all
            try:
                await step()
                delay = RETRY_S
            except Exception as error:
                # The end of this task would be the end of the process.
                if not isinstance(error, EXPECTED_ERRORS):
                    logger.exception("reading the store failed")
                self._record_failure(error)
                delay = min(delay, self._longest_delay())
                await asyncio.sleep(delay * random.uniform(0.5, 1.0))
                delay *= 2

    def _longest_delay(self) -> float:
        """Return the longest time between two attempts to read."""
        following = self._replica.age(self._clock()) < FOLLOWING_MAX_AGE_S
        return FOLLOWING_RETRY_MAX_S if following else RETRY_MAX_S

    async def _read_all(self) -> None:
        started = self._clock()
        documents: list[StoreDocument] = []
        as_of: StoreVersion | None = None
        after = ""
        while True:
            call = self._adapter.range_call(ALL_PATHS, after)
            page = await self._call(call, READ_TIMEOUT_S, self._adapter.decode_page)
            # The pages are not one snapshot, so the watch starts at the version of
            # the first page.
            as_of = page.as_of if as_of is None else as_of
            if page.as_of.era != as_of.era:
                logger.info("store changed its era between two pages; reading again")
                return
            documents += page.documents
            if not page.truncated or not page.documents:
                break
            after = page.documents[-1].path
        self._record_success()
        if self._replica.replace(documents, as_of):
            self._replica.record_read(started)
            self._has_snapshot = True

    async def _watch(self) -> None:
        started = self._clock()
        after = self._replica.as_of
        # While the store is unreachable, a short wait shows sooner that it is back.
        unreachable = self._failing_since is not None
        wait_s = PROBE_WAIT_S if unreachable else self._wait_s
        call = self._adapter.watch_call(ALL_PATHS, after.revision, wait_s)
        timeout_s = wait_s + (PROBE_MARGIN_S if unreachable else RESPONSE_MARGIN_S)
        page = await self._call(call, timeout_s, self._adapter.decode_watch)
        self._record_success()
        if page.as_of.era != after.era:
            # The changes are those after a revision of another era, so that some of
            # this era are missing among them.
            self._has_snapshot = False
            return
        if self._replica.apply(page.documents, page.as_of):
            self._replica.record_read(started)

    async def _call(
        self,
        call: ControlCall,
        timeout_s: float,
        decode: Callable[[ControlResponse], StorePage],
    ) -> StorePage:
        self._metrics.count("store_calls")
        self._called_at, self._received_bytes = self._clock(), 0
        response = await self._client.call_while_progressing(
            self._address,
            call,
            ProgressLimits(timeout_s, STALL_TIMEOUT_S, READ_LIMIT_S),
            self._count_received,
        )
        if response.status == HISTORY_GONE_STATUS:
            # The missed changes are gone, so the whole store is read again.
            self._has_snapshot = False
        if response.status != 200:
            raise StoreUnavailable(f"status {response.status}")
        try:
            return decode(response)
        except ValueError as error:
            raise StoreUnavailable(f"invalid response: {error}") from error

    def _count_received(self, size: int) -> None:
        self._received_bytes += size
        self._metrics.count("store_bytes", size)

    def _record_failure(self, error: Exception) -> None:
        self._metrics.count("store_failures")
        self._metrics.count("store_bytes_lost", self._received_bytes)
        self._replica.record_failed_read()
        now = self._clock()
        if self._failing_since is None or self._received_bytes:
            logger.warning(
                "store unreachable",
                extra={
                    "reason": str(error) or type(error).__name__,
                    "received_bytes": self._received_bytes,
                    "seconds": round(now - self._called_at, 3),
                },
            )
        if self._failing_since is None:
            self._failing_since = now

    def _record_success(self) -> None:
        """Record that the store responds; called before its response is applied.

        The end of an outage must be known by then: the document of an endpoint
        that is missing in the response may have expired only due to the outage.
        """
        if self._failing_since is not None:
            self._end_outage()

    def _end_outage(self) -> None:
        now = self._clock()
        seconds = now - self._failing_since
        self._failing_since = None
        logger.info("store reachable again", extra={"seconds": round(seconds, 3)})
        if seconds >= MIN_OUTAGE_S:
            self._replica.record_outage_end(now)
