"""Adapter to the users' platform: its names, formats and calls.

The package holds no decision logic, and the platform's names are used nowhere else. Decoders
convert its documents to the product's types and name an invalid field in the error; encoders do
the reverse.
"""
