"""Declarations of the settings, one module for each part that reads them."""
