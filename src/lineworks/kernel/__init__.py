"""Process foundation: the service registry, the reactor, tasks, sockets and start-up helpers."""
