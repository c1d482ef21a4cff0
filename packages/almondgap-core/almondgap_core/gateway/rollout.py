"""Activation of a new configuration, which never goes back to an older version.

Handles a host that starts while the store, restored from a copy, lists an older
configuration than its peers have in force: with it the host would drop routes that were
added and accept keys that were withdrawn. It is not ready until the newer one is
written again.
"""

from __future__ import annotations

from almondgap_core.gateway.events import ConfigurationRead, GatewayEvent, Ticked
from almondgap_core.gateway.fleet import list_live_peers
from almondgap_core.gateway.reports import ConfigurationChanged
from almondgap_core.gateway.state import GatewayState
from almondgap_core.units import millis, seconds

#: Time after its start in which a host waits for the version that its peers have.
MAX_CATCH_UP_US = seconds(10)

#: Time for which a host may be behind, since a change reaches its peers earlier or
#: later.
CHANGE_GRACE_US = millis(500)


def handle_configuration_read(state: GatewayState, event: ConfigurationRead) -> None:
    """Activate a configuration if it is newer than the one in force."""
    cfg = event.configuration
    previous = state.version
    if state.configuration is not None and cfg.version <= previous:
        return
    state.configuration = cfg
    state.behind_since = None
    state.outdated = False
    state.targets_epoch += 1
    for name in [name for name in state.token_buckets if name not in cfg.accounts]:
        del state.token_buckets[name]
    if not previous:
        state.serving_since = event.now
        state.next_heartbeat_at = event.now
    state.report(
        ConfigurationChanged(cfg.version, previous, len(cfg.routes), len(cfg.accounts))
    )


def handle_tick(state: GatewayState, event: Ticked) -> None:
    """Find out whether a host that just started has an outdated configuration."""
    is_new = event.now - state.started_at < MAX_CATCH_UP_US
    if not is_new or state.configuration is None:
        state.behind_since = None
        state.outdated = False
        return
    peers = list_live_peers(state, event.now)
    newest = max((peer.heartbeat.version for peer in peers), default=0)
    if newest <= state.version:
        state.behind_since = None
    elif state.behind_since is None:
        state.behind_since = event.now
    since = state.behind_since
    state.outdated = since is not None and event.now - since >= CHANGE_GRACE_US


EVENT_HANDLERS: dict[type[GatewayEvent], object] = {
    ConfigurationRead: handle_configuration_read,
    Ticked: handle_tick,
}
