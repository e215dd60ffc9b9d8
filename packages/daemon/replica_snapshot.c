/*
 * Snapshots that this member takes of its state, or receives from the leader
 * and installs.
 */
#include "clock.h"
#include "control.h"
#include "log.h"
#include "mem.h"
#include "replica_impl.h"
#include "storage.h"

enum {
    ENCODE_STEP_BYTES = 8 * 1024, /* encoded between two reads of the clock */
    SLICE_US = 1000,
    SLICE_PAUSE_MS = 2, /* encoding gets a third of the thread's time */
};

static void
copy_meta(struct raft_snapshot *out, const struct raft_snapshot *in)
{
    *out = *in;
    out->members = str_dup(in->members);
}

void
replica_queue_snapshot_chunks(struct replica *r, const struct raft_output *out)
{
    for (size_t i = 0; i < out->install_count; i++) {
        const struct raft_install *in = &out->installs[i];
        struct storage_job *job = storage_job_create(STORAGE_INSTALL);

        copy_meta(&job->u.install.meta, &in->snapshot);
        buf_append_str(&job->u.install.bytes, in->bytes);
        job->u.install.offset = in->offset;
        job->u.install.last = in->last;
        job->u.install.reset_log = in->reset_log;
        r->installing = r->installing || in->last;
        storage_submit(r->storage, job);
    }
}

void
replica_discard_snapshot(struct replica *r)
{
    str_free(&r->encoding.members);
    r->encoding = (struct raft_snapshot){0};
}

/* Freeing a large state takes long and would stall the control thread, so the
 * storage thread does it. */
static void
discard_state(struct replica *r)
{
    struct storage_job *job = storage_job_create(STORAGE_DISCARD);

    job->u.discard = r->state;
    r->state = NULL;
    storage_submit(r->storage, job);
}

void
replica_handle_chunk_stored(struct replica *r, struct storage_job *job)
{
    if (!job->u.install.last) {
        return;
    }
    r->installing = false;
    replica_discard_snapshot(r);
    discard_state(r);
    r->state = job->u.install.state;
    job->u.install.state = NULL;
    r->snapshot_index = job->u.install.meta.index;
    raft_snapshot_installed(r->raft, r->control->now,
                            job->u.install.meta.index);
    log_write(LOG_LEVEL_NOTICE, "raft: installed the snapshot at %llu",
              (unsigned long long)job->u.install.meta.index);
}

static bool
can_store_snapshot(const struct replica *r)
{
    return !r->installing && !storage_snapshot_pending(r->storage) &&
           !raft_is_sending_snapshot(r->raft);
}

static void
begin_snapshot(struct replica *r)
{
    struct raft_snapshot meta;
    uint64_t applied = state_index(r->state);

    if (applied - r->snapshot_index < r->control->settings->snapshot_entries ||
        !can_store_snapshot(r)) {
        return;
    }
    raft_snapshot_meta(r->raft, &meta);
    if (meta.index != applied) {
        return;
    }
    copy_meta(&r->encoding, &meta);
    r->snapshot_index = applied;
    r->longest_slice_ns = 0;
    r->slice_due = r->control->now;
    state_snapshot_begin(r->state);
}

static bool
encode_slice(struct replica *r)
{
    int64_t start = clock_now();
    int64_t now;
    bool done;

    do {
        done = state_snapshot_step(r->state, ENCODE_STEP_BYTES);
        now = clock_now();
    } while (!done && now - start < SLICE_US * NS_PER_US);
    if (now - start > r->longest_slice_ns) {
        r->longest_slice_ns = now - start;
    }
    r->slice_due = now + SLICE_PAUSE_MS * NS_PER_MS;
    return done;
}

static void
submit_snapshot(struct replica *r)
{
    struct storage_job *job = storage_job_create(STORAGE_SNAPSHOT);

    job->u.snapshot.meta = r->encoding;
    r->encoding = (struct raft_snapshot){0};
    state_snapshot_take(r->state, &job->u.snapshot.chunks);
    log_write(LOG_LEVEL_INFO, "raft: snapshot at %llu, longest slice %lld us",
              (unsigned long long)job->u.snapshot.meta.index,
              (long long)(r->longest_slice_ns / NS_PER_US));
    storage_submit(r->storage, job);
}

void
replica_take_snapshot(struct replica *r)
{
    if (r->encoding.index == 0) {
        begin_snapshot(r);
    }
    if (r->encoding.index != 0 && r->slice_due <= r->control->now &&
        encode_slice(r) && can_store_snapshot(r)) {
        submit_snapshot(r);
    }
}

int64_t
replica_snapshot_deadline(const struct replica *r)
{
    return r->encoding.index == 0 ? DEADLINE_NONE : r->slice_due;
}
