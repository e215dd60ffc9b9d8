/*
 * Startup, event loop and shutdown of a scheduler process.
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
    EPOLL_TIMEOUT_MAX_MS = 500,
    EVENTS_MAX = 16, /* per epoll_wait() */
    CALL_RING_SIZE = 4096,
    STORAGE_RING_SIZE = 64,
    METRICS_RING_SIZE = 64,
    /* Part of the grace period reserved for freeing resources and exiting. */
    EXIT_MARGIN_MS = 700,
    /* How long a process that shuts down still accepts calls: the load
     * balancer probes every second and needs two failed probes to stop
     * sending calls. */
    DRAIN_ACCEPT_MS = 2200,
    DRAIN_STEP_MS = 20, /* longest pause between calls of drain_step() */
    BODY_MAX_BYTES = 1 << 20,
    /* An answer of a worker may hold 500 ends, each with a checkpoint. */
    ANSWER_MAX_BYTES = 64 << 20,
};

static struct event_kind event_process = {.name = "process"};

static bool
epoll_add(const struct node *n, int fd)
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
    config.max_body = BODY_MAX_BYTES;
    config.max_buffered = 32 << 20;
    if (!parse_address(address, &config.address)) {
        log_write(LOG_LEVEL_CRIT,
                  "front: %.*s is not an IPv4 address and port",
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

    n->call_ring = ring_create(CALL_RING_SIZE);
    n->probe_ring = ring_create(CALL_RING_SIZE);
    n->metrics_ring = ring_create(METRICS_RING_SIZE);
    n->upstream_ring = ring_create(CALL_RING_SIZE);
    upstream_config_default(&config);
    config.threads = 1;
    config.max_response = ANSWER_MAX_BYTES;
    n->upstream = upstream_create(&config, n->upstream_ring);
    return n->upstream != NULL && epoll_add(n, ring_fd(n->call_ring)) &&
           epoll_add(n, ring_fd(n->probe_ring)) &&
           epoll_add(n, ring_fd(n->metrics_ring)) &&
           epoll_add(n, ring_fd(n->upstream_ring));
}

static bool
start_node(struct node *n)
{
    char error[256] = "";

    if (!start_rings(n)) {
        log_write(LOG_LEVEL_CRIT,
                  "node: cannot create the HTTP client or the event rings: %s",
                  strerror(errno));
        return false;
    }
    if (n->settings.control_listen.len > 0) {
        n->storage_ring = ring_create(STORAGE_RING_SIZE);
        if (!epoll_add(n, ring_fd(n->storage_ring))) {
            return false;
        }
        n->group = group_create(n);
        if (n->group == NULL) {
            return false;
        }
    }
    n->metrics = metrics_create();
    n->calls = calls_create(n);
    n->approval_client = approval_client_create(n);
    n->relay = relay_create();
    n->out_hosts = map_create();
    if (!links_open(n, error, sizeof(error))) {
        log_write(LOG_LEVEL_CRIT, "peer: %s", error);
        return false;
    }
    links_add_seeds(n);
    return epoll_add(n, peer_fd(n->hub)) &&
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
handle_probes(struct node *n)
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
handle_metrics_calls(struct node *n)
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
handle_calls(struct node *n)
{
    struct front_item *item;

    ring_clear(n->call_ring);
    while ((item = ring_pop(n->call_ring)) != NULL) {
        calls_handle_item(n->calls, item);
    }
}

static void
handle_upstream_results(struct node *n)
{
    struct upstream_result *result;

    ring_clear(n->upstream_ring);
    while ((result = ring_pop(n->upstream_ring)) != NULL) {
        out_handle_result(n, result);
    }
}

static void
handle_storage_results(struct node *n)
{
    struct storage_job *job;

    if (n->storage_ring == NULL) {
        return;
    }
    ring_clear(n->storage_ring);
    while ((job = ring_pop(n->storage_ring)) != NULL) {
        group_handle_storage_job(n->group, job);
    }
}

static unsigned
count_active_calls(const struct node *n)
{
    unsigned active = (unsigned)calls_count(n->calls);

    active +=
        n->caller_front == NULL ? 0 : front_active_requests(n->caller_front);
    active +=
        n->control_front == NULL ? 0 : front_active_requests(n->control_front);
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
                (long long)grace, count_active_calls(n));
    n->drain_until = n->now + (grace < 0 ? 0 : grace) * NS_PER_MS;
    links_announce(n);
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
    int64_t began_at;

    if (n->drain_until == 0) {
        return;
    }
    began_at = n->drain_until - (grace < 0 ? 0 : grace) * NS_PER_MS;
    if (n->leader != NULL && n->group != NULL) {
        raft_transfer_leadership(n->group->raft, n->now, 0);
    }
    if (n->now < began_at + DRAIN_ACCEPT_MS * NS_PER_MS &&
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
    if ((count_active_calls(n) == 0 && n->leader == NULL &&
         n->now > began_at + DRAIN_ACCEPT_MS * NS_PER_MS / 4) ||
        n->now >= n->drain_until) {
        n->stop = true;
    }
}

static void
reload_settings(struct node *n)
{
    struct node_settings loaded;

    if (!node_settings_load(&loaded, n->path)) {
        event_write(&event_process, "state=reload outcome=invalid");
        return;
    }
    /* Only seeds, failure domains, the grace period and the job retention can
     * change while the process runs; other settings keep their values. */
    for (size_t i = 0; i < n->settings.seed_count; i++) {
        str_free(&n->settings.seeds[i].address);
    }
    mem_free(n->settings.seeds);
    n->settings.seeds = loaded.seeds;
    n->settings.seed_count = loaded.seed_count;
    for (size_t i = 0; i < n->settings.failure_domain_count; i++) {
        str_free(&n->settings.failure_domains[i].name);
    }
    mem_free(n->settings.failure_domains);
    n->settings.failure_domains = loaded.failure_domains;
    n->settings.failure_domain_count = loaded.failure_domain_count;
    loaded.failure_domains = NULL;
    loaded.failure_domain_count = 0;
    n->settings.grace_s = loaded.grace_s;
    n->settings.job_keep_s = loaded.job_keep_s;
    loaded.seeds = NULL;
    loaded.seed_count = 0;
    node_settings_free(&loaded);
    links_add_seeds(n);
    event_write(&event_process, "state=reload outcome=ok seeds=%zu",
                n->settings.seed_count);
}

static int
open_signalfd(struct node *n)
{
    sigset_t set;
    int fd;

    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    fd = signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
    return fd >= 0 && epoll_add(n, fd) ? fd : -1;
}

static void
handle_signals(struct node *n, int signal_fd)
{
    struct signalfd_siginfo info;

    while (read(signal_fd, &info, sizeof(info)) == sizeof(info)) {
        if (info.ssi_signo == SIGHUP) {
            reload_settings(n);
        }
        else {
            begin_drain(n);
        }
    }
}

static void
run_iteration(struct node *n)
{
    n->now = clock_now();
    handle_storage_results(n);
    peer_poll(n->hub, n->now);
    handle_upstream_results(n);
    handle_calls(n);
    handle_probes(n);
    handle_metrics_calls(n);
    if (n->group != NULL) {
        group_step(n->group);
    }
    if (n->leader != NULL) {
        leader_step(n->leader);
    }
    calls_step(n->calls);
    relay_step(n);
    out_close_unused(n);
    /* Sends entries that were proposed above to the storage and the other
     * members. */
    if (n->group != NULL) {
        group_step(n->group);
    }
    if (n->group != NULL && n->group->failed) {
        n->group = group_reopen(n->group);
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
        n->leader == NULL ? DEADLINE_NONE : leader_next_deadline(n->leader),
        n->drain_until == 0 ? DEADLINE_NONE
                            : n->now + DRAIN_STEP_MS * NS_PER_MS};

    for (size_t i = 0; i < sizeof(others) / sizeof(others[0]); i++) {
        deadline = others[i] < deadline ? others[i] : deadline;
    }
    return deadline;
}

static int
run_loop(struct node *n, int signal_fd)
{
    struct epoll_event events[EVENTS_MAX];

    while (!n->stop) {
        int wait =
            clock_wait_ms(clock_now(), next_deadline(n), EPOLL_TIMEOUT_MAX_MS);

        if (epoll_wait(n->epoll, events, EVENTS_MAX, wait) < 0 &&
            errno != EINTR) {
            log_write(LOG_LEVEL_CRIT, "node: epoll_wait: %s", strerror(errno));
            return 1;
        }
        handle_signals(n, signal_fd);
        run_iteration(n);
    }
    return 0;
}

static void
free_ring_items(struct node *n)
{
    struct front_item *item;
    struct upstream_result *result;
    struct storage_job *job;

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
        storage_job_free(job);
    }
}

static void
stop_node(struct node *n)
{
    leader_destroy(n->leader);
    n->leader = NULL;
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
    approval_client_destroy(n->approval_client);
    relay_destroy(n->relay);
    out_destroy(n);
    free_ring_items(n);
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
    int signal_fd;

    if (!node_settings_load(&n.settings, path)) {
        return 2;
    }
    log_init("guavarockd", LOG_LEVEL_NOTICE);
    event_init(n.settings.vm.ptr);
    randombytes_buf(&n.random_seed, sizeof(n.random_seed));
    n.links = map_create();
    n.targets = map_create();
    n.leader_since = n.now;
    n.epoll = epoll_create1(EPOLL_CLOEXEC);
    signal_fd = open_signalfd(&n);
    if (n.epoll >= 0 && signal_fd >= 0 && start_node(&n)) {
        event_write(&event_process, "state=started");
        status = run_loop(&n, signal_fd);
    }
    event_write(&event_process, "state=stopped status=%d", status);
    event_flush();
    stop_node(&n);
    if (signal_fd >= 0) {
        close(signal_fd);
    }
    str_free(&n.leader_vm);
    node_settings_free(&n.settings);
    return status;
}
