"""Experiments with the routing of requests, simulated in virtual time."""
