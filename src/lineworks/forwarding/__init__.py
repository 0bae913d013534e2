"""Opaque HTTP requests of callers: routed by host and path, sent to one target or to every shard.

The front takes a request, chooses its targets and answers; gatherers in other data halls ask
their targets for it and merge before anything travels. See docs/design/platform.md.
"""
