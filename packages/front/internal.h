#ifndef GV_FRONT_INTERNAL_H
#define GV_FRONT_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>

#include <microhttpd.h>

#include "api.h"
#include "counter.h"
#include "front.h"
#include "map.h"

enum {
    IDEMPOTENCY_KEY_MAX = 128,
    /* The limit common among HTTP servers; bounds the work per request. */
    HEADER_COUNT_MAX = 100,
};

enum request_state {
    REQUEST_RECEIVING,
    REQUEST_SUSPENDED, /* the consumer handles it; connection suspended */
    REQUEST_ANSWERED,  /* error, response or aborted is set; resumed */
    REQUEST_ENDED,     /* detached from its connection */
};

/*
 * One request. It is reference-counted: the server holds a reference until
 * libmicrohttpd reports the request's end, the consumer holds one until it
 * answers, and each item on the ring holds one.
 */
struct request {
    struct front_call call; /* must be first: pointers are cast */
    struct front *front;
    struct MHD_Connection *connection;
    struct conn *conn;
    atomic_uint refs;
    struct front_item call_item;
    struct front_item disconnect_item;
    struct request *next_unsent; /* in front.unsent_disconnects */

    char *uri;        /* as received */
    bool header_read; /* request_begin was called */
    bool too_large;   /* the body exceeds max_body and is discarded */
    bool has_length;
    uint64_t length; /* Content-Length, valid with has_length */
    size_t received; /* bytes of body */
    size_t charged;  /* bytes counted in front.buffered */
    bool overloaded; /* max_buffered was exceeded; the body is discarded */
    unsigned header_count;
    bool has_host;
    bool has_authorization;
    bool has_idempotent;
    bool has_transfer_encoding;
    struct api_error error; /* status 0: none */

    /* Guarded by front.lock. */
    enum request_state state;
    bool watched;      /* the connection is in the watch thread's epoll set */
    bool disconnected; /* disconnect_item was pushed or waits to be pushed */
    bool aborted;      /* close the connection without an answer */
    struct front_response response;
};

enum conn_phase {
    CONN_IDLE,      /* between requests */
    CONN_RECEIVING, /* the request line has arrived */
    CONN_HANDLING,  /* the whole request has arrived */
    CONN_ANSWERING,
};

/* A libmicrohttpd daemon, which has one thread, and its connection count. */
struct shard {
    struct front *front;
    struct MHD_Daemon *daemon;
    atomic_uint connections;
};

/* One connection; guarded by front.lock. */
struct conn {
    struct front *front;
    struct shard *shard;
    struct conn *prev;
    struct conn *next;
    struct request *request;
    int fd;
    enum conn_phase phase;
    bool expired;     /* shut down by the watch thread */
    bool peer_closed; /* the peer's end of stream follows the bytes read */
    int64_t deadline; /* of the phase, as clock_now */
};

struct front_metrics {
    struct counter *requests;
    struct counter *refused;
    struct counter *expired;
    struct counter *disconnects;
};

struct front {
    struct front_config config;
    struct ring *ring;
    struct shard *shards; /* config.threads of them */
    uint16_t port;

    pthread_mutex_t accept_lock;
    int listen_fd; /* -1: no longer listening */
    atomic_uint connections;
    /* accept4 failed, or max_connections are open. */
    atomic_bool accept_paused;

    atomic_uint refs;       /* one for each request, one for the owner */
    atomic_uint active;     /* requests, see front_active_requests */
    atomic_size_t buffered; /* bytes of request and response bodies */
    struct front_metrics metrics;
    atomic_bool draining;
    atomic_bool stopping;
    atomic_ullong next_id;

    pthread_mutex_t lock;
    bool close_idle; /* FRONT_DRAIN_IDLE_MS replaces idle_timeout_ns */
    struct conn *conns;
    struct map *suspended; /* id -> struct request */
    /* Requests between request_begin_resume and request_finish_resume. */
    unsigned resuming;
    pthread_cond_t resumed; /* resuming is 0 */

    pthread_t watch_thread;
    int watch_fd; /* epoll set: suspended connections, listen_fd, wake_fd */
    int wake_fd;  /* eventfd that wakes the watch thread */
    /* Requests whose disconnect_item found the ring full; belongs to the
     * watch thread. */
    struct request *unsent_disconnects;
};

/* connection.c */
void *
front_on_uri(void *cls, const char *uri, struct MHD_Connection *connection);
void
front_on_connection(void *cls, struct MHD_Connection *connection,
                    void **context, enum MHD_ConnectionNotificationCode code);
void
front_on_completed(void *cls, struct MHD_Connection *connection,
                   void **context, enum MHD_RequestTerminationCode code);

/* request.c: reads the header into r->call. Returns false with r->error
 * filled when the request is refused. */
bool
request_begin(struct request *r, const char *method, const char *version);

/* handler.c */
enum MHD_Result
front_on_access(void *cls, struct MHD_Connection *connection, const char *url,
                const char *method, const char *version, const char *upload,
                size_t *upload_size, void **context);

/* answer.c */
enum MHD_Result
answer_error(struct request *r);
enum MHD_Result
answer_response(struct request *r);

/* call.c */
struct request *
request_create(struct front *f, struct MHD_Connection *connection);
void
request_drop_body(struct request *r);
void
front_unref(struct front *f);

/*
 * Ends a request's suspension; call with front.lock held. The caller then sets
 * the answer, releases the lock and calls request_finish_resume. Returns false
 * when the request is not suspended, for example because front_destroy has
 * aborted it.
 */
bool
request_begin_resume(struct request *r);

/* Resumes the connection. */
void
request_finish_resume(struct request *r);

/* Aborts all suspended requests and waits until every resume has ended. */
void
front_abort_suspended(struct front *f);

/* listen.c */
bool
listen_open(struct front *f);
void
listen_start(struct front *f);

/* Accepts pending connections up to max_connections. */
void
listen_accept(struct front *f);

/* Must be called when a connection of the shard was closed. */
void
listen_connection_closed(struct front *f, struct shard *shard);

/* Tags of the events in the watch thread's epoll set; other values are call
 * ids, which count from 1. */
#define WATCH_WAKE UINT64_C(0)
#define WATCH_LISTENER UINT64_MAX

/* watch.c */
bool
watch_start(struct front *f);
void
watch_stop(struct front *f);
void
watch_close(struct front *f);

/* Start and stop watching for the peer's disconnect; call with front.lock
 * held. */
void
watch_add(struct request *r);
void
watch_remove(struct request *r);

#endif
