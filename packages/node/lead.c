/*
 * What a leader is, and the batches that it commits.
 */
#include "lead.h"

#include <string.h>

#include "clock.h"
#include "mem.h"

struct lead *
lead_create(struct node *n, uint64_t term)
{
    struct lead *l = mem_zalloc(1, sizeof(*l));

    l->node = n;
    l->state = n->group->state;
    l->term = term;
    l->began = n->now;
    l->sessions = map_create();
    l->asks = map_create();
    l->dirty = true;
    for (struct flow_job *j = flow_first_live(l->state); j != NULL;
         j = j->next) {
        int64_t age_ms = clock_wall_ms() - j->wall_ms;

        j->seen_at = n->now - (age_ms > 0 ? age_ms : 0) * NS_PER_MS;
    }
    return l;
}

static void
batch_free(struct lead_batch *b)
{
    for (size_t i = 0; i < b->waiter_count; i++) {
        str_free(&b->waiters[i].document);
    }
    mem_free(b->waiters);
    mem_free(b);
}

static void
clear_commands(struct lead *l)
{
    for (size_t i = 0; i < l->command_count; i++) {
        mem_free(l->commands[i].data);
    }
    l->command_count = 0;
}

void
lead_destroy(struct lead *l)
{
    struct lead_batch *next;

    if (l == NULL) {
        return;
    }
    for (; l->first != NULL; l->first = next) {
        next = l->first->next;
        batch_free(l->first);
    }
    if (l->filling != NULL) {
        batch_free(l->filling);
    }
    clear_commands(l);
    workers_destroy(l);
    lead_asks_free(l);
    plan_free(&l->plan);
    mem_free(l->planned);
    mem_free(l->commands);
    mem_free(l);
}

uint64_t
lead_term(const struct lead *l)
{
    return l->term;
}

void
lead_command(struct lead *l, const Flow__Command *command)
{
    struct packed *p;

    if (l->command_count == l->command_cap) {
        l->command_cap = l->command_cap * 2 + 64;
        l->commands =
            mem_realloc(l->commands, l->command_cap, sizeof(*l->commands));
    }
    p = &l->commands[l->command_count++];
    p->len = flow__command__get_packed_size(command);
    p->data = mem_alloc(p->len + 1);
    flow__command__pack(command, p->data);
}

struct lead_batch *
lead_filling(struct lead *l)
{
    if (l->filling == NULL) {
        l->filling = mem_zalloc(1, sizeof(*l->filling));
    }
    return l->filling;
}

/* Called while raft hands over committed entries: nothing may be proposed. */
void
lead_applied(struct lead *l, uint64_t index, uint64_t term)
{
    struct lead_batch *b = l->first;

    if (b == NULL || b->index != index || term != l->term) {
        return;
    }
    metrics_commit(l->node->metrics, l->node->now - b->proposed);
    l->first = b->next;
    if (l->first == NULL) {
        l->last = NULL;
    }
    for (size_t i = 0; i < b->waiter_count; i++) {
        request_committed(l, &b->waiters[i]);
    }
    if (b->plan) {
        lead_plan_applied(l);
    }
    l->dirty = true;
    batch_free(b);
}

static void
fail_batch(struct lead *l, struct lead_batch *b)
{
    for (size_t i = 0; i < b->waiter_count; i++) {
        request_refuse(l->node, b->waiters[i].from, NODE__OUTCOME__NOT_LEADER,
                       "cannot commit", 0);
    }
    if (b->plan) {
        l->plan_busy = false;
        l->planned_count = 0;
    }
    workers_proposal_failed(l);
    l->dirty = true;
    batch_free(b);
}

static void
propose(struct lead *l)
{
    Flow__PackedBatch batch = FLOW__PACKED_BATCH__INIT;
    ProtobufCBinaryData *items;
    struct lead_batch *b;
    uint8_t *bytes;
    size_t len;

    if (l->command_count == 0) {
        return;
    }
    b = lead_filling(l);
    l->filling = NULL;
    items = mem_alloc(l->command_count * sizeof(*items));
    for (size_t i = 0; i < l->command_count; i++) {
        items[i].data = l->commands[i].data;
        items[i].len = l->commands[i].len;
    }
    batch.commands = items;
    batch.n_commands = l->command_count;
    batch.wall_ms = clock_wall_ms();
    len = flow__packed_batch__get_packed_size(&batch);
    bytes = mem_alloc(len + 1);
    flow__packed_batch__pack(&batch, bytes);
    b->proposed = l->node->now;
    b->index = group_propose(l->node->group, str_from(bytes, len));
    mem_free(bytes);
    mem_free(items);
    clear_commands(l);
    if (b->index == 0) {
        fail_batch(l, b);
        return;
    }
    if (l->last == NULL) {
        l->first = b;
    }
    else {
        l->last->next = b;
    }
    l->last = b;
}

/* Occurrences of scheduled jobs whose time has come. */
static void
add_due(struct lead *l)
{
    int64_t wall = clock_wall_ms();

    for (struct flow_job *j = flow_first_live(l->state); j != NULL;
         j = j->next) {
        Flow__Command command = FLOW__COMMAND__INIT;
        Flow__Due due = FLOW__DUE__INIT;

        if (j->state > FLOW_JOB_RUNNING || j->due >= j->spec->occurrences ||
            wall < j->spec->first_due_ms +
                       (int64_t)j->due * j->spec->interval_ms) {
            continue;
        }
        due.job = j->id;
        due.occurrence = j->due;
        command.kind_case = FLOW__COMMAND__KIND_DUE;
        command.due = &due;
        lead_command(l, &command);
    }
}

void
lead_step(struct lead *l)
{
    enum {
        SCAN_MS = 20, /* schedules are kept to within a fraction of 250 ms */
    };

    if (!group_leads(l->node->group)) {
        return;
    }
    workers_step(l);
    if (l->node->now >= l->scan_due) {
        l->scan_due = l->node->now + SCAN_MS * NS_PER_MS;
        add_due(l);
    }
    lead_plan_step(l);
    propose(l);
}

int64_t
lead_next_deadline(const struct lead *l)
{
    enum {
        NO_QUORUM_WAIT_MS = 10, /* until it is heard from, or lost */
    };
    int64_t deadline = workers_next_deadline(l);

    /* Without a quorum nothing is stepped, however overdue it is. */
    if (!group_leads(l->node->group)) {
        return l->node->now + NO_QUORUM_WAIT_MS * NS_PER_MS;
    }
    if (l->dirty && !l->plan_busy && l->plan_due < deadline) {
        deadline = l->plan_due;
    }
    return l->scan_due < deadline ? l->scan_due : deadline;
}
