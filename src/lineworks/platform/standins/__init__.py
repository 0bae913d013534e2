"""Stand-ins for the platform's store and targets that speak its protocols.

Only tests and benchmarks use them; the production program does not import them.
"""
