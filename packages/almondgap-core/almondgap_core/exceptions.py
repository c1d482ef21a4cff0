"""The exception tree of almondgap."""

from __future__ import annotations


class AlmondgapError(Exception):
    """Base of every error that almondgap raises."""


class UserError(AlmondgapError):
    """An error whose message is meant for the person at the command line."""


class ConfigurationError(UserError):
    """A settings file or an inventory cannot be used."""


class ConflictError(UserError):
    """Another operator changed the configuration first."""


class PlatformError(AlmondgapError):
    """The platform's service did not give an answer."""


class PlatformUnavailable(PlatformError):
    """The platform refused or could not be reached; the write did not take effect."""


class PlatformAnswerLost(PlatformError):
    """No answer came back; a write may or may not have taken effect."""


class MessageError(AlmondgapError):
    """A message from another process cannot be understood."""


class LookupRefused(AlmondgapError):
    """No place has room for the request that would follow the look-up."""
