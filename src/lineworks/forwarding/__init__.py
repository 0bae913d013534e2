"""Forwards opaque HTTP requests, routed by host and path, to one target or to every shard.

The front accepts a request, chooses its targets and answers it. Gatherers in other data halls query
their local targets for it and merge the results before sending them back. See
docs/design/platform.md.
"""
