"""``almondgap check``: check inventory files, or the settings of a host."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated

import cappa
from attrs import Factory, define

from almondgap_cli.files import read_inventory
from almondgap_cli.options import Output
from almondgap_core.exceptions import ConfigurationError
from almondgap_daemon.settings import Settings


@cappa.command(name="check", help="Check inventory files or a host's settings.")
@define
class Check:
    """Arguments of the command."""

    files: Annotated[list[Path], cappa.Arg(help="Inventory files.")] = Factory(list)
    settings: Annotated[
        Path | None,
        cappa.Arg(long="--settings", help="Settings file of a host."),
    ] = None
    output: Output = "text"

    def __call__(self) -> None:
        """Print every error and warning; exit with 1 on errors."""
        if not self.files and self.settings is None:
            raise cappa.Exit("give an inventory file or --settings FILE", code=2)
        reports = [_check(file, _summarize_inventory) for file in self.files]
        if self.settings is not None:
            reports.append(_check(self.settings, _summarize_settings))
        if self.output == "json":
            print(json.dumps(reports))
        else:
            _print(reports)
        if any(report["errors"] for report in reports):
            raise cappa.Exit(code=1)


def _check(path: Path, summarize) -> dict:
    report = {"file": str(path), "errors": [], "warnings": [], "summary": ""}
    try:
        report["summary"], report["warnings"] = summarize(path)
    except ConfigurationError as exc:
        report["errors"] = str(exc).splitlines()
    return report


def _summarize_inventory(path: Path) -> tuple[str, list[str]]:
    checked = read_inventory(path)
    inventory = checked.inventory
    summary = (
        f"{len(inventory.regions)} regions, {len(inventory.services)} services, "
        f"{len(inventory.targets)} targets, {len(inventory.accounts)} client accounts"
    )
    return summary, list(checked.warnings)


def _summarize_settings(path: Path) -> tuple[str, list[str]]:
    cfg, warnings = Settings.read(path)
    summary = f"host {cfg.host} of {cfg.cluster} in {cfg.failure_domain}"
    return summary, list(warnings)


def _print(reports: list[dict]) -> None:
    for report in reports:
        for error in report["errors"]:
            print(error, file=sys.stderr)
        for warning in report["warnings"]:
            print(f"{report['file']}: warning: {warning}", file=sys.stderr)
        if report["summary"]:
            print(f"{report['file']}: {report['summary']}")
