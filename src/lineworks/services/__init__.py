"""Tasks that own sockets."""
