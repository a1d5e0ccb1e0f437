"""Versioned state: declared settings, the settings log and route tables."""
