"""Slot state of one host, both as owner of targets and as requester of slots."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from attrs import Factory, define

from almondgap_core.limits.partitions import Partition
from almondgap_core.settings.inventory import Inventory, Target
from almondgap_core.steering.queue import FairQueue, SlotRequestKey

#: Per service, the targets of this failure domain grouped by partition.
TargetLayout = Mapping[str, tuple[tuple[Partition, tuple[Target, ...]], ...]]


@define
class Grant:
    """A slot granted by this host.

    :ivar granted_at: time of the grant, in microseconds.
    :ivar expires_at: time after which neither requester nor target can still use it, in
        microseconds.
    :ivar returned: whether the requester has released it; the target may still be busy.
    """

    target: str
    service: str
    account: str
    granted_at: int
    expires_at: int
    returned: bool = False


@define
class TargetHealth:
    """Health of an owned target, as observed from the results of its slots.

    :ivar latency: moving average of the time that a slot is held, in microseconds.
    :ivar error_rate: moving average of failures, 0 to 1.
    :ivar consecutive_sheds: shed answers since the last other result.
    :ivar shed_until: end of the back-off after a shed answer, in microseconds.
    :ivar last_result_at: time of the latest result, in microseconds.
    :ivar consecutive_failures: failures since the last success.
    :ivar result_count: results since the target was added or reinstated.
    :ivar warm_up_since: start of its warm-up, or None if it takes its full load.
    :ivar ejected_until: end of its ejection, or None if it is not ejected.
    :ivar intent_since: time at which its ejection was announced, or None.
    :ivar next_intent_at: earliest time of the next announcement, in microseconds.
    :ivar ejection_count: ejections since the last successful probe.
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
    """Counters of one service at its owner since the last heartbeat.

    :ivar granted: slots granted, and ``failed`` results that blame a target.
    :ivar since: time of the last reset, in microseconds.
    """

    granted: int = 0
    failed: int = 0
    since: int = 0


@define
class Takeover:
    """The latest lease of this host on a partition.

    :ivar blocked_since: time from which slots granted by earlier holders may still be
        in use, or None if there are none.
    """

    epoch: int
    blocked_since: int | None


@define
class SlotAcquisition:
    """The search for a slot on behalf of one request of this host.

    :ivar remaining_owners: owners still to try, best first, each with whether to wait
        in its queue; None while only this host was tried.
    :ivar owner: owner tried last.
    :ivar timeout: time at which its reply is overdue, in microseconds.
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
    """A slot in use by a request of this host.

    :ivar owner: host that granted it under ``number``.
    """

    owner: str
    number: int


@define
class SlotsState:
    """Slots granted and used by one host.

    :ivar slots_used: granted slots of each owned target.
    :ivar account_slots: granted slots by service and client account.
    :ivar grants: granted slots, by requesting host and number.
    :ivar queues: slot requests that wait at this host, by service.
    :ivar target_health: observed health of owned targets.
    :ivar takeovers: latest lease of each partition that this host holds or held.
    :ivar clean_leases: leases taken while no slot of an earlier holder was in use.
    :ivar target_partitions: latest known partition of each target.
    :ivar partition_changes: time of the latest change of a target's partition.
    :ivar acquisitions: pending searches for a slot, by number.
    :ivar acquisition_numbers: number of the pending search, by request.
    :ivar held_slots: slots in use by requests of this host, by request and target.
    :ivar used_numbers: numbers under which a slot was used, with the deadline until
        which they are remembered.
    :ivar layout: owned partitions by service, computed from ``layout_inventory``.
    :ivar known_targets: targets of the configuration version ``known_version``.
    :ivar last_number: counter from which slot requests are numbered.
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
