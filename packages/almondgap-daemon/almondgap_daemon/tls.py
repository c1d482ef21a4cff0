"""TLS credentials that are reloaded when their files change."""

from __future__ import annotations

from pathlib import Path

import structlog
from attrs import define, field, frozen
from cryptography import x509
from cryptography.hazmat.primitives import serialization
from twisted.internet.error import VerifyError
from twisted.internet.ssl import (
    Certificate,
    CertificateOptions,
    PrivateCertificate,
    optionsForClientTLS,
    trustRootFromCertificates,
)

from almondgap_core.exceptions import ConfigurationError
from almondgap_core.settings.reader import Reader

log = structlog.get_logger(__name__)


@frozen
class TlsSettings:
    """Files for one side of a TLS connection, in PEM format.

    :ivar authority: certificates of the authorities that must have signed the peer's
        certificate, or None if the peer needs no certificate.
    """

    certificate: Path
    key: Path
    authority: Path | None

    @classmethod
    def from_reader(cls, reader: Reader, mutual: bool) -> TlsSettings:
        """Return the files in a section of the settings.

        :param mutual: whether an authority is required.
        """
        certificate = Path(reader.text("certificate"))
        key = Path(reader.text("key"))
        if mutual:
            authority = reader.text("authority")
        else:
            authority = reader.text("authority", "")
        settings = cls(certificate, key, Path(authority) if authority else None)
        reader.finish()
        return settings

    @property
    def files(self) -> tuple[Path, ...]:
        """All files."""
        named = (self.certificate, self.key, self.authority)
        return tuple(path for path in named if path is not None)


@frozen
class Credentials:
    """Certificates and key as loaded from the files.

    :ivar own: own certificate and private key.
    :ivar chain: intermediate certificates.
    :ivar trusted: certificates of trusted authorities.
    """

    own: PrivateCertificate
    chain: tuple[Certificate, ...]
    trusted: tuple[Certificate, ...]

    @classmethod
    def from_files(cls, settings: TlsSettings) -> Credentials:
        """Load the credentials from the files.

        :raises ConfigurationError: a file cannot be used; the error names it.
        """
        chain = _read_certificates(settings.certificate)
        key = _read(settings.key)
        try:
            own = PrivateCertificate.loadPEM(chain[0].dumpPEM() + b"\n" + key)
        except VerifyError as exc:
            detail = f"does not belong to {settings.certificate}"
            raise ConfigurationError(f"{settings.key}: {detail}") from exc
        except Exception as exc:
            raise ConfigurationError(f"{settings.key}: {exc!r}") from exc
        trusted: tuple[Certificate, ...] = ()
        if settings.authority is not None:
            trusted = _read_certificates(settings.authority)
        return cls(own, chain[1:], trusted)

    def make_options(self) -> CertificateOptions:
        """Return the TLS options of the accepting side."""
        return CertificateOptions(
            privateKey=self.own.privateKey.original,
            certificate=self.own.original,
            extraCertChain=[certificate.original for certificate in self.chain],
            trustRoot=self._make_trust() if self.trusted else None,
        )

    def make_client_options(self, name: str):
        """Return the TLS options for a connection to the host ``name``."""
        return optionsForClientTLS(name, self._make_trust(), self.own)

    def _make_trust(self):
        return trustRootFromCertificates(list(self.trusted))


@define
class CertificateFiles:
    """Credentials that are reloaded when one of their files changes.

    The previous credentials stay in force when the new files cannot be used.
    """

    settings: TlsSettings
    credentials: Credentials
    _file_versions: tuple[tuple[int, int], ...] = ()
    _options: CertificateOptions | None = field(default=None)

    @classmethod
    def from_settings(cls, settings: TlsSettings) -> CertificateFiles:
        """Return the credentials in the configured files.

        :raises ConfigurationError: a file cannot be used.
        """
        files = cls(settings, Credentials.from_files(settings))
        files._file_versions = files._read_file_versions()
        return files

    def read(self) -> Credentials:
        """Return the credentials, after reloading them if a file changed."""
        file_versions = self._read_file_versions()
        if file_versions != self._file_versions:
            self._file_versions = file_versions
            self._reload()
        return self.credentials

    def getContext(self):
        """Return the OpenSSL context for an accepted connection."""
        credentials = self.read()
        if self._options is None:
            self._options = credentials.make_options()
        return self._options.getContext()

    def _reload(self) -> None:
        try:
            self.credentials = Credentials.from_files(self.settings)
        except ConfigurationError as exc:
            log.warning("certificate rejected", error=str(exc))
            return
        self._options = None
        log.info("certificate in force", file=str(self.settings.certificate))

    def _read_file_versions(self) -> tuple[tuple[int, int], ...]:
        versions = []
        for path in self.settings.files:
            try:
                found = path.stat()
            except OSError:
                continue
            versions.append((found.st_mtime_ns, found.st_ino))
        return tuple(versions)


def read_trust(path: Path):
    """Return a trust root of the certificates in a file.

    :raises ConfigurationError: the file contains no certificates.
    """
    return trustRootFromCertificates(list(_read_certificates(path)))


def list_dns_names(certificate) -> tuple[str, ...]:
    """Return the DNS names in a peer's certificate, empty without a certificate."""
    if certificate is None:
        return ()
    extensions = certificate.to_cryptography().extensions
    try:
        names = extensions.get_extension_for_class(x509.SubjectAlternativeName)
    except x509.ExtensionNotFound:
        return ()
    return tuple(names.value.get_values_for_type(x509.DNSName))


def _read_certificates(path: Path) -> tuple[Certificate, ...]:
    try:
        found = x509.load_pem_x509_certificates(_read(path))
    except ValueError as exc:
        raise ConfigurationError(f"{path}: invalid certificates: {exc}") from exc
    encoded = [item.public_bytes(serialization.Encoding.PEM) for item in found]
    return tuple(Certificate.loadPEM(data) for data in encoded)


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as exc:
        raise ConfigurationError(f"{path}: {exc.strerror}") from exc
