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
    /* Bounds work per response; servers rarely send more than 30. */
    RESPONSE_HEADERS_MAX = 100,
    EASY_CACHE = 64,
};

enum message_kind {
    MESSAGE_SEND,
    MESSAGE_CANCEL,
    MESSAGE_SLOTS,
    MESSAGE_STOP,
};

/* Work for a thread. */
struct message {
    enum message_kind kind;
    struct upstream_call call; /* SEND; id alone with CANCEL */
    struct str address;        /* SLOTS; owned */
    unsigned slots;
};

struct upstream {
    struct upstream_config config;
    struct ring *results;
    struct counter *ended[UPSTREAM_FAILURE_COUNT];
    struct upstream_thread *threads;
    unsigned count;
};

/* One thread; all below belongs to it alone. */
struct upstream_thread {
    struct upstream *upstream;
    pthread_t thread;
    struct ring *inbox;
    int epoll_fd;
    bool stop;
    struct map *hosts;    /* address -> struct host */
    struct map *sockets;  /* descriptor -> struct sock */
    struct map *attempts; /* id -> struct attempt */
    struct heap timers;   /* of hosts */
    CURL *easy[EASY_CACHE];
    size_t easy_count;
    /* Results that found the ring full, oldest first. */
    struct stored_result *first;
    struct stored_result *last;
};

struct stored_result {
    struct upstream_result result; /* first: freed through it */
    struct stored_result *next;
};

/* One endpoint. */
struct host {
    struct upstream_thread *thread;
    struct str address;
    CURLM *multi;
    unsigned slots;
    unsigned active; /* attempts */
    unsigned open;   /* connections that the endpoint may hold open */
    struct sock *sockets;
    struct heap_node timer;
};

struct sock {
    struct host *host;
    struct sock *prev;
    struct sock *next;
    int fd;
    ino_t inode; /* tells the socket from a later one with the same number */
    bool polled; /* in use by an attempt; libcurl polls no idle ones */
    bool shut;   /* closed towards the endpoint, kept by libcurl */
};

struct attempt {
    struct host *host;
    struct upstream_call call;
    CURL *easy;
    struct curl_slist *headers;
    int64_t started;
    struct stored_result *stored;
    enum upstream_failure failure; /* found by a callback */
    bool started_request;          /* a byte may have left */
    bool header_done;
    bool has_length;
    bool chunked;
    uint64_t length;
    size_t header_bytes;
    struct http_headers response;
    struct buf body;
};

/* host.c */
struct host *
host_get(struct upstream_thread *t, struct str address);
void
host_set_slots(struct host *h, unsigned slots);

/* Runs libcurl for the host, then ends what is complete. The host may be gone
 * afterwards. */
void
host_drive(struct host *h, curl_socket_t fd, int events);

/* Closes idle connections beyond the slots; frees a host without any. */
void
host_trim(struct host *h);
void
host_destroy(struct host *h);

/* Closes idle connections that the endpoint has closed or has sent something
 * on without being asked; call before one may be used again. */
void
host_check_idle(struct host *h);

/* Drops the records of sockets that libcurl closed without saying so; call
 * after an attempt failed. */
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

/* Checks the complete response. */
enum upstream_failure
receive_check(const struct attempt *a);

/* thread.c */
void *
thread_run(void *arg);
void
thread_push_result(struct upstream_thread *t, struct stored_result *stored);
CURL *
thread_take_easy(struct upstream_thread *t);
void
thread_return_easy(struct upstream_thread *t, CURL *easy);

#endif
