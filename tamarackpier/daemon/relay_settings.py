"""Translates an instance's settings into those of its relay."""

from tamarackpier import features, hosted_settings
from tamarackpier.platform import contracts
from tamarackpier.traffic import relay

__all__ = ["create"]


def create(settings: hosted_settings.HostedSettings) -> relay.RelaySettings:
    """Returns the settings of the relay."""
    bounds = settings.bounds
    asked = contracts.features(settings.instance.contracts)
    keeps_connections = features.Feature.KEPT_CONNECTIONS in asked
    return relay.RelaySettings(
        settings.instance.availability_zone,
        bounds.retry_ratio,
        bounds.retry_extra,
        bounds.retry_window_s,
        chooser="preferred_first" if keeps_connections else "few_choices",
        features=asked,
    )
