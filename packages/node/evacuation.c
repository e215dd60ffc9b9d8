/*
 * Evacuation of failure domains on the leader: requests, the runs that are
 * moved, and workers that warm up after a withdrawal.
 */
#include "evacuation.h"

#include "clock.h"
#include "evacuate.h"
#include "event.h"
#include "mem.h"
#include "session.h"

enum {
    DOMAIN_MAX_BYTES = 256,
    /* Until the members that do not keep evacuations were replaced. */
    UNSUPPORTED_RETRY_MS = 5000,
    OVERTAKEN_RETRY_MS = 1000,
    STEP_MS = 200,
    STATE_LOG_MS = 2000,
    MOVES_PER_STEP_MAX = 32,
};

struct evacuations {
    int64_t step_due;
    int64_t log_due;
    struct evacuate_plan plan;
    uint64_t moves; /* runs that were stopped to be moved */
};

static struct event_kind event_evacuation = {.name = "evacuation"};
static struct event_kind event_moved = {.name = "evacuation-move",
                                        .per_second = 60};

struct evacuations *
evacuations_create(void)
{
    return mem_zalloc(1, sizeof(struct evacuations));
}

void
evacuations_destroy(struct evacuations *e)
{
    evacuate_plan_free(&e->plan);
    mem_free(e);
}

static bool
is_domain_known(const struct leader *l, struct str domain)
{
    const struct node_settings *settings = &l->node->settings;
    const struct flow_worker *w;
    void *cursor = NULL;

    for (size_t i = 0; i < settings->failure_domain_count; i++) {
        if (str_eq(settings->failure_domains[i].name, domain)) {
            return true;
        }
    }
    while ((w = flow_worker_next(l->state, &cursor)) != NULL) {
        if (str_eq(w->domain, domain)) {
            return true;
        }
    }
    return str_eq(settings->failure_domain, domain) ||
           flow_evacuation(l->state, domain) != NULL;
}

/* Returns whether no connected member, or VM that asks to join, runs a build
 * that would forget an evacuation. */
static bool
is_kept_by_members(const struct leader *l)
{
    const struct link *link;
    void *cursor = NULL;

    while ((link = map_next(l->node->links, &cursor)) != NULL) {
        if ((link->member_id != 0 || link->address.len > 0) &&
            !link->keeps_evacuations) {
            return false;
        }
    }
    return true;
}

static void
log_request(const Node__EvacuationCall *call, const char *outcome)
{
    event_write(&event_evacuation, "domain=%s active=%d via=%s outcome=%s",
                call->domain, call->active, call->vm, outcome);
}

static void
refuse_call(struct leader *l, struct requester from,
            const Node__EvacuationCall *call, Node__Outcome outcome,
            const char *reason, uint32_t retry_after_ms)
{
    event_write(&event_evacuation,
                "domain=%s active=%d via=%s outcome=refused reason=\"%s\"",
                call->domain, call->active, call->vm, reason);
    request_refuse(l->node, from, outcome, reason, retry_after_ms);
}

static void
propose(struct leader *l, struct requester from, const Node__Request *req)
{
    const Node__EvacuationCall *call = req->evacuation;
    Flow__Command command = FLOW__COMMAND__INIT;
    Flow__Evacuation evacuation = FLOW__EVACUATION__INIT;
    struct pending_request *p;

    evacuation.domain = call->domain;
    evacuation.active = call->active;
    evacuation.change = call->seen_change;
    evacuation.vm = call->vm;
    command.kind_case = FLOW__COMMAND__KIND_EVACUATION;
    command.evacuation = &evacuation;
    leader_queue_command(l, &command);
    p = leader_add_request(l, from, req);
    p->domain = str_dup(str_of(call->domain));
    p->active = call->active;
    log_request(call, "proposed");
}

void
evacuation_handle_call(struct leader *l, struct requester from,
                       const Node__Request *req)
{
    const Node__EvacuationCall *call = req->evacuation;
    struct str domain = str_of(call->domain);
    const struct flow_evacuation *held = flow_evacuation(l->state, domain);
    Node__Reply reply = NODE__REPLY__INIT;

    if (domain.len == 0 || domain.len > DOMAIN_MAX_BYTES ||
        !is_domain_known(l, domain)) {
        refuse_call(l, from, call, NODE__OUTCOME__NO_DOMAIN,
                    "unknown failure domain", 0);
        return;
    }
    if ((held != NULL && held->active) == call->active) {
        log_request(call, "unchanged");
        request_reply(l->node, from, &reply);
        return;
    }
    if (call->active && !is_kept_by_members(l)) {
        refuse_call(l, from, call, NODE__OUTCOME__UNAVAILABLE,
                    "a control VM runs a version without evacuations",
                    UNSUPPORTED_RETRY_MS);
        return;
    }
    propose(l, from, req);
}

/* Keeps starts that are under way, perhaps in a VM that stands still, out of
 * the domain. A later leader does so with the tokens of its term. */
static void
fence_workers(struct leader *l, struct str domain)
{
    const struct flow_worker *w;
    void *cursor = NULL;

    while ((w = flow_worker_next(l->state, &cursor)) != NULL) {
        if (str_eq(w->domain, domain)) {
            workers_fence(l, w);
        }
    }
}

void
evacuation_answer_committed(struct leader *l, const struct pending_request *p)
{
    const struct flow_evacuation *e = flow_evacuation(l->state, p->domain);
    Node__Reply reply = NODE__REPLY__INIT;
    bool in_force = (e != NULL && e->active) == p->active;

    event_write(&event_evacuation, "domain=%.*s active=%d outcome=%s",
                STR_ARG(p->domain), p->active,
                !in_force   ? "overtaken"
                : p->active ? "in-force"
                            : "withdrawn");
    l->evacuations->step_due = 0;
    if (in_force && p->active) {
        fence_workers(l, p->domain);
    }
    if (!in_force) {
        request_refuse(l->node, p->from, NODE__OUTCOME__UNAVAILABLE,
                       "the evacuation was changed meanwhile",
                       OVERTAKEN_RETRY_MS);
        return;
    }
    request_reply(l->node, p->from, &reply);
}

uint32_t
evacuation_tasks_left(const struct flow_state *s, struct str domain)
{
    const struct flow_worker *w;
    void *cursor = NULL;
    uint32_t tasks = 0;

    while ((w = flow_worker_next(s, &cursor)) != NULL) {
        tasks += str_eq(w->domain, domain) ? w->tasks : 0;
    }
    return tasks;
}

int64_t
evacuation_empty_ms(const struct flow_evacuation *e)
{
    return e->empty_wall_ms == 0           ? -1
           : e->empty_wall_ms < e->wall_ms ? 0
                                           : e->empty_wall_ms - e->wall_ms;
}

static void
append_state(const struct flow_state *s, struct flow_evacuation *e,
             Node__EvacuationState *out)
{
    node__evacuation_state__init(out);
    out->domain = (char *)e->domain.ptr;
    out->active = e->active;
    out->wall_ms = e->wall_ms;
    out->vm = (char *)e->vm.ptr;
    out->left = evacuation_tasks_left(s, e->domain);
    out->empty_ms = evacuation_empty_ms(e);
}

static void
append_change(const struct flow_evacuation *e, Flow__Evacuation *out)
{
    flow__evacuation__init(out);
    out->domain = (char *)e->domain.ptr;
    out->active = e->active;
    out->change = e->change;
    out->wall_ms = e->wall_ms;
    out->vm = (char *)e->vm.ptr;
}

void
evacuations_reply_state(struct leader *l, struct requester from)
{
    Node__Reply reply = NODE__REPLY__INIT;
    size_t change_count;
    const struct flow_evacuation *changes =
        flow_evacuation_changes(l->state, &change_count);
    size_t count = flow_evacuation_count(l->state);
    Node__EvacuationState *states = mem_alloc((count + 1) * sizeof(*states));
    Node__EvacuationState **state_list =
        mem_alloc((count + 1) * sizeof(*state_list));
    Flow__Evacuation *rows = mem_alloc((change_count + 1) * sizeof(*rows));
    Flow__Evacuation **row_list =
        mem_alloc((change_count + 1) * sizeof(*row_list));
    struct flow_evacuation *e;
    void *cursor = NULL;

    while ((e = flow_evacuation_next(l->state, &cursor)) != NULL) {
        state_list[reply.n_evacuations] = &states[reply.n_evacuations];
        append_state(l->state, e, &states[reply.n_evacuations++]);
    }
    for (size_t i = 0; i < change_count; i++) {
        row_list[i] = &rows[i];
        append_change(&changes[i], &rows[i]);
    }
    reply.evacuations = state_list;
    reply.evacuation_changes = row_list;
    reply.n_evacuation_changes = change_count;
    request_reply(l->node, from, &reply);
    mem_free(states);
    mem_free(state_list);
    mem_free(rows);
    mem_free(row_list);
}

/* Stops a run that the worker is known to have. Another one is decided on
 * again when it is known. */
static void
stop_run(struct leader *l, const struct evacuate_move *m)
{
    struct flow_task *t = &m->step->tasks[m->index];
    struct session *s = session_find(l, t->worker);
    const struct node_task task = {
        .job = m->job->id,
        .occurrence = m->occurrence->number,
        .step = (uint32_t)(m->step - m->occurrence->steps),
        .index = m->index,
        .run = t->run};
    struct run *r = s == NULL ? NULL : run_find(s, &task);

    if (r == NULL || r->phase != RUN_ACTIVE || r->end_proposed) {
        t->moved_run = 0;
        return;
    }
    run_set_phase(l, r, RUN_STOP_QUEUED);
    session_queue_step(s);
    l->evacuations->moves++;
    event_write(&event_moved, "job=%016llx task=%u.%u.%u run=%u worker=%u",
                (unsigned long long)task.job, task.occurrence, task.step,
                task.index, task.run, t->worker);
}

static void
move_runs(struct leader *l)
{
    const struct evacuate_limits limits = {
        .short_ms = (int64_t)l->node->settings.lease_max_ms,
        .moves = MOVES_PER_STEP_MAX};
    struct evacuate_plan *plan = &l->evacuations->plan;

    evacuate_make(l->state, l->node->now, &limits, plan);
    for (size_t i = 0; i < plan->move_count; i++) {
        stop_run(l, &plan->moves[i]);
    }
}

static void
log_state(const struct leader *l, const struct flow_evacuation *e,
          uint32_t left)
{
    const uint32_t *verdicts = l->evacuations->plan.verdicts;

    event_write(&event_evacuation,
                "domain=%.*s outcome=not-empty left=%u since_ms=%lld "
                "all_moving=%u all_unconfirmed=%u all_end_soon=%u "
                "all_would_lose=%u all_budget=%u all_no_room=%u",
                STR_ARG(e->domain), left,
                (long long)(clock_wall_ms() - e->wall_ms),
                verdicts[EVACUATE_MOVE] + verdicts[EVACUATE_MOVING],
                verdicts[EVACUATE_UNCONFIRMED], verdicts[EVACUATE_ENDS_SOON],
                verdicts[EVACUATE_WOULD_LOSE], verdicts[EVACUATE_BUDGET],
                verdicts[EVACUATE_NO_ROOM]);
}

/* Notes when the domain is empty. Returns whether tasks are left there. */
static bool
observe_domain(const struct leader *l, struct flow_evacuation *e)
{
    uint32_t left;

    if (!e->active) {
        return false;
    }
    left = evacuation_tasks_left(l->state, e->domain);
    if (left == 0 && e->empty_wall_ms == 0) {
        e->empty_wall_ms = clock_wall_ms();
        event_write(&event_evacuation,
                    "domain=%.*s outcome=empty empty_ms=%lld",
                    STR_ARG(e->domain), (long long)evacuation_empty_ms(e));
    }
    return left > 0;
}

/* Logs the domains that are not empty, with what was decided on their runs. */
static void
log_states(struct leader *l)
{
    const struct flow_evacuation *e;
    void *cursor = NULL;

    if (l->node->now < l->evacuations->log_due) {
        return;
    }
    l->evacuations->log_due = l->node->now + STATE_LOG_MS * NS_PER_MS;
    while ((e = flow_evacuation_next(l->state, &cursor)) != NULL) {
        uint32_t left = evacuation_tasks_left(l->state, e->domain);

        if (e->active && left > 0) {
            log_state(l, e, left);
        }
    }
}

static int64_t
service_cold_start_ms(const struct leader *l, struct str service)
{
    const Flow__Config *config = flow_current_config(l->state);

    for (size_t i = 0; config != NULL && i < config->n_services; i++) {
        if (str_eq(str_of(config->services[i]->name), service)) {
            return config->services[i]->cold_start_ms;
        }
    }
    return 0;
}

/* Sets how a worker of a domain that is used again warms up. */
static void
warm_up(const struct leader *l, const struct flow_worker *w,
        const struct flow_evacuation *e)
{
    struct session *s = w->session;
    int64_t age_ms = clock_wall_ms() - e->wall_ms;
    int64_t since;
    int64_t warm_at;

    if (s == NULL) {
        return;
    }
    since = l->node->now - (age_ms > 0 ? age_ms : 0) * NS_PER_MS;
    warm_at = since + service_cold_start_ms(l, w->service) * NS_PER_MS;
    warm_at = s->cold_until > warm_at ? s->cold_until : warm_at;
    if (l->node->now >= warm_at) {
        s->plan.warm_at_ns = 0;
        return;
    }
    if (s->plan.warm_at_ns == 0) {
        s->plan.warming_since_ns = since;
    }
    s->plan.warm_at_ns = warm_at;
}

static void
warm_up_workers(struct leader *l)
{
    const struct flow_worker *w;
    const struct flow_evacuation *e;
    void *cursor = NULL;

    while ((w = flow_worker_next(l->state, &cursor)) != NULL) {
        e = flow_evacuation(l->state, w->domain);
        if (e != NULL && !e->active) {
            warm_up(l, w, e);
        }
    }
}

void
evacuations_step(struct leader *l)
{
    struct evacuations *all = l->evacuations;
    struct flow_evacuation *e;
    void *cursor = NULL;
    bool occupied = false;

    if (l->node->now < all->step_due) {
        return;
    }
    all->step_due = l->node->now + STEP_MS * NS_PER_MS;
    if (flow_evacuation_count(l->state) == 0) {
        return;
    }
    while ((e = flow_evacuation_next(l->state, &cursor)) != NULL) {
        occupied = observe_domain(l, e) || occupied;
    }
    if (occupied) {
        move_runs(l);
        log_states(l);
    }
    warm_up_workers(l);
}

uint64_t
evacuations_moves(const struct leader *l)
{
    return l->evacuations->moves;
}
