#include "entry_impl.h"
#include "mem.h"

enum {
    SWEEP_INTERVAL_MS = 50,
    LEAVE_REPORT_INTERVAL_MS = 50,
};

struct entry *
entry_create(struct control *c)
{
    struct entry *e = mem_zalloc(1, sizeof(*e));
    struct router_config config = router_defaults();

    config.domain = c->settings->failure_domain;
    config.seed = c->run;
    config.longest_request_ns = c->settings->longest_request_ms * NS_PER_MS;
    config.default_timeout_ns = config.longest_request_ns;
    e->control = c;
    e->next_id = 1;
    e->old_endpoints_deadline = DEADLINE_NONE;
    e->config = confview_create();
    e->router = router_create(&config, c->now);
    e->endpoints = map_create();
    e->teams = map_create();
    e->keys = map_create();
    e->forwards = map_create();
    e->announced =
        announce_cache_create(c->settings->endpoint_lease_ms * NS_PER_MS);
    e->requests = map_create();
    e->keyed_requests = map_create();
    e->requests_by_message = map_create();
    e->attempts = map_create();
    return e;
}

void
entry_endpoint_free(struct known_endpoint *k)
{
    str_free(&k->id);
    str_free(&k->service);
    str_free(&k->address);
    str_free(&k->failure_domain);
    mem_free(k);
}

static void
free_number_map(struct map *numbers)
{
    void *cursor = NULL;
    void *number;

    while ((number = map_next(numbers, &cursor)) != NULL) {
        mem_free(number);
    }
    map_destroy(numbers);
}

void
entry_destroy(struct entry *e)
{
    struct known_endpoint *k;
    void *cursor = NULL;

    if (e == NULL) {
        return;
    }
    forward_destroy(e);
    announce_cache_destroy(e->announced);
    serve_destroy(e);
    while ((k = map_next(e->endpoints, &cursor)) != NULL) {
        entry_endpoint_free(k);
    }
    map_destroy(e->endpoints);
    free_number_map(e->teams);
    free_number_map(e->keys);
    router_actions_free(&e->actions);
    router_destroy(e->router);
    confview_destroy(e->config);
    str_free(&e->leader_vm);
    mem_free(e);
}

bool
entry_has_config_lease(const struct entry *e)
{
    return e->config_deadline > clock_now();
}

bool
entry_is_ready(struct entry *e)
{
    struct router_stats stats;

    if (!entry_has_config_lease(e)) {
        return false;
    }
    router_stats(e->router, &stats);
    return readiness_check(&e->readiness, clock_now(), stats.slots_held,
                           stats.endpoints);
}

struct link *
entry_leader_link(const struct entry *e)
{
    if (e->leader_vm.len == 0) {
        return NULL;
    }
    return control_find_link(e->control, e->leader_vm);
}

void
entry_handle_leader_hint(struct entry *e, const Wire__Leader *hint)
{
    struct str vm = str_of(hint->vm);
    struct router_event event = {.kind = ROUTER_LEADER};

    if (hint->term < e->leader_term || vm.len == 0 ||
        (hint->term == e->leader_term && str_eq(vm, e->leader_vm))) {
        return;
    }
    str_free(&e->leader_vm);
    e->leader_vm = str_dup(vm);
    e->leader_term = hint->term;
    e->endpoints_seq = 0;
    event.term = hint->term;
    serve_router_event(e, &event);
    readiness_leader_changed(&e->readiness);
    announce_leader_changed(e);
    e->report_now = true;
    forward_step(e);
    serve_step(e);
}

void
entry_link_down(struct entry *e, const struct link *l)
{
    forward_link_down(e, l);
    serve_link_down(e, l);
}

void
entry_step(struct entry *e)
{
    struct router_event tick = {.kind = ROUTER_TICK};
    struct link *leader = entry_leader_link(e);
    int64_t now = e->control->now;

    if (router_next_deadline(e->router) <= now) {
        serve_router_event(e, &tick);
    }
    if (leader != NULL &&
        (e->report_now || router_report_due(e->router) <= now)) {
        e->report_now = false;
        entry_send_report(e, leader);
    }
    announce_step(e, leader);
    if (e->sweep_due <= now) {
        e->sweep_due = now + SWEEP_INTERVAL_MS * NS_PER_MS;
        entry_remove_old_endpoints(e);
        forward_step(e);
        serve_step(e);
    }
}

int64_t
entry_next_deadline(const struct entry *e)
{
    int64_t deadline = e->sweep_due;
    int64_t router_deadline = router_next_deadline(e->router);
    int64_t report_due = router_report_due(e->router);
    int64_t announce_deadline = announce_next_deadline(e);

    if (router_deadline < deadline) {
        deadline = router_deadline;
    }
    if (announce_deadline < deadline) {
        deadline = announce_deadline;
    }
    if (report_due < deadline && entry_leader_link(e) != NULL) {
        deadline = report_due;
    }
    return deadline;
}

void
entry_end_long_polls(struct entry *e)
{
    forward_end_long_polls(e);
}

void
entry_drain(struct entry *e)
{
    struct router_event event = {.kind = ROUTER_DRAIN};

    serve_router_event(e, &event);
    e->report_now = true;
}

bool
entry_leave(struct entry *e)
{
    if (!e->left || e->leave_due <= e->control->now) {
        e->left = true;
        e->report_now = true;
        e->leave_due = e->control->now + LEAVE_REPORT_INTERVAL_MS * NS_PER_MS;
    }
    return e->left_recorded;
}

bool
entry_idle(const struct entry *e)
{
    return map_count(e->requests) == 0 && map_count(e->forwards) == 0 &&
           map_count(e->attempts) == 0 && router_is_idle(e->router);
}
