"""Serve the requests of callers on a platform: read, admit, route, relay, answer once."""
