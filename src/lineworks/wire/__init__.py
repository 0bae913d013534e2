"""Schema, codec and compression of the peer link between instances."""
