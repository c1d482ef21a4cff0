"""Certificates for tests."""

from __future__ import annotations

import datetime
import ipaddress
from pathlib import Path

from attrs import frozen
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

VALID = datetime.timedelta(days=2)


@frozen
class Pair:
    """A certificate with its key, as PEM."""

    certificate: bytes
    key: bytes

    def write(self, folder: Path, name: str) -> dict[str, str]:
        """Write both files; return the settings that name them."""
        paths = folder / f"{name}.crt", folder / f"{name}.key"
        for path, data in zip(paths, (self.certificate, self.key), strict=True):
            path.with_suffix(".new").write_bytes(data)
            path.with_suffix(".new").rename(path)
        return {"certificate": str(paths[0]), "key": str(paths[1])}


class Authority:
    """Signs certificates."""

    def __init__(self, name: str = "test authority") -> None:
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = _make_name(name)
        basics = x509.BasicConstraints(ca=True, path_length=0)
        builder = self._start(self._name, self._key).add_extension(basics, True)
        self._certificate = builder.sign(self._key, hashes.SHA256())

    @property
    def certificate(self) -> bytes:
        """The authority's certificate as PEM."""
        return self._certificate.public_bytes(serialization.Encoding.PEM)

    def issue(self, name: str, address: str = "127.0.0.1") -> Pair:
        """Return a certificate for a host."""
        key = ec.generate_private_key(ec.SECP256R1())
        names = x509.SubjectAlternativeName(
            [x509.DNSName(name), x509.IPAddress(ipaddress.ip_address(address))]
        )
        builder = self._start(_make_name(name), key).add_extension(names, False)
        certificate = builder.sign(self._key, hashes.SHA256())
        pem = serialization.Encoding.PEM
        return Pair(
            certificate.public_bytes(pem),
            key.private_bytes(
                pem,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            ),
        )

    def _start(self, name: x509.Name, key) -> x509.CertificateBuilder:
        now = datetime.datetime.now(datetime.UTC)
        return x509.CertificateBuilder(
            issuer_name=self._name,
            subject_name=name,
            public_key=key.public_key(),
            serial_number=x509.random_serial_number(),
            not_valid_before=now - VALID,
            not_valid_after=now + VALID,
        )


def _make_name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])
