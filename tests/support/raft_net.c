#include "raft_net.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "mem.h"
#include "raft.pb-c.h"

#define ELECTION_TIMEOUT (100 * NET_MS)

static void
violate(struct net *n, const char *what, uint64_t a, uint64_t b)
{
    if (n->violation[0] == '\0') {
        snprintf(n->violation, sizeof(n->violation),
                 "%s (%" PRIu64 ", %" PRIu64 ") at %" PRId64 " ms", what, a, b,
                 n->now / NET_MS);
    }
}

static bool
chance(struct net *n, unsigned per_mille)
{
    return rng_below(&n->rng, 1000) < per_mille;
}

int64_t
net_clock(const struct net *n, int vm)
{
    const struct net_node *node = &n->nodes[vm];

    return n->now + n->now / 1000000 * node->clock_ppm + node->clock_offset;
}

/* Disk. */

static void
entries_drop(GArray *list, guint keep)
{
    for (guint i = keep; i < list->len; i++) {
        str_free(&g_array_index(list, struct raft_entry, i).data);
    }
    g_array_set_size(list, keep);
}

static void
entries_drop_to(GArray *list, uint64_t index)
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

static void
entries_put(GArray *list, const struct raft_entry *e)
{
    struct raft_entry copy = *e;
    guint k = list->len;

    while (k > 0 &&
           g_array_index(list, struct raft_entry, k - 1).index >= e->index) {
        k--;
    }
    entries_drop(list, k);
    copy.data = str_dup(e->data);
    g_array_append_val(list, copy);
}

static void
write_free(struct net_write *w)
{
    entries_drop(w->entries, 0);
    g_array_free(w->entries, TRUE);
    str_free(&w->snapshot.members);
    if (w->state != NULL) {
        g_byte_array_unref(w->state);
    }
    g_free(w);
}

static void
note_vote(struct net *n, uint64_t id, uint64_t term, uint64_t vote)
{
    char *key = g_strdup_printf("%" PRIu64 "/%" PRIu64, id, term);
    uint64_t old = GPOINTER_TO_SIZE(g_hash_table_lookup(n->votes, key));

    if (vote != 0 && old != 0 && old != vote) {
        violate(n, "voted twice", id, term);
    }
    g_hash_table_insert(n->votes, key,
                        GSIZE_TO_POINTER(vote != 0 ? vote : old));
}

static void
disk_apply(struct net *n, struct net_node *node, const struct net_write *w)
{
    struct net_disk *d = &node->disk;

    if (w->hard_changed) {
        d->hard = w->hard;
        note_vote(n, node->id, w->hard.term, w->hard.vote);
    }
    for (guint i = 0; i < w->entries->len; i++) {
        entries_put(d->entries,
                    &g_array_index(w->entries, struct raft_entry, i));
    }
    if (w->snapshot.index > d->snapshot.index) {
        str_free(&d->snapshot.members);
        d->snapshot = w->snapshot;
        d->snapshot.members = str_dup(w->snapshot.members);
        g_byte_array_set_size(d->state, 0);
        g_byte_array_append(d->state, w->state->data, w->state->len);
        entries_drop_to(d->entries,
                        w->reset_log ? UINT64_MAX : w->snapshot.index);
    }
}

static void
disk_clear(struct net_disk *d)
{
    entries_drop(d->entries, 0);
    str_free(&d->snapshot.members);
    d->snapshot = (struct raft_snapshot){0};
    d->hard = (struct raft_hard_state){0};
    g_byte_array_set_size(d->state, 0);
}

static struct net_write *
write_queue(struct net *n, struct net_node *node)
{
    struct net_write *w = g_new0(struct net_write, 1);
    struct net_write *last = g_queue_peek_tail(&node->writes);
    int64_t delay = (int64_t)rng_below(&n->rng, (uint64_t)node->slow_sync);

    w->entries = g_array_new(FALSE, FALSE, sizeof(struct raft_entry));
    w->due = n->now + delay;
    if (last != NULL && last->due > w->due) {
        w->due = last->due;
    }
    g_queue_push_tail(&node->writes, w);
    return w;
}

/* State machine: a hash over all applied entries, padded to several parts. */

static uint64_t
chain_next(uint64_t chain, const struct raft_entry *e)
{
    uint64_t parts[] = {chain, e->index, e->term, e->kind, str_hash(e->data)};

    return str_hash(str_from(parts, sizeof(parts)));
}

static GByteArray *
state_encode(uint64_t chain)
{
    GByteArray *out = g_byte_array_new();
    uint64_t words = 1 + chain % 40;

    for (uint64_t i = 0; i < words; i++) {
        uint64_t word = chain + i;

        g_byte_array_append(out, (const guint8 *)&word, sizeof(word));
    }
    return out;
}

static void
note_applied(struct net *n, struct net_node *node, const struct raft_entry *e)
{
    struct net_commit c = {.term = e->term,
                           .chain = chain_next(node->chain, e)};
    struct raft_status s;

    if (e->index != node->applied + 1) {
        violate(n, "applied out of order", e->index, node->applied);
        return;
    }
    node->applied = e->index;
    node->chain = c.chain;
    if (e->index > n->committed->len) {
        /* The leader that commits an entry is the first to apply it. */
        raft_status(node->raft, &s);
        c.by = s.term;
        g_array_append_val(n->committed, c);
    }
    else if (g_array_index(n->committed, struct net_commit, e->index - 1)
                 .chain != c.chain) {
        violate(n, "different entry applied", e->index, node->id);
    }
    if (e->kind == RAFT_ENTRY_CONFIG && e->index > n->config.index) {
        str_free(&n->config.members);
        n->config.members = str_dup(e->data);
        n->config.index = e->index;
    }
}

static void
restore_state(struct net *n, struct net_node *node, uint64_t index,
              const GByteArray *state)
{
    node->applied = index;
    node->chain = 0;
    if (index == 0) {
        return;
    }
    memcpy(&node->chain, state->data, sizeof(node->chain));
    if (state->len != (1 + node->chain % 40) * 8 ||
        index > n->committed->len ||
        g_array_index(n->committed, struct net_commit, index - 1).chain !=
            node->chain) {
        violate(n, "snapshot differs from what was committed", index,
                node->id);
    }
}

/* Nodes. */

static void
node_start(struct net *n, int vm)
{
    struct net_node *node = &n->nodes[vm];
    struct net_disk *d = &node->disk;
    struct raft_config cfg;
    struct raft_restored from = {.hard = d->hard, .snapshot = d->snapshot};

    if (n->bug == NET_BUG_FORGET_VOTE) {
        from.hard.vote = 0;
    }
    if (n->bug == NET_BUG_LOSE_TAIL && d->entries->len > 0) {
        entries_drop(d->entries, d->entries->len - 1);
    }
    if (n->bug == NET_BUG_CHANGE_ENTRY && d->entries->len > 0) {
        struct raft_entry *e =
            &g_array_index(d->entries, struct raft_entry,
                           rng_below(&n->rng, d->entries->len));

        if (e->kind == RAFT_ENTRY_DATA) {
            *(char *)e->data.ptr ^= 1;
        }
    }
    from.entries = (const struct raft_entry *)d->entries->data;
    from.entry_count = d->entries->len;
    raft_config_init(&cfg, node->id, rng_next(&n->rng));
    cfg.election_timeout_ns = ELECTION_TIMEOUT;
    if (n->bug == NET_BUG_LONG_LEASE && vm == 0) {
        cfg.election_timeout_ns *= 4;
    }
    cfg.heartbeat_ns = ELECTION_TIMEOUT / 5;
    cfg.drift_ppm = 50000; /* clocks differ by up to 2 times 2% */
    cfg.batch_bytes = 300;
    cfg.window_bytes = 1500;
    cfg.window_entries = 40;
    cfg.uncommitted_bytes = 6000;
    cfg.snapshot_chunk_bytes = 64;
    cfg.retained_bytes = 500;
    cfg.catch_up_entries = 4;
    node->clock_offset = (int64_t)rng_below(&n->rng, 1u << 30);
    node->raft = raft_create(&cfg, &from,
                             net_clock(n, vm) - (n->bug == NET_BUG_FORGET_VOTE
                                                     ? ELECTION_TIMEOUT
                                                     : 0));
    g_assert_nonnull(node->raft);
    restore_state(n, node, d->snapshot.index, d->state);
}

static void
node_stop(struct net_node *node)
{
    struct net_write *w;

    raft_destroy(node->raft);
    node->raft = NULL;
    while ((w = g_queue_pop_head(&node->writes)) != NULL) {
        write_free(w);
    }
    g_byte_array_set_size(node->incoming, 0);
}

/* Some writes that were not synced may have reached the disk, in order. */
void
net_crash(struct net *n, int vm, int64_t down)
{
    struct net_node *node = &n->nodes[vm];

    if (node->raft == NULL) {
        return;
    }
    while (n->bug != NET_BUG_EARLY_SYNC && chance(n, 500)) {
        struct net_write *w = g_queue_pop_head(&node->writes);

        if (w == NULL) {
            break;
        }
        disk_apply(n, node, w);
        write_free(w);
    }
    node_stop(node);
    node->up_at = n->now + down;
}

void
net_lose_disk(struct net *n, int vm, int64_t down)
{
    struct net_node *node = &n->nodes[vm];

    if (node->raft != NULL) {
        node_stop(node);
    }
    node->up_at = n->now + down;
    disk_clear(&node->disk);
    g_hash_table_add(n->dead, GSIZE_TO_POINTER(node->id));
    if (n->bug != NET_BUG_KEEP_IDENTITY) {
        node->id = n->next_id;
        n->next_id++;
    }
    n->losses++;
}

static struct raft_member
member_of(const struct net *n, int vm, bool voter)
{
    static const char *const names[NET_VMS] = {"vm0", "vm1", "vm2",
                                               "vm3", "vm4", "vm5"};

    return (struct raft_member){n->nodes[vm].id, voter, str_of(names[vm]),
                                STR("127.0.0.1:1")};
}

struct net *
net_create(uint64_t seed, int voters, enum net_bug bug)
{
    struct net *n = g_new0(struct net, 1);
    struct raft_member members[NET_VMS];

    n->rng.state = seed;
    n->bug = bug;
    n->vms = NET_VMS;
    n->max_delay = 5 * NET_MS;
    n->next_id = 1;
    n->packets = g_array_new(FALSE, FALSE, sizeof(struct net_packet));
    n->committed = g_array_new(FALSE, FALSE, sizeof(struct net_commit));
    n->leaders = g_hash_table_new(g_direct_hash, g_direct_equal);
    n->votes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    n->dead = g_hash_table_new(g_direct_hash, g_direct_equal);
    for (int i = 0; i < n->vms; i++) {
        struct net_node *node = &n->nodes[i];

        node->id = n->next_id;
        n->next_id++;
        node->clock_ppm = (int64_t)rng_below(&n->rng, 40000) - 20000;
        node->slow_sync = 4 * NET_MS;
        node->disk.entries =
            g_array_new(FALSE, FALSE, sizeof(struct raft_entry));
        node->disk.state = g_byte_array_new();
        node->incoming = g_byte_array_new();
        g_queue_init(&node->writes);
        node_start(n, i);
        members[i] = member_of(n, i, true);
    }
    g_assert_cmpint(raft_bootstrap(n->nodes[0].raft, net_clock(n, 0), members,
                                   (size_t)voters),
                    ==, RAFT_OK);
    return n;
}

void
net_destroy(struct net *n)
{
    for (int i = 0; i < n->vms; i++) {
        struct net_node *node = &n->nodes[i];

        node_stop(node);
        disk_clear(&node->disk);
        g_array_free(node->disk.entries, TRUE);
        g_byte_array_unref(node->disk.state);
        g_byte_array_unref(node->incoming);
    }
    for (guint i = 0; i < n->packets->len; i++) {
        str_free(&g_array_index(n->packets, struct net_packet, i).bytes);
    }
    g_array_free(n->packets, TRUE);
    g_array_free(n->committed, TRUE);
    g_hash_table_destroy(n->leaders);
    g_hash_table_destroy(n->votes);
    g_hash_table_destroy(n->dead);
    str_free(&n->config.members);
    g_free(n);
}

/* Messages. */

static uint64_t
disk_last(const struct net_disk *d)
{
    return d->snapshot.index + d->entries->len;
}

/* Checks what a message promises against the sender's disk. */
static void
check_promise(struct net *n, struct net_node *node, const Raft__Message *m)
{
    if (g_hash_table_contains(n->dead, GSIZE_TO_POINTER(m->from))) {
        violate(n, "message under the identity of a lost disk", m->from, 0);
    }
    if (m->reject) {
        return;
    }
    if (m->kind == RAFT__KIND__APPEND_REPLY &&
        m->index > disk_last(&node->disk)) {
        violate(n, "acknowledged before sync", node->id, m->index);
    }
    if (m->kind == RAFT__KIND__VOTE_REPLY) {
        note_vote(n, m->from, m->term, m->to);
        node->voted = true;
    }
}

static int
vm_of(const struct net *n, uint64_t id)
{
    for (int i = 0; i < n->vms; i++) {
        if (n->nodes[i].id == id) {
            return i;
        }
    }
    /* A lost identity's VM still gets its messages, and must drop them. */
    return (int)(id % (uint64_t)n->vms);
}

static void
post(struct net *n, int vm, const struct raft_message *msg)
{
    Raft__Message *m = raft__message__unpack(NULL, msg->bytes.len,
                                             (const uint8_t *)msg->bytes.ptr);
    int to = vm_of(n, msg->to);
    int copies = 1 + chance(n, n->duplicate_per_mille);

    g_assert_nonnull(m);
    check_promise(n, &n->nodes[vm], m);
    raft__message__free_unpacked(m, NULL);
    if (n->blocked[vm][to] || chance(n, n->drop_per_mille)) {
        return;
    }
    for (int i = 0; i < copies; i++) {
        struct net_packet p = {vm, to, n->nodes[vm].id, str_dup(msg->bytes),
                               n->now};

        p.due += (int64_t)rng_below(&n->rng, (uint64_t)n->max_delay);
        g_array_append_val(n->packets, p);
    }
}

static void
deliver(struct net *n)
{
    for (guint i = 0; i < n->packets->len;) {
        struct net_packet p = g_array_index(n->packets, struct net_packet, i);
        struct net_node *node = &n->nodes[p.to];

        if (p.due > n->now || node->paused_until > n->now) {
            i++;
            continue;
        }
        g_array_remove_index_fast(n->packets, i);
        if (node->raft != NULL && !n->blocked[p.from][p.to]) {
            g_assert_cmpint(raft_receive(node->raft, net_clock(n, p.to),
                                         p.from_id, p.bytes),
                            ==, RAFT_OK);
        }
        str_free(&p.bytes);
    }
}

/* Output of a node. */

static void
take_install(struct net *n, struct net_node *node,
             const struct raft_install *in)
{
    struct net_write *w;

    if (in->offset == 0) {
        g_byte_array_set_size(node->incoming, 0);
    }
    g_byte_array_append(node->incoming, (const guint8 *)in->bytes.ptr,
                        (guint)in->bytes.len);
    if (!in->last) {
        return;
    }
    w = write_queue(n, node);
    w->snapshot = in->snapshot;
    w->snapshot.members = str_dup(in->snapshot.members);
    w->state = node->incoming;
    w->install = true;
    w->reset_log = in->reset_log;
    node->incoming = g_byte_array_new();
}

static void
answer_read(struct net *n, int vm, struct raft_snapshot_read rd)
{
    struct net_node *node = &n->nodes[vm];
    const GByteArray *state = node->disk.state;
    bool ok = rd.index == node->disk.snapshot.index &&
              rd.offset <= state->len && !chance(n, 20);
    size_t len = 0;

    if (ok) {
        len =
            state->len - rd.offset < rd.len ? state->len - rd.offset : rd.len;
    }
    raft_snapshot_chunk(node->raft, net_clock(n, vm), rd.to, rd.index,
                        rd.offset, str_from(state->data + rd.offset, len),
                        state->len, ok);
}

static void
take_write(struct net *n, struct net_node *node, const struct raft_output *out)
{
    struct net_write *w = write_queue(n, node);

    w->number = out->write;
    w->hard_changed = out->hard_changed;
    w->hard = out->hard;
    for (size_t i = 0; i < out->entry_count; i++) {
        entries_put(w->entries, &out->entries[i]);
    }
}

void
net_drain(struct net *n, int vm)
{
    struct net_node *node = &n->nodes[vm];
    struct raft_output out;

    while (raft_ready(node->raft, net_clock(n, vm), &out)) {
        struct raft_snapshot_read reads[NET_VMS];
        size_t read_count = out.read_count;
        uint64_t write = out.write;

        for (size_t i = 0; i < out.message_count; i++) {
            post(n, vm, &out.messages[i]);
        }
        if (out.write != 0) {
            take_write(n, node, &out);
        }
        for (size_t i = 0; i < out.install_count; i++) {
            take_install(n, node, &out.installs[i]);
        }
        for (size_t i = 0; i < out.committed_count; i++) {
            note_applied(n, node, &out.committed[i]);
        }
        for (size_t i = 0; i < read_count; i++) {
            reads[i] = out.reads[i];
        }
        raft_advance(node->raft);
        for (size_t i = 0; i < read_count; i++) {
            answer_read(n, vm, reads[i]);
        }
        if (write != 0 && n->bug == NET_BUG_EARLY_SYNC) {
            raft_synced(node->raft, net_clock(n, vm), write);
        }
    }
}

static void
finish_writes(struct net *n, int vm)
{
    struct net_node *node = &n->nodes[vm];
    int64_t clock = net_clock(n, vm);
    struct net_write *w;

    while ((w = g_queue_peek_head(&node->writes)) != NULL &&
           w->due <= n->now) {
        g_queue_pop_head(&node->writes);
        disk_apply(n, node, w);
        if (w->number != 0) {
            raft_synced(node->raft, clock, w->number);
        }
        else if (w->install) {
            restore_state(n, node, w->snapshot.index, w->state);
            raft_installed(node->raft, clock, w->snapshot.index);
            n->installs++;
        }
        else {
            raft_snapshotted(node->raft, w->snapshot.index);
        }
        write_free(w);
        net_drain(n, vm);
    }
}

void
net_snapshot(struct net *n, int vm)
{
    struct net_node *node = &n->nodes[vm];
    struct raft_snapshot meta;
    struct net_write *w;

    raft_snapshot_meta(node->raft, &meta);
    if (meta.index == 0 || meta.term == 0) {
        return;
    }
    w = write_queue(n, node);
    w->snapshot = meta;
    w->snapshot.members = str_dup(meta.members);
    w->state = state_encode(node->chain);
}

/* Checks. */

static void
check_new_leader(struct net *n, const struct net_node *node,
                 const struct raft_status *s)
{
    gpointer term = GSIZE_TO_POINTER(s->term);
    uint64_t known = GPOINTER_TO_SIZE(g_hash_table_lookup(n->leaders, term));

    if (known == node->id) {
        return;
    }
    if (known != 0) {
        violate(n, "two leaders in a term", s->term, node->id);
    }
    g_hash_table_insert(n->leaders, term, GSIZE_TO_POINTER(node->id));
    n->elections++;
    for (uint64_t i = s->first; i <= n->committed->len; i++) {
        const struct net_commit *c =
            &g_array_index(n->committed, struct net_commit, i - 1);

        /* A leader of an earlier term need not know later commits. */
        if (c->by < s->term && raft_term_at(node->raft, i) != c->term) {
            violate(n, "committed entry lost or changed", i, node->id);
        }
    }
}

static void
check_leases(struct net *n)
{
    for (int i = 0; i < n->vms; i++) {
        const struct net_node *a = &n->nodes[i];
        struct raft_status sa;

        if (a->raft == NULL || a->paused_until > n->now ||
            !raft_lease_valid(a->raft, net_clock(n, i))) {
            continue;
        }
        raft_status(a->raft, &sa);
        for (int j = 0; j < n->vms; j++) {
            const struct net_node *b = &n->nodes[j];
            struct raft_status sb;

            if (j == i || b->raft == NULL) {
                continue;
            }
            raft_status(b->raft, &sb);
            if (sb.role == RAFT_LEADER && sb.term > sa.term &&
                raft_term_at(b->raft, sb.commit) == sb.term) {
                violate(n, "commit during another leader's lease", a->id,
                        b->id);
            }
        }
    }
}

/* Equal terms at an index mean equal logs up to it. */
static void
check_log_matching(struct net *n, const struct raft *a, const struct raft *b)
{
    struct raft_status sa;
    struct raft_status sb;
    bool matched = false;
    uint64_t first;

    raft_status(a, &sa);
    raft_status(b, &sb);
    first = sa.first > sb.first ? sa.first : sb.first;
    for (uint64_t i = sa.last < sb.last ? sa.last : sb.last; i >= first; i--) {
        bool equal = raft_term_at(a, i) == raft_term_at(b, i);

        if (matched && !equal) {
            violate(n, "logs differ before a matching entry", i, sa.term);
        }
        matched = matched || equal;
    }
}

static void
check(struct net *n)
{
    bool full = n->now / NET_MS % 8 == 0;

    check_leases(n);
    for (int i = 0; i < n->vms; i++) {
        const struct net_node *node = &n->nodes[i];
        struct raft_status s;

        if (node->raft == NULL) {
            continue;
        }
        raft_status(node->raft, &s);
        if (s.role == RAFT_LEADER) {
            check_new_leader(n, node, &s);
        }
        for (int j = 0; full && j < i; j++) {
            if (n->nodes[j].raft != NULL) {
                check_log_matching(n, node->raft, n->nodes[j].raft);
            }
        }
    }
}

void
net_step(struct net *n, int64_t step)
{
    n->now += step;
    for (int i = 0; i < n->vms; i++) {
        if (n->nodes[i].voted && n->bug == NET_BUG_FORGET_VOTE) {
            net_crash(n, i, 0);
        }
        n->nodes[i].voted = false;
        if (n->nodes[i].raft == NULL && n->nodes[i].up_at <= n->now) {
            node_start(n, i);
        }
    }
    deliver(n);
    for (int i = 0; i < n->vms; i++) {
        struct net_node *node = &n->nodes[i];

        if (node->raft == NULL || node->paused_until > n->now) {
            continue;
        }
        finish_writes(n, i);
        if (net_clock(n, i) >= raft_next_deadline(node->raft)) {
            raft_tick(node->raft, net_clock(n, i));
        }
        net_drain(n, i);
    }
    check(n);
}

int
net_wait_leader(struct net *n, int64_t limit)
{
    for (int64_t end = n->now + limit; n->now < end;) {
        net_step(n, NET_MS);
        for (int i = 0; i < n->vms; i++) {
            if (n->nodes[i].raft != NULL &&
                raft_lease_valid(n->nodes[i].raft, net_clock(n, i))) {
                return i;
            }
        }
    }
    return -1;
}

/* Faults and actions. */

static bool
has_voter(const Raft__Members *m, ProtobufCBinaryData vm)
{
    for (size_t i = 0; i < m->n_members; i++) {
        if (m->members[i]->voter && m->members[i]->vm.len == vm.len &&
            memcmp(m->members[i]->vm.data, vm.data, vm.len) == 0) {
            return true;
        }
    }
    return false;
}

/*
 * Whether c keeps a majority of living voters without the one at vm, also
 * after the promotion of a learner that the leader may be about to propose.
 */
static bool
survives(const struct net *n, struct str config, int vm)
{
    Raft__Members *m =
        raft__members__unpack(NULL, config.len, (const uint8_t *)config.ptr);
    size_t voters = 0;
    size_t alive = 0;
    size_t grows = 0;

    for (size_t i = 0; i < m->n_members; i++) {
        uint64_t id = m->members[i]->id;

        grows |= !m->members[i]->voter && !has_voter(m, m->members[i]->vm);

        voters += m->members[i]->voter;
        alive += m->members[i]->voter && id != n->nodes[vm].id &&
                 !g_hash_table_contains(n->dead, GSIZE_TO_POINTER(id));
    }
    raft__members__free_unpacked(m, NULL);
    return alive >= (voters + grows) / 2 + 1;
}

/* No protocol survives the loss of a majority of the disks. */
bool
net_may_lose_disk(const struct net *n, int vm)
{
    if (n->config.index == 0 || !survives(n, n->config.members, vm)) {
        return false;
    }
    for (int i = 0; i < n->vms; i++) {
        const struct net_disk *d = &n->nodes[i].disk;
        const struct net_node *node = &n->nodes[i];

        for (guint k = 0; k < d->entries->len; k++) {
            const struct raft_entry *e =
                &g_array_index(d->entries, struct raft_entry, k);

            if (e->kind == RAFT_ENTRY_CONFIG && e->index > n->config.index &&
                !survives(n, e->data, vm)) {
                return false;
            }
        }
        for (GList *l = node->writes.head; l != NULL; l = l->next) {
            const GArray *list = ((struct net_write *)l->data)->entries;

            for (guint k = 0; k < list->len; k++) {
                const struct raft_entry *e =
                    &g_array_index(list, struct raft_entry, k);

                if (e->kind == RAFT_ENTRY_CONFIG &&
                    e->index > n->config.index && !survives(n, e->data, vm)) {
                    return false;
                }
            }
        }
    }
    return true;
}

void
net_heal(struct net *n)
{
    memset(n->blocked, 0, sizeof(n->blocked));
    n->drop_per_mille = 0;
    n->duplicate_per_mille = 0;
    n->max_delay = 5 * NET_MS;
    for (int i = 0; i < n->vms; i++) {
        n->nodes[i].paused_until = 0;
        n->nodes[i].slow_sync = 4 * NET_MS;
        if (n->nodes[i].up_at > n->now) {
            n->nodes[i].up_at = n->now;
        }
    }
}

void
net_join_missing(struct net *n)
{
    for (int i = 0; i < n->vms; i++) {
        struct raft *r = n->nodes[i].raft;

        for (int j = 0; r != NULL && j < n->vms; j++) {
            struct raft_member m = member_of(n, j, false);

            raft_propose_config(r, net_clock(n, i), RAFT_ADD_LEARNER, &m,
                                NULL);
        }
    }
}

bool
net_propose(struct net *n, int vm)
{
    char data[64];
    size_t len = 8 + rng_below(&n->rng, sizeof(data) - 8);

    for (size_t i = 0; i < len; i++) {
        data[i] = (char)rng_next(&n->rng);
    }
    return n->nodes[vm].raft != NULL &&
           raft_propose(n->nodes[vm].raft, net_clock(n, vm),
                        str_from(data, len), NULL) == RAFT_OK;
}
