/*
 * Snapshots that this member takes of its state or installs from the leader.
 */
#include "control.h"
#include "log.h"
#include "replica_impl.h"
#include "storage.h"

static void
copy_meta(struct raft_snapshot *out, const struct raft_snapshot *in)
{
    *out = *in;
    out->members = str_dup(in->members);
}

void
replica_queue_installs(struct replica *r, const struct raft_output *out)
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

void
replica_install_done(struct replica *r, const struct storage_job *job)
{
    struct state *state;

    if (!job->u.install.last) {
        return;
    }
    state = state_decode(buf_str(&r->install));
    buf_clear(&r->install);
    if (state == NULL) {
        replica_storage_failed(r, "decoding an installed snapshot",
                               STORE_ERR_DAMAGED);
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
replica_take_snapshot(struct replica *r)
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
