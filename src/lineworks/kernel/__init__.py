"""The micro-kernel: named services, their start and stop order, and mailboxes."""
