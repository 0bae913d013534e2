"""Pure decisions: no sockets, no clock, no global randomness."""
