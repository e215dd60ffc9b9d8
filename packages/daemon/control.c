#include "control.h"

#include <errno.h>
#include <signal.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <sodium.h>

#include "clock.h"
#include "control_impl.h"
#include "entry.h"
#include "leader.h"
#include "log.h"
#include "replica.h"
#include "step_times.h"
#include "storage.h"

enum {
    EPOLL_WAIT_MAX_MS = 100,
    EVENTS_MAX = 16,
    LOCAL_ROUNDS_MAX = 16, /* handling of local messages, per wake-up */
};

static void
handle_front_items(struct control *c)
{
    struct front_item *item;

    ring_clear(c->front_ring);
    while ((item = ring_pop(c->front_ring)) != NULL) {
        entry_handle_front_item(c->entry, item);
    }
}

static void
handle_upstream_results(struct control *c)
{
    struct upstream_result *result;

    ring_clear(c->upstream_ring);
    while ((result = ring_pop(c->upstream_ring)) != NULL) {
        entry_handle_upstream_result(c->entry, result);
    }
}

static void
handle_storage_jobs(struct control *c)
{
    struct storage_job *job;

    if (c->storage_ring == NULL) {
        return;
    }
    ring_clear(c->storage_ring);
    while ((job = ring_pop(c->storage_ring)) != NULL) {
        replica_handle_storage_job(c->replica, job);
    }
}

static void
step_roles(struct control *c)
{
    if (c->replica != NULL) {
        replica_step(c->replica);
        /* Followers do this too: a leader may grant units of a pool only after
         * it has known the pool for some time. */
        control_update_pools(c);
    }
    if (c->leader != NULL) {
        leader_step(c->leader);
    }
    entry_step(c->entry);
}

static void
handle_wakeup(struct control *c)
{
    c->now = clock_now();
    handle_storage_jobs(c);
    if (c->hub != NULL) {
        peer_poll(c->hub, c->now);
    }
    handle_upstream_results(c);
    handle_front_items(c);
    step_roles(c);
    for (int i = 0; i < LOCAL_ROUNDS_MAX && c->local_head != NULL; i++) {
        links_dispatch_local(c);
        step_roles(c);
    }
    /* Submits what the roles proposed to the storage thread and the peers. */
    if (c->replica != NULL) {
        replica_step(c->replica);
    }
    drain_step(c);
}

static void
min_deadline(int64_t *deadline, int64_t other)
{
    if (other < *deadline) {
        *deadline = other;
    }
}

static int64_t
next_deadline(const struct control *c)
{
    int64_t deadline = entry_next_deadline(c->entry);

    if (c->local_head != NULL) {
        return 0;
    }
    if (c->replica != NULL) {
        min_deadline(&deadline, replica_next_deadline(c->replica));
    }
    if (c->leader != NULL) {
        min_deadline(&deadline, leader_next_deadline(c->leader));
    }
    if (c->hub != NULL) {
        min_deadline(&deadline, peer_next_deadline(c->hub));
    }
    min_deadline(&deadline, drain_next_deadline(c));
    return deadline;
}

static int
open_signalfd(struct control *c)
{
    sigset_t set;
    int fd;

    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    fd = signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
    return fd >= 0 && control_watch_fd(c, fd) ? fd : -1;
}

static void
read_signal(struct control *c, int fd)
{
    struct signalfd_siginfo info;

    if (read(fd, &info, sizeof(info)) == sizeof(info)) {
        control_drain(c);
    }
}

static void
run_loop(struct control *c, struct step_times *times, int signal_fd)
{
    struct epoll_event events[EVENTS_MAX];

    while (c->drain != DRAIN_DONE) {
        int64_t now = clock_now();
        int wait = clock_wait_ms(now, next_deadline(c), EPOLL_WAIT_MAX_MS);

        if (epoll_wait(c->epoll, events, EVENTS_MAX, wait) < 0 &&
            errno != EINTR) {
            log_write(LOG_LEVEL_CRIT, "control: epoll_wait: %s",
                      strerror(errno));
            c->exit_status = 1;
            return;
        }
        read_signal(c, signal_fd);
        handle_wakeup(c);
        step_times_add_wakeup(times, now + wait * NS_PER_MS, c->now);
        step_times_add(times, c->now, clock_now());
    }
}

int
control_run(const struct settings *settings)
{
    struct control c = {.settings = settings, .now = clock_now()};
    struct step_times *times =
        step_times_create(settings->election_timeout_ms * NS_PER_MS);
    int signal_fd = -1;

    randombytes_buf(&c.run, sizeof(c.run));
    c.links = map_create();
    c.epoll = epoll_create1(EPOLL_CLOEXEC);
    c.exit_status = 1;
    c.drain_deadline = DEADLINE_NONE;
    signal_fd = open_signalfd(&c);
    if (c.epoll < 0 || signal_fd < 0) {
        log_write(LOG_LEVEL_CRIT, "control: cannot start: %s",
                  strerror(errno));
    }
    else if (control_start(&c)) {
        c.exit_status = 0;
        log_write(LOG_LEVEL_NOTICE, "control: VM %.*s serves on %.*s",
                  STR_ARG(settings->vm), STR_ARG(settings->listen));
        run_loop(&c, times, signal_fd);
    }
    control_stop(&c);
    step_times_destroy(times);
    if (signal_fd >= 0) {
        close(signal_fd);
    }
    log_write(LOG_LEVEL_NOTICE, "control: stopped with status %d",
              c.exit_status);
    return c.exit_status;
}
