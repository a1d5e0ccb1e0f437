"""Decisions about whether, where and when a request is sent; without I/O."""
