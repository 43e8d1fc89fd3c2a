"""Header fields, paths and the environment variable that the platform defines."""

__all__ = [
    "ATTEMPT_ID",
    "AUTHORIZATION",
    "DEADLINE_MS",
    "DUTY_HOLDER",
    "EXPECT_INSTANCE",
    "FENCE_TOKEN",
    "ITEMS_PATH",
    "LAST_EVENT_ID",
    "LENGTH_HINT",
    "LOTS_PATH",
    "MODEL",
    "NOT_EXECUTED",
    "OBJECTS_PATH",
    "ORDER_PATH",
    "PRIORITY",
    "READY_PATH",
    "REPORT_PATH",
    "RESUMES",
    "RETRY_AFTER",
    "SCALE_PATH",
    "SERVER_LEAVING",
    "SERVER_LIMIT",
    "SERVER_LOAD",
    "SERVER_STAMP",
    "SETTINGS_VARIABLE",
    "TENANT",
    "TOKEN_COUNTS",
    "USAGE_PATH",
    "WAIT_MS",
    "WEIGHT_VERSIONS",
]

SETTINGS_VARIABLE = "TURMERICREACH_NODE_FILE"

ATTEMPT_ID = "X-Attempt-Id"
AUTHORIZATION = "Authorization"
DEADLINE_MS = "X-Deadline-Ms"
DUTY_HOLDER = "X-Duty-Holder"
EXPECT_INSTANCE = "X-Expect-Instance"
FENCE_TOKEN = "X-Fence-Token"
LAST_EVENT_ID = "Last-Event-Id"
LENGTH_HINT = "X-Length-Hint"
MODEL = "X-Model"
NOT_EXECUTED = "X-Not-Executed"
PRIORITY = "X-Request-Priority"
RESUMES = "Resumes"
RETRY_AFTER = "Retry-After"
SERVER_LEAVING = "Server-Leaving"
SERVER_LIMIT = "Server-Limit"
SERVER_LOAD = "X-Server-Load"
SERVER_STAMP = "X-Server-Stamp"
TENANT = "X-Tenant"
TOKEN_COUNTS = "X-Token-Counts"
WAIT_MS = "X-Wait-Ms"
WEIGHT_VERSIONS = "X-Weight-Versions"

READY_PATH = "/api/ready"
REPORT_PATH = "/api/report"
ORDER_PATH = "/api/order"
LOTS_PATH = "/api/lots/"
ITEMS_PATH = "/api/items/"
OBJECTS_PATH = "/api/objects/"
SCALE_PATH = "/scale"
USAGE_PATH = "/usage"
