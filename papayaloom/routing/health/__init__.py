"""Replicas that are ejected, unreachable, pausing or possibly gone."""
