"""Tests of the platform's dialect and of its programs."""
