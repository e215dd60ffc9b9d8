/*
 * Records entries' promises (early_ns of a report) in the replicated state;
 * see docs/routing.md.
 */
#include "entries_impl.h"

void
entries_record_promises(struct leader *l)
{
    struct state_actor actor = leader_system_actor();
    struct ledger_record r;
    struct buf command = {0};

    while (ledger_take_due_record(l->ledger, &r)) {
        const struct state_vm *vm = state_vm(leader_state(l), r.vm);

        if (vm == NULL || vm->run != r.run) {
            continue;
        }
        buf_clear(&command);
        state_cmd_vm_promise(&command, &actor, r.vm, r.run,
                             (uint64_t)(r.early_ns / NS_PER_MS), r.seq);
        replica_propose(l->replica, buf_str(&command), replica_no_waiter);
        l->promises_pending = true;
    }
    buf_free(&command);
}

void
entries_confirm_promises(struct leader *l)
{
    const struct state *state = leader_state(l);
    const struct state_vm *vm;
    void *cursor = NULL;

    if (!l->promises_pending ||
        state_index(state) == l->promises_checked_index) {
        return;
    }
    l->promises_checked_index = state_index(state);
    l->promises_pending = false;
    while ((vm = state_vm_next(state, &cursor)) != NULL) {
        struct ledger_record r = {.vm = vm->name,
                                  .run = vm->run,
                                  .early_ns =
                                      (int64_t)vm->early_ms * NS_PER_MS,
                                  .seq = vm->early_seq};

        l->promises_pending =
            ledger_confirm_record(l->ledger, &r) || l->promises_pending;
    }
}
