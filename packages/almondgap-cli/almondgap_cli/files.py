"""Reading and validating inventory files."""

from __future__ import annotations

from pathlib import Path

from attrs import frozen

from almondgap_core.exceptions import ConfigurationError
from almondgap_core.settings.inventory import Inventory
from almondgap_core.settings.parsing import parse_document
from almondgap_core.settings.reader import Report


@frozen
class CheckedInventory:
    """A valid inventory, with its source text and its warnings."""

    text: str
    inventory: Inventory
    warnings: tuple[str, ...]


def read_inventory(path: Path) -> CheckedInventory:
    """Read and validate an inventory file.

    :raises ConfigurationError: the file is unreadable or invalid; lists every error.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise ConfigurationError(f"{path}: {exc}") from exc
    report = Report(str(path))
    inventory = Inventory.from_document(parse_document(text, str(path)), report)
    report.raise_errors()
    return CheckedInventory(text, inventory, tuple(report.warnings))
