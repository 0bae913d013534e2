"""The bench: scenarios over the real query machinery on a virtual clock."""
