#include "internal.h"

#include <string.h>

#include "clock.h"
#include "mem.h"

static struct conn *
connection_context(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

    return info == NULL ? NULL : *(struct conn *const *)info;
}

static int64_t
idle_deadline(const struct front *f)
{
    return clock_now() + (f->close_idle ? FRONT_DRAIN_IDLE_MS * NS_PER_MS
                                        : f->config.idle_timeout_ns);
}

static void
conn_start(struct shard *shard, struct MHD_Connection *connection,
           void **context)
{
    struct front *f = shard->front;
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    struct conn *c = mem_zalloc(1, sizeof(*c));

    c->front = f;
    c->shard = shard;
    c->fd = info == NULL ? -1 : info->connect_fd;
    pthread_mutex_lock(&f->lock);
    c->deadline = idle_deadline(f);
    c->next = f->conns;
    if (c->next != NULL) {
        c->next->prev = c;
    }
    f->conns = c;
    pthread_mutex_unlock(&f->lock);
    *context = c;
}

/* Detaches the request from its connection and drops the front's reference.
 */
static void
conn_end_request(struct conn *c)
{
    struct front *f = c->front;
    struct request *r;

    pthread_mutex_lock(&f->lock);
    r = c->request;
    c->request = NULL;
    c->phase = CONN_IDLE;
    c->deadline = idle_deadline(f);
    if (r != NULL) {
        r->state = REQUEST_ENDED;
        r->conn = NULL;
    }
    pthread_mutex_unlock(&f->lock);
    if (r != NULL) {
        /* Unreferenced first: once active is 0, buffered counts no bytes of
         * an ended request. */
        front_call_unref(&r->call);
        atomic_fetch_sub(&f->active, 1);
    }
}

static void
conn_close(struct conn *c)
{
    struct front *f = c->front;

    conn_end_request(c);
    pthread_mutex_lock(&f->lock);
    if (c->next != NULL) {
        c->next->prev = c->prev;
    }
    if (c->prev != NULL) {
        c->prev->next = c->next;
    }
    else {
        f->conns = c->next;
    }
    pthread_mutex_unlock(&f->lock);
    listen_connection_closed(f, c->shard);
    mem_free(c);
}

/* libmicrohttpd closes the socket only after the notification, so the
 * descriptor of a connection in front.conns is always valid. */
void
front_on_connection(void *cls, struct MHD_Connection *connection,
                    void **context, enum MHD_ConnectionNotificationCode code)
{
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        conn_start(cls, connection, context);
    }
    else if (*context != NULL) {
        conn_close(*context);
        *context = NULL;
    }
}

/* Called when the request line has arrived. */
void *
front_on_uri(void *cls, const char *uri, struct MHD_Connection *connection)
{
    struct front *f = cls;
    struct conn *c = connection_context(connection);
    struct request *r;

    if (c == NULL) {
        return NULL;
    }
    conn_end_request(c);
    r = request_create(f, connection);
    r->uri = (char *)str_dup(str_of(uri)).ptr;
    r->conn = c;
    r->call.arrived = clock_now();
    pthread_mutex_lock(&f->lock);
    c->request = r;
    c->phase = CONN_RECEIVING;
    c->deadline = r->call.arrived + f->config.receive_timeout_ns;
    pthread_mutex_unlock(&f->lock);
    return r;
}

void
front_on_completed(void *cls, struct MHD_Connection *connection,
                   void **context, enum MHD_RequestTerminationCode code)
{
    struct conn *c = connection_context(connection);

    (void)cls;
    (void)code;
    if (c != NULL) {
        conn_end_request(c);
    }
    *context = NULL;
}
