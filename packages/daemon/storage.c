#include "storage.h"

#include <pthread.h>
#include <sched.h>

#include "log.h"
#include "mem.h"

enum {
    JOB_RING_CAPACITY = 64,
};

struct storage {
    struct store *store;
    struct ring *job_ring;
    struct ring *done_ring;
    pthread_t thread;
    /* Storage thread only: the received snapshot that is being written. */
    struct store_snapshot *install_file;
    struct buf install_bytes;
    /* Control thread only: queued jobs; one more may be in flight. */
    struct storage_job *queue_head;
    struct storage_job *queue_tail;
    bool in_flight;
    int snapshots_pending;
};

/* Pushed to job_ring to end the storage thread. */
static struct storage_job stop_job;

struct storage_job *
storage_job_create(enum storage_kind kind)
{
    struct storage_job *job = mem_zalloc(1, sizeof(*job));

    job->kind = kind;
    if (kind == STORAGE_WRITE) {
        job->u.write.batch = store_batch_create();
    }
    return job;
}

void
storage_job_free(struct storage_job *job)
{
    switch (job->kind) {
    case STORAGE_WRITE:
        store_batch_destroy(job->u.write.batch);
        break;
    case STORAGE_INSTALL:
        str_free(&job->u.install.meta.members);
        buf_free(&job->u.install.bytes);
        state_destroy(job->u.install.state);
        break;
    case STORAGE_READ:
        buf_free(&job->u.read.bytes);
        break;
    case STORAGE_SNAPSHOT:
        str_free(&job->u.snapshot.meta.members);
        state_chunks_free(&job->u.snapshot.chunks);
        break;
    case STORAGE_CLUSTER:
        break;
    case STORAGE_DISCARD:
        state_destroy(job->u.discard);
        break;
    }
    mem_free(job);
}

/* Decodes a complete snapshot and commits its file. Decoding a large state
 * takes long and would stall the control thread. */
static enum store_error
finish_install(struct storage *s, struct storage_job *job)
{
    struct store_snapshot *file = s->install_file;

    s->install_file = NULL;
    job->u.install.state = state_decode(buf_str(&s->install_bytes));
    buf_free(&s->install_bytes);
    if (job->u.install.state == NULL) {
        store_snapshot_abort(file);
        return STORE_ERR_DAMAGED;
    }
    return store_snapshot_commit(file, job->u.install.reset_log);
}

static enum store_error
run_install(struct storage *s, struct storage_job *job)
{
    enum store_error error = STORE_OK;

    if (job->u.install.offset == 0) {
        if (s->install_file != NULL) {
            store_snapshot_abort(s->install_file);
            s->install_file = NULL;
        }
        buf_clear(&s->install_bytes);
        error = store_snapshot_begin(s->store, &job->u.install.meta,
                                     &s->install_file);
    }
    if (error == STORE_OK) {
        buf_append_str(&s->install_bytes, buf_str(&job->u.install.bytes));
        error = store_snapshot_write(s->install_file,
                                     buf_str(&job->u.install.bytes));
    }
    if (error == STORE_OK && job->u.install.last) {
        error = finish_install(s, job);
    }
    return error;
}

static enum store_error
run_snapshot(struct storage *s, struct storage_job *job)
{
    struct state_chunks *chunks = &job->u.snapshot.chunks;
    struct store_snapshot *file;
    enum store_error error =
        store_snapshot_begin(s->store, &job->u.snapshot.meta, &file);

    if (error != STORE_OK) {
        return error;
    }
    for (size_t i = 0; error == STORE_OK && i < chunks->count; i++) {
        error = store_snapshot_write(file, buf_str(&chunks->list[i]));
    }
    /* Freed here, because freeing many chunks takes long and the control
     * thread frees the job. */
    state_chunks_free(chunks);
    if (error != STORE_OK) {
        store_snapshot_abort(file);
        return error;
    }
    return store_snapshot_commit(file, false);
}

static enum store_error
run_job(struct storage *s, struct storage_job *job)
{
    switch (job->kind) {
    case STORAGE_WRITE:
        return store_write(s->store, job->u.write.batch);
    case STORAGE_INSTALL:
        return run_install(s, job);
    case STORAGE_READ:
        return store_snapshot_read(s->store, job->u.read.index,
                                   job->u.read.offset, job->u.read.len,
                                   &job->u.read.bytes, &job->u.read.total);
    case STORAGE_SNAPSHOT:
        return run_snapshot(s, job);
    case STORAGE_CLUSTER:
        return store_set_cluster(s->store, job->u.cluster_id);
    case STORAGE_DISCARD:
        state_destroy(job->u.discard);
        job->u.discard = NULL;
        return STORE_OK;
    }
    return STORE_ERR_INVALID;
}

static void *
storage_thread(void *arg)
{
    struct storage *s = arg;
    struct storage_job *job;

    for (;;) {
        ring_wait(s->job_ring);
        while ((job = ring_pop(s->job_ring)) != NULL) {
            if (job == &stop_job) {
                return NULL;
            }
            job->error = run_job(s, job);
            while (!ring_push(s->done_ring, job)) {
                sched_yield();
            }
        }
    }
}

struct storage *
storage_create(struct store *store, struct ring *done_ring)
{
    struct storage *s = mem_zalloc(1, sizeof(*s));

    s->store = store;
    s->done_ring = done_ring;
    s->job_ring = ring_create(JOB_RING_CAPACITY);
    if (s->job_ring == NULL ||
        pthread_create(&s->thread, NULL, storage_thread, s) != 0) {
        log_write(LOG_LEVEL_CRIT, "storage: cannot start the storage thread");
        ring_destroy(s->job_ring);
        mem_free(s);
        return NULL;
    }
    return s;
}

void
storage_destroy(struct storage *s)
{
    struct storage_job *next;

    if (s == NULL) {
        return;
    }
    while (!ring_push(s->job_ring, &stop_job)) {
        sched_yield();
    }
    pthread_join(s->thread, NULL);
    for (struct storage_job *job = s->queue_head; job != NULL; job = next) {
        next = job->next;
        storage_job_free(job);
    }
    if (s->install_file != NULL) {
        store_snapshot_abort(s->install_file);
    }
    buf_free(&s->install_bytes);
    store_close(s->store);
    ring_destroy(s->job_ring);
    mem_free(s);
}

static void
submit_next_job(struct storage *s)
{
    struct storage_job *job = s->queue_head;

    if (job == NULL || s->in_flight) {
        return;
    }
    s->queue_head = job->next;
    if (s->queue_head == NULL) {
        s->queue_tail = NULL;
    }
    job->next = NULL;
    s->in_flight = true;
    /* Only one job is in flight at a time, so the ring cannot be full. */
    ring_push(s->job_ring, job);
}

void
storage_submit(struct storage *s, struct storage_job *job)
{
    if (job->kind == STORAGE_SNAPSHOT) {
        s->snapshots_pending++;
    }
    if (s->queue_tail == NULL) {
        s->queue_head = job;
    }
    else {
        s->queue_tail->next = job;
    }
    s->queue_tail = job;
    submit_next_job(s);
}

void
storage_write(struct storage *s, const struct raft_output *out)
{
    struct storage_job *job = s->queue_tail;

    if (out->write == 0) {
        return;
    }
    if (job == NULL || job->kind != STORAGE_WRITE) {
        job = storage_job_create(STORAGE_WRITE);
        store_batch_output(job->u.write.batch, out);
        job->u.write.number = out->write;
        storage_submit(s, job);
        return;
    }
    store_batch_output(job->u.write.batch, out);
    job->u.write.number = out->write;
}

void
storage_job_done(struct storage *s, const struct storage_job *job)
{
    if (job->kind == STORAGE_SNAPSHOT) {
        s->snapshots_pending--;
    }
    s->in_flight = false;
    submit_next_job(s);
}

bool
storage_snapshot_pending(const struct storage *s)
{
    return s->snapshots_pending > 0;
}
