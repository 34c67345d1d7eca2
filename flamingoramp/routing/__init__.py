"""Placement of requests on backend servers: scheduling, queueing and reserved memory."""
