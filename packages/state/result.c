#include "mem.h"
#include "state_impl.h"

void
result_applied(struct apply *a, uint64_t version, uint64_t number,
               size_t changed)
{
    struct state_result *r = a->result;

    r->kind = STATE_APPLIED;
    r->u.applied.version = version;
    r->u.applied.number = number;
    r->u.applied.changed = changed;
    r->u.applied.jobs = a->s->changed_jobs;
    r->u.applied.rejects = a->s->rejects;
}

void
result_conflict(struct apply *a, uint64_t version, enum state_reason reason)
{
    a->result->kind = STATE_CONFLICT;
    a->result->u.conflict.version = version;
    a->result->u.conflict.reason = reason;
}

void
result_invalid(struct apply *a, enum state_reason reason)
{
    a->result->kind = STATE_INVALID;
    a->result->u.invalid.reason = reason;
}

void
result_not_found(struct apply *a, enum state_reason reason)
{
    a->result->kind = STATE_NOT_FOUND;
    a->result->u.not_found.reason = reason;
}

void
result_duplicate(struct apply *a, const struct state_first_result *first)
{
    a->result->kind = STATE_DUPLICATE;
    a->result->u.duplicate = *first;
}

/* The lists of rejects and changed jobs are used only by commands that end in
 * result_applied. Until then the result holds their lengths. */
void
result_reject(struct apply *a, size_t item, enum state_reason reason)
{
    struct state *s = a->s;
    size_t n = a->result->u.applied.reject_count;

    if (n == s->reject_cap) {
        s->reject_cap = n == 0 ? 16 : n * 2;
        s->rejects =
            mem_realloc(s->rejects, s->reject_cap, sizeof(*s->rejects));
    }
    s->rejects[n] = (struct state_reject){item, reason};
    a->result->u.applied.reject_count++;
}

void
result_changed_job(struct apply *a, uint64_t job)
{
    struct state *s = a->s;
    size_t n = a->result->u.applied.changed;

    if (n == s->changed_cap) {
        s->changed_cap = n == 0 ? 16 : n * 2;
        s->changed_jobs = mem_realloc(s->changed_jobs, s->changed_cap,
                                      sizeof(*s->changed_jobs));
    }
    s->changed_jobs[n] = job;
    a->result->u.applied.changed++;
}
