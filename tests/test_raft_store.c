#include <glib.h>
#include <string.h>

#include "clock.h"
#include "faulty_fs.h"
#include "raft.h"
#include "rng.h"
#include "store.h"

/*
 * Three members with raft and store connected as in the daemon. When a file
 * operation fails, which happens at random, the member stops, loses what was
 * not synced, and starts again from its directory.
 */

enum {
    MEMBERS = 3,
    STATE_BYTES = 400,
};

struct member {
    struct raft *raft; /* NULL while down */
    struct store *store;
    struct faulty_fs *fs;
    char *dir;
    struct store_snapshot *install;
    uint64_t applied;
    uint64_t state_hash; /* hash over all applied entries */
    int64_t restart_at_ns;
};

struct packet {
    int from;
    int to;
    char *bytes;
    size_t len;
};

struct cluster {
    struct rng rng;
    int64_t now;
    char *top_dir;
    struct member members[MEMBERS];
    GQueue packets;
    GArray *state_hashes; /* member.state_hash after each committed index */
    unsigned restarts;
    unsigned installs;
    unsigned snapshots;
};

/*
 * Sets the state of a member from its stored snapshot; index 0: no snapshot.
 */
static void
restore_state(struct cluster *c, struct member *m, uint64_t index)
{
    struct buf data = {0};

    m->applied = index;
    m->state_hash = 0;
    if (index != 0) {
        g_assert_cmpint(
            store_snapshot_read(m->store, index, 0, SIZE_MAX, &data, NULL), ==,
            STORE_OK);
        g_assert_cmpuint(data.len, ==, STATE_BYTES);
        memcpy(&m->state_hash, data.ptr, sizeof(m->state_hash));
        g_assert_true(g_array_index(c->state_hashes, uint64_t, index - 1) ==
                      m->state_hash);
    }
    buf_free(&data);
}

static void
member_start(struct cluster *c, int i)
{
    struct member *m = &c->members[i];
    struct store_restored r;
    struct raft_config cfg;
    uint64_t id = (uint64_t)i + 1;

    m->fs->fail_at = 0;
    g_assert_cmpint(store_open(m->dir, &m->fs->fs, &r, &m->store), ==,
                    STORE_OK);
    if (r.state == STORE_EMPTY) {
        g_assert_cmpint(store_init(m->store, id, 1), ==, STORE_OK);
    }
    raft_config_init(&cfg, id, rng_next(&c->rng));
    cfg.election_timeout_ns = 100 * NS_PER_MS;
    cfg.heartbeat_ns = 20 * NS_PER_MS;
    cfg.snapshot_chunk_bytes = 64;
    cfg.retained_bytes = 300;
    m->raft = raft_create(&cfg, &r.raft, c->now);
    g_assert_nonnull(m->raft);
    restore_state(c, m, r.raft.snapshot.index);
    store_restored_free(&r);
    m->fs->ops = 0;
    m->fs->crash = true;
    m->fs->fail_at = (unsigned)(100 + rng_below(&c->rng, 800));
}

static void
member_stop(struct cluster *c, struct member *m)
{
    raft_storage_failed(m->raft, c->now);
    raft_destroy(m->raft);
    m->raft = NULL;
    if (m->install != NULL) {
        store_snapshot_abort(m->install);
        m->install = NULL;
    }
    store_close(m->store);
    m->fs->fail_at = 0;
    faulty_fs_lose_power(m->fs);
    m->restart_at_ns = c->now + (int64_t)rng_below(&c->rng, 400) * NS_PER_MS;
    c->restarts++;
}

static void
apply_entry(struct cluster *c, struct member *m, const struct raft_entry *e)
{
    uint64_t parts[] = {m->state_hash, e->index, e->term, str_hash(e->data)};

    g_assert_cmpuint(e->index, ==, m->applied + 1);
    m->applied = e->index;
    m->state_hash = str_hash(str_from(parts, sizeof(parts)));
    if (e->index > c->state_hashes->len) {
        g_array_append_val(c->state_hashes, m->state_hash);
    }
    g_assert_true(g_array_index(c->state_hashes, uint64_t, e->index - 1) ==
                  m->state_hash);
}

static enum store_error
store_install(struct cluster *c, struct member *m,
              const struct raft_install *in)
{
    enum store_error error = STORE_OK;

    if (in->offset == 0) {
        if (m->install != NULL) {
            store_snapshot_abort(m->install);
        }
        error = store_snapshot_begin(m->store, &in->snapshot, &m->install);
    }
    if (error == STORE_OK) {
        error = store_snapshot_write(m->install, in->bytes);
    }
    if (error == STORE_OK && in->last) {
        error = store_snapshot_commit(m->install, in->reset_log);
        m->install = NULL;
    }
    if (error == STORE_OK && in->last) {
        restore_state(c, m, in->snapshot.index);
        c->installs++;
    }
    return error;
}

static enum store_error
take_snapshot(struct cluster *c, struct member *m)
{
    char state[STATE_BYTES] = {0};
    struct raft_snapshot meta;
    struct store_snapshot *w;
    enum store_error error;

    raft_snapshot_meta(m->raft, &meta);
    if (meta.index == 0 || raft_is_sending_snapshot(m->raft)) {
        return STORE_OK;
    }
    memcpy(state, &m->state_hash, sizeof(m->state_hash));
    error = store_snapshot_begin(m->store, &meta, &w);
    if (error == STORE_OK) {
        error = store_snapshot_write(w, str_from(state, sizeof(state)));
        if (error == STORE_OK) {
            error = store_snapshot_commit(w, false);
        }
        else {
            store_snapshot_abort(w);
        }
    }
    if (error == STORE_OK) {
        raft_snapshot_saved(m->raft, meta.index);
        c->snapshots++;
    }
    return error;
}

static void
serve_snapshot_reads(struct cluster *c, struct member *m,
                     const struct raft_snapshot_read *reads, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        const struct raft_snapshot_read *rd = &reads[i];
        struct buf data = {0};
        uint64_t total = 0;
        bool ok = store_snapshot_read(m->store, rd->index, rd->offset, rd->len,
                                      &data, &total) == STORE_OK;

        raft_supply_snapshot_chunk(m->raft, c->now, rd->to, rd->index,
                                   rd->offset, buf_str(&data), total, ok);
        buf_free(&data);
    }
}

static void
send_messages(struct cluster *c, int from, const struct raft_output *out)
{
    for (size_t i = 0; i < out->message_count; i++) {
        const struct raft_message *msg = &out->messages[i];
        struct packet *p;

        if (rng_below(&c->rng, 100) < 2) {
            continue;
        }
        p = g_new0(struct packet, 1);
        p->from = from;
        p->to = (int)msg->to - 1;
        p->len = msg->bytes.len;
        p->bytes = g_memdup2(msg->bytes.ptr, p->len);
        g_queue_push_tail(&c->packets, p);
    }
}

/*
 * Processes the output of raft_ready until there is none. Returns an error of
 * the store, after which the member must stop.
 */
static enum store_error
process_output(struct cluster *c, int i)
{
    struct member *m = &c->members[i];
    struct store_batch *b = store_batch_create();
    struct raft_output out;
    enum store_error error = STORE_OK;

    while (error == STORE_OK && raft_ready(m->raft, c->now, &out)) {
        struct raft_snapshot_read reads[MEMBERS];
        size_t read_count = out.read_count;
        uint64_t write = out.write;
        uint64_t installed = 0;

        for (size_t k = 0; k < read_count; k++) {
            reads[k] = out.reads[k];
        }
        send_messages(c, i, &out);
        store_batch_clear(b);
        if (write != 0) {
            store_batch_output(b, &out);
            error = store_write(m->store, b);
        }
        for (size_t k = 0; error == STORE_OK && k < out.install_count; k++) {
            const struct raft_install *in = &out.installs[k];

            error = store_install(c, m, in);
            installed = in->last ? in->snapshot.index : installed;
        }
        for (size_t k = 0; k < out.committed_count; k++) {
            apply_entry(c, m, &out.committed[k]);
        }
        raft_advance(m->raft);
        if (error == STORE_OK) {
            raft_write_synced(m->raft, c->now, write);
            raft_snapshot_installed(m->raft, c->now, installed);
            serve_snapshot_reads(c, m, reads, read_count);
        }
    }
    store_batch_destroy(b);
    return error;
}

static void
step_member(struct cluster *c, int i)
{
    struct member *m = &c->members[i];
    char data[16];
    enum store_error error;

    if (m->raft == NULL) {
        if (c->now >= m->restart_at_ns) {
            member_start(c, i);
        }
        return;
    }
    if (c->now >= raft_next_deadline(m->raft)) {
        raft_tick(m->raft, c->now);
    }
    if (rng_below(&c->rng, 4) == 0) {
        uint64_t value = rng_next(&c->rng);

        memcpy(data, &value, sizeof(value));
        raft_propose(m->raft, c->now, str_from(data, sizeof(value)), NULL);
    }
    error = process_output(c, i);
    if (error == STORE_OK && rng_below(&c->rng, 60) == 0) {
        error = take_snapshot(c, m);
    }
    if (error != STORE_OK) {
        member_stop(c, m);
    }
}

/* Advances the time by 1 ms, delivers the messages and runs each member. */
static void
step_cluster(struct cluster *c)
{
    guint count = c->packets.length;

    c->now += NS_PER_MS;
    for (guint i = 0; i < count; i++) {
        struct packet *p = g_queue_pop_head(&c->packets);

        if (c->members[p->to].raft != NULL) {
            raft_receive(c->members[p->to].raft, c->now, (uint64_t)p->from + 1,
                         str_from(p->bytes, p->len));
        }
        g_free(p->bytes);
        g_free(p);
    }
    for (int i = 0; i < MEMBERS; i++) {
        step_member(c, i);
    }
}

static struct cluster *
cluster_start(uint64_t seed)
{
    struct cluster *c = g_new0(struct cluster, 1);
    struct raft_member list[MEMBERS];

    c->rng.state = seed;
    c->top_dir = g_dir_make_tmp("cluster-XXXXXX", NULL);
    c->state_hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_queue_init(&c->packets);
    for (int i = 0; i < MEMBERS; i++) {
        struct member *m = &c->members[i];
        char name[] = {(char)('0' + i), '\0'};

        m->dir = g_build_filename(c->top_dir, name, NULL);
        m->fs = faulty_fs_create();
        m->fs->no_sync = true;
        member_start(c, i);
        list[i] =
            (struct raft_member){(uint64_t)i + 1, true, STR("vm"), STR("a")};
    }
    raft_bootstrap(c->members[0].raft, c->now, list, MEMBERS);
    return c;
}

static void
cluster_stop(struct cluster *c)
{
    struct packet *p;

    for (int i = 0; i < MEMBERS; i++) {
        struct member *m = &c->members[i];

        if (m->raft != NULL) {
            member_stop(c, m);
        }
        faulty_fs_destroy(m->fs);
        g_free(m->dir);
    }
    while ((p = g_queue_pop_head(&c->packets)) != NULL) {
        g_free(p->bytes);
        g_free(p);
    }
    g_array_free(c->state_hashes, TRUE);
    remove_tree(c->top_dir);
    g_free(c->top_dir);
    g_free(c);
}

/*
 * Guards against lost or changed committed entries, and against a store that
 * reports damage after a mere crash, when members crash at any file operation.
 */
static void
test_crashes(void)
{
    unsigned restarts = 0;
    unsigned installs = 0;
    unsigned snapshots = 0;
    unsigned commits = 0;

    for (uint64_t seed = 1; seed <= 20; seed++) {
        struct cluster *c = cluster_start(seed);

        for (int i = 0; i < 4000; i++) {
            step_cluster(c);
        }
        restarts += c->restarts;
        installs += c->installs;
        snapshots += c->snapshots;
        commits += c->state_hashes->len;
        cluster_stop(c);
    }
    g_test_message("%u restarts, %u snapshots, %u installs, %u commits",
                   restarts, snapshots, installs, commits);
    g_assert_cmpuint(restarts, >, 100);
    g_assert_cmpuint(installs, >, 10);
    g_assert_cmpuint(commits, >, 1000);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/raft-store/crashes", test_crashes);
    return g_test_run();
}
