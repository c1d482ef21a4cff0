"""HTTP routes for callers: look-ups and requests."""

from __future__ import annotations

import hashlib
import json

from klein import Klein
from werkzeug.exceptions import HTTPException, MethodNotAllowed, NotFound

from almondgap_core.events import RequestArrived
from almondgap_core.keys.credential import Credential
from almondgap_core.units import seconds
from almondgap_core.verdict import Reason, Refusal, Verdict
from almondgap_daemon.exchange import Exchange
from almondgap_daemon.headers import KEY_HEADER, read_operation_key
from almondgap_daemon.lookups import CallerResource, LookupResource
from almondgap_daemon.requests import BodyMemory, CallerSite, write_refusal
from almondgap_daemon.target_pool import TargetPool

#: Upper bound of a request's deadline, in seconds after its arrival.
MAX_CALL_S = 600

DIGEST_BYTES = 16

#: Index of the service's name in a request's path when split at slashes.
SERVICE_PATH_INDEX = 3


class CallerApi:
    """Klein routes for callers.

    :ivar pepper: secret that keys the digests of client accounts' keys.
    :ivar pool: connections to targets.
    """

    app = Klein()
    app.url_map.merge_slashes = False

    def __init__(self, runtime, cfg) -> None:
        self.runtime = runtime
        self.cfg = cfg
        self.pepper = cfg.pepper.encode()
        self.pool = TargetPool(runtime.reactor)
        self._count = 0
        self.lookups = LookupResource(runtime, self.pepper, self._make_request_id)

    def make_site(self) -> CallerSite:
        """Return the Twisted site that serves these routes."""
        memory = BodyMemory(self.cfg.body_limit, self.cfg.body_memory)
        resource = CallerResource(self.lookups, self.app.resource())
        return CallerSite(resource, memory)

    @app.route("/v1/lookup", methods=["GET", "HEAD"])
    def lookup(self, request):
        """Return the entry hosts for a service."""
        body = self.lookups.answer(request)
        if body:
            request.setHeader("Content-Length", str(len(body)))
        return body

    @app.route("/v1/version")
    def version(self, request):
        """Return the configuration version in force and why a newer was rejected."""
        settings = self.runtime.state.settings
        body = {
            "host": self.cfg.host,
            "version": settings.version,
            "rejected": settings.rejected,
        }
        request.setHeader("Content-Type", "application/json")
        return json.dumps(body).encode() + b"\n"

    @app.route("/v1/call/<path:rest>")
    def call(self, request, rest: str):
        """Serve a request for a service."""
        self.pool.update(self.runtime.state)
        service, slash, _ = rest.partition("/")
        if not slash:
            raise NotFound
        parts = request.uri.split(b"/", SERVICE_PATH_INDEX + 1)
        if parts[SERVICE_PATH_INDEX] != service.encode():
            detail = "The name of the service must stand unescaped in the path."
            refusal = Refusal(400, Reason.BAD_REQUEST, Verdict.NOT_RUN, detail)
            return self._refuse(request, refusal)
        key = request.getHeader(KEY_HEADER)
        now = self.runtime.now()
        arrival = RequestArrived(
            now,
            self._make_request_id(),
            service,
            request.method.decode(),
            Credential.from_key(key, self.pepper) if key is not None else None,
            now + seconds(MAX_CALL_S),
            operation=read_operation_key(request.requestHeaders),
            digest=_compute_digest(request),
        )
        path = b"/" + parts[SERVICE_PATH_INDEX + 1]
        exchange = Exchange(self.runtime, self.pool, request, arrival.req_id, path)
        return exchange.start(arrival)

    @app.handle_errors(HTTPException)
    def refuse_unknown_route(self, request, failure):
        """Refuse an unknown path or method."""
        detail = "Use GET /v1/lookup or /v1/call/SERVICE/PATH."
        status, reason = 404, Reason.BAD_REQUEST
        if failure.check(MethodNotAllowed):
            status, reason = 405, Reason.METHOD_NOT_ALLOWED
        refusal = Refusal(status, reason, Verdict.NOT_RUN, detail)
        return self._refuse(request, refusal)

    def _make_request_id(self) -> str:
        self._count += 1
        return f"{self.cfg.host}-{self.runtime.state.incarnation:x}-{self._count:x}"

    def _refuse(self, request, refusal: Refusal) -> bytes:
        write_refusal(request, refusal, self._make_request_id())
        return b""


def _compute_digest(request) -> bytes:
    """Return a digest of the request that detects a reused operation key.

    Empty for a request without an operation key.
    """
    if not read_operation_key(request.requestHeaders):
        return b""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (request.method, request.uri):
        digest.update(len(part).to_bytes(4, "big") + part)
    digest.update(request.content.getvalue())
    return digest.digest()
