#include "replica.h"

#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "clock.h"
#include "control.h"
#include "counter.h"
#include "entry.h"
#include "leader.h"
#include "log.h"
#include "mem.h"
#include "storage.h"
#include "store.h"

enum {
    SNAPSHOT_READ_BYTES = 1 << 20,
    JOIN_INTERVAL_MS = 500,
    CLUSTER_UNKNOWN = 1,
    WAIT_LOG_S = 5,
};

struct waiting {
    uint64_t term;
    struct replica_waiter waiter;
};

struct replica {
    struct control *control;
    struct raft *raft;
    struct state *state;
    struct storage *storage;
    struct map *waiting; /* by index */
    struct buf install;  /* bytes of a snapshot that is being installed */
    struct raft_entry *commits; /* being applied; data is in commit_bytes */
    size_t commit_count;
    size_t commit_cap;
    struct buf commit_bytes;
    uint64_t member_id;
    uint64_t stored_cluster; /* cluster id that the store knows */
    uint64_t snapshot_index; /* of the newest snapshot taken or installed */
    uint64_t hinted_term;
    uint64_t hinted_leader;
    int64_t join_due;
    int64_t wait_log_due;
    bool failed;
};

static void
log_store_error(const char *what, enum store_error error)
{
    log_write(LOG_LEVEL_CRIT,
              "storage: %s failed: %s; this member stops voting and "
              "acknowledging until the process is restarted",
              what, store_error_text(error));
}

static bool
read_snapshot(struct store *store, uint64_t index, struct buf *out)
{
    uint64_t total = 0;

    do {
        size_t before = out->len;
        enum store_error error = store_snapshot_read(
            store, index, out->len, SNAPSHOT_READ_BYTES, out, &total);
        if (error != STORE_OK || out->len == before) {
            return false;
        }
    } while (out->len < total);
    return true;
}

static bool
restore_state(struct replica *r, struct store *store,
              const struct raft_snapshot *snapshot)
{
    struct buf bytes = {0};
    bool ok;

    if (snapshot->index == 0) {
        r->state = state_create();
        return true;
    }
    ok = read_snapshot(store, snapshot->index, &bytes);
    if (ok) {
        r->state = state_decode(buf_str(&bytes));
        r->snapshot_index = snapshot->index;
    }
    buf_free(&bytes);
    return ok && r->state != NULL;
}

/* Opens the store; sets a damaged directory aside and starts empty. */
static struct store *
open_store(const char *dir, struct store_restored *restored)
{
    struct store *store = NULL;
    enum store_error error = store_open(dir, NULL, restored, &store);

    if (error == STORE_ERR_DAMAGED || error == STORE_ERR_IDENTITY) {
        log_write(LOG_LEVEL_ERR,
                  "storage: %s is damaged (%s); it is moved aside and this "
                  "VM joins as a new member",
                  dir, restored->reason);
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
    if (restored->torn_bytes != 0) {
        log_write(LOG_LEVEL_NOTICE,
                  "storage: cut off an incomplete write of %llu bytes",
                  (unsigned long long)restored->torn_bytes);
    }
    return store;
}

static bool
ensure_identity(struct replica *r, struct store *store,
                const struct store_restored *restored)
{
    r->member_id = restored->member_id;
    r->stored_cluster = restored->cluster_id;
    if (restored->state == STORE_HEALTHY) {
        return true;
    }
    while (r->member_id <= CLUSTER_UNKNOWN) {
        randombytes_buf(&r->member_id, sizeof(r->member_id));
    }
    return store_init(store, r->member_id, 0) == STORE_OK;
}

static void
configure(const struct control *c, struct raft_config *config,
          uint64_t member_id)
{
    raft_config_init(config, member_id, c->run);
    config->election_timeout_ns = c->settings->election_timeout_ms * NS_PER_MS;
    config->heartbeat_ns = c->settings->heartbeat_ms * NS_PER_MS;
}

struct replica *
replica_create(struct control *c)
{
    struct replica *r = mem_zalloc(1, sizeof(*r));
    struct store_restored restored = {0};
    struct raft_config config;
    struct str dir = str_dup(c->settings->data);
    struct store *store = open_store(dir.ptr, &restored);

    r->control = c;
    r->waiting = map_create();
    if (store == NULL) {
        goto fail;
    }
    if (!ensure_identity(r, store, &restored) ||
        !restore_state(r, store, &restored.raft.snapshot)) {
        log_write(LOG_LEVEL_CRIT, "storage: cannot restore the state");
        goto fail_store;
    }
    configure(c, &config, r->member_id);
    r->raft = raft_create(&config, &restored.raft, c->now);
    if (r->raft == NULL) {
        log_write(LOG_LEVEL_CRIT, "storage: the membership does not decode");
        goto fail_store;
    }
    r->storage = storage_create(store, c->storage_ring);
    if (r->storage == NULL) {
        goto fail_store;
    }
    store_restored_free(&restored);
    str_free(&dir);
    return r;

fail_store:
    store_close(store);
fail:
    store_restored_free(&restored);
    str_free(&dir);
    replica_destroy(r);
    return NULL;
}

static void
lose_waiting(struct replica *r)
{
    void *cursor = NULL;
    struct waiting *w;
    struct map *lost = r->waiting;

    /* A callback may propose again. */
    r->waiting = map_create();
    while ((w = map_next(lost, &cursor)) != NULL) {
        w->waiter.applied(w->waiter.arg, NULL);
        mem_free(w);
    }
    map_destroy(lost);
}

void
replica_destroy(struct replica *r)
{
    if (r == NULL) {
        return;
    }
    storage_destroy(r->storage);
    lose_waiting(r);
    leader_destroy(r->control->leader);
    r->control->leader = NULL;
    map_destroy(r->waiting);
    raft_destroy(r->raft);
    state_destroy(r->state);
    buf_free(&r->install);
    buf_free(&r->commit_bytes);
    mem_free(r->commits);
    mem_free(r);
}

const struct state *
replica_state(const struct replica *r)
{
    return r->state;
}

struct raft *
replica_raft(struct replica *r)
{
    return r->raft;
}

uint64_t
replica_member_id(const struct replica *r)
{
    return r->member_id;
}

uint64_t
replica_cluster_id(const struct replica *r)
{
    struct raft_status status;
    uint64_t id = state_cluster_id(r->state);

    raft_status(r->raft, &status);
    if (id == 0 && status.last > 0) {
        id = r->stored_cluster != 0 ? r->stored_cluster : CLUSTER_UNKNOWN;
    }
    return id;
}

bool
replica_leads(const struct replica *r)
{
    return raft_lease_valid(r->raft, clock_now());
}

bool
replica_propose(struct replica *r, struct str command,
                struct replica_waiter waiter)
{
    struct raft_status status;
    struct waiting *w;
    uint64_t index;

    if (raft_propose(r->raft, r->control->now, command, &index) != RAFT_OK) {
        return false;
    }
    raft_status(r->raft, &status);
    w = mem_zalloc(1, sizeof(*w));
    w->term = status.term;
    w->waiter = waiter;
    map_put_u64(r->waiting, index, w);
    return true;
}

void
replica_receive(struct replica *r, const struct link *from, struct str bytes)
{
    if (from->member_id == 0 || from->member_id == r->member_id) {
        return;
    }
    /* Read after the message arrived, as leader leases require. */
    raft_receive(r->raft, clock_now(), from->member_id, bytes);
}

static void
storage_failed(struct replica *r, const char *what, enum store_error error)
{
    if (!r->failed) {
        log_store_error(what, error);
        r->failed = true;
        raft_storage_failed(r->raft, r->control->now);
    }
}

static void
install_done(struct replica *r, const struct storage_job *job)
{
    struct state *state;

    if (!job->u.install.last) {
        return;
    }
    state = state_decode(buf_str(&r->install));
    buf_clear(&r->install);
    if (state == NULL) {
        storage_failed(r, "decoding an installed snapshot", STORE_ERR_DAMAGED);
        return;
    }
    state_destroy(r->state);
    r->state = state;
    r->snapshot_index = job->u.install.meta.index;
    raft_installed(r->raft, r->control->now, job->u.install.meta.index);
    log_write(LOG_LEVEL_NOTICE, "raft: installed the snapshot at %llu",
              (unsigned long long)job->u.install.meta.index);
}

void
replica_storage_done(struct replica *r, struct storage_job *job)
{
    int64_t now = r->control->now;

    storage_done(r->storage, job);
    if (job->error != STORE_OK && job->kind != STORAGE_READ) {
        storage_failed(r, "a write", job->error);
        storage_job_free(job);
        return;
    }
    switch (job->kind) {
    case STORAGE_WRITE:
        raft_synced(r->raft, now, job->u.write.number);
        break;
    case STORAGE_INSTALL:
        install_done(r, job);
        break;
    case STORAGE_READ:
        raft_snapshot_chunk(r->raft, now, job->u.read.to, job->u.read.index,
                            job->u.read.offset, buf_str(&job->u.read.bytes),
                            job->u.read.total, job->error == STORE_OK);
        break;
    case STORAGE_SNAPSHOT:
        raft_snapshotted(r->raft, job->u.snapshot.meta.index);
        break;
    case STORAGE_CLUSTER:
        r->stored_cluster = job->u.cluster;
        break;
    }
    storage_job_free(job);
}

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
        l = control_link(r->control, members[i].vm);
        if (l != NULL && l->member_id == id) {
            return l;
        }
    }
    /* A node without a configuration answers whoever asks it. */
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
copy_meta(struct raft_snapshot *out, const struct raft_snapshot *in)
{
    *out = *in;
    out->members = str_dup(in->members);
}

static void
queue_installs(struct replica *r, const struct raft_output *out)
{
    for (size_t i = 0; i < out->install_count; i++) {
        const struct raft_install *in = &out->installs[i];
        struct storage_job *job = storage_job_create(STORAGE_INSTALL);

        if (in->offset == 0) {
            buf_clear(&r->install);
        }
        buf_append_str(&r->install, in->bytes);
        copy_meta(&job->u.install.meta, &in->snapshot);
        buf_append_str(&job->u.install.bytes, in->bytes);
        job->u.install.offset = in->offset;
        job->u.install.last = in->last;
        job->u.install.reset_log = in->reset_log;
        storage_submit(r->storage, job);
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
    struct waiting *w = map_del_u64(r->waiting, entry->index);
    bool mine = w != NULL && w->term == entry->term;

    state_apply(r->state, entry->index,
                entry->kind == RAFT_ENTRY_DATA ? entry->data
                                               : (struct str){NULL, 0},
                &result);
    if (w != NULL) {
        w->waiter.applied(w->waiter.arg, mine ? &result : NULL);
        mem_free(w);
    }
}

/* Copies the committed entries: applying them may propose others, which raft
 * allows only after raft_advance. */
static void
copy_committed(struct replica *r, const struct raft_output *out)
{
    r->commit_count = out->committed_count;
    if (r->commit_count > r->commit_cap) {
        r->commit_cap = r->commit_count;
        r->commits =
            mem_realloc(r->commits, r->commit_cap, sizeof(*r->commits));
    }
    buf_clear(&r->commit_bytes);
    for (size_t i = 0; i < out->committed_count; i++) {
        r->commits[i] = out->committed[i];
        buf_append_str(&r->commit_bytes, out->committed[i].data);
    }
}

static void
apply_committed(struct replica *r)
{
    static struct counter *applied;
    const char *at = r->commit_bytes.ptr;

    if (applied == NULL) {
        applied = counter_get(COUNTER_SUM, "guavarock_entries_applied_total",
                              "Log entries applied.");
    }
    for (size_t i = 0; i < r->commit_count; i++) {
        r->commits[i].data.ptr = at;
        at += r->commits[i].data.len;
        apply_entry(r, &r->commits[i]);
    }
    counter_add(applied, r->commit_count);
}

static void
take_snapshot(struct replica *r)
{
    struct storage_job *job;
    struct raft_snapshot meta;
    uint64_t applied = state_index(r->state);

    if (applied - r->snapshot_index < r->control->settings->snapshot_entries ||
        storage_snapshot_busy(r->storage) || raft_snapshot_busy(r->raft)) {
        return;
    }
    raft_snapshot_meta(r->raft, &meta);
    if (meta.index != applied) {
        return;
    }
    job = storage_job_create(STORAGE_SNAPSHOT);
    copy_meta(&job->u.snapshot.meta, &meta);
    state_encode(r->state, &job->u.snapshot.bytes);
    r->snapshot_index = applied;
    storage_submit(r->storage, job);
}

static void
store_cluster_id(struct replica *r)
{
    uint64_t id = state_cluster_id(r->state);
    struct storage_job *job;

    if (id == 0 || id == r->stored_cluster) {
        return;
    }
    r->stored_cluster = id;
    job = storage_job_create(STORAGE_CLUSTER);
    job->u.cluster = id;
    storage_submit(r->storage, job);
}

struct str
replica_leader_vm(const struct replica *r, uint64_t *term)
{
    struct raft_status status;
    size_t count;
    const struct raft_member *members = raft_members(r->raft, &count);

    raft_status(r->raft, &status);
    *term = status.term;
    for (size_t i = 0; i < count && status.leader != 0; i++) {
        if (members[i].id == status.leader) {
            return members[i].vm;
        }
    }
    return (struct str){NULL, 0};
}

static void
announce_leader(struct replica *r)
{
    struct raft_status status;
    void *cursor = NULL;
    struct link *l;

    raft_status(r->raft, &status);
    if (status.leader == r->hinted_leader && status.term == r->hinted_term) {
        return;
    }
    r->hinted_leader = status.leader;
    r->hinted_term = status.term;
    while ((l = map_next(r->control->links, &cursor)) != NULL) {
        leader_hint(r, l);
    }
}

static void
follow_role(struct replica *r)
{
    struct control *c = r->control;
    struct raft_status status;

    raft_status(r->raft, &status);
    if (c->leader != NULL && (status.role != RAFT_LEADER ||
                              leader_term(c->leader) != status.term)) {
        lose_waiting(r);
        leader_destroy(c->leader);
        c->leader = NULL;
    }
    if (status.role != RAFT_LEADER && map_count(r->waiting) != 0) {
        lose_waiting(r);
    }
    /* Nothing is decided before all entries of earlier terms are applied. */
    if (c->leader == NULL && status.role == RAFT_LEADER &&
        raft_lease_valid(r->raft, c->now) && status.applied == status.commit) {
        c->leader = leader_create(c, status.term);
    }
}

/* Operators need to know which VM the first start waits for. */
static void
log_wait(struct replica *r, struct str vm, const struct link *l)
{
    if (r->wait_log_due > r->control->now) {
        return;
    }
    r->wait_log_due = r->control->now + WAIT_LOG_S * NS_PER_S;
    log_write(LOG_LEVEL_NOTICE,
              "raft: control VM %.*s %s; not creating a cluster", STR_ARG(vm),
              l == NULL ? "is not connected"
                        : (l->cluster_id != 0 ? "has data of a cluster"
                                              : "has no data directory"));
}

static bool
all_empty(struct replica *r, struct raft_member *members)
{
    const struct settings *s = r->control->settings;

    for (size_t i = 0; i < s->control_count; i++) {
        struct link *l = control_link(r->control, s->control[i].vm);

        members[i].voter = true;
        members[i].vm = s->control[i].vm;
        members[i].address = s->control[i].address;
        members[i].id = r->member_id;
        if (str_eq(s->control[i].vm, s->vm)) {
            continue;
        }
        if (l == NULL || l->member_id == 0 || l->cluster_id != 0) {
            log_wait(r, s->control[i].vm, l);
            return false;
        }
        members[i].id = l->member_id;
    }
    return true;
}

/* The first control VM creates the cluster, once all are seen empty. */
static void
bootstrap(struct replica *r)
{
    const struct settings *s = r->control->settings;
    struct raft_member members[8] = {0};
    enum raft_error error;

    if (s->control_count == 0 || !str_eq(s->control[0].vm, s->vm) ||
        !all_empty(r, members)) {
        return;
    }
    error =
        raft_bootstrap(r->raft, r->control->now, members, s->control_count);
    if (error != RAFT_OK) {
        log_write(LOG_LEVEL_ERR, "raft: cannot create a cluster (%d)",
                  (int)error);
        return;
    }
    log_write(LOG_LEVEL_NOTICE, "raft: creating a cluster of %zu members",
              s->control_count);
}

static bool
is_member(const struct replica *r)
{
    size_t count;
    const struct raft_member *members = raft_members(r->raft, &count);

    for (size_t i = 0; i < count; i++) {
        if (members[i].id == r->member_id) {
            return true;
        }
    }
    return false;
}

static void
ask_to_join(struct replica *r)
{
    const struct settings *s = r->control->settings;
    Wire__Join join = WIRE__JOIN__INIT;
    Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
    struct link *l = entry_leader_link(r->control->entry);
    struct str vm;
    struct str address;

    if (l == NULL || l->session == NULL) {
        return;
    }
    vm = str_dup(s->vm);
    address = str_dup(s->peer_listen);
    join.vm = (char *)vm.ptr;
    join.address = (char *)address.ptr;
    join.member_id = r->member_id;
    envelope.msg_case = WIRE__ENVELOPE__MSG_JOIN;
    envelope.join = &join;
    link_send(l, &envelope);
    str_free(&vm);
    str_free(&address);
}

static void
become_member(struct replica *r)
{
    struct control *c = r->control;
    size_t count;

    if (c->now < r->join_due || is_member(r) || r->failed) {
        return;
    }
    r->join_due = c->now + JOIN_INTERVAL_MS * NS_PER_MS;
    raft_members(r->raft, &count);
    if (count == 0 && replica_cluster_id(r) == 0) {
        bootstrap(r);
    }
    ask_to_join(r);
}

void
replica_join(struct replica *r, const struct link *from, struct str vm,
             uint64_t member_id, struct str address)
{
    const struct raft_member member = {
        .id = member_id, .vm = vm, .address = address};
    size_t count;
    const struct raft_member *members = raft_members(r->raft, &count);

    if (from->member_id != member_id || !str_eq(from->vm, vm)) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        if (members[i].id == member_id) {
            return;
        }
    }
    if (raft_propose_config(r->raft, r->control->now, RAFT_ADD_LEARNER,
                            &member, NULL) == RAFT_OK) {
        log_write(LOG_LEVEL_NOTICE, "raft: VM %.*s joins as a learner",
                  STR_ARG(vm));
    }
}

void
replica_hand_over(struct replica *r, uint64_t to)
{
    struct raft_status status;

    raft_status(r->raft, &status);
    if (status.role == RAFT_LEADER && !status.transferring) {
        raft_transfer(r->raft, r->control->now, to);
    }
}

void
replica_step(struct replica *r)
{
    struct control *c = r->control;
    struct raft_output out;

    if (raft_next_deadline(r->raft) <= c->now) {
        raft_tick(r->raft, c->now);
    }
    become_member(r);
    while (raft_ready(r->raft, c->now, &out)) {
        send_messages(r, &out);
        storage_write(r->storage, &out);
        queue_installs(r, &out);
        queue_reads(r, &out);
        copy_committed(r, &out);
        raft_advance(r->raft);
        apply_committed(r);
    }
    follow_role(r);
    announce_leader(r);
    store_cluster_id(r);
    take_snapshot(r);
    if (c->hub != NULL) {
        peer_set_identity(c->hub, r->member_id, replica_cluster_id(r));
    }
}

int64_t
replica_next_deadline(const struct replica *r)
{
    int64_t deadline = raft_next_deadline(r->raft);

    if (!is_member(r) && r->join_due < deadline) {
        deadline = r->join_due;
    }
    return deadline;
}
