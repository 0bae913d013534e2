"""Real processes on loopback under faults dealt from a seed, and checks of what they promised."""
