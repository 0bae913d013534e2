"""The adapter to the users' platform: its names, formats and calls.

Nothing here decides anything, and nothing outside knows the platform's names. Decoders turn its
documents into the product's types and name the field that is wrong; encoders do the reverse.
"""
