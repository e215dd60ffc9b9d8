#include "state.h"

static const char *const reason_texts[STATE_REASON_COUNT] = {
    [STATE_REASON_NONE] = "none",
    [STATE_REASON_MALFORMED] = "malformed command",
    [STATE_REASON_VERSION_MISMATCH] = "the version is not the current one",
    [STATE_REASON_REQUEST_MISMATCH] = "already used for a different request",
    [STATE_REASON_KEY_WITHDRAWN] = "the key was withdrawn",
    [STATE_REASON_KEY_NOT_PERMITTED] = "the key does not permit this",
    [STATE_REASON_BAD_FIELD] = "a value is missing or out of range",
    [STATE_REASON_DUPLICATE_NAME] = "a name is listed twice",
    [STATE_REASON_TEAM_UNKNOWN] = "unknown team",
    [STATE_REASON_TEAM_HAS_JOBS] = "a removed team still has live jobs",
    [STATE_REASON_HASH_IN_USE] = "the key exists already",
    [STATE_REASON_BOOTSTRAPPED] = "the cluster exists already",
    [STATE_REASON_WORKER_UNKNOWN] = "unknown worker",
    [STATE_REASON_WORKER_HAS_TASKS] = "the worker still has tasks",
    [STATE_REASON_INCARNATION_MISMATCH] = "the worker has restarted",
    [STATE_REASON_JOB_UNKNOWN] = "unknown job",
    [STATE_REASON_JOB_ENDED] = "the job has ended",
    [STATE_REASON_JOB_CANCELLED] = "the job is being cancelled",
    [STATE_REASON_JOB_HAS_TASKS] = "the job still has placed tasks",
    [STATE_REASON_TASK_PLACED] = "the task is already placed",
    [STATE_REASON_TASK_STARTED] = "a non-idempotent task may have started",
    [STATE_REASON_LEASE_STALE] = "the lease is out of date",
    [STATE_REASON_FULL] = "a bound of the replicated state is reached",
    [STATE_REASON_NOT_FOUND] = "not found",
};

static const char *const command_texts[] = {
    [STATE_CMD_NONE] = "none",
    [STATE_CMD_BOOTSTRAP] = "bootstrap",
    [STATE_CMD_TEAMS_SET] = "teams set",
    [STATE_CMD_LIMITS_SET] = "limits set",
    [STATE_CMD_KEY_ADD] = "key add",
    [STATE_CMD_KEY_DELETE] = "key delete",
    [STATE_CMD_VM_PUT] = "vm put",
    [STATE_CMD_VM_DRAIN] = "vm drain",
    [STATE_CMD_VM_DELETE] = "vm delete",
    [STATE_CMD_WORKER_PUT] = "worker put",
    [STATE_CMD_WORKER_DELETE] = "worker delete",
    [STATE_CMD_JOB_PUT] = "job put",
    [STATE_CMD_JOB_CANCEL] = "job cancel",
    [STATE_CMD_TASKS_PLACED] = "tasks placed",
    [STATE_CMD_TASKS_ENDED] = "tasks ended",
    [STATE_CMD_JOB_OUTCOME] = "job outcome",
    [STATE_CMD_USAGE] = "usage",
    [STATE_CMD_REQUEST_BEGIN] = "request begin",
    [STATE_CMD_REQUEST_END] = "request end",
    [STATE_CMD_ENTRY_LOST] = "entry lost",
};

const char *
state_reason_text(enum state_reason reason)
{
    if ((unsigned)reason >= STATE_REASON_COUNT) {
        return "unknown reason";
    }
    return reason_texts[reason];
}

const char *
state_command_text(enum state_command command)
{
    size_t count = sizeof(command_texts) / sizeof(command_texts[0]);

    if ((size_t)command >= count) {
        return "unknown command";
    }
    return command_texts[command];
}
