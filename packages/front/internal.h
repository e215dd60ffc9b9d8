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
    /* The usual bound of servers; also bounds work per header. */
    HEADER_COUNT_MAX = 100,
};

enum request_state {
    REQUEST_RECEIVING,
    REQUEST_SUSPENDED, /* with the consumer */
    REQUEST_ANSWERED,  /* response or broken is set, connection resumed */
    REQUEST_ENDED,     /* the connection is no longer the request's */
};

/* One request. The front holds a reference until the library reports its end,
 * the consumer one until the answer, each item on the ring one. */
struct request {
    struct front_call call; /* first: converted from and to it */
    struct front *front;
    struct MHD_Connection *connection;
    struct conn *conn;
    atomic_uint refs;
    struct front_item call_item;
    struct front_item gone_item;
    struct request *next_gone; /* gone_item found the ring full */

    char *uri;      /* as received */
    bool begun;     /* the header was checked */
    bool too_large; /* the body is being discarded */
    bool has_length;
    uint64_t length; /* Content-Length */
    size_t received;
    size_t charged;  /* part of the front's buffered */
    bool overloaded; /* the body is being discarded */
    unsigned header_count;
    bool has_host;
    bool has_authorization;
    bool has_idempotent;
    bool has_transfer_encoding;
    struct api_error error; /* status 0: none */

    /* Guarded by the front's lock. */
    enum request_state state;
    bool watched; /* the connection is in the watch thread's epoll set */
    bool gone;    /* FRONT_ITEM_GONE was sent or is due */
    bool broken;
    struct front_response response;
};

enum conn_phase {
    CONN_IDLE,      /* between requests */
    CONN_RECEIVING, /* the request line has arrived */
    CONN_HANDLING,  /* with the consumer */
    CONN_ANSWERING,
};

/* A server of the library with its thread. */
struct shard {
    struct front *front;
    struct MHD_Daemon *daemon;
    atomic_uint connections;
};

/* One connection; guarded by the front's lock. */
struct conn {
    struct front *front;
    struct shard *shard;
    struct conn *prev;
    struct conn *next;
    struct request *request;
    int fd;
    enum conn_phase phase;
    bool expired; /* shut down by the watch thread */
    bool ended;   /* the peer sends nothing more, and all of it was read */
    int64_t deadline;
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
    atomic_bool accept_paused; /* full, or the kernel is out of resources */

    atomic_uint refs; /* requests, and the owner */
    atomic_uint active;
    atomic_size_t buffered; /* bytes of bodies, of answers too */
    struct front_metrics metrics;
    atomic_bool draining;
    atomic_bool stopping;
    atomic_ullong next_id;

    pthread_mutex_t lock;
    bool close_idle; /* after FRONT_DRAIN_IDLE_MS */
    struct conn *conns;
    struct map *suspended; /* id -> struct request */
    unsigned resuming;     /* between the state's change and the resume */
    pthread_cond_t resumed;

    pthread_t watcher;
    int watch_fd; /* epoll set of suspended connections */
    int wake_fd;
    struct request *gone_list; /* the watch thread's */
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

/* request.c: reads the header; false with r->error filled. */
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
 * Takes the request back from the consumer; call with the lock held. The
 * caller then sets the answer, releases the lock and calls request_give_back.
 * False when another thread was faster, such as front_destroy.
 */
bool
request_take_back(struct request *r);

/* Resumes the connection. */
void
request_give_back(struct request *r);

/* Breaks all calls with the consumer. */
void
front_break_suspended(struct front *f);

/* listen.c */
bool
listen_open(struct front *f);
void
listen_start(struct front *f);

/* Accepts what waits, as far as max_connections allows. */
void
listen_accept(struct front *f);

/* A connection of the shard was closed. */
void
listen_released(struct front *f, struct shard *shard);

/* What the watch thread's epoll set reports; other values are call ids, which
 * count from 1. */
#define WATCH_WAKE UINT64_C(0)
#define WATCH_LISTENER UINT64_MAX

/* watch.c */
bool
watch_start(struct front *f);
void
watch_stop(struct front *f);
void
watch_close(struct front *f);

/* Reports the peer's disconnect from now on; call with the lock held. */
void
watch_add(struct request *r);
void
watch_remove(struct request *r);

#endif
