/* API handlers of callers' jobs. */

#include <sodium.h>

#include "caller.h"
#include "leader_impl.h"
#include "mem.h"

static int
to_caller_state(enum state_job_state state)
{
    switch (state) {
    case STATE_JOB_QUEUED:
        return CALLER_JOB_QUEUED;
    case STATE_JOB_RUNNING:
        return CALLER_JOB_RUNNING;
    case STATE_JOB_UNSCHEDULABLE:
        return CALLER_JOB_UNSCHEDULABLE;
    case STATE_JOB_DONE:
        return CALLER_JOB_DONE;
    case STATE_JOB_FAILED:
        return CALLER_JOB_FAILED;
    case STATE_JOB_CANCELLED:
        return CALLER_JOB_CANCELLED;
    case STATE_JOB_UNKNOWN:
        break;
    }
    return CALLER_JOB_UNKNOWN;
}

static struct caller_job_status
describe_without_counts(const struct state_job *job)
{
    return (struct caller_job_status){
        .id = job->name,
        /* Both enums list service, batch, gang in this order. */
        .class = (int)job->spec.class - STATE_JOB_SERVICE,
        .state = to_caller_state(job->state),
        .reason = job->reason.len == 0 ? (struct str){NULL, 0} : job->reason,
        .queue =
            job->spec.queue.len == 0 ? (struct str){NULL, 0} : job->spec.queue,
        .urgent = job->spec.urgent,
        .idempotent = job->spec.idempotent,
        .tasks = job->spec.tasks,
        .cpu_milli = job->spec.cpu_milli,
        .memory_mib = job->spec.memory_mib,
        .accelerators = job->spec.accelerators,
        .run_time_s = job->spec.run_time_s,
        .submitted_ms = job->submitted_ms,
        .ended_ms = job->ended_ms};
}

static void
count_task(const struct state_job *job, const struct state_task *task,
           struct caller_job_status *out)
{
    if (task->state == STATE_TASK_PLACED) {
        out->running++;
    }
    else if (task->state == STATE_TASK_ENDED &&
             task->outcome == STATE_OUTCOME_DONE) {
        out->done++;
    }
    else if (task->state == STATE_TASK_ENDED &&
             task->outcome == STATE_OUTCOME_FAILED) {
        out->failed++;
    }
    else if (task->state == STATE_TASK_ENDED &&
             task->outcome == STATE_OUTCOME_LOST) {
        out->unknown++;
    }
    else if (task->state == STATE_TASK_ENDED || job->cancel ||
             state_job_terminal(job->state)) {
        out->cancelled++;
    }
    else {
        out->queued++;
    }
}

struct caller_job_status
job_describe(const struct state_job *job)
{
    struct caller_job_status out = describe_without_counts(job);

    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        count_task(job, &job->tasks[i], &out);
    }
    return out;
}

static void
respond_job(struct call *call, const struct state_job *job)
{
    struct caller_job_status status = job_describe(job);
    struct buf body = {0};

    caller_job_status_render(&status, &body);
    call_respond(call, 200, &body);
}

/* ---- Submission ---- */

/* Repeated submissions get the same response, whatever the job's state. */
static void
respond_accepted(struct call *call, const struct state_job *job)
{
    struct caller_job_status status = describe_without_counts(job);
    struct buf body = {0};

    status.state = CALLER_JOB_QUEUED;
    status.reason = (struct str){NULL, 0};
    status.queued = status.tasks;
    status.ended_ms = 0;
    caller_job_status_render(&status, &body);
    call_respond(call, 200, &body);
}

static void
job_applied(struct call *call, const struct state_result *result)
{
    const struct state *state = leader_state(call->leader);
    const struct state_job *job;

    switch (result->kind) {
    case STATE_APPLIED:
        job = state_job(state, result->u.applied.number);
        placement_add_job(call->leader, job);
        respond_accepted(call, job);
        return;
    case STATE_DUPLICATE:
        job = state_job(state, result->u.duplicate.number);
        if (job != NULL) {
            respond_accepted(call, job);
            return;
        }
        break;
    case STATE_CONFLICT:
        call_fail(call, 409, "conflict", "",
                  "a job with this id and different content exists");
        return;
    case STATE_NOT_FOUND:
    case STATE_INVALID:
        break;
    }
    call_fail_state(call, result);
}

static bool
queue_allowed(const struct call *call, struct str queue)
{
    const struct settings *s = call->leader->control->settings;
    const struct state_team *team =
        state_team(leader_state(call->leader), call->team);

    if (queue.len == 0 || (team != NULL && str_eq(team->name, queue))) {
        return true;
    }
    for (size_t i = 0; i < s->open_queue_count; i++) {
        if (str_eq(s->open_queues[i].name, queue)) {
            return true;
        }
    }
    return false;
}

static bool
fits_u32(uint64_t value)
{
    return value <= UINT32_MAX;
}

void
api_job_put(struct call *call)
{
    struct caller_job job = {0};
    struct state_job_spec spec;
    struct state_actor actor = call_actor(call);
    struct api_error error;
    struct buf canonical = {0};
    struct buf command = {0};
    uint8_t digest[crypto_generichash_BYTES];

    call->doc = caller_job_parse(call->body, &job, &error);
    if (call->doc == NULL) {
        call_fail_api(call, &error);
        return;
    }
    if (!queue_allowed(call, job.queue)) {
        call_fail(call, 403, "forbidden", "queue",
                  "neither the team's own queue nor an open one");
        return;
    }
    if (!fits_u32(job.cpu_milli) || !fits_u32(job.memory_mib) ||
        !fits_u32(job.accelerators) || !fits_u32(job.run_time_s)) {
        call_fail(call, 400, "out_of_range", "", "a size is too large");
        return;
    }
    spec = (struct state_job_spec){
        .class = (enum state_job_class)(job.class + STATE_JOB_SERVICE),
        .tasks = job.tasks,
        .cpu_milli = (uint32_t)job.cpu_milli,
        .memory_mib = (uint32_t)job.memory_mib,
        .accelerators = (uint32_t)job.accelerators,
        .run_time_s = (uint32_t)job.run_time_s,
        .urgent = job.urgent,
        .idempotent = job.idempotent,
        .queue = job.queue,
        .payload = job.payload};
    /* Equivalent bodies have the same canonical form and so one digest. */
    caller_job_render(&job, &canonical);
    crypto_generichash(digest, sizeof(digest),
                       (const unsigned char *)canonical.ptr, canonical.len,
                       NULL, 0);
    buf_free(&canonical);
    state_cmd_job_put(&command, &actor, call->team, str_of(call->match.param),
                      &spec, digest);
    call_propose(call, &command, job_applied);
}

/* ---- Reading ---- */

static const struct state_job *
find_job(const struct call *call)
{
    return state_job_by_name(leader_state(call->leader), call->team,
                             str_of(call->match.param));
}

static void
wait_for_end(struct call *call, const struct state_job *job)
{
    struct leader *l = call->leader;

    call->target_number = job->number;
    call->wait_next = map_get_u64(l->job_waits, job->number);
    map_put_u64(l->job_waits, job->number, call);
    call->waits_for_job = true;
}

void
api_job_get(struct call *call)
{
    const struct state_job *job = find_job(call);
    struct api_error error;
    uint32_t wait_ms = 0;
    int64_t until;

    if (!caller_wait_parse(call->query, &wait_ms, &error)) {
        call_fail_api(call, &error);
        return;
    }
    if (job == NULL) {
        call_fail(call, 404, "not_found", "", "no such job in this team");
        return;
    }
    if (wait_ms == 0 || state_job_terminal(job->state)) {
        respond_job(call, job);
        return;
    }
    until = call->leader->control->now + wait_ms * NS_PER_MS;
    if (until < call->deadline) {
        call->deadline = until;
    }
    wait_for_end(call, job);
}

void
job_wait_remove(struct call *call)
{
    struct leader *l = call->leader;
    struct call *first = map_get_u64(l->job_waits, call->target_number);
    struct call **slot = &first;

    while (*slot != NULL && *slot != call) {
        slot = &(*slot)->wait_next;
    }
    if (*slot != NULL) {
        *slot = call->wait_next;
    }
    if (first == NULL) {
        map_del_u64(l->job_waits, call->target_number);
    }
    else {
        map_put_u64(l->job_waits, call->target_number, first);
    }
    call->waits_for_job = false;
}

void
job_answer_waiting(struct leader *l, uint64_t number)
{
    const struct state_job *job = state_job(leader_state(l), number);
    struct call *call;

    if (job == NULL || !state_job_terminal(job->state)) {
        return;
    }
    while ((call = map_get_u64(l->job_waits, number)) != NULL) {
        job_wait_remove(call);
        respond_job(call, job);
    }
}

static void
answer_expired(struct leader *l, struct call *call)
{
    const struct state_job *job =
        state_job(leader_state(l), call->target_number);

    job_wait_remove(call);
    if (job == NULL) {
        call_fail(call, 404, "not_found", "", "the job no longer exists");
    }
    else {
        respond_job(call, job);
    }
}

void
jobs_step(struct leader *l)
{
    struct call *first;
    struct call *next;
    void *cursor = NULL;

    while ((first = map_next(l->job_waits, &cursor)) != NULL) {
        for (struct call *call = first; call != NULL; call = next) {
            next = call->wait_next;
            if (call->deadline <= l->control->now) {
                answer_expired(l, call);
            }
        }
    }
}

/* ---- Cancellation ---- */

static void
cancel_applied(struct call *call, const struct state_result *result)
{
    struct leader *l = call->leader;
    struct caller_cancelled cancelled = {0};
    const struct state_job *job;
    struct buf body = {0};

    if (result->kind != STATE_APPLIED) {
        call_fail_state(call, result);
        return;
    }
    cancelled.cancelled = result->u.applied.changed;
    for (size_t i = 0; i < result->u.applied.changed; i++) {
        placement_cancel_job(l, result->u.applied.jobs[i]);
        job_answer_waiting(l, result->u.applied.jobs[i]);
    }
    if (call->match.route == API_JOB_CANCEL_PREFIX) {
        caller_cancelled_render(&cancelled, &body);
        call_respond(call, 200, &body);
        return;
    }
    job = find_job(call);
    if (job == NULL) {
        call_fail(call, 404, "not_found", "", "no such job in this team");
        return;
    }
    respond_job(call, job);
}

void
api_job_cancel(struct call *call)
{
    bool prefix = call->match.route == API_JOB_CANCEL_PREFIX;
    struct state_actor actor = call_actor(call);
    struct str name = {NULL, 0};
    struct api_error error;
    struct buf command = {0};

    if (prefix) {
        if (!caller_prefix_parse(call->query, &name, &error)) {
            call_fail_api(call, &error);
            return;
        }
    }
    else {
        name = str_of(call->match.param);
        if (find_job(call) == NULL) {
            call_fail(call, 404, "not_found", "", "no such job in this team");
            return;
        }
    }
    state_cmd_job_cancel(&command, &actor, call->team, name, prefix);
    if (prefix) {
        str_free(&name);
    }
    call_propose(call, &command, cancel_applied);
}
