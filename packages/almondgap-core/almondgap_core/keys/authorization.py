"""Authorization: maps the key of a request to its client account."""

from __future__ import annotations

import hmac

from almondgap_core.keys.credential import Credential
from almondgap_core.settings.inventory import Account, Inventory, Service
from almondgap_core.verdict import Reason, Refusal, Verdict

#: Client account of requests to open services without a key.
OPEN_ACCOUNT = ""


def authorize(
    inventory: Inventory, service: Service, credential: Credential | None
) -> Account | Refusal | None:
    """Return the client account of a request, or the refusal.

    :return: None if the request has no key and the service is open.
    """
    if credential is None:
        if service.open:
            return None
        return _refuse(401, Reason.KEY_MISSING, "This service asks for a key.")
    account = _find_account(inventory, credential)
    if account is None:
        return _refuse(401, Reason.KEY_UNKNOWN, "The key is unknown or withdrawn.")
    if account.services and service.name not in account.services:
        detail = f"Client account {account.name} may not use {service.name}."
        return _refuse(403, Reason.ACCOUNT_NOT_ALLOWED, detail)
    return account


def _find_account(inventory: Inventory, credential: Credential) -> Account | None:
    entry = inventory.keys.get(credential.key_id)
    digest = entry.digest if entry else "0" * len(credential.digest)
    matches = hmac.compare_digest(digest, credential.digest)
    if entry is None or not matches:
        return None
    return inventory.accounts[entry.account]


def _refuse(status: int, reason: Reason, detail: str) -> Refusal:
    return Refusal(status, reason, Verdict.NOT_RUN, detail)
