"""Settings of one host process."""

from __future__ import annotations

import ipaddress
from pathlib import Path

from attrs import field, frozen

from almondgap_core.exceptions import ConfigurationError
from almondgap_core.settings.parsing import parse_document
from almondgap_core.settings.reader import Fault, Reader, Report
from almondgap_daemon.tls import CertificateFiles, TlsSettings

DEFAULT_BODY_LIMIT_BYTES = 1_048_576
DEFAULT_BODY_MEMORY_BYTES = 67_108_864
DEFAULT_STOP_DEADLINE_S = 30
DEFAULT_LOG_LEVEL = "info"
LOG_LEVELS = ("debug", "info", "warning", "error")
PLATFORM_KINDS = ("http", "file")

#: Shorter secrets cause a warning, in characters.
MIN_SECRET_LENGTH = 16

#: A shorter deadline of the planned stop causes a warning, in seconds.
MIN_STOP_DEADLINE_S = 5


@frozen
class Address:
    """An address and port to connect to."""

    address: str
    port: int

    @classmethod
    def from_reader(cls, reader: Reader) -> Address:
        """Return the address in a section of the settings."""
        found = cls(reader.address("address"), reader.port("port"))
        reader.finish()
        return found


@frozen
class Listener:
    """An address and port to listen on.

    :ivar files: certificates, or None for plain TCP.
    """

    address: str
    port: int
    files: CertificateFiles | None = None

    @classmethod
    def from_reader(cls, reader: Reader, mutual: bool = False) -> Listener:
        """Return the listener in a section of the settings.

        :param mutual: whether TLS requires an authority, to verify client certificates.
        """
        address, port = reader.address("address"), reader.port("port")
        files = _read_files(reader, mutual)
        reader.finish()
        return cls(address, port, files)


@frozen
class PlatformSettings:
    """Location of the platform.

    :ivar kind: ``http`` or ``file``.
    :ivar address: its address, for kind ``http``.
    :ivar port: its port, for kind ``http``.
    :ivar folder: its folder, for kind ``file``.
    """

    kind: str
    address: str = ""
    port: int = 0
    folder: str = ""

    @classmethod
    def from_reader(cls, reader: Reader) -> PlatformSettings:
        """Return the location in a section of the settings."""
        kind = reader.text("kind", choices=PLATFORM_KINDS)
        if kind == "file":
            settings = cls(kind, folder=reader.text("folder"))
        else:
            settings = cls(kind, reader.address("address"), reader.port("port"))
        reader.finish()
        return settings


@frozen
class Settings:
    """All settings of one host process.

    :ivar pepper: secret that keys the digests of client accounts' keys.
    :ivar peer_secret: shared secret that authenticates hosts of the fleet.
    :ivar stop_deadline: time limit of a planned stop, in seconds.
    :ivar body_limit: limit of a request body, in bytes.
    :ivar body_memory: limit of all request bodies together, in bytes.
    """

    host: str
    cluster: str
    failure_domain: str
    callers: Listener
    operators: Listener
    peers: Listener
    platform: PlatformSettings
    pepper: str = field(repr=False)
    peer_secret: str = field(repr=False)
    statsd: Address | None
    log_level: str
    stop_deadline: int
    body_limit: int
    body_memory: int

    @classmethod
    def from_file(cls, path: Path) -> Settings:
        """Return the settings in a file.

        :raises ConfigurationError: the file is invalid; lists every fault.
        """
        return cls.read(path)[0]

    @classmethod
    def read(cls, path: Path) -> tuple[Settings, tuple[str, ...]]:
        """Return the settings in a file, and the warnings about them.

        :raises ConfigurationError: the file is invalid; lists every fault.
        """
        try:
            text = path.read_text()
        except (OSError, UnicodeDecodeError) as exc:
            raise ConfigurationError(f"{path}: {exc}") from exc
        report = Report(str(path))
        settings = cls.from_document(parse_document(text, str(path)), report)
        report.raise_errors()
        return settings, tuple(report.warnings)

    @classmethod
    def from_document(cls, document: object, report: Report) -> Settings:
        """Return the settings in a parsed document and add its faults to ``report``."""
        top = Reader(document, "", report)
        settings = cls(
            host=top.text("host"),
            cluster=top.text("cluster"),
            failure_domain=top.text("failure_domain"),
            callers=Listener.from_reader(top.section("callers")),
            operators=Listener.from_reader(top.section("operators")),
            peers=Listener.from_reader(top.section("peers"), mutual=True),
            platform=PlatformSettings.from_reader(top.section("platform")),
            pepper=top.text("pepper"),
            peer_secret=top.text("peer_secret"),
            statsd=_read_statsd(top),
            log_level=top.text("log_level", DEFAULT_LOG_LEVEL, choices=LOG_LEVELS),
            stop_deadline=top.integer(
                "stop_deadline_s", DEFAULT_STOP_DEADLINE_S, low=1
            ),
            body_limit=top.integer(
                "body_limit_bytes", DEFAULT_BODY_LIMIT_BYTES, low=1_024
            ),
            body_memory=top.integer(
                "body_memory_bytes", DEFAULT_BODY_MEMORY_BYTES, low=1_024
            ),
        )
        top.finish()
        _add_warnings(settings, top)
        return settings


def _add_warnings(settings: Settings, top: Reader) -> None:
    for name in ("pepper", "peer_secret"):
        if 0 < len(getattr(settings, name)) < MIN_SECRET_LENGTH:
            top.warn(name, f"is shorter than {MIN_SECRET_LENGTH} characters")
    if settings.pepper and settings.pepper == settings.peer_secret:
        top.warn("peer_secret", "is the same as the pepper")
    for name in ("callers", "operators", "peers"):
        listener = getattr(settings, name)
        if listener.files is None and not _is_loopback(listener.address):
            top.warn(name, "is plain on an address that others can reach")
    if settings.stop_deadline < MIN_STOP_DEADLINE_S:
        top.warn("stop_deadline_s", "leaves slow requests little time")


def _is_loopback(address: str) -> bool:
    try:
        return ipaddress.ip_address(address).is_loopback
    except ValueError:
        return True


def _read_statsd(top: Reader) -> Address | None:
    reader = top.section("statsd")
    return Address.from_reader(reader) if top.has("statsd") else None


def _read_files(reader: Reader, mutual: bool) -> CertificateFiles | None:
    """Return the certificates of a listener, None if it is declared ``plain``."""
    plain = reader.boolean("plain", False)
    section = reader.section("tls")
    if not reader.has("tls"):
        if not plain:
            expected = 'certificates, or "plain": true'
            reader.fail(reader.join("tls"), "nothing", expected)
        return None
    if plain:
        reader.fail(reader.join("plain"), True, 'false beside "tls"')
    error_count = len(reader.report.errors)
    settings = TlsSettings.from_reader(section, mutual)
    if len(reader.report.errors) > error_count:
        return None
    try:
        return CertificateFiles.from_settings(settings)
    except ConfigurationError as exc:
        expected = "certificates that can be used"
        reader.report.errors.append(Fault(reader.join("tls"), str(exc), expected))
        return None
