#include "raft_net.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "mem.h"
#include "raft.pb-c.h"

#define ELECTION_TIMEOUT (100 * NET_MS)

/* Returns true with the given probability. */
static bool
random_bool(struct net *n, unsigned per_mille)
{
    return rng_below(&n->rng, 1000) < per_mille;
}

int64_t
net_clock(const struct net *n, int vm)
{
    const struct net_node *node = &n->nodes[vm];

    return n->now + n->now / 1000000 * node->clock_ppm + node->clock_offset_ns;
}

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
        net_entries_truncate(d->entries, d->entries->len - 1);
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
    cfg.drift_ppm = 50000; /* the rates of two clocks differ by up to 4% */
    cfg.batch_bytes = 300;
    cfg.window_bytes = 1500;
    cfg.window_entries = 40;
    cfg.uncommitted_bytes = 6000;
    cfg.snapshot_chunk_bytes = 64;
    cfg.retained_bytes = 500;
    cfg.catch_up_entries = 4;
    node->clock_offset_ns = (int64_t)rng_below(&n->rng, 1u << 30);
    /*
     * Usually a restarted node grants no vote for an election timeout. The
     * earlier start time lets a node that forgot its vote grant another one at
     * once.
     */
    node->raft = raft_create(&cfg, &from,
                             net_clock(n, vm) - (n->bug == NET_BUG_FORGET_VOTE
                                                     ? ELECTION_TIMEOUT
                                                     : 0));
    g_assert_nonnull(node->raft);
    net_restore_state(n, node, d->snapshot.index, d->state);
}

static void
node_stop(struct net_node *node)
{
    struct net_write *w;

    raft_destroy(node->raft);
    node->raft = NULL;
    while ((w = g_queue_pop_head(&node->writes)) != NULL) {
        net_write_free(w);
    }
    g_byte_array_set_size(node->incoming, 0);
}

/* Some of the unsynced writes, in order, may still have reached the disk. */
void
net_crash(struct net *n, int vm, int64_t down)
{
    struct net_node *node = &n->nodes[vm];

    if (node->raft == NULL) {
        return;
    }
    while (n->bug != NET_BUG_EARLY_SYNC && random_bool(n, 500)) {
        struct net_write *w = g_queue_pop_head(&node->writes);

        if (w == NULL) {
            break;
        }
        net_disk_apply(n, node, w);
        net_write_free(w);
    }
    node_stop(node);
    node->restart_at_ns = n->now + down;
}

void
net_lose_disk(struct net *n, int vm, int64_t down)
{
    struct net_node *node = &n->nodes[vm];

    if (node->raft != NULL) {
        node_stop(node);
    }
    node->restart_at_ns = n->now + down;
    net_disk_clear(&node->disk);
    g_hash_table_add(n->lost_ids, GSIZE_TO_POINTER(node->id));
    if (n->bug != NET_BUG_KEEP_IDENTITY) {
        node->id = n->next_id;
        n->next_id++;
    }
    n->lost_disks++;
}

struct raft_member
net_member(const struct net *n, int vm, bool voter)
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
    /* A fast network makes races between elections and leases likely. */
    n->max_delay_ns = (int64_t)(1 + rng_below(&n->rng, 5)) * NET_MS;
    n->next_id = 1;
    n->packets = g_array_new(FALSE, FALSE, sizeof(struct net_packet));
    n->committed = g_array_new(FALSE, FALSE, sizeof(struct net_commit));
    n->leaders = g_hash_table_new(g_direct_hash, g_direct_equal);
    n->votes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    n->lost_ids = g_hash_table_new(g_direct_hash, g_direct_equal);
    for (int i = 0; i < n->vms; i++) {
        struct net_node *node = &n->nodes[i];

        node->id = n->next_id;
        n->next_id++;
        node->clock_ppm = (int64_t)rng_below(&n->rng, 40000) - 20000;
        node->max_sync_ns = (int64_t)(1 + rng_below(&n->rng, 4)) * NET_MS;
        node->disk.entries =
            g_array_new(FALSE, FALSE, sizeof(struct raft_entry));
        node->disk.state = g_byte_array_new();
        node->incoming = g_byte_array_new();
        g_queue_init(&node->writes);
        node_start(n, i);
        members[i] = net_member(n, i, true);
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
        net_disk_clear(&node->disk);
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
    g_hash_table_destroy(n->lost_ids);
    str_free(&n->config.members);
    g_free(n);
}

static int
find_vm(const struct net *n, uint64_t id)
{
    for (int i = 0; i < n->vms; i++) {
        if (n->nodes[i].id == id) {
            return i;
        }
    }
    /*
     * The id is that of a lost disk. The message goes to a VM anyway, which
     * must drop it.
     */
    return (int)(id % (uint64_t)n->vms);
}

static void
send_message(struct net *n, int vm, const struct raft_message *msg)
{
    Raft__Message *m = raft__message__unpack(NULL, msg->bytes.len,
                                             (const uint8_t *)msg->bytes.ptr);
    int to = find_vm(n, msg->to);
    int copies = 1 + random_bool(n, n->duplicate_per_mille);

    g_assert_nonnull(m);
    net_check_message(n, &n->nodes[vm], m);
    raft__message__free_unpacked(m, NULL);
    if (n->blocked[vm][to] || random_bool(n, n->drop_per_mille)) {
        return;
    }
    for (int i = 0; i < copies; i++) {
        struct net_packet p = {vm, to, n->nodes[vm].id, str_dup(msg->bytes),
                               n->now};

        p.due_ns += (int64_t)rng_below(&n->rng, (uint64_t)n->max_delay_ns);
        g_array_append_val(n->packets, p);
    }
}

static void
deliver_packets(struct net *n)
{
    for (guint i = 0; i < n->packets->len;) {
        struct net_packet p = g_array_index(n->packets, struct net_packet, i);
        struct net_node *node = &n->nodes[p.to];

        if (p.due_ns > n->now || node->paused_until_ns > n->now) {
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

static void
queue_install(struct net *n, struct net_node *node,
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
    w = net_queue_write(n, node);
    w->snapshot = in->snapshot;
    w->snapshot.members = str_dup(in->snapshot.members);
    w->state = node->incoming;
    w->install = true;
    w->reset_log = in->reset_log;
    node->incoming = g_byte_array_new();
}

static void
serve_snapshot_read(struct net *n, int vm, struct raft_snapshot_read rd)
{
    struct net_node *node = &n->nodes[vm];
    const GByteArray *state = node->disk.state;
    bool ok = rd.index == node->disk.snapshot.index &&
              rd.offset <= state->len && !random_bool(n, 20);
    size_t len = 0;

    if (ok) {
        len =
            state->len - rd.offset < rd.len ? state->len - rd.offset : rd.len;
    }
    raft_supply_snapshot_chunk(
        node->raft, net_clock(n, vm), rd.to, rd.index, rd.offset,
        str_from(state->data + rd.offset, len), state->len, ok);
}

static void
queue_write(struct net *n, struct net_node *node,
            const struct raft_output *out)
{
    struct net_write *w = net_queue_write(n, node);

    w->number = out->write;
    w->hard_changed = out->hard_changed;
    w->hard = out->hard;
    for (size_t i = 0; i < out->entry_count; i++) {
        net_entries_append(w->entries, &out->entries[i]);
    }
}

void
net_process_output(struct net *n, int vm)
{
    struct net_node *node = &n->nodes[vm];
    struct raft_output out;

    while (raft_ready(node->raft, net_clock(n, vm), &out)) {
        struct raft_snapshot_read reads[NET_VMS];
        size_t read_count = out.read_count;
        uint64_t write = out.write;

        for (size_t i = 0; i < out.message_count; i++) {
            send_message(n, vm, &out.messages[i]);
        }
        if (out.write != 0) {
            queue_write(n, node, &out);
        }
        for (size_t i = 0; i < out.install_count; i++) {
            queue_install(n, node, &out.installs[i]);
        }
        for (size_t i = 0; i < out.committed_count; i++) {
            net_apply_entry(n, node, &out.committed[i]);
        }
        for (size_t i = 0; i < read_count; i++) {
            reads[i] = out.reads[i];
        }
        raft_advance(node->raft);
        for (size_t i = 0; i < read_count; i++) {
            serve_snapshot_read(n, vm, reads[i]);
        }
        if (write != 0 && n->bug == NET_BUG_EARLY_SYNC) {
            raft_write_synced(node->raft, net_clock(n, vm), write);
        }
    }
}

/* Makes the writes that are due durable and reports them to the node. */
static void
complete_due_writes(struct net *n, int vm)
{
    struct net_node *node = &n->nodes[vm];
    int64_t clock = net_clock(n, vm);
    struct net_write *w;

    while ((w = g_queue_peek_head(&node->writes)) != NULL &&
           w->due_ns <= n->now) {
        g_queue_pop_head(&node->writes);
        net_disk_apply(n, node, w);
        if (w->number != 0) {
            raft_write_synced(node->raft, clock, w->number);
        }
        else if (w->install) {
            net_restore_state(n, node, w->snapshot.index, w->state);
            raft_snapshot_installed(node->raft, clock, w->snapshot.index);
            n->installs++;
        }
        else {
            raft_snapshot_saved(node->raft, w->snapshot.index);
        }
        net_write_free(w);
        net_process_output(n, vm);
    }
}

void
net_take_snapshot(struct net *n, int vm)
{
    struct net_node *node = &n->nodes[vm];
    struct raft_snapshot meta;
    struct net_write *w;

    raft_snapshot_meta(node->raft, &meta);
    if (meta.index == 0 || meta.term == 0) {
        return;
    }
    w = net_queue_write(n, node);
    w->snapshot = meta;
    w->snapshot.members = str_dup(meta.members);
    w->state = net_state_encode(node->state_hash);
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
        if (n->nodes[i].raft == NULL && n->nodes[i].restart_at_ns <= n->now) {
            node_start(n, i);
        }
    }
    deliver_packets(n);
    for (int i = 0; i < n->vms; i++) {
        struct net_node *node = &n->nodes[i];

        if (node->raft == NULL || node->paused_until_ns > n->now) {
            continue;
        }
        complete_due_writes(n, i);
        if (net_clock(n, i) >= raft_next_deadline(node->raft)) {
            raft_tick(node->raft, net_clock(n, i));
        }
        net_process_output(n, i);
    }
    net_check_safety(n);
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
