/*
 * Entries' bounds in the replicated state, for a new leader that hears nothing
 * from a VM. The ledger tells what to record and, with each grant, the most
 * that the state may say for the entry's process; the entry raises its bound
 * only once that is not above its promise. docs/routing.md has the argument.
 */
#include "ledger_int.h"
#include "mem.h"

struct vm *
vm_make(struct ledger *l, struct str name)
{
    struct vm *v = map_get(l->vms, name);

    if (v == NULL) {
        v = mem_zalloc(1, sizeof(*v));
        v->name = str_dup(name);
        map_put(l->vms, v->name, v);
    }
    return v;
}

void
vms_clear(struct ledger *l)
{
    void *cursor = NULL;
    struct vm *v;

    while ((v = map_next(l->vms, &cursor)) != NULL) {
        str_free(&v->name);
        mem_free(v);
    }
    map_destroy(l->vms);
    l->vms = map_create();
}

/* The state forgets the promise as well when it learns of another process. */
static struct vm *
vm_of(struct ledger *l, const struct entry *e)
{
    struct vm *v = vm_make(l, e->vm);

    if (v->run != e->run) {
        int64_t until = v->unreported_until;
        *v = (struct vm){
            .name = v->name, .run = e->run, .unreported_until = until};
    }
    return v;
}

static int64_t
promised(const struct vm *v)
{
    return v->recorded > v->high ? v->recorded : v->high;
}

int64_t
promise_most(const struct ledger *l, const struct entry *e)
{
    const struct vm *v = map_get(l->vms, e->vm);

    return v == NULL || v->run != e->run ? INT64_MAX : promised(v);
}

/* No other process of the VM may have requests that are not known. */
static bool
alone(const struct ledger *l, const struct entry *e)
{
    void *cursor = NULL;
    const struct entry *other;

    while ((other = map_next(l->entries, &cursor)) != NULL) {
        if (other != e && str_eq(other->vm, e->vm)) {
            return false;
        }
    }
    return true;
}

/*
 * Proposals in flight never rise, so that the one that is applied tells what
 * the later ones can say at most.
 */
static bool
wants_record(const struct ledger *l, int64_t now, const struct vm *v,
             int64_t *target)
{
    if (v->high != 0 && *target > v->proposed) {
        *target = v->proposed;
    }
    if (*target < promised(v)) {
        return *target != v->proposed ||
               now >= v->proposed_at + l->config.resend_ns;
    }
    return (v->high != 0 || *target > v->recorded) &&
           now >= v->proposed_at + l->config.record_ns;
}

void
promise_reported(struct ledger *l, int64_t now, struct entry *e,
                 const struct report *report)
{
    struct vm *v = vm_of(l, e);
    int64_t target = report->early_ns < 0 ? 0 : report->early_ns;

    if (target > promised(v) &&
        (report->up_ns < ledger_window(l) || !alone(l, e))) {
        target = promised(v);
    }
    if (!wants_record(l, now, v, &target)) {
        return;
    }
    v->proposed = target;
    v->proposed_at = now;
    v->proposed_seq = e->seq;
    if (target >= v->high) {
        v->high = target;
        v->high_seq = e->seq;
    }
    v->due = true;
    l->records_due = true;
}

bool
ledger_record_due(struct ledger *l, struct ledger_record *out)
{
    void *cursor = NULL;
    struct vm *v;

    if (!l->records_due) {
        return false;
    }
    while ((v = map_next(l->vms, &cursor)) != NULL) {
        if (v->due) {
            v->due = false;
            *out = (struct ledger_record){v->name, v->run, v->proposed,
                                          v->proposed_seq};
            return true;
        }
    }
    l->records_due = false;
    return false;
}

bool
ledger_recorded(struct ledger *l, const struct ledger_record *r)
{
    struct vm *v = map_get(l->vms, r->vm);
    struct entry *e = map_get_u64(l->entries, r->run);

    if (v == NULL || v->run != r->run) {
        return false;
    }
    if (r->seq <= v->recorded_seq) {
        return v->proposed_seq > v->recorded_seq;
    }
    v->recorded = r->early_ns;
    v->recorded_seq = r->seq;
    if (r->seq >= v->high_seq) {
        v->high = 0;
    }
    /* Requests may wait for it. */
    if (e != NULL && !e->due) {
        e->due = true;
        TAILQ_INSERT_TAIL(&l->due, e, in_due);
    }
    return v->proposed_seq > v->recorded_seq;
}

/* Whether some VM may hold units that it has not reported. */
static void
recovery_update(struct ledger *l)
{
    void *cursor = NULL;
    const struct vm *v;
    int64_t last = 0;

    while ((v = map_next(l->vms, &cursor)) != NULL) {
        last = v->unreported_until > last ? v->unreported_until : last;
    }
    l->recover_until = last;
    if (last == 0) {
        ledger_end_recovery(l);
    }
}

void
vm_unreported(struct ledger *l, const struct ledger_vm *known, int64_t now)
{
    struct vm *v = vm_make(l, known->name);
    int64_t early = known->early_ns < 0 ? 0 : known->early_ns;

    if (early > l->config.longest_request_ns) {
        early = l->config.longest_request_ns;
    }
    v->run = known->run;
    v->recorded = known->early_ns;
    v->unreported_until = now + ledger_window(l) - early;
    if (v->unreported_until > l->recover_until) {
        l->recover_until = v->unreported_until;
    }
}

void
vm_reported(struct ledger *l, struct str name)
{
    struct vm *v = map_get(l->vms, name);

    if (v != NULL && v->unreported_until != 0) {
        v->unreported_until = 0;
        recovery_update(l);
    }
}

void
vms_expire(struct ledger *l, int64_t now)
{
    void *cursor = NULL;
    struct vm *v;

    if (l->recover_until == 0) {
        return;
    }
    while ((v = map_next(l->vms, &cursor)) != NULL) {
        if (now >= v->unreported_until) {
            v->unreported_until = 0;
        }
    }
    recovery_update(l);
}
