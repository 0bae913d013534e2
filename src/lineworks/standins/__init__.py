"""Stand-ins for the platform, the targets and the network, for tests, benchmarks and trials."""
