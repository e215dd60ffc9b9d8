#include "state_impl.h"

#include "mem.h"

const struct state_limit state_limit_none = {
    .tasks = STATE_UNLIMITED,
    .cpu_milli = STATE_UNLIMITED,
    .memory_mib = STATE_UNLIMITED,
    .accelerators = STATE_UNLIMITED,
    .requests = STATE_UNLIMITED,
};

const struct state_settings state_settings_default = {
    .default_limit = {STATE_UNLIMITED, STATE_UNLIMITED, STATE_UNLIMITED,
                      STATE_UNLIMITED, STATE_UNLIMITED},
    .request_keep_ms = 86400000,
    .request_max = 500000,
    .request_bytes_max = 128 * 1024 * 1024,
};

struct state *
state_create(void)
{
    struct state *s = mem_zalloc(1, sizeof(*s));

    s->settings = state_settings_default;
    s->next_team = 1;
    s->next_worker = 1;
    s->next_key = 1;
    s->next_job = 1;
    s->next_request = 1;
    s->next_end = 1;
    s->next_store = 1;
    s->teams = map_create();
    s->teams_by_name = map_create();
    s->keys = map_create();
    s->keys_by_hash = map_create();
    s->operator_results = map_create();
    s->vms = map_create();
    s->workers = map_create();
    s->workers_by_name = map_create();
    numtab_init(&s->jobs);
    s->jobs_by_name = map_create();
    numtab_init(&s->leases);
    s->usage = map_create();
    s->requests = map_create();
    s->history = mem_zalloc(STATE_HISTORY_MAX, sizeof(*s->history));
    return s;
}

static void
map_free(struct map *m, void (*free_value)(void *))
{
    void *cursor = NULL;
    void *value;

    while (free_value != NULL && (value = map_next(m, &cursor)) != NULL) {
        free_value(value);
    }
    map_destroy(m);
}

static void
free_team(void *value)
{
    team_free(value);
}

static void
free_operator_result(void *value)
{
    operator_result_free(value);
}

static void
free_vm(void *value)
{
    vm_free(value);
}

static void
free_worker(void *value)
{
    worker_free(value);
}

static void
free_request(void *value)
{
    request_free(value);
}

static void
free_jobs_and_leases(struct state *s)
{
    struct job *job;
    struct lease *lease;

    while ((job = numtab_after(&s->jobs, 0)) != NULL) {
        numtab_del(&s->jobs, job->pub.number);
        job_free(job);
    }
    while ((lease = numtab_after(&s->leases, 0)) != NULL) {
        numtab_del(&s->leases, lease->number);
        mem_free(lease);
    }
    numtab_free(&s->jobs);
    numtab_free(&s->leases);
}

static void
free_history_and_audit(struct state *s)
{
    for (size_t i = 0; i < STATE_HISTORY_MAX; i++) {
        str_free(&s->history[i].bytes);
    }
    for (size_t i = 0; i < s->audit_cap; i++) {
        str_free(&s->audit[i].object);
    }
    mem_free(s->history);
    mem_free(s->audit);
}

void
state_destroy(struct state *s)
{
    if (s == NULL) {
        return;
    }
    state_snapshot_abort(s);
    free_history_and_audit(s);
    state_members_free(s);
    map_free(s->teams_by_name, NULL);
    map_free(s->teams, free_team);
    map_free(s->keys_by_hash, NULL);
    map_free(s->keys, mem_free);
    map_free(s->operator_results, free_operator_result);
    map_free(s->vms, free_vm);
    map_free(s->workers_by_name, NULL);
    map_free(s->workers, free_worker);
    map_free(s->jobs_by_name, NULL);
    free_jobs_and_leases(s);
    map_free(s->usage, mem_free);
    map_free(s->requests, free_request);
    mem_free(s->team_order);
    mem_free(s->limits);
    mem_free(s->changed_jobs);
    mem_free(s->rejects);
    mem_free(s);
}

uint64_t
state_index(const struct state *s)
{
    return s->index;
}

uint64_t
state_cluster_id(const struct state *s)
{
    return s->cluster_id;
}

const struct state_settings *
state_settings_get(const struct state *s)
{
    return &s->settings;
}

size_t
state_member_count(const struct state *s)
{
    return s->member_count;
}

const struct state_member *
state_member_at(const struct state *s, size_t i)
{
    return &s->members[i];
}
