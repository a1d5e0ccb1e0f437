"""Typed interfaces to external systems, and their HTTP adapters."""
