"""Models of external data: settings, configuration, membership and HTTP bodies."""
