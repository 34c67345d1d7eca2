"""Which shards of a service a request asks for a place, and in which order."""

from __future__ import annotations

from flamingoramp import errors
from flamingoramp.dispatch import requests
from flamingoramp.intent import declarations
from flamingoramp.membership import session_table

MAX_TRIED = 3

_SPILLING = (errors.OverloadedError, errors.NoBackendError, errors.PromptTooLongError)


def rank(spec: requests.RequestSpec, count: int) -> list[str]:
    """Return the shards of a request's service, the first to ask first.

    Prompts that share their first block meet in the shard that has it cached; equal contents meet
    in one shard, which runs them one at a time if they crash engines.

    Parameters
    ----------
    spec : requests.RequestSpec
    count : int
        Shards of the service.
    """
    affinity = _affinity(spec)
    names = declarations.service_shards(spec.service, count)
    return sorted(
        names, key=lambda name: session_table.rendezvous_score(name, affinity), reverse=True
    )


def may_spill(refusal: errors.FlamingorampError) -> bool:
    """Tell whether another shard may take what one refused; a quota holds in all of them."""
    quota = isinstance(refusal, errors.QuotaExceededError)
    return isinstance(refusal, _SPILLING) and not quota


def milder(
    known: errors.FlamingorampError | None, other: errors.FlamingorampError
) -> errors.FlamingorampError:
    """Return the refusal that promises the caller more: the sooner retry, if there is any."""
    if known is None:
        return other
    return min((known, other), key=lambda one: one.retry_after or float("inf"))


def _affinity(spec: requests.RequestSpec) -> str:
    if spec.prefix_hashes:
        return str(spec.prefix_hashes[0])
    plain = spec.kind is requests.RequestKind.PLAIN
    return spec.request_id if plain else spec.fingerprint
