/*
 * Connects Raft, its storage and the replicated state machine.
 */
#include <sodium.h>

#include "clock.h"
#include "event.h"
#include "internal.h"
#include "log.h"
#include "mem.h"

enum {
    /* Several round trips between failure domains and a write to a slow
     * disk. */
    ELECTION_TIMEOUT_MS = 300,
    RAFT_HEARTBEAT_MS = 60, /* five per election timeout */
    SNAPSHOT_CHUNK_BYTES = 1 << 20,
    /* Bytes of applied entries after which a snapshot replaces the log: a few
     * times the size of the state, so that disk use is low and snapshots are
     * rare. */
    SNAPSHOT_LOG_BYTES = 12 << 20,
    PRUNE_INTERVAL_MS = 5000,
    /* Interval of attempts to open a failed storage again. */
    REOPEN_INTERVAL_MS = 500,
    /* Cluster id announced by a member that has log entries; 0 without. */
    CLUSTER_ID_HAS_DATA = 2,
};

static struct event_kind event_role = {.name = "role"};
static struct event_kind event_storage = {.name = "storage"};

static bool
read_snapshot(struct store *store, uint64_t index, struct buf *out)
{
    uint64_t total = 0;

    do {
        size_t before = out->len;

        if (store_snapshot_read(store, index, out->len, SNAPSHOT_CHUNK_BYTES,
                                out, &total) != STORE_OK ||
            out->len == before) {
            return false;
        }
    } while (out->len < total);
    return true;
}

static bool
load_state(struct group *g, struct store *store, uint64_t index)
{
    struct buf bytes = {0};
    bool ok;

    if (index == 0) {
        g->state = flow_state_create();
        return true;
    }
    ok = read_snapshot(store, index, &bytes);
    g->state = ok ? flow_state_decode(buf_str(&bytes)) : NULL;
    g->snapshot_index = index;
    buf_free(&bytes);
    return g->state != NULL;
}

/* Opens the store. Moves a directory that is damaged or belongs to another
 * member aside; this VM then joins as a new member. */
static struct store *
open_store(const char *dir, struct store_restored *restored)
{
    struct store *store = NULL;
    enum store_error error = store_open(dir, NULL, restored, &store);

    if (error == STORE_ERR_DAMAGED || error == STORE_ERR_IDENTITY) {
        event_write(&event_storage,
                    "outcome=set-aside reason=damaged detail=\"%s\"",
                    restored->reason);
        store_restored_free(restored);
        error = store_set_aside(dir, NULL);
        if (error == STORE_OK) {
            error = store_open(dir, NULL, restored, &store);
        }
    }
    if (error != STORE_OK) {
        log_write(LOG_LEVEL_CRIT, "storage: cannot open %s: %s (%s)", dir,
                  store_error_text(error), restored->reason);
        return NULL;
    }
    return store;
}

static bool
load_member_id(struct group *g, struct store *store,
               const struct store_restored *restored)
{
    g->member_id = restored->member_id;
    if (restored->state == STORE_HEALTHY) {
        return true;
    }
    while (g->member_id == 0) {
        randombytes_buf(&g->member_id, sizeof(g->member_id));
    }
    return store_init(store, g->member_id, 0) == STORE_OK;
}

static bool
start_raft(struct group *g, const struct store_restored *restored)
{
    struct raft_config config;

    raft_config_init(&config, g->member_id, g->node->random_seed);
    config.election_timeout_ns = ELECTION_TIMEOUT_MS * NS_PER_MS;
    config.heartbeat_ns = RAFT_HEARTBEAT_MS * NS_PER_MS;
    g->raft = raft_create(&config, &restored->raft, g->node->now);
    return g->raft != NULL;
}

struct group *
group_create(struct node *n)
{
    struct group *g = mem_zalloc(1, sizeof(*g));
    struct store_restored restored = {0};
    struct store *store = open_store(n->settings.data.ptr, &restored);

    g->node = n;
    if (store == NULL) {
        goto fail;
    }
    if (!load_member_id(g, store, &restored) ||
        !load_state(g, store, restored.raft.snapshot.index) ||
        !start_raft(g, &restored)) {
        log_write(LOG_LEVEL_CRIT, "storage: cannot restore the state");
        goto fail_store;
    }
    g->storage = storage_create(store, n->storage_ring);
    if (g->storage == NULL) {
        goto fail_store;
    }
    event_write(&event_storage,
                "outcome=opened member=%016llx entries=%zu snapshot=%llu "
                "torn_bytes=%llu",
                (unsigned long long)g->member_id, restored.raft.entry_count,
                (unsigned long long)restored.raft.snapshot.index,
                (unsigned long long)restored.torn_bytes);
    store_restored_free(&restored);
    return g;

fail_store:
    store_close(store);
fail:
    store_restored_free(&restored);
    group_destroy(g);
    return NULL;
}

void
group_destroy(struct group *g)
{
    if (g == NULL) {
        return;
    }
    storage_destroy(g->storage);
    raft_destroy(g->raft);
    flow_state_destroy(g->state);
    buf_free(&g->install);
    mem_free(g);
}

struct group *
group_reopen(struct group *g)
{
    struct node *n = g->node;
    struct group *fresh;

    if (n->now < g->reopen_due || n->leader != NULL ||
        (g->storage != NULL && !storage_is_idle(g->storage))) {
        return g;
    }
    g->reopen_due = n->now + REOPEN_INTERVAL_MS * NS_PER_MS;
    storage_destroy(g->storage);
    g->storage = NULL;
    fresh = group_create(n);
    if (fresh == NULL) {
        return g;
    }
    event_write(&event_storage, "outcome=reopened");
    group_destroy(g);
    return fresh;
}

bool
group_is_leader(const struct group *g)
{
    return g->node->leader != NULL && raft_lease_valid(g->raft, clock_now());
}

uint64_t
group_cluster_id(const struct group *g)
{
    struct raft_status status;

    raft_status(g->raft, &status);
    return status.last > 0 ? CLUSTER_ID_HAS_DATA : 0;
}

uint64_t
group_propose(struct group *g, struct str batch)
{
    uint64_t index = 0;

    if (raft_propose(g->raft, g->node->now, batch, &index) != RAFT_OK) {
        return 0;
    }
    return index;
}

void
group_receive(struct group *g, const struct link *from, struct str bytes)
{
    if (from->member_id != 0 && from->member_id != g->member_id) {
        /* Leader leases require a time that is read after the message arrived,
         * and n->now may be earlier. */
        raft_receive(g->raft, clock_now(), from->member_id, bytes);
    }
}

static void
handle_storage_failure(struct group *g, enum store_error error)
{
    if (!g->failed) {
        event_write(&event_storage, "outcome=failed reason=\"%s\"",
                    store_error_text(error));
        g->failed = true;
        g->reopen_due = g->node->now + REOPEN_INTERVAL_MS * NS_PER_MS;
        raft_storage_failed(g->raft, g->node->now);
    }
}

static void
finish_install(struct group *g, const struct storage_job *job)
{
    struct flow_state *state = flow_state_decode(buf_str(&g->install));

    buf_free(&g->install);
    if (state == NULL) {
        handle_storage_failure(g, STORE_ERR_DAMAGED);
        return;
    }
    flow_state_destroy(g->state);
    g->state = state;
    g->snapshot_index = job->meta.index;
    g->log_bytes = 0;
    raft_snapshot_installed(g->raft, g->node->now, job->meta.index);
    event_write(&event_storage, "outcome=snapshot-installed index=%llu",
                (unsigned long long)job->meta.index);
}

void
group_handle_storage_job(struct group *g, struct storage_job *job)
{
    storage_job_done(g->storage);
    if (job->error != STORE_OK && job->kind != STORAGE_READ) {
        handle_storage_failure(g, job->error);
        storage_job_free(job);
        return;
    }
    switch (job->kind) {
    case STORAGE_WRITE:
        raft_write_synced(g->raft, g->node->now, job->number);
        break;
    case STORAGE_INSTALL:
        if (job->last) {
            finish_install(g, job);
        }
        break;
    case STORAGE_READ:
        raft_supply_snapshot_chunk(g->raft, g->node->now, job->to, job->index,
                                   job->offset, buf_str(&job->bytes),
                                   job->total, job->error == STORE_OK);
        break;
    case STORAGE_SNAPSHOT:
        g->snapshot_busy = false;
        raft_snapshot_saved(g->raft, job->meta.index);
        break;
    }
    storage_job_free(job);
}

static struct link *
member_link(const struct group *g, uint64_t id)
{
    struct link *l;
    void *cursor = NULL;

    while ((l = map_next(g->node->links, &cursor)) != NULL) {
        if (l->member_id == id) {
            return l;
        }
    }
    return NULL;
}

static void
send_messages(struct group *g, const struct raft_output *out)
{
    for (size_t i = 0; i < out->message_count; i++) {
        struct link *l = member_link(g, out->messages[i].to);
        Node__Raft raft = NODE__RAFT__INIT;
        Node__Envelope envelope = NODE__ENVELOPE__INIT;

        if (l == NULL) {
            continue;
        }
        raft.data.data = (uint8_t *)out->messages[i].bytes.ptr;
        raft.data.len = out->messages[i].bytes.len;
        envelope.msg_case = NODE__ENVELOPE__MSG_RAFT;
        envelope.raft = &raft;
        link_send(l, &envelope);
    }
}

static void
submit_installs(struct group *g, const struct raft_output *out)
{
    for (size_t i = 0; i < out->install_count; i++) {
        const struct raft_install *in = &out->installs[i];
        struct storage_job *job = storage_job_create(STORAGE_INSTALL);

        job->meta = in->snapshot;
        job->meta.members = str_dup(in->snapshot.members);
        buf_append_str(&job->bytes, in->bytes);
        job->offset = in->offset;
        job->last = in->last;
        job->reset_log = in->reset_log;
        if (in->offset == 0) {
            buf_clear(&g->install);
        }
        buf_append_str(&g->install, in->bytes);
        storage_submit(g->storage, job);
    }
}

static void
submit_reads(struct group *g, const struct raft_output *out)
{
    for (size_t i = 0; i < out->read_count; i++) {
        struct storage_job *job = storage_job_create(STORAGE_READ);

        job->to = out->reads[i].to;
        job->index = out->reads[i].index;
        job->offset = out->reads[i].offset;
        job->len = out->reads[i].len;
        storage_submit(g->storage, job);
    }
}

static void
apply_committed(struct group *g, const struct raft_output *out)
{
    for (size_t i = 0; i < out->committed_count; i++) {
        const struct raft_entry *e = &out->committed[i];

        if (e->kind == RAFT_ENTRY_DATA) {
            if (!flow_state_apply(g->state, e->data)) {
                log_write(LOG_LEVEL_ERR, "state: log entry %llu is malformed",
                          (unsigned long long)e->index);
            }
            g->log_bytes += e->data.len;
        }
        if (g->node->leader != NULL) {
            leader_entry_applied(g->node->leader, e->index, e->term);
        }
    }
}

static void
process_output(struct group *g, const struct raft_output *out)
{
    send_messages(g, out);
    storage_write(g->storage, out);
    submit_installs(g, out);
    submit_reads(g, out);
    apply_committed(g, out);
    raft_advance(g->raft);
}

static void
take_snapshot(struct group *g)
{
    struct storage_job *job;

    if (g->failed || g->log_bytes < SNAPSHOT_LOG_BYTES || g->snapshot_busy ||
        g->install.len > 0 || raft_is_sending_snapshot(g->raft)) {
        return;
    }
    job = storage_job_create(STORAGE_SNAPSHOT);
    raft_snapshot_meta(g->raft, &job->meta);
    job->meta.members = str_dup(job->meta.members);
    flow_state_encode(g->state, &job->bytes);
    g->snapshot_index = job->meta.index;
    g->snapshot_busy = true;
    g->log_bytes = 0;
    storage_submit(g->storage, job);
}

static void
update_role(struct group *g)
{
    struct node *n = g->node;
    struct raft_status status;

    raft_status(g->raft, &status);
    if (n->leader != NULL && (status.role != RAFT_LEADER ||
                              leader_current_term(n->leader) != status.term)) {
        event_write(&event_role, "role=follower term=%llu",
                    (unsigned long long)status.term);
        leader_destroy(n->leader);
        n->leader = NULL;
    }
    /* The leader accepts requests and controls workers only after all entries
     * of earlier terms are applied. */
    if (n->leader == NULL && status.role == RAFT_LEADER &&
        raft_lease_valid(g->raft, n->now) && status.applied == status.commit) {
        event_write(&event_role, "role=leader term=%llu index=%llu",
                    (unsigned long long)status.term,
                    (unsigned long long)status.applied);
        n->leader = leader_create(n, status.term);
    }
}

void
group_send_hint(struct group *g, struct link *to)
{
    Node__Hint hint = NODE__HINT__INIT;
    Node__Envelope envelope = NODE__ENVELOPE__INIT;
    struct raft_status status;
    size_t count;
    const struct raft_member *members = raft_members(g->raft, &count);
    struct str *copies = mem_zalloc(count + 1, sizeof(*copies));
    char **texts = mem_zalloc(count + 1, sizeof(*texts));
    struct str leader = {NULL, 0};

    raft_status(g->raft, &status);
    hint.term = status.term;
    for (size_t i = 0; i < count; i++) {
        copies[i] = str_dup(members[i].address);
        texts[i] = (char *)copies[i].ptr;
        if (members[i].id == status.leader && status.leader != 0) {
            leader = str_dup(members[i].vm);
            hint.leader = (char *)leader.ptr;
        }
    }
    hint.members = texts;
    hint.n_members = count;
    envelope.msg_case = NODE__ENVELOPE__MSG_HINT;
    envelope.hint = &hint;
    link_send(to, &envelope);
    for (size_t i = 0; i < count; i++) {
        str_free(&copies[i]);
    }
    str_free(&leader);
    mem_free(copies);
    mem_free(texts);
}

static void
announce_leader_change(struct group *g)
{
    struct raft_status status;
    void *cursor = NULL;
    struct link *l;
    size_t count;
    const struct raft_member *members = raft_members(g->raft, &count);

    raft_status(g->raft, &status);
    if (status.leader == g->announced_leader &&
        status.term == g->announced_term) {
        return;
    }
    g->announced_leader = status.leader;
    g->announced_term = status.term;
    for (size_t i = 0; i < count; i++) {
        links_add_target(g->node, members[i].address);
        if (members[i].id == status.leader && status.leader != 0) {
            g->node->leader_term = status.term;
            str_replace(&g->node->leader_vm, members[i].vm);
        }
    }
    while ((l = map_next(g->node->links, &cursor)) != NULL) {
        group_send_hint(g, l);
    }
}

static void
propose_prune(struct group *g)
{
    struct node *n = g->node;

    if (n->leader == NULL || n->now < g->prune_due) {
        return;
    }
    g->prune_due = n->now + PRUNE_INTERVAL_MS * NS_PER_MS;
    if (flow_wall_ms(g->state) > 0) {
        Flow__Batch batch = FLOW__BATCH__INIT;
        Flow__Command command = FLOW__COMMAND__INIT;
        Flow__Command *list[] = {&command};
        uint8_t bytes[64];
        size_t len;

        command.kind_case = FLOW__COMMAND__KIND_PRUNE_BEFORE_MS;
        command.prune_before_ms =
            clock_wall_ms() - (int64_t)n->settings.job_keep_s * 1000;
        batch.wall_ms = clock_wall_ms();
        batch.commands = list;
        batch.n_commands = 1;
        len = flow__batch__pack(&batch, bytes);
        group_propose(g, str_from(bytes, len));
    }
}

void
group_step(struct group *g)
{
    struct node *n = g->node;
    struct raft_output out;

    if (raft_next_deadline(g->raft) <= n->now) {
        raft_tick(g->raft, n->now);
    }
    group_join_step(g);
    propose_prune(g);
    while (!g->failed && raft_ready(g->raft, n->now, &out)) {
        process_output(g, &out);
    }
    update_role(g);
    announce_leader_change(g);
    group_log_members(g);
    take_snapshot(g);
    peer_set_identity(n->hub, g->member_id, group_cluster_id(g));
}

int64_t
group_next_deadline(const struct group *g)
{
    int64_t deadline = raft_next_deadline(g->raft);

    if (g->join_due < deadline) {
        deadline = g->join_due;
    }
    return deadline;
}
