/*
 * The storage thread runs one job at a time, in order. Queued writes are
 * merged so that one fsync covers all of them.
 */
#include <pthread.h>

#include "internal.h"
#include "mem.h"

enum {
    WORK_RING = 4, /* at most one job in flight and the stop marker */
};

struct disk {
    struct store *store;
    struct ring *work;
    struct ring *done;
    pthread_t thread;
    struct store_snapshot *install; /* storage thread only */
    struct disk_job *first;         /* queued behind the job in flight */
    struct disk_job *last;
    bool in_flight;
};

static struct disk_job stop_mark;

struct disk_job *
disk_job_create(enum disk_kind kind)
{
    struct disk_job *job = mem_zalloc(1, sizeof(*job));

    job->kind = kind;
    if (kind == DISK_WRITE) {
        job->batch = store_batch_create();
    }
    return job;
}

void
disk_job_free(struct disk_job *job)
{
    if (job->batch != NULL) {
        store_batch_destroy(job->batch);
    }
    str_free(&job->meta.members);
    buf_free(&job->bytes);
    mem_free(job);
}

static enum store_error
run_install(struct disk *d, struct disk_job *job)
{
    enum store_error error = STORE_OK;
    struct store_snapshot *w;

    if (job->offset == 0) {
        if (d->install != NULL) {
            store_snapshot_abort(d->install);
            d->install = NULL;
        }
        error = store_snapshot_begin(d->store, &job->meta, &d->install);
    }
    if (error != STORE_OK || d->install == NULL) {
        return error == STORE_OK ? STORE_ERR_INVALID : error;
    }
    error = store_snapshot_write(d->install, buf_str(&job->bytes));
    if (error == STORE_OK && job->last) {
        w = d->install;
        d->install = NULL;
        error = store_snapshot_commit(w, job->reset_log);
    }
    return error;
}

static enum store_error
run_snapshot(struct disk *d, struct disk_job *job)
{
    struct store_snapshot *w;
    enum store_error error = store_snapshot_begin(d->store, &job->meta, &w);

    if (error != STORE_OK) {
        return error;
    }
    error = store_snapshot_write(w, buf_str(&job->bytes));
    if (error != STORE_OK) {
        store_snapshot_abort(w);
        return error;
    }
    return store_snapshot_commit(w, false);
}

static enum store_error
run_job(struct disk *d, struct disk_job *job)
{
    switch (job->kind) {
    case DISK_WRITE:
        return store_write(d->store, job->batch);
    case DISK_INSTALL:
        return run_install(d, job);
    case DISK_SNAPSHOT:
        return run_snapshot(d, job);
    case DISK_READ:
        return store_snapshot_read(d->store, job->index, job->offset, job->len,
                                   &job->bytes, &job->total);
    }
    return STORE_ERR_INVALID;
}

static void *
thread_run(void *arg)
{
    struct disk *d = arg;
    struct disk_job *job = NULL;

    while (job != &stop_mark) {
        ring_wait(d->work);
        while ((job = ring_pop(d->work)) != NULL && job != &stop_mark) {
            job->error = run_job(d, job);
            ring_push(d->done, job);
        }
    }
    return NULL;
}

struct disk *
disk_create(struct store *store, struct ring *done)
{
    struct disk *d = mem_zalloc(1, sizeof(*d));

    d->store = store;
    d->done = done;
    d->work = ring_create(WORK_RING);
    if (d->work == NULL ||
        pthread_create(&d->thread, NULL, thread_run, d) != 0) {
        ring_destroy(d->work);
        mem_free(d);
        return NULL;
    }
    return d;
}

void
disk_destroy(struct disk *d)
{
    struct disk_job *next;

    if (d == NULL) {
        return;
    }
    ring_push(d->work, &stop_mark);
    pthread_join(d->thread, NULL);
    if (d->install != NULL) {
        store_snapshot_abort(d->install);
    }
    store_close(d->store);
    for (; d->first != NULL; d->first = next) {
        next = d->first->next;
        disk_job_free(d->first);
    }
    ring_destroy(d->work);
    mem_free(d);
}

static void
start_next(struct disk *d)
{
    struct disk_job *job = d->first;

    if (job == NULL || d->in_flight) {
        return;
    }
    d->first = job->next;
    if (d->first == NULL) {
        d->last = NULL;
    }
    d->in_flight = true;
    ring_push(d->work, job);
}

void
disk_submit(struct disk *d, struct disk_job *job)
{
    job->next = NULL;
    if (d->last == NULL) {
        d->first = job;
    }
    else {
        d->last->next = job;
    }
    d->last = job;
    start_next(d);
}

void
disk_write(struct disk *d, const struct raft_output *out)
{
    struct disk_job *job = d->last;

    if (out->write == 0) {
        return;
    }
    if (job == NULL || job->kind != DISK_WRITE) {
        job = disk_job_create(DISK_WRITE);
        store_batch_output(job->batch, out);
        job->number = out->write;
        disk_submit(d, job);
        return;
    }
    store_batch_output(job->batch, out);
    job->number = out->write;
}

void
disk_done(struct disk *d)
{
    d->in_flight = false;
    start_next(d);
}
