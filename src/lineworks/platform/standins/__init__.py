"""Stand-ins that speak the platform's own words: its store, its targets, a whole deployment.

Tests and trials run against them; the program on the users' machines imports none of this.
"""
