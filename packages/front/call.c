#include "internal.h"

#include "clock.h"
#include "mem.h"

struct request *
request_create(struct front *f, struct MHD_Connection *connection)
{
    struct request *r = mem_zalloc(1, sizeof(*r));

    r->front = f;
    r->connection = connection;
    r->call.id = atomic_fetch_add(&f->next_id, 1) + 1;
    r->call_item = (struct front_item){FRONT_ITEM_CALL, &r->call};
    r->disconnect_item =
        (struct front_item){FRONT_ITEM_DISCONNECTED, &r->call};
    atomic_init(&r->refs, 1);
    atomic_fetch_add(&f->refs, 1);
    atomic_fetch_add(&f->active, 1);
    return r;
}

static void
response_free(struct front_response *response)
{
    http_headers_free(&response->headers);
    buf_free(&response->body);
}

void
request_drop_body(struct request *r)
{
    buf_free(&r->call.body);
    atomic_fetch_sub(&r->front->buffered, r->charged);
    r->charged = 0;
}

static void
request_free(struct request *r)
{
    struct front *f = r->front;

    mem_free(r->uri);
    str_free(&r->call.path);
    str_free(&r->call.query);
    str_free(&r->call.host);
    str_free(&r->call.key);
    str_free(&r->call.idempotency_key);
    str_free(&r->call.if_match);
    str_free(&r->call.content_type);
    http_headers_free(&r->call.headers);
    request_drop_body(r);
    response_free(&r->response);
    mem_free(r);
    front_unref(f);
}

void
front_call_ref(struct front_call *call)
{
    atomic_fetch_add(&((struct request *)call)->refs, 1);
}

void
front_call_unref(struct front_call *call)
{
    struct request *r = (struct request *)call;

    if (atomic_fetch_sub(&r->refs, 1) == 1) {
        request_free(r);
    }
}

void
front_item_release(struct front_item *item)
{
    front_call_unref(item->call);
}

void
front_unref(struct front *f)
{
    if (atomic_fetch_sub(&f->refs, 1) != 1) {
        return;
    }
    pthread_mutex_destroy(&f->lock);
    pthread_mutex_destroy(&f->accept_lock);
    pthread_cond_destroy(&f->resumed);
    map_destroy(f->suspended);
    mem_free(f->shards);
    mem_free(f);
}

bool
request_begin_resume(struct request *r)
{
    if (r->state != REQUEST_SUSPENDED) {
        return false;
    }
    r->state = REQUEST_ANSWERED;
    map_del_u64(r->front->suspended, r->call.id);
    watch_remove(r);
    r->front->resuming++;
    return true;
}

/*
 * Resumes without holding front.lock, because libmicrohttpd takes locks of its
 * own. No other thread uses the connection meanwhile: only the thread that
 * changed the state resumes it, and front_destroy waits for resuming to reach
 * 0.
 */
void
request_finish_resume(struct request *r)
{
    struct front *f = r->front;

    MHD_resume_connection(r->connection);
    pthread_mutex_lock(&f->lock);
    if (--f->resuming == 0) {
        pthread_cond_broadcast(&f->resumed);
    }
    pthread_mutex_unlock(&f->lock);
}

static void
complete_call(struct front_call *call, struct front_response *response)
{
    struct request *r = (struct request *)call;
    bool taken;

    pthread_mutex_lock(&r->front->lock);
    taken = request_begin_resume(r);
    if (taken && response != NULL) {
        r->response = *response;
        r->charged += response->body.len;
        atomic_fetch_add(&r->front->buffered, response->body.len);
        r->conn->phase = CONN_ANSWERING;
        r->conn->deadline = clock_now() + r->front->config.send_timeout_ns;
    }
    if (taken && response == NULL) {
        r->aborted = true;
    }
    pthread_mutex_unlock(&r->front->lock);
    if (taken) {
        request_finish_resume(r);
    }
    else if (response != NULL) {
        response_free(response);
    }
    if (response != NULL) {
        *response = (struct front_response){0};
    }
    front_call_unref(call);
}

void
front_respond(struct front_call *call, struct front_response *response)
{
    complete_call(call, response);
}

void
front_abort(struct front_call *call)
{
    complete_call(call, NULL);
}

void
front_abort_suspended(struct front *f)
{
    struct request *r;

    pthread_mutex_lock(&f->lock);
    for (;;) {
        void *cursor = NULL;

        r = map_next(f->suspended, &cursor);
        if (r == NULL) {
            break;
        }
        request_begin_resume(r);
        r->aborted = true;
        front_call_ref(&r->call);
        pthread_mutex_unlock(&f->lock);
        request_finish_resume(r);
        front_call_unref(&r->call);
        pthread_mutex_lock(&f->lock);
    }
    while (f->resuming != 0) {
        pthread_cond_wait(&f->resumed, &f->lock);
    }
    pthread_mutex_unlock(&f->lock);
}
