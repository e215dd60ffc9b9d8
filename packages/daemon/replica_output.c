/*
 * Executes the work that raft outputs: sends messages, submits writes, reads
 * and received snapshots, and applies committed entries.
 */
#include "control.h"
#include "counter.h"
#include "mem.h"
#include "replica_impl.h"
#include "storage.h"

static struct link *
member_link(const struct replica *r, uint64_t id)
{
    size_t count;
    const struct raft_member *members = raft_members(r->raft, &count);
    struct link *l;
    void *cursor = NULL;

    for (size_t i = 0; i < count; i++) {
        if (members[i].id != id) {
            continue;
        }
        l = control_find_link(r->control, members[i].vm);
        if (l != NULL && l->member_id == id) {
            return l;
        }
    }
    /* A node without a configuration still has to answer its sender. */
    while ((l = map_next(r->control->links, &cursor)) != NULL) {
        if (l->member_id == id && l->session != NULL) {
            return l;
        }
    }
    return NULL;
}

static void
send_messages(struct replica *r, const struct raft_output *out)
{
    for (size_t i = 0; i < out->message_count; i++) {
        struct link *l = member_link(r, out->messages[i].to);
        Wire__Raft raft = WIRE__RAFT__INIT;
        Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

        if (l == NULL) {
            continue;
        }
        raft.data.data = (uint8_t *)out->messages[i].bytes.ptr;
        raft.data.len = out->messages[i].bytes.len;
        envelope.msg_case = WIRE__ENVELOPE__MSG_RAFT;
        envelope.raft = &raft;
        link_send(l, &envelope);
    }
}

static void
queue_reads(struct replica *r, const struct raft_output *out)
{
    for (size_t i = 0; i < out->read_count; i++) {
        struct storage_job *job = storage_job_create(STORAGE_READ);

        job->u.read.to = out->reads[i].to;
        job->u.read.index = out->reads[i].index;
        job->u.read.offset = out->reads[i].offset;
        job->u.read.len = out->reads[i].len;
        storage_submit(r->storage, job);
    }
}

static void
apply_entry(struct replica *r, const struct raft_entry *entry)
{
    struct state_result result = {0};
    struct pending_proposal *p = map_del_u64(r->proposals, entry->index);
    bool same_term = p != NULL && p->term == entry->term;

    state_apply(r->state, entry->index,
                entry->kind == RAFT_ENTRY_DATA ? entry->data
                                               : (struct str){NULL, 0},
                &result);
    if (p != NULL) {
        p->waiter.applied(p->waiter.arg, same_term ? &result : NULL);
        mem_free(p);
    }
}

/* Copies the committed entries, so that they can be applied after
 * raft_advance: applying may propose commands, which raft does not allow
 * before. */
static void
copy_committed(struct replica *r, const struct raft_output *out)
{
    r->committed_count = out->committed_count;
    if (r->committed_count > r->committed_cap) {
        r->committed_cap = r->committed_count;
        r->committed =
            mem_realloc(r->committed, r->committed_cap, sizeof(*r->committed));
    }
    buf_clear(&r->committed_bytes);
    for (size_t i = 0; i < out->committed_count; i++) {
        r->committed[i] = out->committed[i];
        buf_append_str(&r->committed_bytes, out->committed[i].data);
    }
}

static void
apply_committed(struct replica *r)
{
    static struct counter *applied;
    const char *data = r->committed_bytes.ptr;

    if (applied == NULL) {
        applied = counter_get(COUNTER_SUM, "guavarock_entries_applied_total",
                              "Log entries applied.");
    }
    for (size_t i = 0; i < r->committed_count; i++) {
        r->committed[i].data.ptr = data;
        data += r->committed[i].data.len;
        apply_entry(r, &r->committed[i]);
    }
    counter_add(applied, r->committed_count);
}

void
replica_handle_output(struct replica *r, const struct raft_output *out)
{
    send_messages(r, out);
    storage_write(r->storage, out);
    replica_queue_snapshot_chunks(r, out);
    queue_reads(r, out);
    copy_committed(r, out);
    raft_advance(r->raft);
    apply_committed(r);
}
