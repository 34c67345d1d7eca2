"""Validation of callers' HTTP requests and their conversion into request specs."""

from __future__ import annotations

import hashlib
import math
import uuid
from typing import Any
from urllib import parse

import werkzeug

from flamingoramp import errors, json_documents
from flamingoramp.dispatch import requests
from flamingoramp.intent import declarations
from flamingoramp.routing import prefix
from flamingoramp.runtime import settings

WORKSPACE_HEADER = "Flamingoramp-Workspace"
TIME_LIMIT_HEADER = "Flamingoramp-Time-Limit"
IDEMPOTENT_HEADER = "Flamingoramp-Idempotent"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
DEFAULT_OUTPUT_TOKENS = 256
MAX_OUTPUT_TOKENS = 32_768
MAX_IDEMPOTENCY_KEY_CHARACTERS = 256
MAX_HEADER_CHARACTERS = 1024
IDEMPOTENT_METHODS = ("GET", "HEAD", "OPTIONS")
# Characters that a path holds as they are (RFC 3986, section 3.3).
PATH_CHARACTERS = "/:@!$&'()*+,;=~"
MAX_PREFIX_HASH_COUNT = 11


def parse_generate(
    request: werkzeug.Request,
    kind: requests.RequestKind,
    declaration: declarations.Declaration,
    limits: settings.LimitSettings,
) -> requests.RequestSpec:
    """Return the spec of a completion or chat completion.

    Raises
    ------
    flamingoramp.errors.BadRequestError
        Or a subclass. The message names the field, the value found and the values allowed.
    """
    workspace = _find_workspace(request, declaration)
    body = _read_json(request)
    model = _read_field(body, "model", str, None)
    service = declaration.find_service_by_model(model)
    if service is None:
        raise errors.UnknownModelError(f"model: found {model!r}, which no service offers")
    _check_service_allowed(workspace, service)
    prompt = _read_prompt(body, kind)
    idempotent, key = _read_idempotency(request, default=True)
    data = prompt.encode("utf-8", "surrogatepass")
    bytes_per_token = limits.bytes_per_token
    return requests.RequestSpec(
        request_id=uuid.uuid4().hex,
        kind=kind,
        workspace=workspace.name,
        service=service.name,
        model=model,
        prompt=prompt,
        prompt_tokens=max(1, math.ceil(len(data) / bytes_per_token)),
        output_tokens=_read_output_tokens(body),
        prefix_hashes=hash_prefixes(workspace.name, data, bytes_per_token),
        time_limit_seconds=_read_time_limit(request, service, limits),
        idempotent=idempotent,
        key=key,
        fingerprint=_fingerprint(workspace.name, service.name, model.encode(), data),
        streams=_read_field(body, "stream", bool, False),
    )


def parse_plain(
    request: werkzeug.Request,
    service_name: str,
    path: str,
    declaration: declarations.Declaration,
    limits: settings.LimitSettings,
) -> requests.RequestSpec:
    """Return the spec of a call to a plain service, that is, one that serves no model.

    Parameters
    ----------
    request : werkzeug.Request
    service_name : str
    path : str
        Path of the call at the service.
    declaration : declarations.Declaration
    limits : settings.LimitSettings

    Raises
    ------
    flamingoramp.errors.BadRequestError
        Or a subclass. The message names the field, the value found and the values allowed.
    """
    workspace = _find_workspace(request, declaration)
    service = declaration.find_service(service_name)
    if service is None or service.kind != "plain":
        raise errors.UnknownModelError(
            f"service: found {service_name!r}, which is no plain service"
        )
    _check_service_allowed(workspace, service)
    default = request.method in IDEMPOTENT_METHODS
    idempotent, key = _read_idempotency(request, default=default)
    query = request.query_string.decode("latin-1")
    # The path is decoded, and may hold any character.
    target = parse.quote(path, safe=PATH_CHARACTERS) + ("?" + query if query else "")
    body = request.get_data()
    content = f"{request.method} {target}".encode()
    return requests.RequestSpec(
        request_id=uuid.uuid4().hex,
        kind=requests.RequestKind.PLAIN,
        workspace=workspace.name,
        service=service.name,
        time_limit_seconds=_read_time_limit(request, service, limits),
        idempotent=idempotent,
        key=key,
        fingerprint=_fingerprint(workspace.name, service.name, content, body),
        call=requests.PlainCall(request.method, target, body, request.content_type or ""),
    )


def hash_prefixes(workspace: str, data: bytes, bytes_per_token: float) -> tuple[int, ...]:
    """Return hashes of the prompt's prefixes of 1,024, 2,048, 4,096 ... tokens.

    The workspace is part of each hash, so that prefixes of different workspaces never match.

    Parameters
    ----------
    workspace : str
    data : bytes
        The prompt.
    bytes_per_token : float
        Average used to convert lengths in tokens into bytes.

    Returns
    -------
    tuple of int
        At most `MAX_PREFIX_HASH_COUNT` hashes, shortest prefix first.
    """
    hasher = hashlib.blake2b(workspace.encode() + b"\0", digest_size=8)
    hashes = []
    start = 0
    for position in range(MAX_PREFIX_HASH_COUNT):
        end = int(prefix.prefix_tokens(position) * bytes_per_token)
        if end > len(data):
            break
        hasher.update(data[start:end])
        hashes.append(int.from_bytes(hasher.digest(), "big"))
        start = end
    return tuple(hashes)


def _fingerprint(workspace: str, service: str, *parts: bytes) -> str:
    """Return a hash that is equal for requests of the same workspace, service and content."""
    hasher = hashlib.blake2b(f"{workspace}\0{service}".encode(), digest_size=16)
    for part in parts:
        hasher.update(len(part).to_bytes(8, "big") + part)
    return hasher.hexdigest()


def _read_header(request: werkzeug.Request, name: str) -> str:
    value = request.headers.get(name, "")
    if len(value) > MAX_HEADER_CHARACTERS:
        raise errors.BadRequestError(f"{name}: over {MAX_HEADER_CHARACTERS} characters")
    return value


def _find_workspace(
    request: werkzeug.Request, declaration: declarations.Declaration
) -> declarations.WorkspaceDeclaration:
    name = _read_header(request, WORKSPACE_HEADER)
    if not name:
        name = _read_header(request, "Authorization").removeprefix("Bearer ").strip()
    workspace = declaration.find_workspace(name)
    if workspace is None:
        raise errors.UnknownWorkspaceError(
            f"{WORKSPACE_HEADER}: found {name!r}, takes the name of a declared workspace"
        )
    return workspace


def _check_service_allowed(
    workspace: declarations.WorkspaceDeclaration, service: declarations.ServiceDeclaration
) -> None:
    if workspace.services and service.name not in workspace.services:
        raise errors.UnknownModelError(f"workspace {workspace.name} may not use {service.name}")


def _read_json(request: werkzeug.Request) -> dict[str, Any]:
    try:
        body = json_documents.parse(request.get_data())
    except (ValueError, RecursionError) as error:
        raise errors.BadRequestError("body: not JSON") from error
    if not isinstance(body, dict):
        raise errors.BadRequestError("body: takes a JSON object")
    return body


def _read_field(body: dict[str, Any], name: str, field_type: type, default: Any) -> Any:
    value = body.get(name, default)
    if value is None:
        value = default
    if value is None:
        raise errors.BadRequestError(f"{name}: missing")
    if type(value) is not field_type:
        type_name = type(value).__name__
        raise errors.BadRequestError(f"{name}: found {type_name}, takes {field_type.__name__}")
    return value


def _read_prompt(body: dict[str, Any], kind: requests.RequestKind) -> str:
    if kind is requests.RequestKind.COMPLETION:
        return _read_field(body, "prompt", str, None)
    messages = _read_field(body, "messages", list, None)
    if not messages:
        raise errors.BadRequestError("messages: takes at least one message")
    parts = []
    for position, message in enumerate(messages):
        if not isinstance(message, dict):
            raise errors.BadRequestError(f"messages[{position}]: takes an object")
        role = message.get("role")
        if not isinstance(role, str):
            raise errors.BadRequestError(f"messages[{position}].role: takes a text")
        parts.append(f"{role}: {_read_content(message.get('content'), position)}\n")
    return "".join(parts)


def _read_content(content: Any, position: int) -> str:
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        texts = [part.get("text") for part in content if isinstance(part, dict)]
        if len(texts) == len(content) and all(isinstance(text, str) for text in texts):
            return "".join(texts)
    raise errors.BadRequestError(
        f"messages[{position}].content: takes a text or a list of text parts"
    )


def _read_output_tokens(body: dict[str, Any]) -> int:
    name = "max_completion_tokens" if "max_completion_tokens" in body else "max_tokens"
    tokens = _read_field(body, name, int, DEFAULT_OUTPUT_TOKENS)
    if not 1 <= tokens <= MAX_OUTPUT_TOKENS:
        raise errors.BadRequestError(f"{name}: found {tokens}, takes 1 to {MAX_OUTPUT_TOKENS}")
    return tokens


def _read_time_limit(
    request: werkzeug.Request,
    service: declarations.ServiceDeclaration,
    limits: settings.LimitSettings,
) -> float:
    text = _read_header(request, TIME_LIMIT_HEADER)
    if not text:
        return min(service.time_limit_seconds, limits.max_time_limit_seconds)
    try:
        seconds = float(text)
    except ValueError as error:
        raise errors.BadRequestError(
            f"{TIME_LIMIT_HEADER}: found {text!r}, takes seconds"
        ) from error
    if not 0.01 <= seconds <= limits.max_time_limit_seconds:
        raise errors.BadRequestError(
            f"{TIME_LIMIT_HEADER}: found {text!r}, "
            f"takes 0.01 to {limits.max_time_limit_seconds} seconds"
        )
    return seconds


def _read_idempotency(request: werkzeug.Request, *, default: bool) -> tuple[bool, str]:
    flag = _read_header(request, IDEMPOTENT_HEADER).lower()
    if flag not in ("", "true", "false"):
        raise errors.BadRequestError(f"{IDEMPOTENT_HEADER}: found {flag!r}, takes true or false")
    idempotent = default if not flag else flag == "true"
    key = _read_header(request, IDEMPOTENCY_KEY_HEADER)
    if idempotent:
        return True, ""
    if not key or len(key) > MAX_IDEMPOTENCY_KEY_CHARACTERS:
        raise errors.BadRequestError(
            f"{IDEMPOTENCY_KEY_HEADER}: a non-idempotent request takes a key of 1 to "
            f"{MAX_IDEMPOTENCY_KEY_CHARACTERS} "
            f"characters; mark the request {IDEMPOTENT_HEADER}: true if it may be repeated"
        )
    return False, key
