"""Peer messages on how recently a configuration was known to be current."""

from __future__ import annotations

from typing import ClassVar

from attrs import frozen

from almondgap_core.messages import Message, integer, register


@register
@frozen
class EvidenceRequest(Message):
    """Asks how current the receiver's configuration is.

    :ivar number: returned in the response. It ties the response to the time of the
        request, which bounds its age.
    """

    kind: ClassVar[str] = "evidence-ask"

    number: int = integer()


@register
@frozen
class EvidenceResponse(Message):
    """Tells how current the sender's configuration is.

    :ivar number: number of the request.
    :ivar version: highest configuration version known to the sender.
    :ivar age: time since that version was known to be the current one, in
        microseconds; -1 if it never was.
    :ivar contact_age: time since the sender last reached the store, in microseconds;
        -1 if it never did.
    """

    kind: ClassVar[str] = "evidence-answer"

    number: int = integer()
    version: int = integer()
    age: int = integer()
    contact_age: int = integer()
