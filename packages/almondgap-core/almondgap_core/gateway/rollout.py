"""Activation of a new configuration, which never goes back to an older version."""

from __future__ import annotations

from almondgap_core.gateway.events import ConfigurationRead, GatewayEvent
from almondgap_core.gateway.reports import ConfigurationChanged
from almondgap_core.gateway.state import GatewayState


def handle_configuration_read(state: GatewayState, event: ConfigurationRead) -> None:
    """Activate a configuration if it is newer than the one in force."""
    cfg = event.configuration
    previous = state.version
    if state.configuration is not None and cfg.version <= previous:
        return
    state.configuration = cfg
    state.targets_epoch += 1
    for name in [name for name in state.token_buckets if name not in cfg.accounts]:
        del state.token_buckets[name]
    if not previous:
        state.serving_since = event.now
        state.next_heartbeat_at = event.now
    state.report(
        ConfigurationChanged(cfg.version, previous, len(cfg.routes), len(cfg.accounts))
    )


EVENT_HANDLERS: dict[type[GatewayEvent], object] = {
    ConfigurationRead: handle_configuration_read
}
