#ifndef GV_ENDPOINT_INTERNAL_H
#define GV_ENDPOINT_INTERNAL_H

#include <pthread.h>
#include <sys/types.h>

#include <curl/curl.h>

#include "counter.h"
#include "heap.h"
#include "map.h"
#include "upstream.h"

enum {
    /* Bounds the work per response; servers rarely send more than 30. */
    RESPONSE_HEADERS_MAX = 100,
    EASY_CACHE_MAX = 64,
};

enum message_kind {
    MESSAGE_SEND,
    MESSAGE_CANCEL,
    MESSAGE_SLOTS,
    MESSAGE_STOP,
};

/* A message to a thread. */
struct message {
    enum message_kind kind;
    struct upstream_call call; /* SEND; CANCEL sets only its id */
    struct str address;        /* SLOTS; owned */
    unsigned slots;            /* SLOTS */
};

struct upstream {
    struct upstream_config config;
    struct ring *results;
    struct counter *attempts_ended[UPSTREAM_FAILURE_COUNT];
    struct upstream_thread *threads;
    unsigned count; /* of threads that have started */
};

/* One thread. Only the thread itself accesses the state below, but for
 * messages, which any thread pushes. */
struct upstream_thread {
    struct upstream *upstream;
    pthread_t thread;
    struct ring *messages;
    int epoll_fd;
    bool stop;
    struct map *hosts;    /* address -> struct host */
    struct map *sockets;  /* descriptor -> struct sock */
    struct map *attempts; /* id -> struct attempt */
    struct heap timers;   /* libcurl's timers, one for each host at most */
    CURL *easy[EASY_CACHE_MAX]; /* unused handles */
    size_t easy_count;
    /* Queue of the results that found the ring full; NULL: empty. */
    struct queued_result *first_pending;
    struct queued_result *last_pending;
};

struct queued_result {
    struct upstream_result result; /* must be first: freed through it */
    struct queued_result *next;
};

/* One endpoint, as libcurl's host of its connections. */
struct host {
    struct upstream_thread *thread;
    struct str address;
    CURLM *multi;
    unsigned slots;
    unsigned active; /* running attempts */
    unsigned open;   /* sockets that are not shut down */
    struct sock *sockets;
    struct heap_node timer;
};

struct sock {
    struct host *host;
    struct sock *prev;
    struct sock *next;
    int fd;
    ino_t inode;    /* distinguishes it from a later socket with the same fd */
    bool polled;    /* an attempt uses it; libcurl polls no idle sockets */
    bool shut_down; /* by shutdown(2); libcurl has not closed it yet */
};

struct attempt {
    struct host *host;
    struct upstream_call call;
    CURL *easy;
    struct curl_slist *headers;
    int64_t started;               /* as clock_now */
    struct queued_result *queued;  /* filled and pushed at the end */
    enum upstream_failure failure; /* set by a callback; UPSTREAM_OK: none */
    bool request_started;          /* a byte may have been sent */
    bool header_done;
    bool has_length;
    bool chunked;
    uint64_t length;     /* Content-Length, valid with has_length */
    size_t header_bytes; /* received, with interim responses and trailers */
    struct http_headers response;
    struct buf body;
};

/* host.c */
struct host *
host_get(struct upstream_thread *t, struct str address);
void
host_set_slots(struct host *h, unsigned slots);

/* Lets libcurl handle events on fd, or its timer, and ends the attempts that
 * are complete. May free the host. */
void
host_run_transfers(struct host *h, curl_socket_t fd, int events);

/* Closes idle connections beyond the slots; frees a host that has neither
 * slots nor attempts. */
void
host_close_excess(struct host *h);
void
host_destroy(struct host *h);

/* Closes idle connections that the endpoint has closed or on which it has sent
 * unsolicited bytes; call before a connection may be reused. */
void
host_check_idle(struct host *h);

/* Frees the records of sockets that libcurl has closed without calling
 * host_close_socket; call after an attempt has failed. */
void
host_forget_closed(struct host *h);
curl_socket_t
host_open_socket(void *client, curlsocktype purpose,
                 struct curl_sockaddr *address);
int
host_close_socket(void *client, curl_socket_t fd);

/* attempt.c */
void
attempt_start(struct upstream_thread *t, const struct upstream_call *call);
void
attempt_end(struct attempt *a, CURLcode code);
void
attempt_cancel(struct attempt *a);

/* receive.c */
size_t
receive_header(char *data, size_t size, size_t count, void *arg);
size_t
receive_body(char *data, size_t size, size_t count, void *arg);

/* Checks a response that libcurl regards as complete. */
enum upstream_failure
receive_check(const struct attempt *a);

/* thread.c */
void *
thread_run(void *arg);
void
thread_push_result(struct upstream_thread *t, struct queued_result *queued);
CURL *
thread_take_easy(struct upstream_thread *t);
void
thread_return_easy(struct upstream_thread *t, CURL *easy);

#endif
