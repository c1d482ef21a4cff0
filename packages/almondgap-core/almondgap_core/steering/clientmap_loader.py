"""Loader of the client map that the inventory names.

Objects are decoded in short slices, so that loading a large map does not block the
event loop while requests are served.
"""

from __future__ import annotations

from almondgap_core.effects import FetchObject, LogEntry, WakeAt
from almondgap_core.events import ObjectFetched, Tick
from almondgap_core.exceptions import ConfigurationError
from almondgap_core.platform import compute_object_name
from almondgap_core.settings.topology import ClientMapRef
from almondgap_core.state import HostState
from almondgap_core.steering.clientmap_codec import MapDecoder, decode_delta
from almondgap_core.steering.clientmap_delta import DeltaApplier
from almondgap_core.units import MICROS_PER_SECOND

#: Chunks decoded or rebuilt per turn of the event loop.
STEPS_PER_SLICE = 4

#: Interval before another fetch after an object was not available.
RETRY_INTERVAL_US = 2 * MICROS_PER_SECOND


def handle_tick(state: HostState, event: Tick) -> None:
    """Continue the current task, or fetch the next object."""
    load = state.steering.map_load
    if load.task is not None:
        _run_steps(state, event.now)
    elif state.inventory is not None and not load.fetching:
        _fetch_next(state, event.now)


def handle_object_fetched(state: HostState, event: ObjectFetched) -> None:
    """Start to decode a fetched object."""
    load = state.steering.map_load
    if event.name != load.fetching:
        return
    load.fetching = ""
    if event.body is None:
        load.retry_at = event.now + RETRY_INTERVAL_US
        return
    try:
        load.task = _create_task(state, event.name, event.body)
    except ConfigurationError as exc:
        _reject(state, str(exc))
        return
    state.perform(WakeAt(event.now))


def _fetch_next(state: HostState, now: int) -> None:
    load = state.steering.map_load
    wanted = state.inventory.topology.client_map
    if wanted != load.wanted:
        load.wanted = wanted
        load.rejected = False
        load.staged = state.steering.client_map
        load.staged_ref = state.steering.client_map_ref
    if load.rejected or now < load.retry_at:
        return
    if wanted == state.steering.client_map_ref:
        return
    if not wanted.body:
        state.steering.client_map = None
        state.steering.client_map_ref = wanted
        return
    load.fetching = _find_next_object(load.staged_ref, wanted)
    state.perform(FetchObject(load.fetching))


def _find_next_object(have: ClientMapRef, wanted: ClientMapRef) -> str:
    """Return the next object to load on the way from one map version to another."""
    done = len(have.deltas)
    follows = have.body == wanted.body and have.deltas == wanted.deltas[:done]
    if not follows or done == len(wanted.deltas):
        return wanted.body
    return wanted.deltas[done]


def _create_task(state: HostState, name: str, body: bytes) -> MapDecoder | DeltaApplier:
    load = state.steering.map_load
    if name == load.wanted.body:
        load.staged_ref = ClientMapRef(name)
        return MapDecoder(name, body)
    if compute_object_name(body) != name:
        raise ConfigurationError(f"delta {name[:12]}: the body does not fit its name")
    delta = decode_delta(body)
    have = load.staged_ref
    parent = (have.body, *have.deltas)[-1]
    if delta.parent != parent:
        raise ConfigurationError(
            f"delta {name[:12]}: follows {delta.parent[:12]}, not {parent[:12]}"
        )
    load.staged_ref = ClientMapRef(have.body, (*have.deltas, name))
    return DeltaApplier.create(load.staged, delta)


def _run_steps(state: HostState, now: int) -> None:
    load = state.steering.map_load
    try:
        for _ in range(STEPS_PER_SLICE):
            done = load.task.step()
            if done is not None:
                break
    except ConfigurationError as exc:
        _reject(state, str(exc))
        return
    state.perform(WakeAt(now))
    if done is None:
        return
    load.task = None
    load.staged = done
    if load.staged_ref == load.wanted:
        state.steering.client_map = done
        state.steering.client_map_ref = load.wanted
        load.staged = None
        name = (load.wanted.body, *load.wanted.deltas)[-1]
        state.perform(LogEntry("client map in force", (("object", name),)))


def _reject(state: HostState, error: str) -> None:
    load = state.steering.map_load
    load.task = None
    load.staged = None
    load.rejected = True
    fields = (("error", error),)
    state.perform(LogEntry("client map rejected; the old one stays", fields))


EVENT_HANDLERS = {Tick: handle_tick, ObjectFetched: handle_object_fetched}
