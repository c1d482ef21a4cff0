"""The listener for callers: look-ups and requests."""

from __future__ import annotations

import hashlib
import io
import json

from klein import Klein
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.server import Request, Site

from almondgap_core.events import RequestArrived
from almondgap_core.keys.credential import Credential
from almondgap_core.units import seconds
from almondgap_core.verdict import Reason, Refusal, Verdict
from almondgap_daemon.exchange import Exchange, write_refusal
from almondgap_daemon.headers import KEY_HEADER, read_operation
from almondgap_daemon.lookups import CallerResource, LookupResource

#: Longest time that a caller can ask a request to take, in seconds.
MAX_CALL_S = 600

CONNECT_TIMEOUT_S = 1.0
CONNECTIONS_PER_TARGET = 32
CALL_PREFIX = b"/v1/call/"
DIGEST_BYTES = 16


class CallerRequest(Request):
    """A caller's request, its body in memory and bounded."""

    body_limit = 1_048_576
    too_long = False

    def gotLength(self, length: int | None) -> None:
        """Keep the body in memory; hosts have no disks."""
        self.content = io.BytesIO()
        self.too_long = length is not None and length > self.body_limit

    def handleContentChunk(self, data: bytes) -> None:
        """Keep one part of the body, unless it grows too long."""
        if self.content.tell() + len(data) > self.body_limit:
            self.too_long = True
        if not self.too_long:
            self.content.write(data)


class CallerSite(Site):
    """A site without an access log; metrics count requests."""

    def log(self, request) -> None:
        """Write nothing: the line would be made for each request and thrown away."""


class CallerApi:
    """Routes for callers."""

    app = Klein()

    def __init__(self, node, cfg) -> None:
        self.node = node
        self.cfg = cfg
        self.pepper = cfg.pepper.encode()
        pool = HTTPConnectionPool(node.reactor, persistent=True)
        pool.maxPersistentPerHost = CONNECTIONS_PER_TARGET
        pool.retryAutomatically = False
        self.http = Agent(node.reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=pool)
        self._count = 0
        self.lookups = LookupResource(node, self.pepper, self._next_id)

    def make_site(self) -> Site:
        """Return the site to listen with."""
        limit = self.cfg.body_limit
        factory = type("LimitedRequest", (CallerRequest,), {"body_limit": limit})
        resource = CallerResource(self.lookups, self.app.resource())
        return CallerSite(resource, requestFactory=factory)

    @app.route("/v1/lookup")
    def lookup(self, request):
        """Name the entry hosts for a service."""
        body = self.lookups.answer(request)
        if body:
            request.setHeader("Content-Length", str(len(body)))
        return body

    @app.route("/v1/version")
    def version(self, request):
        """Tell which configuration version is in force, and why no newer is."""
        settings = self.node.state.settings
        body = {
            "host": self.cfg.host,
            "version": settings.version,
            "rejected": settings.rejected,
        }
        request.setHeader("Content-Type", "application/json")
        return json.dumps(body).encode() + b"\n"

    @app.route("/v1/call/<service>/", branch=True)
    def call(self, request, service: str):
        """Serve a request for a service."""
        if request.too_long:
            detail = f"The body is longer than {self.cfg.body_limit} bytes."
            refusal = Refusal(413, Reason.BODY_TOO_LARGE, Verdict.NOT_RUN, detail)
            return self._refuse(request, refusal)
        key = request.getHeader(KEY_HEADER)
        now = self.node.now()
        arrival = RequestArrived(
            now,
            self._next_id(),
            service,
            request.method.decode(),
            Credential.from_key(key, self.pepper) if key is not None else None,
            now + seconds(MAX_CALL_S),
            operation=read_operation(request.requestHeaders),
            digest=_compute_digest(request),
        )
        path = request.uri[len(CALL_PREFIX) + len(service.encode()) :]
        exchange = Exchange(self.node, self.http, request, arrival.req_id, path)
        return exchange.start(arrival)

    def _next_id(self) -> str:
        self._count += 1
        return f"{self.cfg.host}-{self.node.state.incarnation:x}-{self._count:x}"

    def _refuse(self, request, refusal: Refusal) -> bytes:
        write_refusal(request, refusal, self._next_id())
        return b""


def _compute_digest(request) -> bytes:
    """Return the digest by which a repeat of an operation is known."""
    if not read_operation(request.requestHeaders):
        return b""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (request.method, request.uri):
        digest.update(len(part).to_bytes(4, "big") + part)
    digest.update(request.content.getvalue())
    return digest.digest()
