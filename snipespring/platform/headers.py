"""Define the platform's header fields for callers and backend servers."""

__all__ = [
    "CREDENTIAL",
    "DEADLINE_MS",
    "EXPECT_INSTANCE",
    "INSTANCE_ID",
    "NOT_EXECUTED",
    "REQUEST_ID",
    "RETRY_AFTER",
    "SERVER_LEAVING",
    "SERVER_LIMIT",
    "SERVER_LOAD",
    "SERVER_SEAL",
    "TENANT",
]

REQUEST_ID = "Snipespring-Request-Id"
DEADLINE_MS = "Snipespring-Deadline-Ms"
CREDENTIAL = "Snipespring-Credential"  # the API key without a scheme
TENANT = "Snipespring-Tenant"  # the organisation
EXPECT_INSTANCE = "Snipespring-Expect-Instance"
INSTANCE_ID = "Snipespring-Instance-Id"
SERVER_SEAL = "Snipespring-Server-Seal"  # proves that a server answered
SERVER_LOAD = (
    "Snipespring-Server-Load"  # numbers of running and waiting requests, and of slots
)
SERVER_LEAVING = "Server-Leaving"  # 1 from a server that drains
SERVER_LIMIT = "Server-Limit"  # requests a second from all hosts together
NOT_EXECUTED = "Snipespring-Not-Executed"
RETRY_AFTER = "Retry-After"  # seconds, may be fractional
