#include "raft_net.h"

#include <string.h>

void
net_entries_truncate(GArray *list, guint keep)
{
    for (guint i = keep; i < list->len; i++) {
        str_free(&g_array_index(list, struct raft_entry, i).data);
    }
    g_array_set_size(list, keep);
}

/* Removes the entries up to and including index. */
static void
entries_remove_up_to(GArray *list, uint64_t index)
{
    guint k = 0;

    while (k < list->len &&
           g_array_index(list, struct raft_entry, k).index <= index) {
        str_free(&g_array_index(list, struct raft_entry, k).data);
        k++;
    }
    if (k > 0) {
        g_array_remove_range(list, 0, k);
    }
}

void
net_entries_append(GArray *list, const struct raft_entry *e)
{
    struct raft_entry copy = *e;
    guint k = list->len;

    while (k > 0 &&
           g_array_index(list, struct raft_entry, k - 1).index >= e->index) {
        k--;
    }
    net_entries_truncate(list, k);
    copy.data = str_dup(e->data);
    g_array_append_val(list, copy);
}

void
net_write_free(struct net_write *w)
{
    net_entries_truncate(w->entries, 0);
    g_array_free(w->entries, TRUE);
    str_free(&w->snapshot.members);
    if (w->state != NULL) {
        g_byte_array_unref(w->state);
    }
    g_free(w);
}

static uint64_t
disk_term(const struct net_disk *d, uint64_t index)
{
    for (guint i = 0; i < d->entries->len; i++) {
        const struct raft_entry *e =
            &g_array_index(d->entries, struct raft_entry, i);

        if (e->index == index) {
            return e->term;
        }
    }
    return 0;
}

void
net_disk_apply(struct net *n, struct net_node *node, const struct net_write *w)
{
    struct net_disk *d = &node->disk;

    if (w->hard_changed) {
        d->hard = w->hard;
        net_record_vote(n, node->id, w->hard.term, w->hard.vote);
    }
    for (guint i = 0; i < w->entries->len; i++) {
        net_entries_append(d->entries,
                           &g_array_index(w->entries, struct raft_entry, i));
    }
    if (w->install && !w->reset_log &&
        disk_term(d, w->snapshot.index) != w->snapshot.term) {
        net_report_violation(n,
                             "log kept that contradicts an installed snapshot",
                             node->id, w->snapshot.index);
    }
    if (w->snapshot.index > d->snapshot.index) {
        str_free(&d->snapshot.members);
        d->snapshot = w->snapshot;
        d->snapshot.members = str_dup(w->snapshot.members);
        g_byte_array_set_size(d->state, 0);
        g_byte_array_append(d->state, w->state->data, w->state->len);
        entries_remove_up_to(d->entries,
                             w->reset_log ? UINT64_MAX : w->snapshot.index);
    }
}

void
net_disk_clear(struct net_disk *d)
{
    net_entries_truncate(d->entries, 0);
    str_free(&d->snapshot.members);
    d->snapshot = (struct raft_snapshot){0};
    d->hard = (struct raft_hard_state){0};
    g_byte_array_set_size(d->state, 0);
}

struct net_write *
net_queue_write(struct net *n, struct net_node *node)
{
    struct net_write *w = g_new0(struct net_write, 1);
    struct net_write *last = g_queue_peek_tail(&node->writes);
    int64_t delay = (int64_t)rng_below(&n->rng, (uint64_t)node->max_sync_ns);

    w->entries = g_array_new(FALSE, FALSE, sizeof(struct raft_entry));
    w->due_ns = n->now + delay;
    if (last != NULL && last->due_ns > w->due_ns) {
        w->due_ns = last->due_ns;
    }
    g_queue_push_tail(&node->writes, w);
    return w;
}

/*
 * The state of a node is a hash over all applied entries. A snapshot of it is
 * padded with further words, so that it is sent in several chunks.
 */

static uint64_t
next_state_hash(uint64_t state_hash, const struct raft_entry *e)
{
    uint64_t parts[] = {state_hash, e->index, e->term, e->kind,
                        str_hash(e->data)};

    return str_hash(str_from(parts, sizeof(parts)));
}

GByteArray *
net_state_encode(uint64_t state_hash)
{
    GByteArray *out = g_byte_array_new();
    uint64_t words = 1 + state_hash % 40;

    for (uint64_t i = 0; i < words; i++) {
        uint64_t word = state_hash + i;

        g_byte_array_append(out, (const guint8 *)&word, sizeof(word));
    }
    return out;
}

void
net_apply_entry(struct net *n, struct net_node *node,
                const struct raft_entry *e)
{
    struct net_commit c = {.term = e->term,
                           .state_hash = next_state_hash(node->state_hash, e)};
    struct raft_status s;

    if (e->index != node->applied + 1) {
        net_report_violation(n, "entry applied out of order", e->index,
                             node->applied);
        return;
    }
    node->applied = e->index;
    node->state_hash = c.state_hash;
    if (e->index > n->committed->len) {
        /* The leader that commits an entry is the first to apply it. */
        raft_status(node->raft, &s);
        c.commit_term = s.term;
        g_array_append_val(n->committed, c);
    }
    else if (g_array_index(n->committed, struct net_commit, e->index - 1)
                 .state_hash != c.state_hash) {
        net_report_violation(n, "different entry applied", e->index, node->id);
    }
    if (e->kind == RAFT_ENTRY_CONFIG && e->index > n->config.index) {
        str_free(&n->config.members);
        n->config.members = str_dup(e->data);
        n->config.index = e->index;
    }
}

void
net_restore_state(struct net *n, struct net_node *node, uint64_t index,
                  const GByteArray *state)
{
    node->applied = index;
    node->state_hash = 0;
    if (index == 0) {
        return;
    }
    memcpy(&node->state_hash, state->data, sizeof(node->state_hash));
    if (state->len != (1 + node->state_hash % 40) * 8 ||
        index > n->committed->len ||
        g_array_index(n->committed, struct net_commit, index - 1).state_hash !=
            node->state_hash) {
        net_report_violation(n, "snapshot differs from what was committed",
                             index, node->id);
    }
}
