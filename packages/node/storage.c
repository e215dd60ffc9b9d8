/*
 * The storage thread runs jobs one at a time, in order. Consecutive queued
 * writes are merged, so that one fsync covers all of them.
 */
#include <pthread.h>

#include "internal.h"
#include "mem.h"

enum {
    WORK_RING_SIZE = 4, /* holds at most one job in flight and stop_job */
};

struct storage {
    struct store *store;
    struct ring *work;
    struct ring *done;
    pthread_t thread;
    struct store_snapshot *install; /* used by the thread only */
    struct storage_job *queue_head; /* waits for the job in flight */
    struct storage_job *queue_tail;
    bool in_flight;
};

/* Tells the thread to exit. */
static struct storage_job stop_job;

struct storage_job *
storage_job_create(enum storage_job_kind kind)
{
    struct storage_job *job = mem_zalloc(1, sizeof(*job));

    job->kind = kind;
    if (kind == STORAGE_WRITE) {
        job->batch = store_batch_create();
    }
    return job;
}

void
storage_job_free(struct storage_job *job)
{
    if (job->batch != NULL) {
        store_batch_destroy(job->batch);
    }
    str_free(&job->meta.members);
    buf_free(&job->bytes);
    mem_free(job);
}

static enum store_error
run_install(struct storage *s, struct storage_job *job)
{
    enum store_error error = STORE_OK;
    struct store_snapshot *snapshot;

    if (job->offset == 0) {
        if (s->install != NULL) {
            store_snapshot_abort(s->install);
            s->install = NULL;
        }
        error = store_snapshot_begin(s->store, &job->meta, &s->install);
    }
    if (error != STORE_OK || s->install == NULL) {
        return error == STORE_OK ? STORE_ERR_INVALID : error;
    }
    error = store_snapshot_write(s->install, buf_str(&job->bytes));
    if (error == STORE_OK && job->last) {
        snapshot = s->install;
        s->install = NULL;
        error = store_snapshot_commit(snapshot, job->reset_log);
    }
    return error;
}

static enum store_error
run_snapshot(struct storage *s, struct storage_job *job)
{
    struct store_snapshot *snapshot;
    enum store_error error =
        store_snapshot_begin(s->store, &job->meta, &snapshot);

    if (error != STORE_OK) {
        return error;
    }
    error = store_snapshot_write(snapshot, buf_str(&job->bytes));
    if (error != STORE_OK) {
        store_snapshot_abort(snapshot);
        return error;
    }
    return store_snapshot_commit(snapshot, false);
}

static enum store_error
run_job(struct storage *s, struct storage_job *job)
{
    switch (job->kind) {
    case STORAGE_WRITE:
        return store_write(s->store, job->batch);
    case STORAGE_INSTALL:
        return run_install(s, job);
    case STORAGE_SNAPSHOT:
        return run_snapshot(s, job);
    case STORAGE_READ:
        return store_snapshot_read(s->store, job->index, job->offset, job->len,
                                   &job->bytes, &job->total);
    }
    return STORE_ERR_INVALID;
}

static void *
run_thread(void *arg)
{
    struct storage *s = arg;
    struct storage_job *job = NULL;

    while (job != &stop_job) {
        ring_wait(s->work);
        while ((job = ring_pop(s->work)) != NULL && job != &stop_job) {
            job->error = run_job(s, job);
            ring_push(s->done, job);
        }
    }
    return NULL;
}

struct storage *
storage_create(struct store *store, struct ring *done)
{
    struct storage *s = mem_zalloc(1, sizeof(*s));

    s->store = store;
    s->done = done;
    s->work = ring_create(WORK_RING_SIZE);
    if (s->work == NULL ||
        pthread_create(&s->thread, NULL, run_thread, s) != 0) {
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
    ring_push(s->work, &stop_job);
    pthread_join(s->thread, NULL);
    if (s->install != NULL) {
        store_snapshot_abort(s->install);
    }
    store_close(s->store);
    for (; s->queue_head != NULL; s->queue_head = next) {
        next = s->queue_head->next;
        storage_job_free(s->queue_head);
    }
    ring_destroy(s->work);
    mem_free(s);
}

bool
storage_is_idle(struct storage *s)
{
    struct storage_job *next;

    for (; s->queue_head != NULL; s->queue_head = next) {
        next = s->queue_head->next;
        storage_job_free(s->queue_head);
    }
    s->queue_tail = NULL;
    return !s->in_flight;
}

static void
start_next(struct storage *s)
{
    struct storage_job *job = s->queue_head;

    if (job == NULL || s->in_flight) {
        return;
    }
    s->queue_head = job->next;
    if (s->queue_head == NULL) {
        s->queue_tail = NULL;
    }
    s->in_flight = true;
    ring_push(s->work, job);
}

void
storage_submit(struct storage *s, struct storage_job *job)
{
    job->next = NULL;
    if (s->queue_tail == NULL) {
        s->queue_head = job;
    }
    else {
        s->queue_tail->next = job;
    }
    s->queue_tail = job;
    start_next(s);
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
        store_batch_output(job->batch, out);
        job->number = out->write;
        storage_submit(s, job);
        return;
    }
    store_batch_output(job->batch, out);
    job->number = out->write;
}

void
storage_job_done(struct storage *s)
{
    s->in_flight = false;
    start_next(s);
}
