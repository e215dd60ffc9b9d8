#include "internal.h"

#include <sys/epoll.h>

#include "clock.h"
#include "mem.h"

enum {
    EVENTS_MAX = 128,
    WAIT_MAX_MS = 1000,
    PUSH_RETRY_MS = 1, /* while the result ring is full */
};

CURL *
thread_take_easy(struct upstream_thread *t)
{
    if (t->easy_count != 0) {
        return t->easy[--t->easy_count];
    }
    return curl_easy_init();
}

/* Caches the handle, because creating one costs more than a small request. */
void
thread_return_easy(struct upstream_thread *t, CURL *easy)
{
    if (t->easy_count == EASY_CACHE_MAX) {
        curl_easy_cleanup(easy);
        return;
    }
    curl_easy_reset(easy);
    t->easy[t->easy_count++] = easy;
}

void
thread_push_result(struct upstream_thread *t, struct queued_result *queued)
{
    counter_add(t->upstream->attempts_ended[queued->result.failure], 1);
    if (t->first_pending == NULL &&
        ring_push(t->upstream->results, &queued->result)) {
        return;
    }
    queued->next = NULL;
    if (t->last_pending == NULL) {
        t->first_pending = queued;
    }
    else {
        t->last_pending->next = queued;
    }
    t->last_pending = queued;
}

static void
retry_results(struct upstream_thread *t)
{
    while (t->first_pending != NULL) {
        struct queued_result *queued = t->first_pending;
        struct queued_result *next = queued->next;

        /* The consumer may free the result as soon as it is on the ring. */
        if (!ring_push(t->upstream->results, &queued->result)) {
            return;
        }
        t->first_pending = next;
        if (next == NULL) {
            t->last_pending = NULL;
        }
    }
}

static void
handle_message(struct upstream_thread *t, struct message *m)
{
    struct attempt *a;

    switch (m->kind) {
    case MESSAGE_SEND:
        attempt_start(t, &m->call);
        break;
    case MESSAGE_CANCEL:
        a = map_get_u64(t->attempts, m->call.id);
        if (a != NULL) {
            attempt_cancel(a);
        }
        break;
    case MESSAGE_SLOTS:
        host_set_slots(host_get(t, m->address), m->slots);
        break;
    case MESSAGE_STOP:
        t->stop = true;
        break;
    }
    str_free(&m->address);
    mem_free(m);
}

static void
handle_messages(struct upstream_thread *t)
{
    struct message *m;

    ring_clear(t->messages);
    while ((m = ring_pop(t->messages)) != NULL) {
        handle_message(t, m);
    }
}

static void
handle_event(struct upstream_thread *t, const struct epoll_event *event)
{
    struct sock *s = map_get_u64(t->sockets, event->data.u64);
    int action = 0;

    /* An earlier event of the same batch may have closed the socket. */
    if (s == NULL) {
        return;
    }
    action |= (event->events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0;
    action |= (event->events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
    action |=
        (event->events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0;
    host_run_transfers(s->host, s->fd, action);
}

static void
handle_timers(struct upstream_thread *t)
{
    int64_t now = clock_now();
    struct heap_node *node;

    while ((node = heap_min(&t->timers)) != NULL && node->key <= now) {
        struct host *h =
            (struct host *)((char *)node - offsetof(struct host, timer));

        /* libcurl sets a new timer if it needs one. */
        heap_remove(&t->timers, node);
        host_run_transfers(h, CURL_SOCKET_TIMEOUT, 0);
    }
}

static int
next_wait_ms(struct upstream_thread *t)
{
    struct heap_node *node = heap_min(&t->timers);
    int max = t->first_pending != NULL ? PUSH_RETRY_MS : WAIT_MAX_MS;

    if (node == NULL) {
        return max;
    }
    return clock_wait_ms(clock_now(), node->key, max);
}

static void
cancel_all(struct upstream_thread *t)
{
    struct attempt *a;
    struct host *h;

    for (void *cursor = NULL; (a = map_next(t->attempts, &cursor)) != NULL;
         cursor = NULL) {
        attempt_cancel(a);
    }
    for (void *cursor = NULL; (h = map_next(t->hosts, &cursor)) != NULL;
         cursor = NULL) {
        host_destroy(h);
    }
    while (t->easy_count != 0) {
        curl_easy_cleanup(t->easy[--t->easy_count]);
    }
}

static void
drop_results(struct upstream_thread *t)
{
    while (t->first_pending != NULL) {
        struct queued_result *next = t->first_pending->next;

        upstream_result_free(&t->first_pending->result);
        t->first_pending = next;
    }
}

void *
thread_run(void *arg)
{
    struct upstream_thread *t = arg;
    struct epoll_event events[EVENTS_MAX];

    while (!t->stop) {
        int count =
            epoll_wait(t->epoll_fd, events, EVENTS_MAX, next_wait_ms(t));

        for (int i = 0; i < count; i++) {
            if (events[i].data.u64 != (uint64_t)ring_fd(t->messages)) {
                handle_event(t, &events[i]);
            }
        }
        handle_messages(t);
        handle_timers(t);
        retry_results(t);
    }
    cancel_all(t);
    drop_results(t);
    return NULL;
}
