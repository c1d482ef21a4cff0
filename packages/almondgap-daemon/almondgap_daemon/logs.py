"""Structured logs: one JSON object per line on standard output."""

from __future__ import annotations

import logging
import sys

import structlog


def configure_logs(level: str, host: str) -> None:
    """Configure structlog for the process.

    :param level: lowest level that is written.
    :param host: name of the host, added to every line.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stdout),
    )
    structlog.contextvars.bind_contextvars(host=host)
