#include <string.h>

#include "mem.h"
#include "state_impl.h"

/* How commands of one type are applied. Audited commands need an operator's
 * key and use the idempotency key. */
struct handler {
    void (*apply)(struct apply *a);
    enum state_command command;
    bool audited;
};

static const struct handler *
find_handler(State__Command__OpCase op)
{
    static const struct handler handlers[] = {
        {apply_bootstrap, STATE_CMD_BOOTSTRAP, true},
        {apply_teams_set, STATE_CMD_TEAMS_SET, true},
        {apply_limits_set, STATE_CMD_LIMITS_SET, true},
        {apply_key_add, STATE_CMD_KEY_ADD, true},
        {apply_key_delete, STATE_CMD_KEY_DELETE, true},
        {apply_vm_put, STATE_CMD_VM_PUT, false},
        {apply_vm_drain, STATE_CMD_VM_DRAIN, true},
        {apply_vm_delete, STATE_CMD_VM_DELETE, true},
        {apply_worker_put, STATE_CMD_WORKER_PUT, false},
        {apply_worker_delete, STATE_CMD_WORKER_DELETE, true},
        {apply_job_put, STATE_CMD_JOB_PUT, false},
        {apply_job_cancel, STATE_CMD_JOB_CANCEL, false},
        {apply_tasks_placed, STATE_CMD_TASKS_PLACED, false},
        {apply_tasks_ended, STATE_CMD_TASKS_ENDED, false},
        {apply_job_outcome, STATE_CMD_JOB_OUTCOME, false},
        {apply_usage, STATE_CMD_USAGE, false},
        {apply_request_begin, STATE_CMD_REQUEST_BEGIN, false},
        {apply_request_end, STATE_CMD_REQUEST_END, false},
        {apply_entry_lost, STATE_CMD_ENTRY_LOST, false},
    };
    int first = STATE__COMMAND__OP_BOOTSTRAP;
    int i = (int)op - first;

    if (i < 0 || i >= (int)(sizeof(handlers) / sizeof(handlers[0]))) {
        return NULL;
    }
    return &handlers[i];
}

bool
actor_is_operator(struct apply *a)
{
    const struct state_key *key;

    if (a->cmd->key_id == 0) {
        return true;
    }
    key = key_find_live(a->s, a->cmd->key_id);
    if (key == NULL) {
        result_invalid(a, STATE_REASON_KEY_WITHDRAWN);
        return false;
    }
    if (key->kind != STATE_KEY_OPERATOR) {
        result_invalid(a, STATE_REASON_KEY_NOT_PERMITTED);
        return false;
    }
    return true;
}

bool
actor_may_use_team(struct apply *a, uint32_t team)
{
    const struct state_key *key;

    if (a->cmd->key_id == 0) {
        return true;
    }
    key = key_find_live(a->s, a->cmd->key_id);
    if (key == NULL) {
        result_invalid(a, STATE_REASON_KEY_WITHDRAWN);
        return false;
    }
    if (key->kind == STATE_KEY_OPERATOR ||
        (key->kind == STATE_KEY_TEAM && key->team == team)) {
        return true;
    }
    result_invalid(a, STATE_REASON_KEY_NOT_PERMITTED);
    return false;
}

static void
run_handler(struct apply *a, const struct handler *handler)
{
    a->result->command = handler->command;
    if (a->cmd->idempotency_key.len > STATE_IDEMPOTENCY_KEY_MAX) {
        result_invalid(a, STATE_REASON_BAD_FIELD);
        return;
    }
    if (!handler->audited) {
        handler->apply(a);
        return;
    }
    if (!actor_is_operator(a)) {
        audit_append(a);
        return;
    }
    if (operator_result_replay(a)) {
        if (a->result->kind == STATE_CONFLICT) {
            audit_append(a);
        }
        return;
    }
    handler->apply(a);
    audit_append(a);
    operator_result_record(a);
}

static void
apply_command(struct state *s, const State__Command *cmd,
              struct state_result *result)
{
    struct apply a = {.s = s, .cmd = cmd, .result = result};
    const struct handler *handler = find_handler(cmd->op_case);

    if (handler == NULL) {
        result_invalid(&a, STATE_REASON_MALFORMED);
        return;
    }
    if (cmd->wall_ms < 0 || cmd->wall_ms > WALL_MS_MAX) {
        result->command = handler->command;
        result_invalid(&a, STATE_REASON_BAD_FIELD);
        return;
    }
    retention_update_clock(s, cmd->wall_ms);
    retention_expire(s);
    run_handler(&a, handler);
}

void
state_apply(struct state *s, uint64_t index, struct str bytes,
            struct state_result *result)
{
    struct apply a = {.s = s, .result = result};
    State__Command *cmd;

    memset(result, 0, sizeof(*result));
    if (index <= s->index) {
        result_invalid(&a, STATE_REASON_MALFORMED);
        return;
    }
    s->index = index;
    if (bytes.len == 0) {
        result_applied(&a, 0, 0, 0);
        return;
    }
    cmd = state__command__unpack(NULL, bytes.len, (const uint8_t *)bytes.ptr);
    if (cmd == NULL) {
        result_invalid(&a, STATE_REASON_MALFORMED);
        return;
    }
    apply_command(s, cmd, result);
    state__command__free_unpacked(cmd, NULL);
}

void
state_members_free(struct state *s)
{
    for (size_t i = 0; i < s->member_count; i++) {
        str_free(&s->members[i].vm);
        str_free(&s->members[i].address);
    }
    mem_free(s->members);
    s->members = NULL;
    s->member_count = 0;
}

void
members_set(struct state *s, State__Member **members, size_t count)
{
    state_members_free(s);
    s->members = mem_zalloc(count, sizeof(*s->members));
    s->member_count = count;
    for (size_t i = 0; i < count; i++) {
        s->members[i].member_id = members[i]->member_id;
        s->members[i].vm = str_dup(proto_str(members[i]->vm));
        s->members[i].address = str_dup(proto_str(members[i]->address));
    }
}

void
apply_bootstrap(struct apply *a)
{
    const State__Bootstrap *b = a->cmd->bootstrap;
    struct state *s = a->s;

    a->object = STR("cluster");
    if (s->cluster_id != 0) {
        result_conflict(a, s->config_version, STATE_REASON_BOOTSTRAPPED);
        return;
    }
    if (b->cluster_id == 0) {
        result_invalid(a, STATE_REASON_BAD_FIELD);
        return;
    }
    s->cluster_id = b->cluster_id;
    proto_settings_read(&s->settings, b->settings);
    members_set(s, b->members, b->n_members);
    /* A delta cannot carry the new default limit. With an empty history every
     * entry gets the full configuration. */
    snapshot_save_table(s, SNAP_HISTORY);
    s->history_count = 0;
    s->config_version++;
    a->new_version = s->config_version;
    result_applied(a, s->config_version, 0, 1);
}
