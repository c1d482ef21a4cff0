"""Look-ups over HTTP.

For speed, look-ups bypass the Klein router: a resource in front of the routes answers
them directly.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from twisted.web.resource import IResource, Resource
from zope.interface import implementer

from almondgap_core.exceptions import LookupRefused
from almondgap_core.keys.credential import Credential
from almondgap_core.steering.lookup import look_up_body
from almondgap_core.units import MICROS_PER_SECOND
from almondgap_core.verdict import Reason, Refusal, Verdict
from almondgap_daemon.headers import KEY_HEADER
from almondgap_daemon.requests import write_refusal

LOOKUP_PATH = b"/v1/lookup"
LOOKUP_METHODS = (b"GET", b"HEAD")

#: Retry-After of a refused look-up, in microseconds.
RETRY_AFTER_US = MICROS_PER_SECOND


class LookupResource(Resource):
    """Answers look-ups, for both the fast path and the Klein route."""

    isLeaf = True

    def __init__(
        self, runtime, pepper: bytes, make_request_id: Callable[[], str]
    ) -> None:
        """Initialize the resource.

        :param make_request_id: returns a new request identifier.
        """
        super().__init__()
        self.runtime = runtime
        self.pepper = pepper
        self.make_request_id = make_request_id

    def render(self, request) -> bytes:
        """Answer a look-up that took the fast path."""
        return self.answer(request)

    def answer(self, request) -> bytes:
        """Return the body that lists entry hosts for a service."""
        state = self.runtime.state
        inventory = state.inventory
        if inventory is None:
            detail = "This host has no configuration."
            return self._refuse(request, 503, Reason.NOT_READY, detail)
        service = _read_argument(request, b"service")
        if service not in inventory.services:
            detail = f"There is no service {service[:60]!r}."
            return self._refuse(request, 404, Reason.UNKNOWN_SERVICE, detail)
        address = request.client.host
        if inventory.topology.rules.trust_client_parameter:
            block = _read_argument(request, b"client")
            address = block.partition("/")[0] or address
        try:
            now = self.runtime.now()
            read_credential = partial(self._read_credential, request)
            body = look_up_body(state, service, address, now, read_credential)
        except LookupRefused:
            detail = "No region has room for the request."
            reason = Reason.NO_CAPACITY
            return self._refuse(request, 503, reason, detail, RETRY_AFTER_US)
        request.responseHeaders.setRawHeaders(b"content-type", [b"application/json"])
        return body

    def _read_credential(self, request) -> Credential | None:
        key = request.getHeader(KEY_HEADER)
        return None if key is None else Credential.from_key(key, self.pepper)

    def _refuse(
        self,
        request,
        status: int,
        reason: Reason,
        detail: str,
        retry_after: int | None = None,
    ) -> bytes:
        verdict = Verdict.NOT_RUN
        refusal = Refusal(status, reason, verdict, detail, retry_after)
        write_refusal(request, refusal, self.make_request_id())
        return b""


@implementer(IResource)
class CallerResource:
    """Dispatches look-ups to their resource and other requests to the routes."""

    isLeaf = True

    def __init__(self, lookups: LookupResource, routes) -> None:
        """Initialize the resource with both destinations."""
        self.lookups = lookups
        self.routes = routes

    def render(self, request):
        """Dispatch a request."""
        if request.path == LOOKUP_PATH and request.method in LOOKUP_METHODS:
            return self.lookups.render(request)
        return self.routes.render(request)

    def getChildWithDefault(self, name, request):
        """Return the resource itself, since it is a leaf."""
        return self

    def putChild(self, path, child) -> None:
        """Raise ValueError, since the resource is a leaf."""
        raise ValueError("a leaf resource has no children")


def _read_argument(request, name: bytes) -> str:
    """Return the first value of a query argument, an empty string without one."""
    values = request.args.get(name)
    return values[0].decode(errors="replace") if values else ""
