"""Declarations that control hosts sent to a starting entry before they could confirm them."""

from __future__ import annotations

import attrs


@attrs.frozen
class Offer:
    """A version of the declaration and its document, compressed."""

    version: int
    document: bytes


class DeclarationOffers:
    """Chooses the first declaration that an entry applies.

    A control host sends a version once. If it has no contact with a leader, the version may be
    older than one that this entry has served by before its restart; it is kept until its sender
    confirms it, or until the entry has waited long enough.

    Parameters
    ----------
    applies_unconfirmed_at : float
        Monotonic time, in seconds, from which unconfirmed versions are applied.
    """

    def __init__(self, *, applies_unconfirmed_at: float):
        self._applies_unconfirmed_at = applies_unconfirmed_at
        self._offers: dict[str, Offer] = {}

    def handle_update(
        self, host: str, offer: Offer, *, confirmed: bool, now: float
    ) -> Offer | None:
        """Process an update of a control host and return the declaration to apply, if any.

        Parameters
        ----------
        host : str
        offer : Offer
            Version that the host names; its document is empty if the host sent it before.
        confirmed : bool
            Whether the host is in contact with the leader.
        now : float
            Monotonic time, in seconds.
        """
        if offer.document:
            self._offers[host] = offer
        if confirmed:
            kept = self._offers.get(host)
            return kept if kept is not None and kept.version == offer.version else None
        return self.newest(now)

    def newest(self, now: float) -> Offer | None:
        """Return the newest version if unconfirmed ones are applied by now, else None."""
        if now < self._applies_unconfirmed_at or not self._offers:
            return None
        return max(self._offers.values(), key=lambda offer: offer.version)

    def clear(self) -> None:
        """Forget all documents."""
        self._offers.clear()
