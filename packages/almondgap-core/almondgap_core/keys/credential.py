"""Credentials: what a host keeps of a caller's key once the key itself is dropped."""

from __future__ import annotations

import hashlib
import hmac

from attrs import field, frozen

#: Every key starts with this word, so that leaks are easy to search for.
KEY_PREFIX = "agk"

#: Longest key that is looked at, in characters.
MAX_KEY_LENGTH = 200


@frozen
class Credential:
    """A key's public identifier and the keyed digest of the whole key."""

    key_id: str
    digest: str = field(repr=False)

    @classmethod
    def from_key(cls, key: str, pepper: bytes) -> Credential | None:
        """Return the credential of ``key``, or None if it has no key's form.

        :param key: ``agk_<identifier>_<secret>`` as the caller sent it.
        :param pepper: secret of the fleet that keys the digest.
        """
        parts = key.split("_", 2)
        if len(key) > MAX_KEY_LENGTH or len(parts) != 3 or parts[0] != KEY_PREFIX:
            return None
        return cls(parts[1], compute_digest(key, pepper))


def compute_digest(key: str, pepper: bytes) -> str:
    """Return the keyed digest under which a key is stored, in hexadecimal."""
    return hmac.new(pepper, key.encode(), hashlib.sha256).hexdigest()
