#include "clock.h"
#include "control.h"
#include "leader.h"
#include "log.h"
#include "mem.h"
#include "replica_impl.h"
#include "storage.h"

static void
ignore_result(void *arg, const struct state_result *result)
{
}

const struct replica_waiter replica_no_waiter = {ignore_result, NULL};

static void
init_raft_config(const struct control *c, struct raft_config *config,
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
    struct store *store;

    r->control = c;
    r->proposals = map_create();
    store = replica_open(r, &restored);
    if (store == NULL) {
        goto fail;
    }
    init_raft_config(c, &config, r->member_id);
    r->raft = raft_create(&config, &restored.raft, c->now);
    if (r->raft == NULL) {
        log_write(LOG_LEVEL_CRIT,
                  "storage: the raft configuration cannot be decoded");
        goto fail_store;
    }
    r->storage = storage_create(store, c->storage_ring);
    if (r->storage == NULL) {
        goto fail_store;
    }
    store_restored_free(&restored);
    return r;

fail_store:
    store_close(store);
fail:
    store_restored_free(&restored);
    replica_destroy(r);
    return NULL;
}

static void
fail_pending_proposals(struct replica *r)
{
    void *cursor = NULL;
    struct pending_proposal *p;
    struct map *failed_proposals = r->proposals;

    /* Waiters may propose again, so the map is replaced first. */
    r->proposals = map_create();
    while ((p = map_next(failed_proposals, &cursor)) != NULL) {
        p->waiter.applied(p->waiter.arg, NULL);
        mem_free(p);
    }
    map_destroy(failed_proposals);
}

void
replica_destroy(struct replica *r)
{
    if (r == NULL) {
        return;
    }
    storage_destroy(r->storage);
    fail_pending_proposals(r);
    leader_destroy(r->control->leader);
    r->control->leader = NULL;
    map_destroy(r->proposals);
    raft_destroy(r->raft);
    state_destroy(r->state);
    replica_discard_snapshot(r);
    buf_free(&r->committed_bytes);
    mem_free(r->committed);
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
        id =
            r->stored_cluster_id != 0 ? r->stored_cluster_id : CLUSTER_UNKNOWN;
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
    struct pending_proposal *p;
    uint64_t index;

    if (raft_propose(r->raft, r->control->now, command, &index) != RAFT_OK) {
        return false;
    }
    raft_status(r->raft, &status);
    p = mem_zalloc(1, sizeof(*p));
    p->term = status.term;
    p->waiter = waiter;
    map_put_u64(r->proposals, index, p);
    return true;
}

void
replica_handle_raft_message(struct replica *r, const struct link *from,
                            struct str bytes)
{
    if (from->member_id == 0 || from->member_id == r->member_id) {
        return;
    }
    /* Leader leases require a time read after the message has arrived, and
     * control->now may be earlier. */
    raft_receive(r->raft, clock_now(), from->member_id, bytes);
}

void
replica_fail_storage(struct replica *r, const char *what,
                     enum store_error error)
{
    if (!r->failed) {
        log_write(LOG_LEVEL_CRIT,
                  "storage: %s failed: %s; this member stops voting and "
                  "acknowledging until the process is restarted",
                  what, store_error_text(error));
        r->failed = true;
        raft_storage_failed(r->raft, r->control->now);
    }
}

void
replica_handle_storage_job(struct replica *r, struct storage_job *job)
{
    int64_t now = r->control->now;

    storage_job_done(r->storage, job);
    if (job->error != STORE_OK && job->kind != STORAGE_READ) {
        replica_fail_storage(
            r,
            job->kind == STORAGE_INSTALL ? "installing a snapshot" : "a write",
            job->error);
        storage_job_free(job);
        return;
    }
    switch (job->kind) {
    case STORAGE_WRITE:
        raft_write_synced(r->raft, now, job->u.write.number);
        break;
    case STORAGE_INSTALL:
        replica_handle_chunk_stored(r, job);
        break;
    case STORAGE_READ:
        raft_supply_snapshot_chunk(r->raft, now, job->u.read.to,
                                   job->u.read.index, job->u.read.offset,
                                   buf_str(&job->u.read.bytes),
                                   job->u.read.total, job->error == STORE_OK);
        break;
    case STORAGE_SNAPSHOT:
        raft_snapshot_saved(r->raft, job->u.snapshot.meta.index);
        break;
    case STORAGE_CLUSTER:
        r->stored_cluster_id = job->u.cluster_id;
        break;
    case STORAGE_DISCARD:
        break;
    }
    storage_job_free(job);
}

static void
store_cluster_id(struct replica *r)
{
    uint64_t id = state_cluster_id(r->state);
    struct storage_job *job;

    if (id == 0 || id == r->stored_cluster_id) {
        return;
    }
    r->stored_cluster_id = id;
    job = storage_job_create(STORAGE_CLUSTER);
    job->u.cluster_id = id;
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
send_leader_hints(struct replica *r)
{
    struct raft_status status;
    void *cursor = NULL;
    struct link *l;

    raft_status(r->raft, &status);
    if (status.leader == r->announced_leader &&
        status.term == r->announced_term) {
        return;
    }
    r->announced_leader = status.leader;
    r->announced_term = status.term;
    while ((l = map_next(r->control->links, &cursor)) != NULL) {
        leader_send_hint(r, l);
    }
}

static void
update_leader_role(struct replica *r)
{
    struct control *c = r->control;
    struct raft_status status;

    raft_status(r->raft, &status);
    if (c->leader != NULL && (status.role != RAFT_LEADER ||
                              leader_term(c->leader) != status.term)) {
        fail_pending_proposals(r);
        leader_destroy(c->leader);
        c->leader = NULL;
    }
    if (status.role != RAFT_LEADER && map_count(r->proposals) != 0) {
        fail_pending_proposals(r);
    }
    /* A new leader makes no decision before all entries of earlier terms have
     * been applied. */
    if (c->leader == NULL && status.role == RAFT_LEADER &&
        raft_lease_valid(r->raft, c->now) && status.applied == status.commit) {
        c->leader = leader_create(c, status.term);
    }
}

void
replica_transfer_leadership(struct replica *r, uint64_t to)
{
    struct raft_status status;

    raft_status(r->raft, &status);
    if (status.role == RAFT_LEADER && !status.transferring) {
        raft_transfer_leadership(r->raft, r->control->now, to);
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
    replica_become_member(r);
    while (raft_ready(r->raft, c->now, &out)) {
        replica_handle_output(r, &out);
    }
    update_leader_role(r);
    send_leader_hints(r);
    store_cluster_id(r);
    replica_take_snapshot(r);
    if (c->hub != NULL) {
        peer_set_identity(c->hub, r->member_id, replica_cluster_id(r));
    }
}

int64_t
replica_next_deadline(const struct replica *r)
{
    int64_t deadline = raft_next_deadline(r->raft);

    if (!replica_is_member(r) && r->join_due < deadline) {
        deadline = r->join_due;
    }
    if (replica_snapshot_deadline(r) < deadline) {
        deadline = replica_snapshot_deadline(r);
    }
    return deadline;
}
