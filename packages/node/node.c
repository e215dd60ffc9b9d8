/*
 * The control loop of a process that runs workflows.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <sodium.h>

#include "clock.h"
#include "counter.h"
#include "event.h"
#include "internal.h"
#include "log.h"
#include "mem.h"

enum {
    WAIT_MAX_MS = 500,
    EVENTS_MAX = 16,
    CALL_RING = 4096,
    STORAGE_RING = 64,
    METRICS_RING = 64,
    /* Kept from the grace time for the exit itself. */
    EXIT_MARGIN_MS = 700,
    /* A stopping process takes calls for so long: the load balancer notices
     * within two probes of a second. */
    DRAIN_NOTICE_MS = 2200,
    MAX_BODY = 1 << 20,
};

static struct event_kind event_process = {.name = "process"};

static bool
watch(const struct node *n, int fd)
{
    struct epoll_event event = {.events = EPOLLIN, .data.fd = fd};

    return epoll_ctl(n->epoll, EPOLL_CTL_ADD, fd, &event) == 0;
}

static bool
parse_address(struct str text, struct sockaddr_storage *out)
{
    struct sockaddr_in *v4 = (struct sockaddr_in *)out;
    struct str rest = text;
    struct str host = str_dup(str_cut(&rest, ':'));
    uint64_t port = 0;
    bool ok;

    memset(out, 0, sizeof(*out));
    v4->sin_family = AF_INET;
    ok = inet_pton(AF_INET, host.ptr, &v4->sin_addr) == 1 &&
         str_to_u64(rest, UINT16_MAX, &port);
    v4->sin_port = htons((uint16_t)port);
    str_free(&host);
    return ok;
}

static bool
listen_on(struct str address, struct ring *ring, struct front **out)
{
    struct front_config config;

    if (address.len == 0) {
        return true;
    }
    front_config_default(&config);
    config.threads = 1;
    config.max_connections = 2048;
    config.max_body = MAX_BODY;
    config.max_buffered = 32 << 20;
    if (!parse_address(address, &config.address)) {
        log_write(LOG_LEVEL_CRIT, "front: %.*s is no address",
                  STR_ARG(address));
        return false;
    }
    *out = front_create(&config, ring);
    if (*out == NULL) {
        log_write(LOG_LEVEL_CRIT, "front: cannot listen on %.*s: %s",
                  STR_ARG(address), strerror(errno));
    }
    return *out != NULL;
}

static bool
start_rings(struct node *n)
{
    struct upstream_config config;

    n->call_ring = ring_create(CALL_RING);
    n->probe_ring = ring_create(CALL_RING);
    n->metrics_ring = ring_create(METRICS_RING);
    n->upstream_ring = ring_create(CALL_RING);
    upstream_config_default(&config);
    config.threads = 1;
    n->upstream = upstream_create(&config, n->upstream_ring);
    return n->upstream != NULL && watch(n, ring_fd(n->call_ring)) &&
           watch(n, ring_fd(n->probe_ring)) &&
           watch(n, ring_fd(n->metrics_ring)) &&
           watch(n, ring_fd(n->upstream_ring));
}

static bool
start(struct node *n)
{
    char error[256] = "";

    if (!start_rings(n)) {
        log_write(LOG_LEVEL_CRIT, "node: cannot start: %s", strerror(errno));
        return false;
    }
    if (n->settings.control_listen.len > 0) {
        n->storage_ring = ring_create(STORAGE_RING);
        if (!watch(n, ring_fd(n->storage_ring))) {
            return false;
        }
        n->group = group_create(n);
        if (n->group == NULL) {
            return false;
        }
    }
    n->metrics = metrics_create();
    n->calls = calls_create(n);
    n->asker = asker_create(n);
    n->relay = relay_create();
    n->out_hosts = map_create();
    if (!links_open(n, error, sizeof(error))) {
        log_write(LOG_LEVEL_CRIT, "peer: %s", error);
        return false;
    }
    links_seeds(n);
    return watch(n, peer_fd(n->hub)) &&
           listen_on(n->settings.caller_listen, n->call_ring,
                     &n->caller_front) &&
           listen_on(n->settings.control_listen, n->call_ring,
                     &n->control_front) &&
           listen_on(n->settings.ready_listen, n->probe_ring,
                     &n->probe_front) &&
           listen_on(n->settings.metrics_listen, n->metrics_ring,
                     &n->metrics_front);
}

static void
take_probes(struct node *n)
{
    struct front_item *item;

    ring_clear(n->probe_ring);
    while ((item = ring_pop(n->probe_ring)) != NULL) {
        if (item->kind == FRONT_ITEM_CALL) {
            struct front_response response = {0};
            bool ready = n->drain_until == 0 && links_leader(n) != NULL;

            n->adapter->encode_ready(ready, &response);
            front_respond(item->call, &response);
        }
        front_item_release(item);
    }
}

static void
take_scrapes(struct node *n)
{
    struct front_item *item;

    ring_clear(n->metrics_ring);
    while ((item = ring_pop(n->metrics_ring)) != NULL) {
        if (item->kind == FRONT_ITEM_CALL) {
            metrics_respond(n, item->call);
        }
        front_item_release(item);
    }
}

static void
take_calls(struct node *n)
{
    struct front_item *item;

    ring_clear(n->call_ring);
    while ((item = ring_pop(n->call_ring)) != NULL) {
        calls_take(n->calls, item);
    }
}

static void
take_upstream(struct node *n)
{
    struct upstream_result *result;

    ring_clear(n->upstream_ring);
    while ((result = ring_pop(n->upstream_ring)) != NULL) {
        out_take(n, result);
    }
}

static void
take_storage(struct node *n)
{
    struct disk_job *job;

    if (n->storage_ring == NULL) {
        return;
    }
    ring_clear(n->storage_ring);
    while ((job = ring_pop(n->storage_ring)) != NULL) {
        group_disk_done(n->group, job);
    }
}

static unsigned
active_calls(const struct node *n)
{
    unsigned active = (unsigned)calls_open(n->calls);

    active += n->caller_front == NULL ? 0 : front_active(n->caller_front);
    active += n->control_front == NULL ? 0 : front_active(n->control_front);
    return active;
}

static void
begin_drain(struct node *n)
{
    int64_t grace = (int64_t)n->settings.grace_s * 1000 - EXIT_MARGIN_MS;

    if (n->drain_until != 0) {
        return;
    }
    event_write(&event_process, "state=stopping grace_ms=%lld open_calls=%u",
                (long long)grace, active_calls(n));
    n->drain_until = n->now + (grace < 0 ? 0 : grace) * NS_PER_MS;
    links_tell(n);
    if (n->caller_front != NULL) {
        front_drain(n->caller_front);
    }
    if (n->control_front != NULL) {
        front_drain(n->control_front);
    }
}

static void
drain_step(struct node *n)
{
    int64_t grace = (int64_t)n->settings.grace_s * 1000 - EXIT_MARGIN_MS;
    int64_t began;

    if (n->drain_until == 0) {
        return;
    }
    began = n->drain_until - (grace < 0 ? 0 : grace) * NS_PER_MS;
    if (n->lead != NULL && n->group != NULL) {
        raft_transfer(n->group->raft, n->now, 0);
    }
    if (n->now < began + DRAIN_NOTICE_MS * NS_PER_MS &&
        n->caller_front != NULL) {
        return;
    }
    if (n->caller_front != NULL) {
        front_stop_listening(n->caller_front);
        front_close_idle(n->caller_front);
    }
    if (n->control_front != NULL) {
        front_stop_listening(n->control_front);
        front_close_idle(n->control_front);
    }
    if ((active_calls(n) == 0 && n->lead == NULL &&
         n->now > began + DRAIN_NOTICE_MS * NS_PER_MS / 4) ||
        n->now >= n->drain_until) {
        n->stop = true;
    }
}

static void
reload(struct node *n)
{
    struct node_settings fresh;

    if (!node_settings_load(&fresh, n->path)) {
        event_write(&event_process, "state=reload outcome=invalid");
        return;
    }
    /* Addresses are fixed for the life of a process; seeds are not. */
    for (size_t i = 0; i < n->settings.seed_count; i++) {
        str_free(&n->settings.seeds[i].address);
    }
    mem_free(n->settings.seeds);
    n->settings.seeds = fresh.seeds;
    n->settings.seed_count = fresh.seed_count;
    n->settings.grace_s = fresh.grace_s;
    n->settings.job_keep_s = fresh.job_keep_s;
    fresh.seeds = NULL;
    fresh.seed_count = 0;
    node_settings_free(&fresh);
    links_seeds(n);
    event_write(&event_process, "state=reload outcome=ok seeds=%zu",
                n->settings.seed_count);
}

static int
open_signals(struct node *n)
{
    sigset_t set;
    int fd;

    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    fd = signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
    return fd >= 0 && watch(n, fd) ? fd : -1;
}

static void
take_signals(struct node *n, int fd)
{
    struct signalfd_siginfo info;

    while (read(fd, &info, sizeof(info)) == sizeof(info)) {
        if (info.ssi_signo == SIGHUP) {
            reload(n);
        }
        else {
            begin_drain(n);
        }
    }
}

static void
wake(struct node *n)
{
    n->now = clock_now();
    take_storage(n);
    peer_poll(n->hub, n->now);
    take_upstream(n);
    take_calls(n);
    take_probes(n);
    take_scrapes(n);
    if (n->group != NULL) {
        group_step(n->group);
    }
    if (n->lead != NULL) {
        lead_step(n->lead);
    }
    calls_step(n->calls);
    relay_step(n);
    out_step(n);
    /* What was proposed goes to the storage and to the other members. */
    if (n->group != NULL) {
        group_step(n->group);
    }
    drain_step(n);
    event_flush();
}

static int64_t
next_deadline(const struct node *n)
{
    int64_t deadline = calls_next_deadline(n->calls);
    int64_t others[] = {
        peer_next_deadline(n->hub), relay_next_deadline(n),
        n->group == NULL ? DEADLINE_NONE : group_next_deadline(n->group),
        n->lead == NULL ? DEADLINE_NONE : lead_next_deadline(n->lead),
        n->drain_until == 0 ? DEADLINE_NONE : n->now + 20 * NS_PER_MS};

    for (size_t i = 0; i < sizeof(others) / sizeof(others[0]); i++) {
        deadline = others[i] < deadline ? others[i] : deadline;
    }
    return deadline;
}

static int
run(struct node *n, int signals)
{
    struct epoll_event events[EVENTS_MAX];

    while (!n->stop) {
        int wait = clock_wait_ms(clock_now(), next_deadline(n), WAIT_MAX_MS);

        if (epoll_wait(n->epoll, events, EVENTS_MAX, wait) < 0 &&
            errno != EINTR) {
            log_write(LOG_LEVEL_CRIT, "node: epoll_wait: %s", strerror(errno));
            return 1;
        }
        take_signals(n, signals);
        wake(n);
    }
    return 0;
}

static void
drop_rings(struct node *n)
{
    struct front_item *item;
    struct upstream_result *result;
    struct disk_job *job;

    while ((item = ring_pop(n->call_ring)) != NULL) {
        if (item->kind == FRONT_ITEM_CALL) {
            front_abort(item->call);
        }
        front_item_release(item);
    }
    while ((result = ring_pop(n->upstream_ring)) != NULL) {
        upstream_result_free(result);
    }
    while (n->storage_ring != NULL &&
           (job = ring_pop(n->storage_ring)) != NULL) {
        disk_job_free(job);
    }
}

static void
stop(struct node *n)
{
    lead_destroy(n->lead);
    n->lead = NULL;
    calls_destroy(n->calls);
    front_destroy(n->caller_front);
    front_destroy(n->control_front);
    front_destroy(n->probe_front);
    front_destroy(n->metrics_front);
    if (n->upstream != NULL) {
        upstream_destroy(n->upstream);
    }
    group_destroy(n->group);
    links_close(n);
    asker_destroy(n->asker);
    relay_destroy(n->relay);
    out_close(n);
    drop_rings(n);
    ring_destroy(n->call_ring);
    ring_destroy(n->probe_ring);
    ring_destroy(n->metrics_ring);
    metrics_destroy(n->metrics);
    ring_destroy(n->upstream_ring);
    ring_destroy(n->storage_ring);
    close(n->epoll);
}

int
node_run(const char *path, const struct node_adapter *adapter)
{
    struct node n = {.path = path, .adapter = adapter, .now = clock_now()};
    int status = 1;
    int signals;

    if (!node_settings_load(&n.settings, path)) {
        return 2;
    }
    log_init("guavarockd", LOG_LEVEL_NOTICE);
    event_init(n.settings.vm.ptr);
    randombytes_buf(&n.run, sizeof(n.run));
    n.links = map_create();
    n.targets = map_create();
    n.leader_since = n.now;
    n.epoll = epoll_create1(EPOLL_CLOEXEC);
    signals = open_signals(&n);
    if (n.epoll >= 0 && signals >= 0 && start(&n)) {
        event_write(&event_process, "state=started");
        status = run(&n, signals);
    }
    event_write(&event_process, "state=stopped status=%d", status);
    event_flush();
    stop(&n);
    if (signals >= 0) {
        close(signals);
    }
    str_free(&n.leader_vm);
    node_settings_free(&n.settings);
    return status;
}
