"""Order in which a request asks the shards of its service for a reservation."""

from __future__ import annotations

from flamingoramp import errors
from flamingoramp.dispatch import requests
from flamingoramp.intent import declarations
from flamingoramp.membership import session_table

MAX_SHARDS_TRIED = 3

_SPILLABLE_ERRORS = (errors.OverloadedError, errors.NoBackendError, errors.PromptTooLongError)


def rank_shards(spec: requests.RequestSpec, shard_count: int) -> list[str]:
    """Return the shards of a request's service in the order in which they are asked.

    Prompts with an equal first block rank the same shard first, whose engines have that block
    cached. Requests with equal content do so too, so that one shard can run them one at a time if
    they crash engines.

    Parameters
    ----------
    spec : requests.RequestSpec
    shard_count : int
        Number of shards of the service.
    """
    affinity_key = _affinity_key(spec)
    shard_names = declarations.service_shards(spec.service, shard_count)
    return sorted(
        shard_names,
        key=lambda name: session_table.rendezvous_score(name, affinity_key),
        reverse=True,
    )


def can_spill_over(refusal: errors.FlamingorampError) -> bool:
    """Return whether another shard may accept the request; a quota applies to all shards."""
    is_quota = isinstance(refusal, errors.QuotaExceededError)
    return isinstance(refusal, _SPILLABLE_ERRORS) and not is_quota


def choose_earlier_retry(
    previous: errors.FlamingorampError | None, refusal: errors.FlamingorampError
) -> errors.FlamingorampError:
    """Return the refusal with the shorter ``retry_after``; a refusal without one ranks last."""
    if previous is None:
        return refusal
    return min((previous, refusal), key=lambda error: error.retry_after or float("inf"))


def _affinity_key(spec: requests.RequestSpec) -> str:
    if spec.prefix_hashes:
        return str(spec.prefix_hashes[0])
    is_plain = spec.kind is requests.RequestKind.PLAIN
    return spec.request_id if is_plain else spec.fingerprint
