"""Parts that live for one version of the settings."""
