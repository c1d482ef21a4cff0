"""``almondgap keys``: issue, rotate and withdraw keys of client accounts."""

from __future__ import annotations

import json
import secrets
from typing import Annotated

import cappa
from attrs import define

from almondgap_cli.configuration import change_body, open_platform
from almondgap_cli.edits import add_key, find_key_account, remove_key
from almondgap_cli.options import Output, Platform
from almondgap_cli.running import run_command
from almondgap_core.keys.credential import KEY_PREFIX, compute_digest
from almondgap_core.settings.head import Head

SECRET_BYTES = 24
ID_BYTES = 6

Pepper = Annotated[
    str,
    cappa.Arg(
        long="--pepper",
        default=cappa.Env("ALMONDGAP_PEPPER"),
        help="Pepper of the hosts' settings; prefer ALMONDGAP_PEPPER.",
    ),
]


@define
class NewKey:
    """A newly generated key; only its digest is stored."""

    key_id: str
    key: str

    @classmethod
    def generate(cls) -> NewKey:
        """Return a new random key."""
        key_id = secrets.token_hex(ID_BYTES)
        key = f"{KEY_PREFIX}_{key_id}_{secrets.token_urlsafe(SECRET_BYTES)}"
        return cls(key_id, key)


@cappa.command(name="issue", help="Make a key for a client account; shown once.")
@define
class Issue:
    """Arguments of the command."""

    account: Annotated[str, cappa.Arg(help="Name of the client account.")]
    platform: Platform
    pepper: Pepper
    output: Output = "text"

    def __call__(self) -> None:
        """Print the new key, once."""
        run_command(self._issue)

    async def _issue(self) -> None:
        await _add(self.account, f"issue a key to {self.account}", self)


@cappa.command(
    name="rotate", help="Add a key next to an old one, which is withdrawn later."
)
@define
class Rotate:
    """Arguments of the command."""

    key_id: Annotated[str, cappa.Arg(help="Identifier of the old key.")]
    platform: Platform
    pepper: Pepper
    output: Output = "text"

    def __call__(self) -> None:
        """Print the new key, once; the old one stays valid until it is withdrawn."""
        run_command(self._rotate)

    async def _rotate(self) -> None:
        def find(text: str) -> str:
            return find_key_account(text, self.key_id)

        await _add(find, f"rotate key {self.key_id}", self)


@cappa.command(name="withdraw", help="Withdraw a key; hosts reject it within seconds.")
@define
class Withdraw:
    """Arguments of the command."""

    key_id: Annotated[str, cappa.Arg(help="Identifier of the key, agk_<id>_...")]
    platform: Platform
    output: Output = "text"

    def __call__(self) -> None:
        """Withdraw the key."""
        run_command(self._withdraw)

    async def _withdraw(self) -> None:
        def edit(text: str) -> str:
            return remove_key(text, self.key_id)

        platform = open_platform(self.platform)
        head = await change_body(platform, edit, f"withdraw key {self.key_id}")
        _show(self.output, head, {"id": self.key_id})


@cappa.command(name="keys", help="Issue, rotate and withdraw keys.")
@define
class Keys:
    """The subcommands."""

    command: cappa.Subcommands[Issue | Rotate | Withdraw]


async def _add(account, note: str, options: Issue | Rotate) -> None:
    new = NewKey.generate()
    digest = compute_digest(new.key, options.pepper.encode())

    def edit(text: str) -> str:
        name = account(text) if callable(account) else account
        return add_key(text, name, new.key_id, digest)

    platform = open_platform(options.platform)
    head = await change_body(platform, edit, note)
    _show(options.output, head, {"id": new.key_id, "key": new.key})


def _show(output: str, head: Head, fields: dict[str, str]) -> None:
    if output == "json":
        print(json.dumps({"version": head.version, **fields}))
        return
    for name, value in fields.items():
        print(f"{name}: {value}")
    print(f"version {head.version} is current")
