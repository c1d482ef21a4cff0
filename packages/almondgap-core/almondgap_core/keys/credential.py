"""Credentials: digests of API keys. The keys themselves are not kept."""

from __future__ import annotations

import hashlib
import hmac

from attrs import field, frozen

#: Prefix of every key, so that leaked keys are easy to search for.
KEY_PREFIX = "agk"

#: Longest accepted key, in characters.
MAX_KEY_LENGTH = 200


@frozen
class Credential:
    """Public identifier of a key, and the keyed digest of the whole key."""

    key_id: str
    digest: str = field(repr=False)

    @classmethod
    def from_key(cls, key: str, pepper: bytes) -> Credential | None:
        """Return the credential of a key, or None if the key is malformed.

        :param key: ``agk_<identifier>_<secret>`` as sent by the caller.
        :param pepper: secret of the fleet, used as the key of the digest.
        """
        parts = key.split("_", 2)
        if len(key) > MAX_KEY_LENGTH or len(parts) != 3 or parts[0] != KEY_PREFIX:
            return None
        return cls(parts[1], compute_digest(key, pepper))


def compute_digest(key: str, pepper: bytes) -> str:
    """Return the keyed digest (HMAC) of a key as it is stored, in hexadecimal."""
    return hmac.new(pepper, key.encode(), hashlib.sha256).hexdigest()
