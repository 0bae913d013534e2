"""The query engine: applies `lineworks.decisions` using an injected clock and I/O ports."""
