"""Adapter to the users' platform: translates names, makes no decisions.

This is the only package that contains the header names, store calls, document
fields and settings of the platform.
"""
