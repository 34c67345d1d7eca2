"""Names of headers and paths on the wire."""

from __future__ import annotations

import re

REQUEST_ID = b"x-attempt-id"
DEADLINE = b"x-deadline-ms"
AUTHORIZATION = b"authorization"
KEY_SCHEME = b"token "
WORKSPACE = b"x-tenant"
EXPECTED_SERVER = b"x-expect-instance"
# Says that the server did not run the request.
NOT_RUN = b"x-not-executed"
# Address of the server at fault, where another one answers for it.
AT_FAULT = b"at-server"
# The server's signature of its answer.
SIGNATURE = b"x-response-stamp"
TOKENS = b"x-token-count"
PRIORITY = b"x-request-priority"
HELPERS = b"x-helpers"
LAST_EVENT_ID = b"last-event-id"
RETRY_AFTER = b"retry-after"

DECLARATION_PATH = "/v1/config"
READY_PATH = "/v1/readyz"
DIRECTORY_PATH = "/v1/lookup"
SERVER_PATH = re.compile(r"^/v1/instances/([^/?]+)$")
ORDER_TARGET = b"/v1/order"

# What the system sets itself on the way to a server, whatever the caller sent.
OWN_HEADERS = frozenset(
    {DEADLINE, AUTHORIZATION, WORKSPACE, EXPECTED_SERVER, PRIORITY, HELPERS, LAST_EVENT_ID}
)
