#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "log.h"
#include "mem.h"
#include "peer_impl.h"

enum {
    BACKOFF_DOUBLINGS_MAX = 16,
};

/* Returns a random time between half of delay and delay, so that processes
 * that lost the same VM do not reconnect at the same time. */
static int64_t
add_jitter(struct peer_hub *p, int64_t delay)
{
    return (int64_t)((0.5 + 0.5 * rng_unit(&p->rng)) * (double)delay);
}

static void
schedule_retry(struct peer_hub *p, struct target *t)
{
    int64_t delay = p->backoff_min;

    for (unsigned i = 0; i < t->failures && delay < p->backoff_max; i++) {
        delay *= 2;
    }
    if (delay > p->backoff_max) {
        delay = p->backoff_max;
    }
    if (t->failures < BACKOFF_DOUBLINGS_MAX) {
        t->failures++;
    }
    t->retry_at = p->now + add_jitter(p, delay);
}

static void
handle_dial_failure(struct peer_hub *p, struct target *t, const char *why)
{
    if (t->failures == 0) {
        log_write(LOG_LEVEL_NOTICE, "peer %.*s: %s", STR_ARG(t->address), why);
    }
    schedule_retry(p, t);
}

void
target_dial(struct peer_hub *p, struct target *t)
{
    struct epoll_event event = {.events = EPOLLIN | EPOLLOUT};
    int fd = socket(t->parsed.storage.ss_family,
                    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd < 0) {
        handle_dial_failure(p, t, strerror(errno));
        return;
    }
    if (connect(fd, (const struct sockaddr *)&t->parsed.storage,
                t->parsed.len) != 0 &&
        errno != EINPROGRESS) {
        handle_dial_failure(p, t, strerror(errno));
        close(fd);
        return;
    }
    t->session = session_create(p, fd, t, &t->parsed);
    t->session->writable_wanted = true;
    event.data.ptr = t->session;
    if (epoll_ctl(p->epoll, EPOLL_CTL_ADD, fd, &event) != 0) {
        session_fail(t->session, PEER_DOWN_CLOSED);
    }
}

/* Only a session that was up for a while resets the back-off. */
void
target_session_closed(struct peer_hub *p, struct target *t, bool was_up,
                      int64_t lived)
{
    t->session = NULL;
    if (was_up && lived >= p->backoff_max) {
        t->failures = 0;
    }
    if (was_up) {
        schedule_retry(p, t);
    }
    else {
        handle_dial_failure(p, t, "cannot connect");
    }
}

bool
target_due(const struct peer_hub *p, const struct target *t, int64_t now)
{
    if (t->session != NULL || t->retry_at > now) {
        return false;
    }
    return t->vm.len == 0 || peer_find(p, t->vm) == NULL;
}

void
target_free(struct target *t)
{
    str_free(&t->vm);
    str_free(&t->address);
    mem_free(t);
}

bool
peer_add_target(struct peer_hub *p, const struct peer_target *target,
                int64_t now)
{
    struct address parsed;
    struct target *t;

    if (!address_parse(target->address, &parsed) ||
        target->vm.len > PEER_NAME_MAX) {
        return false;
    }
    for (t = p->targets; t != NULL; t = t->next) {
        if (str_eq(t->address, target->address)) {
            return true;
        }
    }
    t = mem_zalloc(1, sizeof(*t));
    t->vm = str_dup(target->vm);
    t->address = str_dup(target->address);
    t->parsed = parsed;
    t->retry_at = now;
    t->next = p->targets;
    p->targets = t;
    return true;
}

void
peer_remove_target(struct peer_hub *p, struct str address)
{
    for (struct target **at = &p->targets; *at != NULL; at = &(*at)->next) {
        struct target *t = *at;
        if (!str_eq(t->address, address)) {
            continue;
        }
        if (t->session != NULL) {
            t->session->target = NULL;
            session_fail(t->session, PEER_DOWN_LOCAL);
        }
        *at = t->next;
        target_free(t);
        return;
    }
}
