"""Dispatch of requests to backend servers: attempts, retries, claims and crash suspects."""
