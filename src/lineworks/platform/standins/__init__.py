"""Stand-ins for the platform's store and targets that speak its protocols.

They are used by tests, benchmarks, `lineworks-demo` and `lineworks-standin`; the production program
does not import them.
"""
