/*
 * The leader's state and the batches of commands that it commits.
 */
#include "leader.h"

#include <string.h>

#include "clock.h"
#include "evacuation.h"
#include "mem.h"

struct leader *
leader_create(struct node *n, uint64_t term)
{
    struct leader *l = mem_zalloc(1, sizeof(*l));

    l->node = n;
    l->state = n->group->state;
    l->term = term;
    l->began = n->now;
    l->sessions = map_create();
    l->approvals = map_create();
    l->evacuations = evacuations_create();
    l->plan_needed = true;
    l->plan.reconsider_ns = INT64_MAX;
    for (struct flow_job *j = flow_first_live(l->state); j != NULL;
         j = j->next) {
        int64_t age_ms = clock_wall_ms() - j->wall_ms;

        j->arrived_ns = n->now - (age_ms > 0 ? age_ms : 0) * NS_PER_MS;
    }
    return l;
}

static void
batch_free(struct leader_batch *b)
{
    for (size_t i = 0; i < b->request_count; i++) {
        str_free(&b->requests[i].document);
        str_free(&b->requests[i].domain);
    }
    mem_free(b->requests);
    mem_free(b);
}

static void
clear_commands(struct leader *l)
{
    for (size_t i = 0; i < l->command_count; i++) {
        mem_free(l->commands[i].data);
    }
    l->command_count = 0;
    l->command_bytes = 0;
}

void
leader_destroy(struct leader *l)
{
    struct leader_batch *next;

    if (l == NULL) {
        return;
    }
    for (; l->first != NULL; l->first = next) {
        next = l->first->next;
        batch_free(l->first);
    }
    if (l->open_batch != NULL) {
        batch_free(l->open_batch);
    }
    clear_commands(l);
    workers_destroy(l);
    leader_free_approvals(l);
    evacuations_destroy(l->evacuations);
    plan_free(&l->plan);
    mem_free(l->planned);
    mem_free(l->commands);
    mem_free(l);
}

uint64_t
leader_current_term(const struct leader *l)
{
    return l->term;
}

void
leader_queue_command(struct leader *l, const Flow__Command *command)
{
    struct packed_command *p;

    if (l->command_count == l->command_cap) {
        l->command_cap = l->command_cap * 2 + 64;
        l->commands =
            mem_realloc(l->commands, l->command_cap, sizeof(*l->commands));
    }
    p = &l->commands[l->command_count++];
    p->len = flow__command__get_packed_size(command);
    p->data = mem_alloc(p->len + 1);
    flow__command__pack(command, p->data);
    l->command_bytes += p->len;
}

struct leader_batch *
leader_open_batch(struct leader *l)
{
    if (l->open_batch == NULL) {
        l->open_batch = mem_zalloc(1, sizeof(*l->open_batch));
    }
    return l->open_batch;
}

/* Called while raft delivers committed entries, so it must not propose. */
void
leader_entry_applied(struct leader *l, uint64_t index, uint64_t term)
{
    struct leader_batch *b = l->first;

    if (b == NULL || b->index != index || term != l->term) {
        return;
    }
    metrics_commit(l->node->metrics, l->node->now - b->proposed_at);
    l->first = b->next;
    if (l->first == NULL) {
        l->last = NULL;
    }
    for (size_t i = 0; i < b->request_count; i++) {
        answer_committed_request(l, &b->requests[i]);
    }
    if (b->has_starts) {
        leader_queue_planned_starts(l);
    }
    l->plan_needed = true;
    batch_free(b);
}

static void
fail_batch(struct leader *l, struct leader_batch *b)
{
    for (size_t i = 0; i < b->request_count; i++) {
        request_refuse(l->node, b->requests[i].from, NODE__OUTCOME__NOT_LEADER,
                       "cannot commit", 0);
    }
    if (b->has_starts) {
        l->plan_committing = false;
        l->planned_count = 0;
    }
    workers_reset_proposals(l);
    l->plan_needed = true;
    batch_free(b);
}

static void
propose_batch(struct leader *l)
{
    Flow__PackedBatch batch = FLOW__PACKED_BATCH__INIT;
    ProtobufCBinaryData *items;
    struct leader_batch *b;
    uint8_t *bytes;
    size_t len;

    if (l->command_count == 0) {
        return;
    }
    b = leader_open_batch(l);
    l->open_batch = NULL;
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
    b->proposed_at = l->node->now;
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

void
leader_propose_if_long(struct leader *l)
{
    enum {
        /* A quarter of the longest message between VMs. */
        BATCH_BYTES = PEER_PAYLOAD_MAX / 4,
    };

    if (l->command_bytes > BATCH_BYTES) {
        propose_batch(l);
    }
}

/* Queues a command for each scheduled job whose next occurrence is due. */
static void
queue_due_occurrences(struct leader *l)
{
    int64_t wall = clock_wall_ms();

    for (struct flow_job *j = flow_first_live(l->state); j != NULL;
         j = j->next) {
        Flow__Command command = FLOW__COMMAND__INIT;
        Flow__Due due = FLOW__DUE__INIT;

        if (j->state > FLOW_JOB_RUNNING || j->due >= j->spec->occurrences ||
            wall < flow_due_wall_ms(j->spec, j->due)) {
            continue;
        }
        due.job = j->id;
        due.occurrence = j->due;
        command.kind_case = FLOW__COMMAND__KIND_DUE;
        command.due = &due;
        leader_queue_command(l, &command);
    }
}

void
leader_step(struct leader *l)
{
    enum {
        /* Occurrences must start well within 250 ms of their due time. */
        DUE_SCAN_MS = 20,
    };

    if (!group_is_leader(l->node->group)) {
        return;
    }
    workers_step(l);
    if (l->node->now >= l->due_scan_at) {
        l->due_scan_at = l->node->now + DUE_SCAN_MS * NS_PER_MS;
        queue_due_occurrences(l);
    }
    evacuations_step(l);
    leader_plan_step(l);
    propose_batch(l);
}

int64_t
leader_next_deadline(const struct leader *l)
{
    enum {
        /* Interval of checks whether the quorum answers again or leadership
         * is lost. */
        NO_QUORUM_WAIT_MS = 10,
    };
    int64_t deadline = workers_next_deadline(l);

    /* Without a quorum leader_step() does nothing, so overdue deadlines are
     * ignored to avoid a busy loop. */
    if (!group_is_leader(l->node->group)) {
        return l->node->now + NO_QUORUM_WAIT_MS * NS_PER_MS;
    }
    if (l->plan_needed && !l->plan_committing && l->plan_due < deadline) {
        deadline = l->plan_due;
    }
    if (!l->plan_committing && l->plan.reconsider_ns < deadline) {
        deadline = l->plan.reconsider_ns > l->plan_due ? l->plan.reconsider_ns
                                                       : l->plan_due;
    }
    return l->due_scan_at < deadline ? l->due_scan_at : deadline;
}
