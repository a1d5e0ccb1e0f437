"""Typed interfaces of the outside systems and their HTTP adapters."""
