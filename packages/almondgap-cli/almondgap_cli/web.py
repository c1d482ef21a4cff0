"""Asking hosts over HTTP."""

from __future__ import annotations

from typing import Any

import treq

from almondgap_core.exceptions import UserError

HOST_TIMEOUT_S = 5.0


async def fetch_json(url: str, method: str = "GET") -> Any:
    """Return the JSON answer of a host.

    :raises UserError: no answer, or not one of status 200.
    """
    try:
        response = await treq.request(method, url, timeout=HOST_TIMEOUT_S)
        body = await response.content()
    except Exception as exc:
        raise UserError(f"{url}: {exc!r}") from exc
    if response.code != 200:
        text = body.decode(errors="replace").strip()[:300]
        raise UserError(f"{url}: status {response.code}: {text}")
    return await response.json()
