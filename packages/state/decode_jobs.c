#include <stdlib.h>

#include "mem.h"
#include "snapshot.h"

static bool
decode_tasks(struct reader *r, struct job *job, const State__SnapJob *m)
{
    for (size_t i = 0; i < m->n_tasks; i++) {
        const State__SnapTask *from = m->tasks[i];
        struct state_task *task = &job->tasks[i];
        if (from->state < STATE_TASK_WAITING ||
            from->state > STATE_TASK_ENDED ||
            from->outcome > STATE_OUTCOME_LOST) {
            return false;
        }
        task->lease = from->lease;
        task->incarnation = from->incarnation;
        task->worker = from->worker;
        task->exit_code = from->exit_code;
        task->cpu_milli = from->cpu_milli;
        task->memory_mib = from->memory_mib;
        task->accelerators = from->accelerators;
        task->failures = (uint16_t)from->failures;
        task->losses = (uint16_t)from->losses;
        task->attempts = (uint16_t)from->attempts;
        task->state = (uint8_t)from->state;
        task->outcome = (uint8_t)from->outcome;
        job->ever_placed = job->ever_placed || from->attempts > 0;
        r->placed_tasks += from->state == STATE_TASK_PLACED;
    }
    return true;
}

static bool
read_job(const State__SnapJob *m, struct state_job *job)
{
    job->number = m->number;
    job->key_id = m->key_id;
    job->submitted_ms = m->submitted_ms;
    job->ended_ms = m->ended_ms;
    job->name = proto_str(m->name);
    job->reason = proto_str(m->reason);
    job->team = m->team;
    job->state = (enum state_job_state)m->state;
    job->cancel = m->cancel;
    return name_valid(job->name) && m->state >= STATE_JOB_QUEUED &&
           m->state <= STATE_JOB_UNKNOWN &&
           proto_spec_read(m->spec, &job->spec) &&
           m->n_tasks == job->spec.tasks &&
           proto_digest(m->digest, job->body_digest);
}

bool
decode_job(struct reader *r, const State__SnapJob *m)
{
    struct state *s = r->s;
    struct state_job input = {0};
    struct job *job;

    if (!read_job(m, &input) || m->number >= s->next_job ||
        team_by_number(s, m->team) == NULL || m->number <= r->last_job ||
        state_job_by_name(s, m->team, input.name) != NULL) {
        return false;
    }
    job = job_create(&input);
    job->end_seq = m->end_seq;
    job_insert(s, job);
    r->last_job = m->number;
    return decode_tasks(r, job, m);
}

/* Counts a live lease. It and its task must refer to each other. */
static bool
count_live_lease(struct reader *r, const struct lease *lease)
{
    struct job *job = job_by_number(r->s, lease->job);
    const struct state_task *task;
    struct state_worker *worker;

    if (job == NULL || lease->task >= job->pub.spec.tasks ||
        state_job_terminal(job->pub.state)) {
        return false;
    }
    task = &job->tasks[lease->task];
    worker = map_get_u64(r->s->workers, task->worker);
    if (task->state != STATE_TASK_PLACED || task->lease != lease->number ||
        worker == NULL) {
        return false;
    }
    job->pub.placed++;
    worker->placed++;
    r->live_leases++;
    return true;
}

bool
decode_lease(struct reader *r, const State__SnapLease *m)
{
    struct lease lease = {.number = m->lease,
                          .job = m->job,
                          .task = m->task,
                          .team = m->team,
                          .cpu_ms = m->cpu_ms,
                          .memory_mib_s = m->memory_mib_s,
                          .accelerator_ms = m->accelerator_ms,
                          .ended_ms = m->ended_ms};

    if (m->lease == 0 || m->lease > r->s->highest_lease ||
        lease_by_number(r->s, m->lease) != NULL) {
        return false;
    }
    if (m->ended_ms < 0) {
        return count_live_lease(r, lease_insert(r->s, &lease));
    }
    lease_link_ended(r->s, lease_insert(r->s, &lease));
    return true;
}

static int
compare_end_seq(const void *left, const void *right)
{
    const struct job *a = *(struct job *const *)left;
    const struct job *b = *(struct job *const *)right;

    return (a->end_seq > b->end_seq) - (a->end_seq < b->end_seq);
}

void
sort_ended_jobs(struct state *s)
{
    size_t max_count = s->jobs.count - s->live_job_count;
    struct job **jobs = mem_zalloc(max_count + 1, sizeof(struct job *));
    uint64_t number = 0;
    struct job *job;
    size_t count = 0;

    while ((job = numtab_after(&s->jobs, number)) != NULL) {
        number = job->pub.number;
        if (state_job_terminal(job->pub.state)) {
            jobs[count++] = job;
        }
    }
    qsort((void *)jobs, count, sizeof(struct job *), compare_end_seq);
    for (size_t i = 0; i < count; i++) {
        job_link_ended(s, jobs[i]);
    }
    mem_free((void *)jobs);
}
