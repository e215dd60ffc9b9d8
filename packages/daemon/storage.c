#include "storage.h"

#include <pthread.h>
#include <sched.h>

#include "log.h"
#include "mem.h"

struct storage {
    struct store *store;
    struct ring *work;
    struct ring *done;
    pthread_t thread;
    /* Storage thread only: the snapshot that is being installed. */
    struct store_snapshot *install;
    struct buf install_bytes;
    /* Control thread only: jobs that wait for the one in flight. */
    struct storage_job *first;
    struct storage_job *last;
    bool in_flight;
    int snapshots;
};

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

/* Decoding takes long, so it is not left to the control thread. */
static enum store_error
finish_install(struct storage *s, struct storage_job *job)
{
    struct store_snapshot *w = s->install;

    s->install = NULL;
    job->u.install.state = state_decode(buf_str(&s->install_bytes));
    buf_free(&s->install_bytes);
    if (job->u.install.state == NULL) {
        store_snapshot_abort(w);
        return STORE_ERR_DAMAGED;
    }
    return store_snapshot_commit(w, job->u.install.reset_log);
}

static enum store_error
run_install(struct storage *s, struct storage_job *job)
{
    enum store_error error = STORE_OK;

    if (job->u.install.offset == 0) {
        if (s->install != NULL) {
            store_snapshot_abort(s->install);
            s->install = NULL;
        }
        buf_clear(&s->install_bytes);
        error =
            store_snapshot_begin(s->store, &job->u.install.meta, &s->install);
    }
    if (error == STORE_OK) {
        buf_append_str(&s->install_bytes, buf_str(&job->u.install.bytes));
        error =
            store_snapshot_write(s->install, buf_str(&job->u.install.bytes));
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
    struct store_snapshot *w;
    enum store_error error =
        store_snapshot_begin(s->store, &job->u.snapshot.meta, &w);

    if (error != STORE_OK) {
        return error;
    }
    for (size_t i = 0; error == STORE_OK && i < chunks->count; i++) {
        error = store_snapshot_write(w, buf_str(&chunks->list[i]));
    }
    /* Not left to the control thread, which frees the job. */
    state_chunks_free(chunks);
    if (error != STORE_OK) {
        store_snapshot_abort(w);
        return error;
    }
    return store_snapshot_commit(w, false);
}

static enum store_error
run(struct storage *s, struct storage_job *job)
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
        return store_set_cluster(s->store, job->u.cluster);
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
        ring_wait(s->work);
        while ((job = ring_pop(s->work)) != NULL) {
            if (job == &stop_job) {
                return NULL;
            }
            job->error = run(s, job);
            while (!ring_push(s->done, job)) {
                sched_yield();
            }
        }
    }
}

struct storage *
storage_create(struct store *store, struct ring *done)
{
    struct storage *s = mem_zalloc(1, sizeof(*s));

    s->store = store;
    s->done = done;
    s->work = ring_create(64);
    if (s->work == NULL ||
        pthread_create(&s->thread, NULL, storage_thread, s) != 0) {
        log_write(LOG_LEVEL_CRIT, "storage: cannot start the thread");
        ring_destroy(s->work);
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
    while (!ring_push(s->work, &stop_job)) {
        sched_yield();
    }
    pthread_join(s->thread, NULL);
    for (struct storage_job *job = s->first; job != NULL; job = next) {
        next = job->next;
        storage_job_free(job);
    }
    if (s->install != NULL) {
        store_snapshot_abort(s->install);
    }
    buf_free(&s->install_bytes);
    store_close(s->store);
    ring_destroy(s->work);
    mem_free(s);
}

static void
start_next(struct storage *s)
{
    struct storage_job *job = s->first;

    if (job == NULL || s->in_flight) {
        return;
    }
    s->first = job->next;
    if (s->first == NULL) {
        s->last = NULL;
    }
    job->next = NULL;
    s->in_flight = true;
    /* One job is in flight at a time, so the ring always has room. */
    ring_push(s->work, job);
}

void
storage_submit(struct storage *s, struct storage_job *job)
{
    if (job->kind == STORAGE_SNAPSHOT) {
        s->snapshots++;
    }
    if (s->last == NULL) {
        s->first = job;
    }
    else {
        s->last->next = job;
    }
    s->last = job;
    start_next(s);
}

void
storage_write(struct storage *s, const struct raft_output *out)
{
    struct storage_job *job = s->last;

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
storage_done(struct storage *s, const struct storage_job *job)
{
    if (job->kind == STORAGE_SNAPSHOT) {
        s->snapshots--;
    }
    s->in_flight = false;
    start_next(s);
}

bool
storage_snapshot_busy(const struct storage *s)
{
    return s->snapshots > 0;
}
