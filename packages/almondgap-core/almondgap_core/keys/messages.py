"""Messages about how current a list of keys is."""

from __future__ import annotations

from typing import ClassVar

from attrs import frozen

from almondgap_core.messages import Message, integer, register


@register
@frozen
class EvidenceRequest(Message):
    """How current is your configuration?

    :ivar number: comes back in the answer, so that its age is bounded.
    """

    kind: ClassVar[str] = "evidence-ask"

    number: int = integer()


@register
@frozen
class EvidenceResponse(Message):
    """How current the sender's configuration is.

    :ivar version: greatest configuration version that the sender knows.
    :ivar age: time since that version was known to be the current one, in
        microseconds; -1 if it never was.
    :ivar contact_age: time since the sender reached the store, -1 if it never did.
    """

    kind: ClassVar[str] = "evidence-answer"

    number: int = integer()
    version: int = integer()
    age: int = integer()
    contact_age: int = integer()
