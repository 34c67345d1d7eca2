"""Header names and URL paths of the platform's HTTP API."""

from __future__ import annotations

import re

REQUEST_ID = b"x-attempt-id"
# Time until the deadline, in milliseconds.
DEADLINE = b"x-deadline-ms"
AUTHORIZATION = b"authorization"
# Authorization scheme before an API key, in lower case.
KEY_SCHEME = b"token "
WORKSPACE = b"x-tenant"
EXPECTED_SERVER = b"x-expect-instance"
# Present if the server did not run the request.
NOT_RUN = b"x-not-executed"
# Address of the server that failed, if another one sends the answer.
FAILED_ADDRESS = b"at-server"
# Requests per second that the server takes from all callers together.
SERVER_LIMIT = b"server-limit"
# In each answer of a server that is leaving.
SERVER_LEAVING = b"server-leaving"
# The server's signature of its answer.
SIGNATURE = b"x-response-stamp"
# Length of the prompt and maximum length of the output, separated by a comma.
TOKEN_COUNTS = b"x-token-count"
# Parts of the prompt in their order as id:tokens, separated by commas.
PROMPT_PARTS = b"x-prompt-prefix"
PRIORITY = b"x-request-priority"
# Helper engines as ip:port or ip:port/ticket, separated by commas.
HELPERS = b"x-helpers"
LAST_EVENT_ID = b"last-event-id"
# In a request that another entry passes on: the number of its sends that may have run so far.
ATTEMPTS_USED = b"flamingoramp-attempts-used"
RETRY_AFTER = b"retry-after"

DECLARATION_PATH = "/v1/config"
READINESS_PATH = "/v1/readyz"
DIRECTORY_PATH = "/v1/lookup"
SERVER_PATH_PATTERN = re.compile(r"^/v1/instances/([^/?]+)$")
EVACUATION_PATH_PATTERN = re.compile(r"^/v1/evacuation/([^/?]+)$")
MEMORY_COMMAND_PATH = b"/v1/order"

# Headers of a caller's request that another entry gets with this entry's values.
PEER_HEADERS = frozenset({DEADLINE, LAST_EVENT_ID, ATTEMPTS_USED})
# Removed from callers' requests; the entry sets its own values for a backend server.
OVERRIDDEN_HEADERS = frozenset(
    {
        DEADLINE,
        AUTHORIZATION,
        WORKSPACE,
        EXPECTED_SERVER,
        PRIORITY,
        HELPERS,
        LAST_EVENT_ID,
        ATTEMPTS_USED,
    }
)
