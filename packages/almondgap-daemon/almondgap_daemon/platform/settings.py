"""Settings of a gateway host, read from a JSON5 file that the platform provides."""

from __future__ import annotations

import resource
from pathlib import Path
from typing import Any

import pyjson5
from attrs import frozen

from almondgap_core.exceptions import ConfigurationError
from almondgap_core.gateway.heartbeats import HostLocation
from almondgap_core.gateway.state import Bounds
from almondgap_core.gateway.token_bucket import Tolerance
from almondgap_core.units import seconds

#: Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "ALMONDGAP_BOOT"

#: Port of the metrics endpoint, as configured in ``deploy/system.toml``.
METRICS_PORT = 9464


@frozen
class HostSettings:
    """Settings of a host.

    :ivar readiness: address and port of the readiness endpoint.
    :ivar directory: address and port of the directory endpoint.
    :ivar store: address and port of the store.
    :ivar regions: region of each failure domain.
    :ivar grace: time from the stop signal until the process is killed, in seconds.
    :ivar answer_ttl: time for which callers cache a directory answer, in seconds.
    :ivar descriptors: number of descriptors that the process may use.
    :ivar lines_per_s: limit of log lines about requests, per second.
    """

    place: HostLocation
    readiness: str
    directory: str
    store: str
    regions: dict[str, str]
    bounds: Bounds
    grace: float
    answer_ttl: float
    descriptors: int
    lines_per_s: int

    @classmethod
    def from_file(cls, path: Path) -> HostSettings:
        """Return the settings in a JSON5 file.

        :raises ConfigurationError: the file cannot be read or its settings are invalid.
        """
        try:
            document = pyjson5.decode(path.read_text())
        except (OSError, UnicodeDecodeError) as exc:
            raise ConfigurationError(f"settings cannot be read: {exc}") from exc
        except pyjson5.Json5Exception as exc:
            raise ConfigurationError(f"settings are not valid JSON5: {exc}") from exc
        return cls.from_config(document)

    @classmethod
    def from_config(cls, document: Any) -> HostSettings:
        """Return the settings in a parsed document.

        :raises ConfigurationError: a setting is missing or of the wrong type.
        """
        top = _Section("", document)
        listen = top.section("listen")
        limits = top.section("limits")
        failure_domain = top.string("failure_domain")
        ports = top.integers("peer_ports")
        place = HostLocation(
            top.string("host"),
            failure_domain,
            top.string("region"),
            listen.string("callers"),
            f"{top.string('address')}:{int(ports[0])}",
        )
        regions = top.string_map("regions")
        if regions.get(failure_domain) != place.region:
            raise ConfigurationError(
                f"regions: {failure_domain} is not listed in region {place.region}"
            )
        bounds = Bounds(
            retry_ratio=limits.number("retry_ratio"),
            retry_burst=limits.number("retry_burst"),
            reannounce_time=seconds(limits.number("return_s")),
            tolerance=Tolerance(
                limits.number("account_window_s"),
                limits.number("account_over_ratio"),
                limits.number("account_over"),
            ),
        )
        return cls(
            place=place,
            readiness=listen.string("readiness"),
            directory=listen.string("directory"),
            store=top.string("store"),
            regions=regions,
            bounds=bounds,
            grace=limits.number("grace_s"),
            answer_ttl=min(top.number("answer_ttl_s"), limits.number("most_ttl_s")),
            descriptors=int(limits.number("descriptors", _find_descriptor_limit())),
            lines_per_s=int(top.number("log_lines_per_s")),
        )


@frozen
class _Section:
    """A section of the settings, with accessors that check types.

    :ivar name: path of the section, for error messages.
    """

    name: str
    values: Any

    def section(self, key: str) -> _Section:
        values = self._get(key)
        if not isinstance(values, dict):
            raise ConfigurationError(f"{self._name(key)}: not a table")
        return _Section(self._name(key), values)

    def string(self, key: str) -> str:
        value = self._get(key)
        if not isinstance(value, str) or not value:
            raise ConfigurationError(f"{self._name(key)}: not a string")
        return value

    def number(self, key: str, default: float | None = None) -> float:
        if default is not None and key not in self.values:
            return default
        value = self._get(key)
        if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
            raise ConfigurationError(f"{self._name(key)}: not a number of 0 or more")
        return float(value)

    def integers(self, key: str) -> list[float]:
        values = self._get(key)
        numeric = isinstance(values, list) and all(
            isinstance(value, int) and not isinstance(value, bool) for value in values
        )
        if not numeric or not values:
            raise ConfigurationError(f"{self._name(key)}: not a list of integers")
        return values

    def string_map(self, key: str) -> dict[str, str]:
        values = self._get(key)
        is_valid = isinstance(values, dict) and all(
            isinstance(value, str) for value in values.values()
        )
        if not is_valid:
            raise ConfigurationError(f"{self._name(key)}: not a table of strings")
        return values

    def _get(self, key: str) -> Any:
        if not isinstance(self.values, dict):
            raise ConfigurationError("settings are not a table")
        if key not in self.values:
            raise ConfigurationError(f"{self._name(key)}: missing")
        return self.values[key]

    def _name(self, key: str) -> str:
        return f"{self.name}.{key}" if self.name else key


def _find_descriptor_limit() -> int:
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
