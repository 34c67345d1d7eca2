"""Experiments with the placing of requests, in virtual time."""
