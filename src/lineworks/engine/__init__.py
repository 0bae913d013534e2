"""The query machinery: it drives the decisions over injected clocks and ports."""
