"""Validated models of external data: settings, configuration and HTTP bodies."""
