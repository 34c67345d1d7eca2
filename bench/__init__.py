"""The demo, the load tool and the measurements."""
