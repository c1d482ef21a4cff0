"""Requests of callers, on top of Twisted's HTTP server.

Bodies are limited by a shared memory budget, and every refusal, even of malformed
HTTP, carries a verdict.
"""

from __future__ import annotations

import io
import json
from http import HTTPStatus
from urllib.parse import unquote_to_bytes

import structlog
from attrs import define
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

from almondgap_core.units import MICROS_PER_MILLI, MICROS_PER_SECOND
from almondgap_core.verdict import VERDICT_HEADER, Reason, Refusal, Verdict
from almondgap_daemon.headers import REQUEST_HEADER

log = structlog.get_logger(__name__)

METHODS = frozenset({b"GET", b"HEAD", b"POST", b"PUT", b"PATCH", b"DELETE", b"OPTIONS"})

#: Bytes of an oversized body that are read and discarded, so that the caller receives
#: the refusal instead of a reset.
MAX_DISCARDED_BYTES = 16_777_216

#: Range of the byte values that are allowed in a request's path.
MIN_VISIBLE_BYTE, MAX_VISIBLE_BYTE = 0x21, 0x7E

MALFORMED_REQUEST = Refusal(
    400, Reason.BAD_REQUEST, Verdict.NOT_RUN, "This is not sound HTTP."
)


@define
class BodyMemory:
    """Memory budget for the bodies of all requests of a host.

    :ivar limit: limit of one body, in bytes.
    :ivar total: limit of all bodies together, in bytes.
    :ivar used: reserved memory, in bytes.
    """

    limit: int
    total: int
    used: int = 0

    def reserve(self, count: int) -> bool:
        """Reserve memory and return whether there was enough."""
        if self.used + count > self.total:
            return False
        self.used += count
        return True

    def release(self, count: int) -> None:
        """Release reserved memory."""
        self.used -= count


class CallerChannel(HTTPChannel):
    """A caller's connection; malformed HTTP is refused with a verdict."""

    def connectionMade(self) -> None:
        """Register the connection with the site."""
        super().connectionMade()
        self.site.channels.add(self)

    def connectionLost(self, reason) -> None:
        """Unregister the connection from the site."""
        super().connectionLost(reason)
        self.site.remove_channel(self)

    def checkPersistence(self, request, version) -> bool:
        """Return whether the connection persists; never while the host stops."""
        if not self.site.stopping:
            return super().checkPersistence(request, version)
        request.responseHeaders.setRawHeaders("Connection", ["close"])
        return False

    def refuse(self, refusal: Refusal) -> None:
        """Write a refusal without a request object, and close the connection."""
        body = dump_refusal(refusal, "")
        lines = [
            f"HTTP/1.1 {refusal.status} {HTTPStatus(refusal.status).phrase}",
            f"{VERDICT_HEADER}: {refusal.verdict.value}",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
            "Connection: close",
        ]
        head = "\r\n".join([*lines, "", ""])
        self.transport.write(head.encode() + body)
        self.loseConnection()

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuse a request line or header that is too long."""
        self.refuse(MALFORMED_REQUEST)

    def _respondToBadRequestAndDisconnect(self) -> None:
        self.refuse(MALFORMED_REQUEST)


class CallerRequest(Request):
    """A caller's request, whose body is kept in memory within the budget.

    :ivar refusal: refusal that was determined before routing, if any.
    """

    memory: BodyMemory
    refusal: Refusal | None = None
    _reserved = 0
    _discarded = 0

    def gotLength(self, length: int | None) -> None:
        """Buffer the body in memory, since hosts have no disks."""
        self.content = io.BytesIO()
        if length is not None and length > self.memory.limit:
            self._refuse_length()
        if length is not None and length > MAX_DISCARDED_BYTES:
            self.channel.refuse(self.refusal)

    def handleContentChunk(self, data: bytes) -> None:
        """Buffer a part of the body, or discard it if the request is refused."""
        if self.refusal is None and self._reserved + len(data) > self.memory.limit:
            self._refuse_length()
        if self.refusal is None and not self.memory.reserve(len(data)):
            detail = "This host has no memory for the body."
            self.refusal = Refusal(
                503, Reason.NO_CAPACITY, Verdict.NOT_RUN, detail, MICROS_PER_SECOND
            )
        if self.refusal is None:
            self._reserved += len(data)
            self.content.write(data)
            return
        self._discard(len(data))

    def process(self) -> None:
        """Route the request, or write its refusal."""
        if self.refusal is None and self.method not in METHODS:
            detail = "Use one of GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS."
            self.refusal = Refusal(
                405, Reason.METHOD_NOT_ALLOWED, Verdict.NOT_RUN, detail
            )
        if self.refusal is None and not _is_valid_uri(self.uri):
            detail = "The path is not UTF-8, or its characters are not escaped."
            self.refusal = Refusal(400, Reason.BAD_REQUEST, Verdict.NOT_RUN, detail)
        if self.refusal is None:
            super().process()
            return
        write_refusal(self, self.refusal, "")
        self.finish()

    def processingFailed(self, reason: Failure) -> None:
        """Refuse a request after an internal error; it may have run."""
        log.error("unexpected error", error=reason.getTraceback())
        if self.startedWriting:
            self.channel.forceAbortClient()
            return
        detail = "This host failed."
        refusal = Refusal(500, Reason.INTERNAL, Verdict.MAY_HAVE_RUN, detail)
        write_refusal(self, refusal, "")
        self.finish()

    def finish(self) -> None:
        """Complete the answer and release the body's memory."""
        self._release_memory()
        super().finish()

    def connectionLost(self, reason) -> None:
        """Release the body's memory."""
        self._release_memory()
        super().connectionLost(reason)

    def _refuse_length(self) -> None:
        detail = f"The body is longer than {self.memory.limit} bytes."
        self.refusal = Refusal(413, Reason.BODY_TOO_LARGE, Verdict.NOT_RUN, detail)
        self._release_memory()

    def _discard(self, count: int) -> None:
        already_discarded = self._discarded
        self._discarded += count
        if already_discarded <= MAX_DISCARDED_BYTES < self._discarded:
            self.channel.refuse(self.refusal)

    def _release_memory(self) -> None:
        self.memory.release(self._reserved)
        self._reserved = 0


class CallerSite(Site):
    """Site for callers that limits body memory and closes connections gracefully.

    :ivar channels: open connections.
    :ivar stopping: whether answers close their connections.
    """

    protocol = CallerChannel

    def __init__(self, resource, memory: BodyMemory) -> None:
        factory = type("BoundedRequest", (CallerRequest,), {"memory": memory})
        super().__init__(
            resource, requestFactory=factory, parsePOSTFormSubmission=False
        )
        self.channels: set[CallerChannel] = set()
        self.stopping = False
        self._all_closed: Deferred | None = None

    def log(self, request) -> None:
        """Do nothing: formatting an access log line per request would be wasted."""

    def close_channels(self) -> Deferred:
        """Close all connections after flushing them.

        :return: Deferred that fires when no connection is left.
        """
        self._all_closed = Deferred()
        for channel in list(self.channels):
            channel.loseConnection()
        self._notify_if_empty()
        return self._all_closed

    def remove_channel(self, channel: CallerChannel) -> None:
        """Unregister a closed connection."""
        self.channels.discard(channel)
        self._notify_if_empty()

    def _notify_if_empty(self) -> None:
        if self._all_closed is not None and not self.channels:
            all_closed, self._all_closed = self._all_closed, None
            all_closed.callback(None)


def set_answer_headers(request, verdict: Verdict, req_id: str) -> None:
    """Set the verdict and request headers that every answer carries."""
    request.responseHeaders.setRawHeaders(VERDICT_HEADER, [verdict.value])
    if req_id:
        request.responseHeaders.setRawHeaders(REQUEST_HEADER, [req_id])


def write_refusal(request, refusal: Refusal, req_id: str) -> None:
    """Write a refusal with its JSON body, without finishing the request."""
    request.setResponseCode(refusal.status)
    set_answer_headers(request, refusal.verdict, req_id)
    headers = request.responseHeaders
    headers.setRawHeaders("Content-Type", ["application/json"])
    if refusal.retry_after is not None:
        retry_after_s = -(-refusal.retry_after // MICROS_PER_SECOND)
        headers.setRawHeaders("Retry-After", [str(retry_after_s)])
    data = dump_refusal(refusal, req_id)
    headers.setRawHeaders("Content-Length", [str(len(data))])
    request.write(data)


def dump_refusal(refusal: Refusal, req_id: str) -> bytes:
    """Return the JSON body of a refusal."""
    body = {
        "verdict": refusal.verdict.value,
        "reason": refusal.reason.value,
        "detail": refusal.detail,
        "request": req_id,
    }
    if refusal.retry_after is not None:
        body["retry_after_ms"] = -(-refusal.retry_after // MICROS_PER_MILLI)
    return json.dumps(body).encode() + b"\n"


def _is_valid_uri(uri: bytes) -> bool:
    try:
        unquote_to_bytes(uri).decode()
    except UnicodeDecodeError:
        return False
    return all(MIN_VISIBLE_BYTE <= byte <= MAX_VISIBLE_BYTE for byte in uri)
