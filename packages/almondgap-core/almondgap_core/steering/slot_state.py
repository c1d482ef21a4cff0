"""What a host keeps of slots: those that it hands out and those that it uses."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from attrs import Factory, define

from almondgap_core.limits.partitions import Partition
from almondgap_core.settings.inventory import Inventory, Target
from almondgap_core.steering.queue import FairQueue, SlotRequestKey

#: Targets by the partition that holds them, by service.
TargetLayout = Mapping[str, tuple[tuple[Partition, tuple[Target, ...]], ...]]


@define
class Grant:
    """A slot that this host handed out.

    :ivar granted_at: when it was handed out, in microseconds.
    :ivar expires_at: time after which asker and target are certainly done with it.
    :ivar returned: whether the asker is done with it, though the target may not be.
    """

    target: str
    service: str
    account: str
    granted_at: int
    expires_at: int
    returned: bool = False


@define
class TargetHealth:
    """What this host sees of a target that it owns.

    :ivar latency: moving average of the time that a slot is held, in microseconds.
    :ivar error_rate: moving average of failures, 0 to 1.
    :ivar consecutive_sheds: shed answers without another result between them.
    :ivar shed_until: time until which it takes nothing new since it sheds.
    :ivar last_result_at: time of the latest result, in microseconds.
    :ivar consecutive_failures: failures without a success between them.
    :ivar result_count: results since the target came or came back.
    :ivar warm_up_since: when its ramp began, or None if it is not cold.
    :ivar ejected_until: end of its ejection, or None if it takes work.
    :ivar intent_since: since when it is to be ejected, or None.
    :ivar next_intent_at: time before which no new intent begins.
    :ivar ejection_count: ejections without a success between them.
    """

    latency: float = 0.0
    error_rate: float = 0.0
    consecutive_sheds: int = 0
    shed_until: int = 0
    last_result_at: int = 0
    consecutive_failures: int = 0
    result_count: int = 0
    warm_up_since: int | None = None
    ejected_until: int | None = None
    intent_since: int | None = None
    next_intent_at: int = 0
    ejection_count: int = 0


@define
class ServiceCounters:
    """Counts of one service at its owner since the last heartbeat."""

    granted: int = 0
    failed: int = 0
    since: int = 0


@define
class Takeover:
    """Since when this host holds a partition.

    :ivar blocked_since: when slots of earlier holders may still be in use from, or None
        if none can be.
    """

    epoch: int
    blocked_since: int | None


@define
class SlotAcquisition:
    """A request of this host that looks for a slot.

    :ivar remaining_owners: owners still to ask, best first, and whether to wait there;
        None while only this host was asked.
    :ivar owner: owner that was asked last.
    :ivar timeout: when to give up on its answer, in microseconds.
    """

    number: int
    req_id: str
    service: str
    account: str
    deadline: int
    exclude: tuple[str, ...]
    remaining_owners: deque[tuple[str, bool]] | None = None
    owner: str = ""
    timeout: int = 0


@define
class HeldSlot:
    """A slot that a request of this host uses.

    :ivar owner: host that handed it out under ``number``.
    """

    owner: str
    number: int


@define
class SlotsState:
    """Slots at one host.

    :ivar slots_used: slots of each owned target that are handed out.
    :ivar account_slots: the same by service and client account.
    :ivar grants: slots that this host handed out, by asker and number.
    :ivar queues: asks that wait here, by service.
    :ivar target_health: what this host sees of targets that it owns.
    :ivar takeovers: partitions that this host holds or held.
    :ivar clean_leases: leases that were taken with nothing of earlier holders running.
    :ivar target_partitions: partition under which each target was last seen.
    :ivar partition_changes: when a target was last seen to change its partition.
    :ivar acquisitions: requests of this host that look for a slot, by number.
    :ivar acquisition_numbers: number of the ask of each request that looks for a slot.
    :ivar held_slots: slots that requests of this host use, by request and target.
    :ivar used_numbers: numbers under which a slot was ever used, until their deadline.
    :ivar layout: targets of this failure domain, made from ``layout_inventory``.
    :ivar known_targets: targets of the configuration version ``known_version``.
    """

    slots_used: dict[str, int] = Factory(dict)
    account_slots: dict[str, dict[str, int]] = Factory(dict)
    grants: dict[SlotRequestKey, Grant] = Factory(dict)
    queues: dict[str, FairQueue] = Factory(dict)
    target_health: dict[str, TargetHealth] = Factory(dict)
    service_counters: dict[str, ServiceCounters] = Factory(dict)
    takeovers: dict[Partition, Takeover] = Factory(dict)
    clean_leases: set[tuple[Partition, int]] = Factory(set)
    target_partitions: dict[str, Partition] = Factory(dict)
    partition_changes: dict[str, int] = Factory(dict)
    acquisitions: dict[int, SlotAcquisition] = Factory(dict)
    acquisition_numbers: dict[str, int] = Factory(dict)
    held_slots: dict[tuple[str, str], HeldSlot] = Factory(dict)
    used_numbers: dict[int, int] = Factory(dict)
    layout: TargetLayout = Factory(dict)
    layout_inventory: Inventory | None = None
    known_targets: frozenset[str] = frozenset()
    known_version: int = 0
    last_number: int = 0
    next_sweep: int = 0
