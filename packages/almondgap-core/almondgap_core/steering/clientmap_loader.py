"""Bringing the client map that the inventory names into force, in short slices."""

from __future__ import annotations

from almondgap_core.effects import FetchObject, LogEntry, WakeAt
from almondgap_core.events import ObjectFetched, Tick
from almondgap_core.exceptions import ConfigurationError
from almondgap_core.platform import compute_object_name
from almondgap_core.settings.topology import ClientMapRef
from almondgap_core.state import HostState
from almondgap_core.steering.clientmap_codec import DecodeWork, decode_delta
from almondgap_core.steering.clientmap_delta import DeltaWork
from almondgap_core.units import MICROS_PER_SECOND

#: Chunks that are read or rebuilt in one turn of the loop.
STEPS_PER_SLICE = 4

#: Wait after a body could not be had.
RETRY_US = 2 * MICROS_PER_SECOND


def handle_tick(state: HostState, event: Tick) -> None:
    """Go on with the work at hand, or ask for the next body."""
    loading = state.steering.map_loading
    if loading.work is not None:
        _continue(state, event.now)
    elif state.inventory is not None and not loading.fetching:
        _ask_next(state, event.now)


def handle_object_fetched(state: HostState, event: ObjectFetched) -> None:
    """Begin to read a body."""
    loading = state.steering.map_loading
    if event.name != loading.fetching:
        return
    loading.fetching = ""
    if event.body is None:
        loading.retry_at = event.now + RETRY_US
        return
    try:
        loading.work = _begin(state, event.name, event.body)
    except ConfigurationError as exc:
        _reject(state, str(exc))
        return
    state.perform(WakeAt(event.now))


def _ask_next(state: HostState, now: int) -> None:
    loading = state.steering.map_loading
    wanted = state.inventory.topology.client_map
    if wanted != loading.wanted:
        loading.wanted = wanted
        loading.rejected = False
        loading.staged = state.steering.client_map
        loading.staged_ref = state.steering.client_map_ref
    if loading.rejected or now < loading.retry_at:
        return
    if wanted == state.steering.client_map_ref:
        return
    if not wanted.body:
        state.steering.client_map = None
        state.steering.client_map_ref = wanted
        return
    loading.fetching = _find_next(loading.staged_ref, wanted)
    state.perform(FetchObject(loading.fetching))


def _find_next(have: ClientMapRef, wanted: ClientMapRef) -> str:
    """Return the next object on the way from one map to another."""
    done = len(have.deltas)
    follows = have.body == wanted.body and have.deltas == wanted.deltas[:done]
    if not follows or done == len(wanted.deltas):
        return wanted.body
    return wanted.deltas[done]


def _begin(state: HostState, name: str, body: bytes) -> DecodeWork | DeltaWork:
    loading = state.steering.map_loading
    if name == loading.wanted.body:
        loading.staged_ref = ClientMapRef(name)
        return DecodeWork(name, body)
    if compute_object_name(body) != name:
        raise ConfigurationError(f"delta {name[:12]}: the body does not fit its name")
    delta = decode_delta(body)
    have = loading.staged_ref
    parent = (have.body, *have.deltas)[-1]
    if delta.parent != parent:
        raise ConfigurationError(
            f"delta {name[:12]}: follows {delta.parent[:12]}, not {parent[:12]}"
        )
    loading.staged_ref = ClientMapRef(have.body, (*have.deltas, name))
    return DeltaWork.begin(loading.staged, delta)


def _continue(state: HostState, now: int) -> None:
    loading = state.steering.map_loading
    try:
        for _ in range(STEPS_PER_SLICE):
            done = loading.work.step()
            if done is not None:
                break
    except ConfigurationError as exc:
        _reject(state, str(exc))
        return
    state.perform(WakeAt(now))
    if done is None:
        return
    loading.work = None
    loading.staged = done
    if loading.staged_ref == loading.wanted:
        state.steering.client_map = done
        state.steering.client_map_ref = loading.wanted
        loading.staged = None
        name = (loading.wanted.body, *loading.wanted.deltas)[-1]
        state.perform(LogEntry("client map in force", (("object", name),)))


def _reject(state: HostState, error: str) -> None:
    loading = state.steering.map_loading
    loading.work = None
    loading.staged = None
    loading.rejected = True
    fields = (("error", error),)
    state.perform(LogEntry("client map rejected; the old one stays", fields))


EVENT_HANDLERS = {Tick: handle_tick, ObjectFetched: handle_object_fetched}
