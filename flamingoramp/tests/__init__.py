"""Tests of whole deployments: simulated ones with random faults, and ones of real processes."""
