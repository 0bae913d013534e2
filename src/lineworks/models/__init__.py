"""Validated models at the border: settings, configuration and HTTP bodies."""
