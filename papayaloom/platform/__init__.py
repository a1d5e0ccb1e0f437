"""Adapter to the users' platform: translates names, decides nothing.

Header names, store calls, document fields and settings of the platform are
spelled here and nowhere else.
"""
