/*
 * The state as a whole, and the commands that change it.
 */
#include "internal.h"

#include "mem.h"

struct flow_state *
flow_state_create(void)
{
    struct flow_state *s = mem_zalloc(1, sizeof(*s));

    s->queues = map_create();
    s->teams = map_create();
    s->teams_by_key = map_create();
    s->jobs = map_create();
    s->workers = map_create();
    s->workers_by_id = map_create();
    s->upkeeps = map_create();
    s->cancellations = map_create();
    s->evacuations = map_create();
    return s;
}

static void
free_records(struct flow_state *s)
{
    void *cursor = NULL;
    struct flow_job *j;
    struct flow_worker *w;
    struct flow_upkeep *u;

    while ((j = map_next(s->jobs, &cursor)) != NULL) {
        job_free(j);
    }
    cursor = NULL;
    while ((w = map_next(s->workers, &cursor)) != NULL) {
        worker_free(w);
    }
    cursor = NULL;
    while ((u = map_next(s->upkeeps, &cursor)) != NULL) {
        upkeep_free(u);
    }
}

static void
free_queues_and_teams(struct flow_state *s)
{
    void *cursor = NULL;
    struct flow_queue *q;
    struct flow_team *t;

    while ((q = map_next(s->queues, &cursor)) != NULL) {
        str_free(&q->name);
        str_free(&q->host);
        str_free(&q->prefix);
        str_free(&q->service);
        mem_free(q);
    }
    cursor = NULL;
    while ((t = map_next(s->teams, &cursor)) != NULL) {
        str_free(&t->name);
        mem_free(t);
    }
}

void
flow_state_destroy(struct flow_state *s)
{
    if (s == NULL) {
        return;
    }
    free_records(s);
    free_queues_and_teams(s);
    map_destroy(s->queues);
    map_destroy(s->teams);
    map_destroy(s->teams_by_key);
    map_destroy(s->jobs);
    map_destroy(s->workers);
    map_destroy(s->workers_by_id);
    map_destroy(s->upkeeps);
    cancellations_free(s);
    evacuations_free(s);
    if (s->config != NULL) {
        flow__config__free_unpacked(s->config, NULL);
    }
    mem_free(s);
}

static void
apply_config(struct flow_state *s, Flow__Command *c)
{
    if (s->config != NULL && c->config->version <= s->config->version) {
        return;
    }
    config_install(s, c->config);
    c->config = NULL;
    c->kind_case = FLOW__COMMAND__KIND__NOT_SET;
}

/*
 * Whether all members know the settings of the queue. A snapshot holds those
 * of a removed queue only if jobs refer to it.
 */
static bool
is_queue_known(const struct flow_state *s, struct str name)
{
    const struct flow_queue *q = map_get(s->queues, name);

    return q != NULL && (q->configured || q->jobs > 0);
}

/* A job id that is submitted again leaves the existing job unchanged, so that
 * a retried request does not create a second job. */
static void
apply_submit(struct flow_state *s, Flow__Submit *in)
{
    struct flow_job *j;

    if (flow_validate_spec(in->spec) != NULL || flow_job(s, in->job) != NULL ||
        !is_queue_known(s, str_of(in->queue))) {
        return;
    }
    j = job_create(s, in->job, str_of(in->queue), str_of(in->team),
                   str_of(in->address), in->spec, in->wall_ms);
    in->spec = NULL;
    j->queue->pending++;
    if (j->spec->occurrences == 0) {
        job_add_occurrence(j, 0);
        j->due = 1;
    }
    if (cancellation_exists(s, j->id, j->address)) {
        job_cancel(s, j);
    }
}

static void
apply_cancel(struct flow_state *s, const Flow__Cancel *in)
{
    struct flow_job *j = flow_job(s, in->job);
    struct str address = str_of(in->address);

    if (j == NULL) {
        if (address.len > 0) {
            cancellation_add(s, in->job, address, s->wall_ms);
        }
        return;
    }
    if (address.len == 0 || str_eq(address, j->address)) {
        job_cancel(s, j);
    }
}

static void
apply_due(struct flow_state *s, const Flow__Due *in)
{
    struct flow_job *j = flow_job(s, in->job);

    if (j != NULL && j->state <= FLOW_JOB_RUNNING &&
        in->occurrence == j->due && j->due < j->spec->occurrences) {
        job_add_occurrence(j, j->due++);
    }
}

static void
apply_ends(struct flow_state *s, const Flow__Ends *in)
{
    struct flow_worker *w = flow_worker(s, in->worker);

    for (size_t i = 0; i < in->n_ends; i++) {
        if (in->ends[i]->task != NULL) {
            task_end_run(s, in->ends[i]);
        }
    }
    if (w != NULL && in->last_seen > w->last_seen) {
        w->last_seen = in->last_seen;
    }
}

static void
apply_command(struct flow_state *s, Flow__Command *c)
{
    switch (c->kind_case) {
    case FLOW__COMMAND__KIND_CONFIG:
        apply_config(s, c);
        break;
    case FLOW__COMMAND__KIND_SUBMIT:
        apply_submit(s, c->submit);
        break;
    case FLOW__COMMAND__KIND_CANCEL:
        apply_cancel(s, c->cancel);
        break;
    case FLOW__COMMAND__KIND_DUE:
        apply_due(s, c->due);
        break;
    case FLOW__COMMAND__KIND_START:
        task_start_run(s, c->start);
        break;
    case FLOW__COMMAND__KIND_ENDS:
        apply_ends(s, c->ends);
        break;
    case FLOW__COMMAND__KIND_WORKER:
        worker_register(s, c->worker);
        break;
    case FLOW__COMMAND__KIND_LOST:
        worker_remove(s, c->lost->worker);
        break;
    case FLOW__COMMAND__KIND_UPKEEP:
        upkeep_apply(s, c->upkeep);
        break;
    case FLOW__COMMAND__KIND_EVACUATION:
        evacuation_apply(s, c->evacuation);
        break;
    case FLOW__COMMAND__KIND_PRUNE_BEFORE_MS:
        job_prune(s, c->prune_before_ms);
        cancellations_prune(s, c->prune_before_ms);
        break;
    case FLOW__COMMAND__KIND__NOT_SET:
    default:
        break;
    }
}

bool
flow_state_apply(struct flow_state *s, struct str bytes)
{
    Flow__Batch *batch =
        flow__batch__unpack(NULL, bytes.len, (const uint8_t *)bytes.ptr);

    if (batch == NULL) {
        return false;
    }
    if (batch->wall_ms > s->wall_ms) {
        s->wall_ms = batch->wall_ms;
    }
    for (size_t i = 0; i < batch->n_commands; i++) {
        apply_command(s, batch->commands[i]);
    }
    flow__batch__free_unpacked(batch, NULL);
    return true;
}

int64_t
flow_wall_ms(const struct flow_state *s)
{
    return s->wall_ms;
}
