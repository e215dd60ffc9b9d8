#include "internal.h"

#include "clock.h"

/* A body over max_body is read and discarded up to this multiple of it, so
 * that a chunked sender gets its 413; beyond that the connection is closed. */
enum {
    DISCARD_LIMIT_FACTOR = 4,
};

/*
 * Counts size bytes of body in front.buffered. Returns false when that exceeds
 * max_buffered. The memory in use may be twice as much, because a buffer's
 * capacity is up to twice its length.
 */
static bool
charge_body(struct request *r, size_t size)
{
    struct front *f = r->front;

    r->charged += size;
    return atomic_fetch_add(&f->buffered, size) + size <=
           f->config.max_buffered;
}

static enum MHD_Result
receive_body(struct request *r, const char *data, size_t size)
{
    size_t limit = r->front->config.max_body;

    r->received += size;
    if (r->received > limit) {
        r->too_large = true;
        request_drop_body(r);
        return r->received > limit * DISCARD_LIMIT_FACTOR ? MHD_NO : MHD_YES;
    }
    if (r->overloaded || !charge_body(r, size)) {
        r->overloaded = true;
        request_drop_body(r);
        return MHD_YES;
    }
    buf_append(&r->call.body, data, size);
    return MHD_YES;
}

/* Ends the receive deadline once the whole request has arrived. Returns false
 * when the watch thread has already answered 408. */
static bool
end_receiving(struct request *r)
{
    struct front *f = r->front;
    bool ok;

    pthread_mutex_lock(&f->lock);
    ok = r->conn != NULL && !r->conn->expired;
    if (ok) {
        r->conn->phase = CONN_HANDLING;
        r->conn->deadline = DEADLINE_NONE;
    }
    pthread_mutex_unlock(&f->lock);
    return ok;
}

/* Answers 503 because the ring is full. libmicrohttpd allows no answer on a
 * suspended connection, so the connection is resumed first. */
static void
refuse_ring_full(struct request *r)
{
    bool taken;

    pthread_mutex_lock(&r->front->lock);
    taken = request_begin_resume(r);
    if (taken) {
        api_fail(&r->error, 503, "overloaded", "", "too many requests wait");
    }
    pthread_mutex_unlock(&r->front->lock);
    if (taken) {
        request_finish_resume(r);
    }
}

static enum MHD_Result
push_call(struct request *r)
{
    struct front *f = r->front;

    /* The connection is suspended before the push, because the consumer may
     * answer as soon as the item is on the ring. */
    pthread_mutex_lock(&f->lock);
    if (atomic_load(&f->stopping)) {
        pthread_mutex_unlock(&f->lock);
        return MHD_NO;
    }
    MHD_suspend_connection(r->connection);
    r->state = REQUEST_SUSPENDED;
    map_put_u64(f->suspended, r->call.id, r);
    pthread_mutex_unlock(&f->lock);
    atomic_fetch_add(&r->refs, 2);
    if (!ring_push(f->ring, &r->call_item)) {
        atomic_fetch_sub(&r->refs, 2);
        refuse_ring_full(r);
        return MHD_YES;
    }
    counter_add(f->metrics.requests, 1);
    /* Watched only after the push, so that a FRONT_ITEM_DISCONNECTED cannot
     * precede the FRONT_ITEM_CALL. */
    pthread_mutex_lock(&f->lock);
    if (r->state == REQUEST_SUSPENDED) {
        watch_add(r);
    }
    pthread_mutex_unlock(&f->lock);
    return MHD_YES;
}

static enum MHD_Result
submit_request(struct request *r)
{
    if (!end_receiving(r)) {
        return MHD_NO;
    }
    if (r->too_large) {
        api_fail(&r->error, 413, "too_large", "",
                 "the body has more than %zu bytes",
                 r->front->config.max_body);
        return answer_error(r);
    }
    if (r->overloaded) {
        api_fail(&r->error, 503, "overloaded", "", "too many bodies wait");
        return answer_error(r);
    }
    if (r->has_length && r->length != r->received) {
        return MHD_NO;
    }
    return push_call(r);
}

static enum MHD_Result
answer_request(struct request *r)
{
    if (r->aborted) {
        return MHD_NO;
    }
    return r->error.status != 0 ? answer_error(r) : answer_response(r);
}

enum MHD_Result
front_on_access(void *cls, struct MHD_Connection *connection, const char *url,
                const char *method, const char *version, const char *upload,
                size_t *upload_size, void **context)
{
    struct request *r = *context;
    enum request_state state;

    (void)cls;
    (void)connection;
    (void)url;
    if (r == NULL) {
        return MHD_NO;
    }
    if (!r->header_read) {
        r->header_read = true;
        return request_begin(r, method, version) ? MHD_YES : answer_error(r);
    }
    if (*upload_size != 0) {
        size_t size = *upload_size;

        *upload_size = 0;
        return receive_body(r, upload, size);
    }
    pthread_mutex_lock(&r->front->lock);
    state = r->state;
    pthread_mutex_unlock(&r->front->lock);
    return state == REQUEST_ANSWERED ? answer_request(r) : submit_request(r);
}
