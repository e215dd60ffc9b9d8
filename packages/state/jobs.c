#include <string.h>

#include "mem.h"
#include "state_impl.h"

bool
state_job_terminal(enum state_job_state state)
{
    return state >= STATE_JOB_DONE;
}

struct job *
job_by_number(const struct state *s, uint64_t number)
{
    return numtab_get(&s->jobs, number);
}

static void
append_name_key(struct buf *out, uint32_t team, struct str name)
{
    buf_append(out, &team, sizeof(team));
    buf_append_str(out, name);
}

static struct job *
find_by_name(const struct state *s, uint32_t team, struct str name)
{
    struct buf key = {0};
    struct job *job;

    append_name_key(&key, team, name);
    job = map_get(s->jobs_by_name, buf_str(&key));
    buf_free(&key);
    return job;
}

static void
list_append(struct job_list *list, struct job *job)
{
    job->prev = list->last;
    job->next = NULL;
    if (list->last == NULL) {
        list->first = job;
    }
    else {
        list->last->next = job;
    }
    list->last = job;
}

static void
list_remove(struct job_list *list, struct job *job)
{
    if (job->prev == NULL) {
        list->first = job->next;
    }
    else {
        job->prev->next = job->next;
    }
    if (job->next == NULL) {
        list->last = job->prev;
    }
    else {
        job->next->prev = job->prev;
    }
}

static struct str
dup_or_empty(struct str s)
{
    return s.len == 0 ? (struct str){NULL, 0} : str_dup(s);
}

/* Copies the strings and allocates the tasks, all of them waiting. */
struct job *
job_create(const struct state_job *from)
{
    size_t tasks = from->spec.tasks * sizeof(struct state_task);
    struct job *job = mem_zalloc(1, sizeof(*job) + tasks);

    job->pub = *from;
    job->pub.name = str_dup(from->name);
    job->pub.reason = dup_or_empty(from->reason);
    job->pub.spec.queue = dup_or_empty(from->spec.queue);
    job->pub.spec.payload = dup_or_empty(from->spec.payload);
    job->pub.tasks = job->tasks;
    for (uint32_t i = 0; i < from->spec.tasks; i++) {
        job->tasks[i].state = STATE_TASK_WAITING;
    }
    return job;
}

/* Registers a job; a live one is also added to its team's list. */
void
job_insert(struct state *s, struct job *job)
{
    struct team *team = team_by_number(s, job->pub.team);
    struct buf key = {0};

    append_name_key(&key, job->pub.team, job->pub.name);
    numtab_put(&s->jobs, job->pub.number, job);
    map_put(s->jobs_by_name, buf_str(&key), job);
    buf_free(&key);
    if (!state_job_terminal(job->pub.state)) {
        list_append(&team->live, job);
        team->pub.live_jobs++;
        s->live_job_count++;
        s->live_payload_bytes += job->pub.spec.payload.len;
    }
}

void
job_set_reason(struct job *job, struct str reason)
{
    struct str copy = dup_or_empty(reason);

    str_free(&job->pub.reason);
    job->pub.reason = copy;
}

void
job_link_ended(struct state *s, struct job *job)
{
    struct team *team = team_by_number(s, job->pub.team);

    list_append(&team->ended, job);
    if (s->ended_job_last == NULL) {
        s->ended_job_first = job;
    }
    else {
        s->ended_job_last->end_next = job;
    }
    s->ended_job_last = job;
    s->ended_job_count++;
}

void
job_end(struct state *s, struct job *job, enum state_job_state state)
{
    struct team *team = team_by_number(s, job->pub.team);

    list_remove(&team->live, job);
    team->pub.live_jobs--;
    s->live_job_count--;
    s->live_payload_bytes -= job->pub.spec.payload.len;
    /* No task of the job starts again, and the body's digest is enough to
     * recognize a repeated submission. */
    str_free(&job->pub.spec.payload);
    job->pub.state = state;
    job->pub.ended_ms = s->wall_ms;
    job->end_seq = s->next_end++;
    job_link_ended(s, job);
}

void
job_free(struct job *job)
{
    str_free(&job->pub.name);
    str_free(&job->pub.reason);
    str_free(&job->pub.spec.queue);
    str_free(&job->pub.spec.payload);
    mem_free(job);
}

static void
drop_oldest_ended(struct state *s)
{
    struct job *job = s->ended_job_first;
    struct team *team = team_by_number(s, job->pub.team);
    struct buf key = {0};

    snapshot_save_job(s, job);
    s->ended_job_first = job->end_next;
    if (s->ended_job_first == NULL) {
        s->ended_job_last = NULL;
    }
    s->ended_job_count--;
    list_remove(&team->ended, job);
    append_name_key(&key, job->pub.team, job->pub.name);
    map_del(s->jobs_by_name, buf_str(&key));
    numtab_del(&s->jobs, job->pub.number);
    buf_free(&key);
    job_free(job);
}

void
jobs_expire(struct state *s)
{
    for (int i = 0; i < EXPIRE_BATCH && s->ended_job_first != NULL; i++) {
        int64_t age = s->wall_ms - s->ended_job_first->pub.ended_ms;
        if (s->ended_job_count <= STATE_TERMINAL_JOBS_MAX &&
            age < STATE_TERMINAL_JOB_KEEP_MS) {
            return;
        }
        drop_oldest_ended(s);
    }
}

static bool
read_job(struct apply *a, struct state_job *job)
{
    const State__JobPut *put = a->cmd->job_put;

    job->team = put->team;
    job->name = proto_str(put->name);
    job->key_id = a->cmd->key_id;
    job->submitted_ms = a->cmd->wall_ms;
    job->state = STATE_JOB_QUEUED;
    return name_valid(job->name) && proto_spec_read(put->spec, &job->spec) &&
           proto_digest(put->digest, job->body_digest);
}

static void
answer_resubmission(struct apply *a, const struct job *existing,
                    const struct state_job *input)
{
    struct state_first_result result = {.kind = STATE_APPLIED,
                                        .number = existing->pub.number};

    if (memcmp(existing->pub.body_digest, input->body_digest,
               STATE_DIGEST_BYTES) != 0) {
        result_conflict(a, 0, STATE_REASON_REQUEST_MISMATCH);
        return;
    }
    result_duplicate(a, &result);
}

void
apply_job_put(struct apply *a)
{
    struct state_job input = {0};
    struct state *s = a->s;
    const struct job *existing;

    if (!read_job(a, &input)) {
        result_invalid(a, STATE_REASON_BAD_FIELD);
        return;
    }
    if (!actor_may_use_team(a, input.team)) {
        return;
    }
    if (team_find_live(s, input.team) == NULL) {
        result_invalid(a, STATE_REASON_TEAM_UNKNOWN);
        return;
    }
    existing = find_by_name(s, input.team, input.name);
    if (existing != NULL) {
        answer_resubmission(a, existing, &input);
        return;
    }
    if (s->live_job_count >= STATE_LIVE_JOBS_MAX ||
        s->live_payload_bytes + input.spec.payload.len >
            STATE_LIVE_PAYLOAD_MAX) {
        result_invalid(a, STATE_REASON_FULL);
        return;
    }
    input.number = s->next_job++;
    job_insert(s, job_create(&input));
    result_applied(a, 0, input.number, 1);
}

/*
 * A job of which no task was ever placed ends at once. The others end by the
 * outcome that the scheduler reports, because it knows how their tasks ended.
 */
static void
cancel_job(struct apply *a, struct job *job)
{
    if (job->pub.cancel || state_job_terminal(job->pub.state)) {
        return;
    }
    snapshot_save_job(a->s, job);
    job->pub.cancel = true;
    if (!job->ever_placed) {
        job_end(a->s, job, STATE_JOB_CANCELLED);
    }
    result_changed_job(a, job->pub.number);
}

static void
cancel_jobs_by_prefix(struct apply *a, struct team *team, struct str prefix)
{
    struct job *next;

    for (struct job *job = team->live.first; job != NULL; job = next) {
        next = job->next;
        if (str_starts(job->pub.name, prefix)) {
            cancel_job(a, job);
        }
    }
    result_applied(a, 0, 0, a->result->u.applied.changed);
}

void
apply_job_cancel(struct apply *a)
{
    const State__JobCancel *cmd = a->cmd->job_cancel;
    struct team *team = team_find_live(a->s, cmd->team);
    struct job *job;

    if (!actor_may_use_team(a, cmd->team)) {
        return;
    }
    if (team == NULL) {
        result_invalid(a, STATE_REASON_TEAM_UNKNOWN);
        return;
    }
    if (cmd->prefix) {
        cancel_jobs_by_prefix(a, team, proto_str(cmd->name));
        return;
    }
    job = find_by_name(a->s, cmd->team, proto_str(cmd->name));
    if (job == NULL) {
        result_not_found(a, STATE_REASON_JOB_UNKNOWN);
        return;
    }
    cancel_job(a, job);
    result_applied(a, 0, job->pub.number, a->result->u.applied.changed);
}

static enum state_reason
check_outcome(const struct job *job, enum state_job_state next)
{
    if (state_job_terminal(job->pub.state)) {
        return STATE_REASON_JOB_ENDED;
    }
    if (next == STATE_JOB_RUNNING || next < STATE_JOB_QUEUED ||
        next > STATE_JOB_UNKNOWN) {
        return STATE_REASON_BAD_FIELD;
    }
    if (job->pub.placed > 0) {
        return STATE_REASON_JOB_HAS_TASKS;
    }
    return STATE_REASON_NONE;
}

void
apply_job_outcome(struct apply *a)
{
    const State__JobOutcome *cmd = a->cmd->job_outcome;
    enum state_job_state next = (enum state_job_state)cmd->state;
    struct job *job = job_by_number(a->s, cmd->job);
    enum state_reason reason;

    if (job == NULL) {
        result_not_found(a, STATE_REASON_JOB_UNKNOWN);
        return;
    }
    reason = check_outcome(job, next);
    if (reason == STATE_REASON_NONE && cmd->reason.len > STATE_REASON_MAX) {
        reason = STATE_REASON_BAD_FIELD;
    }
    if (reason != STATE_REASON_NONE) {
        result_invalid(a, reason);
        return;
    }
    snapshot_save_job(a->s, job);
    job_set_reason(job, proto_str(cmd->reason));
    if (state_job_terminal(next)) {
        job_end(a->s, job, next);
    }
    else {
        job->pub.state = next;
    }
    result_applied(a, 0, cmd->job, 1);
}

const struct state_job *
state_job(const struct state *s, uint64_t number)
{
    const struct job *job = job_by_number(s, number);

    return job == NULL ? NULL : &job->pub;
}

const struct state_job *
state_job_by_name(const struct state *s, uint32_t team, struct str name)
{
    const struct job *job = find_by_name(s, team, name);

    return job == NULL ? NULL : &job->pub;
}

const struct state_job *
state_job_next(const struct state *s, void **cursor)
{
    static char end; /* the cursor's value after the last job */
    const struct job *last = *cursor;
    const struct job *job;

    if (*cursor == &end) {
        return NULL;
    }
    job = numtab_after(&s->jobs, last == NULL ? 0 : last->pub.number);
    *cursor = job == NULL ? (void *)&end : (void *)job;
    return job == NULL ? NULL : &job->pub;
}

const struct state_job *
state_team_job_next(const struct state *s, uint32_t team,
                    const struct state_job *prev)
{
    const struct team *owner = team_by_number(s, team);
    const struct job *job = (const struct job *)prev;

    if (owner == NULL) {
        return NULL;
    }
    if (job == NULL) {
        job = owner->live.first;
    }
    else if (job->next != NULL || state_job_terminal(job->pub.state)) {
        job = job->next;
        return job == NULL ? NULL : &job->pub;
    }
    else {
        job = NULL;
    }
    if (job == NULL) {
        job = owner->ended.first;
    }
    return job == NULL ? NULL : &job->pub;
}
