"""Attempts, retries, claims and crash suspects."""
