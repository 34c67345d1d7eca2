"""Containment of unexpected errors in the callbacks of one request."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from flamingoramp import errors
from flamingoramp.runtime import loop as loops


def raise_error(error: Exception) -> None:
    """Raise an error; for callers without a request to end."""
    raise error


class ErrorBoundary:
    """Runs the callbacks of one request; an unexpected error in one ends that request alone.

    Without it, the error would reach the event loop. The request would stay without an answer until
    its deadline, and a few such errors end the process with the requests of all other callers.

    Parameters
    ----------
    loop : loops.Loop
    on_error : callable
        Takes the error and ends the request; raises it by default. Not called for a violated
        invariant, which ends the process.
    """

    def __init__(self, loop: loops.Loop, on_error: Callable[[Exception], None] = raise_error):
        self._loop = loop
        self._on_error = on_error

    def run(self, callback: Callable[..., Any], *arguments: Any) -> Any:
        """Call a function and return its result, None after an unexpected error."""
        try:
            return callback(*arguments)
        except errors.InvariantViolationError:
            raise
        except Exception as error:
            self._on_error(error)
            return None

    def wrap(self, callback: Callable[..., Any]) -> Callable[..., Any]:
        """Return a function that calls another one by `run`."""
        return lambda *arguments: self.run(callback, *arguments)

    def call_later(self, delay: float, callback: Callable[[], None]) -> loops.Timer:
        """Run a callback once after ``delay`` seconds."""
        return self._loop.call_later(delay, self.wrap(callback))
