"""Exceptions of almondgap; all derive from :class:`AlmondgapError`."""

from __future__ import annotations


class AlmondgapError(Exception):
    """Base class of all errors that almondgap raises."""


class UserError(AlmondgapError):
    """An error whose message is shown to the user of the command line."""


class ConfigurationError(UserError):
    """A settings file or an inventory is invalid."""


class ConflictError(UserError):
    """The configuration was changed concurrently by another operator."""


class PlatformError(AlmondgapError):
    """A request to one of the platform's services failed."""


class PlatformUnavailable(PlatformError):
    """The request was refused or not delivered; a write did not take effect."""


class PlatformAnswerLost(PlatformError):
    """The answer was lost; a write may or may not have taken effect."""


class MessageError(AlmondgapError):
    """A message from another process cannot be decoded."""


class LookupRefused(AlmondgapError):
    """No region has capacity for the request that would follow the look-up."""
