"""Schema and codec of the peer link."""
