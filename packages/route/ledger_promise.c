/*
 * Records in the replicated state how early each entry process promises to end
 * its attempts (early_ns of its reports). A new leader that gets no report
 * from a VM computes from the record when the VM's units have ended.
 *
 * The ledger decides which promise to record. Each grant message carries the
 * largest early_ns that the state may hold for the entry's process; the entry
 * starts longer attempts only once this is no larger than its reduced promise.
 * docs/routing.md shows why this is safe.
 */
#include "ledger_int.h"
#include "mem.h"

struct vm *
vm_find_or_create(struct ledger *l, struct str name)
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
vms_destroy_all(struct ledger *l)
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

/*
 * Returns the VM of an entry. Drops the promise of another process, as the
 * replicated state does when it learns of a new process on the VM.
 */
static struct vm *
find_or_reset_vm(struct ledger *l, const struct entry *e)
{
    struct vm *v = vm_find_or_create(l, e->vm);

    if (v->run != e->run) {
        int64_t until = v->unreported_until;
        *v = (struct vm){
            .name = v->name, .run = e->run, .unreported_until = until};
    }
    return v;
}

/* The largest promise that the state holds or that may still be applied. */
static int64_t
max_recorded_early_ns(const struct vm *v)
{
    return v->recorded_early_ns > v->inflight_max_early_ns
               ? v->recorded_early_ns
               : v->inflight_max_early_ns;
}

int64_t
promise_max_recorded_ns(const struct ledger *l, const struct entry *e)
{
    const struct vm *v = map_get(l->vms, e->vm);

    return v == NULL || v->run != e->run ? INT64_MAX
                                         : max_recorded_early_ns(v);
}

/*
 * Whether the ledger knows no other process on the VM, whose requests the
 * entry's promise would not cover.
 */
static bool
is_only_process_on_vm(const struct ledger *l, const struct entry *e)
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
 * Whether to propose a record with the promise *target, which may be lowered:
 * while proposals are in flight, a later one is never larger than an earlier
 * one, so that the applied one bounds all that may still be applied. A lower
 * promise is proposed at once, because requests may wait for it, and repeated
 * after resend_ns; a larger one only after record_ns.
 */
static bool
should_propose_record(const struct ledger *l, int64_t now, const struct vm *v,
                      int64_t *target)
{
    if (v->inflight_max_early_ns != 0 && *target > v->proposed_early_ns) {
        *target = v->proposed_early_ns;
    }
    if (*target < max_recorded_early_ns(v)) {
        return *target != v->proposed_early_ns ||
               now >= v->proposed_at + l->config.resend_ns;
    }
    return (v->inflight_max_early_ns != 0 || *target > v->recorded_early_ns) &&
           now >= v->proposed_at + l->config.record_ns;
}

void
promise_update(struct ledger *l, int64_t now, struct entry *e,
               const struct report *report)
{
    struct vm *v = find_or_reset_vm(l, e);
    int64_t target = report->early_ns < 0 ? 0 : report->early_ns;

    /* A larger promise would not cover attempts that another or an earlier
     * process on the VM may still have in flight. */
    if (target > max_recorded_early_ns(v) &&
        (report->up_ns < ledger_reclaim_delay_ns(l) ||
         !is_only_process_on_vm(l, e))) {
        target = max_recorded_early_ns(v);
    }
    if (!should_propose_record(l, now, v, &target)) {
        return;
    }
    v->proposed_early_ns = target;
    v->proposed_at = now;
    v->proposed_seq = e->seq;
    if (target >= v->inflight_max_early_ns) {
        v->inflight_max_early_ns = target;
        v->inflight_max_seq = e->seq;
    }
    v->record_due = true;
    l->records_pending = true;
}

bool
ledger_take_due_record(struct ledger *l, struct ledger_record *out)
{
    void *cursor = NULL;
    struct vm *v;

    if (!l->records_pending) {
        return false;
    }
    while ((v = map_next(l->vms, &cursor)) != NULL) {
        if (v->record_due) {
            v->record_due = false;
            *out = (struct ledger_record){
                v->name, v->run, v->proposed_early_ns, v->proposed_seq};
            return true;
        }
    }
    l->records_pending = false;
    return false;
}

bool
ledger_confirm_record(struct ledger *l, const struct ledger_record *r)
{
    struct vm *v = map_get(l->vms, r->vm);
    struct entry *e = map_get_u64(l->entries, r->run);

    if (v == NULL || v->run != r->run) {
        return false;
    }
    if (r->seq <= v->recorded_seq) {
        return v->proposed_seq > v->recorded_seq;
    }
    v->recorded_early_ns = r->early_ns;
    v->recorded_seq = r->seq;
    if (r->seq >= v->inflight_max_seq) {
        v->inflight_max_early_ns = 0;
    }
    /* Tells the entry at once: its requests may wait for a lower record. */
    if (e != NULL && !e->due) {
        e->due = true;
        TAILQ_INSERT_TAIL(&l->due, e, in_due);
    }
    return v->proposed_seq > v->recorded_seq;
}

/* Recomputes until when some VM may hold units that it has not reported. */
static void
update_recovery(struct ledger *l)
{
    void *cursor = NULL;
    const struct vm *v;
    int64_t last = 0;

    while ((v = map_next(l->vms, &cursor)) != NULL) {
        last = v->unreported_until > last ? v->unreported_until : last;
    }
    l->recovery_until = last;
    if (last == 0) {
        end_recovery(l);
    }
}

void
vm_set_unreported(struct ledger *l, const struct ledger_vm *known, int64_t now)
{
    struct vm *v = vm_find_or_create(l, known->name);
    int64_t early = known->early_ns < 0 ? 0 : known->early_ns;

    if (early > l->config.longest_request_ns) {
        early = l->config.longest_request_ns;
    }
    v->run = known->run;
    v->recorded_early_ns = known->early_ns;
    v->unreported_until = now + ledger_reclaim_delay_ns(l) - early;
    if (v->unreported_until > l->recovery_until) {
        l->recovery_until = v->unreported_until;
    }
}

void
vm_set_reported(struct ledger *l, struct str name)
{
    struct vm *v = map_get(l->vms, name);

    if (v != NULL && v->unreported_until != 0) {
        v->unreported_until = 0;
        update_recovery(l);
    }
}

void
vms_expire(struct ledger *l, int64_t now)
{
    void *cursor = NULL;
    struct vm *v;

    if (l->recovery_until == 0) {
        return;
    }
    while ((v = map_next(l->vms, &cursor)) != NULL) {
        if (now >= v->unreported_until) {
            v->unreported_until = 0;
        }
    }
    update_recovery(l);
}
