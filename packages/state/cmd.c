#include "mem.h"
#include "state_impl.h"

static State__Command
init_command(const struct state_actor *by, State__Command__OpCase op)
{
    State__Command cmd = STATE__COMMAND__INIT;

    cmd.wall_ms = by->wall_ms;
    cmd.key_id = by->key_id;
    cmd.op_case = op;
    if (by->idempotency_key.len > 0) {
        cmd.idempotency_key = proto_bin(by->idempotency_key);
        cmd.request_digest =
            proto_bin(str_from(by->request_digest, STATE_DIGEST_BYTES));
    }
    return cmd;
}

/* Appends the command with its operation. The members of the union are all
 * pointers to a message, so that any of them can be set. */
static void
append_command(struct buf *out, State__Command *cmd, void *op)
{
    cmd->bootstrap = op;
    proto_append(out, &cmd->base);
}

/* Allocates count items of a repeated field and returns pointers to them. */
static void **
items_alloc(size_t count, size_t size, char **storage)
{
    void **ptrs = mem_zalloc(count + 1, sizeof(void *));

    *storage = mem_zalloc(count + 1, size);
    for (size_t i = 0; i < count; i++) {
        ptrs[i] = *storage + i * size;
    }
    return ptrs;
}

static void
items_free(void **ptrs, char *storage)
{
    mem_free(storage);
    mem_free((void *)ptrs);
}

void
state_cmd_bootstrap(struct buf *out, const struct state_actor *by,
                    uint64_t cluster_id, const struct state_member *members,
                    size_t count, const struct state_settings *settings)
{
    State__Command cmd = init_command(by, STATE__COMMAND__OP_BOOTSTRAP);
    State__Bootstrap op = STATE__BOOTSTRAP__INIT;
    State__Settings set = STATE__SETTINGS__INIT;
    State__Limit limit;
    char *storage;
    void **ptrs = items_alloc(count, sizeof(State__Member), &storage);

    for (size_t i = 0; i < count; i++) {
        State__Member *member = ptrs[i];
        state__member__init(member);
        member->member_id = members[i].member_id;
        member->vm = proto_bin(members[i].vm);
        member->address = proto_bin(members[i].address);
    }
    proto_limit_write(&limit, &settings->default_limit);
    set.default_limit = &limit;
    set.request_keep_ms = settings->request_keep_ms;
    set.request_max = settings->request_max;
    set.request_bytes_max = settings->request_bytes_max;
    op.cluster_id = cluster_id;
    op.n_members = count;
    op.members = (State__Member **)ptrs;
    op.settings = &set;
    append_command(out, &cmd, &op);
    items_free(ptrs, storage);
}

void
state_cmd_teams_set(struct buf *out, const struct state_actor *by,
                    uint64_t expected_version,
                    const struct state_team_item *teams, size_t count)
{
    State__Command cmd = init_command(by, STATE__COMMAND__OP_TEAMS_SET);
    State__TeamsSet op = STATE__TEAMS_SET__INIT;
    char *storage;
    void **ptrs = items_alloc(count, sizeof(State__TeamItem), &storage);

    for (size_t i = 0; i < count; i++) {
        State__TeamItem *item = ptrs[i];
        state__team_item__init(item);
        item->name = proto_bin(teams[i].name);
        item->weight = teams[i].weight;
    }
    op.expected = expected_version;
    op.n_teams = count;
    op.teams = (State__TeamItem **)ptrs;
    append_command(out, &cmd, &op);
    items_free(ptrs, storage);
}

void
state_cmd_limits_set(struct buf *out, const struct state_actor *by,
                     uint64_t expected_version,
                     const struct state_limit_item *limits, size_t count)
{
    State__Command cmd = init_command(by, STATE__COMMAND__OP_LIMITS_SET);
    State__LimitsSet op = STATE__LIMITS_SET__INIT;
    State__Limit *values = mem_zalloc(count + 1, sizeof(*values));
    char *storage;
    void **ptrs = items_alloc(count, sizeof(State__LimitItem), &storage);

    for (size_t i = 0; i < count; i++) {
        State__LimitItem *item = ptrs[i];
        state__limit_item__init(item);
        proto_limit_write(&values[i], &limits[i].limit);
        item->team = proto_bin(limits[i].team);
        item->limit = &values[i];
    }
    op.expected = expected_version;
    op.n_limits = count;
    op.limits = (State__LimitItem **)ptrs;
    append_command(out, &cmd, &op);
    items_free(ptrs, storage);
    mem_free(values);
}

void
state_cmd_key_add(struct buf *out, const struct state_actor *by,
                  enum state_key_kind kind, struct str team,
                  const uint8_t hash[STATE_HASH_BYTES])
{
    State__Command cmd = init_command(by, STATE__COMMAND__OP_KEY_ADD);
    State__KeyAdd op = STATE__KEY_ADD__INIT;

    op.kind = kind;
    op.team = proto_bin(team);
    op.hash = proto_bin(str_from(hash, STATE_HASH_BYTES));
    append_command(out, &cmd, &op);
}

void
state_cmd_key_delete(struct buf *out, const struct state_actor *by,
                     uint64_t id)
{
    State__Command cmd = init_command(by, STATE__COMMAND__OP_KEY_DELETE);
    State__KeyDelete op = STATE__KEY_DELETE__INIT;

    op.id = id;
    append_command(out, &cmd, &op);
}

void
state_cmd_vm_put(struct buf *out, const struct state_actor *by,
                 struct str name, struct str failure_domain,
                 struct str address, uint64_t run, bool left)
{
    State__Command cmd = init_command(by, STATE__COMMAND__OP_VM_PUT);
    State__VmPut op = STATE__VM_PUT__INIT;

    op.name = proto_bin(name);
    op.failure_domain = proto_bin(failure_domain);
    op.address = proto_bin(address);
    op.run = run;
    op.left = left;
    append_command(out, &cmd, &op);
}

void
state_cmd_vm_promise(struct buf *out, const struct state_actor *by,
                     struct str name, uint64_t run, uint64_t early_ms,
                     uint64_t early_seq)
{
    State__Command cmd = init_command(by, STATE__COMMAND__OP_VM_PUT);
    State__VmPut op = STATE__VM_PUT__INIT;

    op.name = proto_bin(name);
    op.run = run;
    op.early_ms = early_ms;
    op.early_seq = early_seq;
    append_command(out, &cmd, &op);
}

void
state_cmd_vm_drain(struct buf *out, const struct state_actor *by,
                   struct str name, bool draining)
{
    State__Command cmd = init_command(by, STATE__COMMAND__OP_VM_DRAIN);
    State__VmDrain op = STATE__VM_DRAIN__INIT;

    op.name = proto_bin(name);
    op.draining = draining;
    append_command(out, &cmd, &op);
}

void
state_cmd_vm_delete(struct buf *out, const struct state_actor *by,
                    struct str name)
{
    State__Command cmd = init_command(by, STATE__COMMAND__OP_VM_DELETE);
    State__VmDelete op = STATE__VM_DELETE__INIT;

    op.name = proto_bin(name);
    append_command(out, &cmd, &op);
}

void
state_cmd_worker_put(struct buf *out, const struct state_actor *by,
                     struct str name, uint64_t incarnation, struct str rack,
                     struct str failure_domain,
                     const struct state_capacity *capacity)
{
    State__Command cmd = init_command(by, STATE__COMMAND__OP_WORKER_PUT);
    State__WorkerPut op = STATE__WORKER_PUT__INIT;
    State__Capacity cap = STATE__CAPACITY__INIT;

    cap.cpu_milli = capacity->cpu_milli;
    cap.memory_mib = capacity->memory_mib;
    cap.accelerators = capacity->accelerators;
    op.name = proto_bin(name);
    op.incarnation = incarnation;
    op.rack = proto_bin(rack);
    op.failure_domain = proto_bin(failure_domain);
    op.capacity = &cap;
    append_command(out, &cmd, &op);
}

void
state_cmd_worker_delete(struct buf *out, const struct state_actor *by,
                        struct str name)
{
    State__Command cmd = init_command(by, STATE__COMMAND__OP_WORKER_DELETE);
    State__WorkerDelete op = STATE__WORKER_DELETE__INIT;

    op.name = proto_bin(name);
    append_command(out, &cmd, &op);
}

void
state_cmd_job_put(struct buf *out, const struct state_actor *by, uint32_t team,
                  struct str name, const struct state_job_spec *spec,
                  const uint8_t body_digest[STATE_DIGEST_BYTES])
{
    State__Command cmd = init_command(by, STATE__COMMAND__OP_JOB_PUT);
    State__JobPut op = STATE__JOB_PUT__INIT;
    State__JobSpec wire;

    proto_spec_write(&wire, spec);
    op.team = team;
    op.name = proto_bin(name);
    op.spec = &wire;
    op.digest = proto_bin(str_from(body_digest, STATE_DIGEST_BYTES));
    append_command(out, &cmd, &op);
}

void
state_cmd_job_cancel(struct buf *out, const struct state_actor *by,
                     uint32_t team, struct str name, bool prefix)
{
    State__Command cmd = init_command(by, STATE__COMMAND__OP_JOB_CANCEL);
    State__JobCancel op = STATE__JOB_CANCEL__INIT;

    op.team = team;
    op.name = proto_bin(name);
    op.prefix = prefix;
    append_command(out, &cmd, &op);
}

void
state_cmd_tasks_placed(struct buf *out, const struct state_actor *by,
                       const struct state_placement *items, size_t count)
{
    State__Command cmd = init_command(by, STATE__COMMAND__OP_TASKS_PLACED);
    State__TasksPlaced op = STATE__TASKS_PLACED__INIT;
    char *storage;
    void **ptrs = items_alloc(count, sizeof(State__Placement), &storage);

    for (size_t i = 0; i < count; i++) {
        State__Placement *item = ptrs[i];
        state__placement__init(item);
        item->job = items[i].job;
        item->task = items[i].task;
        item->worker = items[i].worker;
        item->incarnation = items[i].incarnation;
        item->lease = items[i].lease;
        item->cpu_milli = items[i].cpu_milli;
        item->memory_mib = items[i].memory_mib;
        item->accelerators = items[i].accelerators;
    }
    op.n_items = count;
    op.items = (State__Placement **)ptrs;
    append_command(out, &cmd, &op);
    items_free(ptrs, storage);
}

void
state_cmd_tasks_ended(struct buf *out, const struct state_actor *by,
                      const struct state_task_end *items, size_t count)
{
    State__Command cmd = init_command(by, STATE__COMMAND__OP_TASKS_ENDED);
    State__TasksEnded op = STATE__TASKS_ENDED__INIT;
    char *storage;
    void **ptrs = items_alloc(count, sizeof(State__TaskEnd), &storage);

    for (size_t i = 0; i < count; i++) {
        State__TaskEnd *item = ptrs[i];
        state__task_end__init(item);
        item->lease = items[i].lease;
        item->outcome = items[i].outcome;
        item->exit_code = items[i].exit_code;
        item->waiting = items[i].next == STATE_TASK_WAITING;
        item->failures = items[i].failures;
        item->losses = items[i].losses;
    }
    op.n_items = count;
    op.items = (State__TaskEnd **)ptrs;
    append_command(out, &cmd, &op);
    items_free(ptrs, storage);
}

void
state_cmd_job_outcome(struct buf *out, const struct state_actor *by,
                      uint64_t job, enum state_job_state state,
                      struct str reason)
{
    State__Command cmd = init_command(by, STATE__COMMAND__OP_JOB_OUTCOME);
    State__JobOutcome op = STATE__JOB_OUTCOME__INIT;

    op.job = job;
    op.state = state;
    op.reason = proto_bin(reason);
    append_command(out, &cmd, &op);
}

void
state_cmd_usage(struct buf *out, const struct state_actor *by,
                const struct state_usage_sample *items, size_t count)
{
    State__Command cmd = init_command(by, STATE__COMMAND__OP_USAGE);
    State__Usage op = STATE__USAGE__INIT;
    char *storage;
    void **ptrs = items_alloc(count, sizeof(State__Sample), &storage);

    for (size_t i = 0; i < count; i++) {
        State__Sample *item = ptrs[i];
        state__sample__init(item);
        item->lease = items[i].lease;
        item->cpu_ms = items[i].cpu_ms;
        item->memory_mib_s = items[i].memory_mib_s;
        item->accelerator_ms = items[i].accelerator_ms;
    }
    op.n_items = count;
    op.items = (State__Sample **)ptrs;
    append_command(out, &cmd, &op);
    items_free(ptrs, storage);
}

void
state_cmd_request_begin(struct buf *out, const struct state_actor *by,
                        uint32_t team, struct str key,
                        const uint8_t digest[STATE_DIGEST_BYTES],
                        struct str entry, uint64_t attempt, int64_t timeout_ms)
{
    State__Command cmd = init_command(by, STATE__COMMAND__OP_REQUEST_BEGIN);
    State__RequestBegin op = STATE__REQUEST_BEGIN__INIT;

    op.team = team;
    op.key = proto_bin(key);
    op.digest = proto_bin(str_from(digest, STATE_DIGEST_BYTES));
    op.entry = proto_bin(entry);
    op.attempt = attempt;
    op.timeout_ms = timeout_ms;
    append_command(out, &cmd, &op);
}

void
state_cmd_request_end(struct buf *out, const struct state_actor *by,
                      uint32_t team, struct str key, uint64_t number,
                      enum state_request_state outcome,
                      const struct state_response *response)
{
    State__Command cmd = init_command(by, STATE__COMMAND__OP_REQUEST_END);
    State__RequestEnd op = STATE__REQUEST_END__INIT;
    State__Response wire = STATE__RESPONSE__INIT;

    op.team = team;
    op.key = proto_bin(key);
    op.number = number;
    op.outcome = outcome;
    if (response != NULL) {
        wire.status = response->status;
        wire.headers = proto_bin(response->headers);
        wire.body = proto_bin(response->body);
        op.response = &wire;
    }
    append_command(out, &cmd, &op);
}

void
state_cmd_entry_lost(struct buf *out, const struct state_actor *by,
                     struct str entry)
{
    State__Command cmd = init_command(by, STATE__COMMAND__OP_ENTRY_LOST);
    State__EntryLost op = STATE__ENTRY_LOST__INIT;

    op.entry = proto_bin(entry);
    append_command(out, &cmd, &op);
}
