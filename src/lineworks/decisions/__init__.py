"""Pure decision logic: no sockets, no clock and no global randomness."""
