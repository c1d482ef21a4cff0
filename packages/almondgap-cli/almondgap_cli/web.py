"""HTTP requests to hosts, in plain text or over TLS."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import treq
from twisted.internet import reactor
from twisted.internet.error import ConnectError
from twisted.internet.ssl import optionsForClientTLS, platformTrust
from twisted.web.client import Agent
from twisted.web.iweb import IPolicyForHTTPS
from zope.interface import implementer

from almondgap_core.exceptions import UserError
from almondgap_daemon.tls import Credentials, TlsSettings, read_trust

HOST_TIMEOUT_S = 5.0

#: Environment variables with the paths of the TLS files.
AUTHORITY_VARIABLE = "ALMONDGAP_TLS_AUTHORITY"
CERTIFICATE_VARIABLE = "ALMONDGAP_TLS_CERTIFICATE"
KEY_VARIABLE = "ALMONDGAP_TLS_KEY"


@implementer(IPolicyForHTTPS)
class OperatorPolicy:
    """TLS policy with the authority and client certificate set in the environment."""

    def creatorForNetloc(self, hostname: bytes, port: int):
        """Return the options for a connection to a host."""
        authority = os.environ.get(AUTHORITY_VARIABLE)
        certificate = os.environ.get(CERTIFICATE_VARIABLE)
        trust = platformTrust() if authority is None else read_trust(Path(authority))
        own = None
        if certificate is not None:
            key = Path(os.environ.get(KEY_VARIABLE, certificate))
            own = Credentials.from_files(TlsSettings(Path(certificate), key, None)).own
        return optionsForClientTLS(hostname.decode(), trust, own)


def make_url(place: str, path: str) -> str:
    """Return the URL of a path at ``address:port`` or at a base URL with a scheme."""
    base = place if "://" in place else f"http://{place}"
    return f"{base.rstrip('/')}{path}"


async def fetch_json(url: str, method: str = "GET") -> Any:
    """Return the JSON answer of a host.

    :raises UserError: no answer, a status other than 200, or a body that is not JSON.
    """
    agent = Agent(reactor, OperatorPolicy(), connectTimeout=HOST_TIMEOUT_S)
    try:
        response = await treq.request(method, url, agent=agent, timeout=HOST_TIMEOUT_S)
        body = await response.content()
    except UserError:
        raise
    except ConnectError as exc:
        raise UserError(f"{url}: cannot connect: {exc}") from exc
    except Exception as exc:
        raise UserError(f"{url}: no answer: {_describe(exc)}") from exc
    if response.code != 200:
        text = body.decode(errors="replace").strip()[:300]
        raise UserError(f"{url}: status {response.code}: {text}")
    try:
        return await response.json()
    except ValueError as exc:
        raise UserError(f"{url}: the response body is not JSON") from exc


def _describe(exc: Exception) -> str:
    reasons = getattr(exc, "reasons", None) or [exc]
    return "; ".join(getattr(reason, "value", reason).__repr__() for reason in reasons)
