/*
 * Requests to the leader. Reads are answered at once from the replicated
 * state, changes once they are committed and applied.
 */
#include "leader.h"

#include <string.h>

#include "clock.h"
#include "evacuation.h"
#include "event.h"
#include "mem.h"

enum {
    ID_DIGITS = 16, /* hexadecimal digits of a job id */
    NO_CONFIG_RETRY_MS = 1000,
    /* Recorded cancellations of unknown jobs, of some 100 bytes each. */
    CANCELLATIONS_MAX = 65536,
    CANCELLATIONS_RETRY_MS = 5000,
    QUEUE_REMOVED_RETRY_MS = 200,
    SERVICE_EVACUATED_RETRY_MS = 2000,
};

static struct event_kind event_submit = {.name = "submit", .per_second = 120};
static struct event_kind event_cancel = {.name = "cancel", .per_second = 60};
static struct event_kind event_config = {.name = "config"};
static struct event_kind event_worker = {.name = "worker", .per_second = 60};
static struct event_kind event_upkeep = {.name = "upkeep"};

struct pending_request *
leader_add_request(struct leader *l, struct requester from,
                   const Node__Request *req)
{
    struct leader_batch *b = leader_open_batch(l);
    struct pending_request *p;

    if (b->request_count == b->request_cap) {
        b->request_cap = b->request_cap * 2 + 8;
        b->requests =
            mem_realloc(b->requests, b->request_cap, sizeof(*b->requests));
    }
    p = &b->requests[b->request_count++];
    *p = (struct pending_request){.from = from, .kind = (int)req->kind_case};
    return p;
}

static void
reply_ok(struct leader *l, struct requester from)
{
    Node__Reply reply = NODE__REPLY__INIT;

    request_reply(l->node, from, &reply);
}

static void
refuse(struct leader *l, struct requester from, Node__Outcome outcome,
       const char *reason)
{
    request_refuse(l->node, from, outcome, reason, 0);
}

static bool
parse_id(struct str text, uint64_t *out)
{
    uint64_t id = 0;

    if (text.len != ID_DIGITS) {
        return false;
    }
    for (size_t i = 0; i < text.len; i++) {
        char c = text.ptr[i];
        int digit = c >= '0' && c <= '9'   ? c - '0'
                    : c >= 'a' && c <= 'f' ? c - 'a' + 10
                    : c >= 'A' && c <= 'F' ? c - 'A' + 10
                                           : -1;

        if (digit < 0) {
            return false;
        }
        id = id << 4 | (unsigned)digit;
    }
    *out = id;
    return true;
}

/* Appends the address that jobs of the queue have, NUL-terminated. */
static void
append_address(const struct flow_queue *q, struct buf *out)
{
    buf_printf(out, "%.*s%.*s", STR_ARG(q->host), STR_ARG(q->prefix));
}

/* Whether the job waits for its turn or never ends, so that an evacuation of
 * all domains does not fail it. */
static bool
outlasts_evacuation(const Flow__JobSpec *spec)
{
    for (size_t i = 0; i < spec->n_steps; i++) {
        if (spec->steps[i]->endless) {
            return true;
        }
    }
    return spec->occurrences > 0;
}

static void
submit_job(struct leader *l, struct requester from, const Node__Request *req,
           uint64_t id, const struct flow_queue *q,
           const struct flow_team *team)
{
    const Node__JobCall *call = req->job;
    const char *problem = flow_validate_spec(call->spec);
    Flow__Command command = FLOW__COMMAND__INIT;
    Flow__Submit submit = FLOW__SUBMIT__INIT;
    struct buf address = {0};

    if (flow_job(l->state, id) != NULL) {
        reply_ok(l, from);
        return;
    }
    if (problem != NULL) {
        refuse(l, from, NODE__OUTCOME__INVALID, problem);
        return;
    }
    if (!outlasts_evacuation(call->spec) &&
        flow_is_service_evacuated(l->state, q->service)) {
        request_refuse(l->node, from, NODE__OUTCOME__UNAVAILABLE,
                       "all failure domains of the service are evacuated",
                       SERVICE_EVACUATED_RETRY_MS);
        return;
    }
    submit.job = id;
    submit.queue = (char *)q->name.ptr;
    submit.team = team == NULL ? submit.team : (char *)team->name.ptr;
    submit.spec = call->spec;
    submit.wall_ms = clock_wall_ms();
    append_address(q, &address);
    submit.address = address.ptr;
    command.kind_case = FLOW__COMMAND__KIND_SUBMIT;
    command.submit = &submit;
    leader_queue_command(l, &command);
    buf_free(&address);
    leader_add_request(l, from, req)->job = id;
    event_write(&event_submit,
                "job=%016llx queue=%.*s team=%s steps=%zu live=%zu "
                "config=%llu outcome=proposed",
                (unsigned long long)id, STR_ARG(q->name), submit.team,
                call->spec->n_steps, flow_live_count(l->state),
                (unsigned long long)flow_current_config(l->state)->version);
}

static void
cancel_job(struct leader *l, struct requester from, const Node__Request *req,
           const struct flow_job *j)
{
    Flow__Command command = FLOW__COMMAND__INIT;
    Flow__Cancel cancel = FLOW__CANCEL__INIT;
    struct pending_request *p;

    if (j->state > FLOW_JOB_RUNNING) {
        reply_ok(l, from);
        return;
    }
    cancel.job = j->id;
    command.kind_case = FLOW__COMMAND__KIND_CANCEL;
    command.cancel = &cancel;
    leader_queue_command(l, &command);
    p = leader_add_request(l, from, req);
    p->job = j->id;
    p->cancel = true;
    event_write(&event_cancel, "job=%016llx assigned=%u outcome=proposed",
                (unsigned long long)j->id, j->assigned);
}

/*
 * Records the cancellation of a job that is not known, because its submission
 * may still be under way from another VM, or be in the log but not committed.
 * The answer says whether there was such a job.
 */
static void
cancel_unknown_job(struct leader *l, struct requester from,
                   const Node__Request *req, uint64_t id,
                   const struct flow_queue *q)
{
    Flow__Command command = FLOW__COMMAND__INIT;
    Flow__Cancel cancel = FLOW__CANCEL__INIT;
    struct pending_request *p;
    struct buf address = {0};

    if (flow_cancellation_count(l->state) >= CANCELLATIONS_MAX) {
        request_refuse(l->node, from, NODE__OUTCOME__UNAVAILABLE,
                       "too many unknown jobs were cancelled",
                       CANCELLATIONS_RETRY_MS);
        return;
    }
    append_address(q, &address);
    cancel.job = id;
    cancel.address = address.ptr;
    command.kind_case = FLOW__COMMAND__KIND_CANCEL;
    command.cancel = &cancel;
    leader_queue_command(l, &command);
    buf_free(&address);
    p = leader_add_request(l, from, req);
    p->job = id;
    p->cancel = true;
    event_write(&event_cancel, "job=%016llx outcome=unknown-recorded",
                (unsigned long long)id);
}

static void
reply_job_state(struct leader *l, struct requester from,
                const struct flow_job *j)
{
    Node__Reply reply = NODE__REPLY__INIT;

    reply.job_state = (uint32_t)j->state;
    request_reply(l->node, from, &reply);
}

static void
handle_job_call(struct leader *l, struct requester from,
                const Node__Request *req)
{
    const Node__JobCall *call = req->job;
    struct flow_queue *q;
    struct flow_team *team;
    struct flow_job *j;
    struct str id_text;
    uint64_t id = 0;

    if (flow_current_config(l->state) == NULL) {
        request_refuse(l->node, from, NODE__OUTCOME__UNAVAILABLE,
                       "no configuration yet", NO_CONFIG_RETRY_MS);
        return;
    }
    q = flow_match_queue(l->state, str_of(call->host), str_of(call->path));
    if (q == NULL) {
        refuse(l, from, NODE__OUTCOME__NO_QUEUE, "no such queue");
        return;
    }
    team = flow_team_by_key(l->state, str_of(call->key));
    if (team == NULL && !q->open) {
        refuse(l, from, NODE__OUTCOME__NO_KEY, "unknown key");
        return;
    }
    id_text = str_from(call->path + q->prefix.len,
                       strlen(call->path) - q->prefix.len);
    if (call->verb == NODE__VERB__STATE && id_text.len == 0) {
        Node__Reply reply = NODE__REPLY__INIT;

        reply.counts = true;
        reply.pending = flow_count_pending_jobs(l->state, q);
        request_reply(l->node, from, &reply);
        return;
    }
    if (!parse_id(id_text, &id)) {
        refuse(l, from,
               call->verb == NODE__VERB__SUBMIT ? NODE__OUTCOME__INVALID
                                                : NODE__OUTCOME__NO_JOB,
               "the id is not 16 hexadecimal digits");
        return;
    }
    if (call->verb == NODE__VERB__SUBMIT) {
        submit_job(l, from, req, id, q, team);
        return;
    }
    j = flow_job(l->state, id);
    if (j == NULL && call->verb == NODE__VERB__CANCEL) {
        cancel_unknown_job(l, from, req, id, q);
        return;
    }
    if (j == NULL || !flow_job_is_at(j, q)) {
        refuse(l, from, NODE__OUTCOME__NO_JOB, "no such job");
        return;
    }
    if (call->verb == NODE__VERB__CANCEL) {
        cancel_job(l, from, req, j);
        return;
    }
    reply_job_state(l, from, j);
}

static void
put_config(struct leader *l, struct requester from, const Node__Request *req)
{
    const Flow__Config *current = flow_current_config(l->state);
    const char *problem = flow_validate_config(req->config);
    Flow__Command command = FLOW__COMMAND__INIT;
    struct pending_request *p;

    if (problem != NULL) {
        event_write(&event_config,
                    "version=%llu outcome=invalid reason=\"%s\"",
                    (unsigned long long)req->config->version, problem);
        refuse(l, from, NODE__OUTCOME__INVALID, problem);
        return;
    }
    if (current != NULL && req->config->version < current->version) {
        event_write(&event_config, "version=%llu outcome=older held=%llu",
                    (unsigned long long)req->config->version,
                    (unsigned long long)current->version);
        reply_ok(l, from);
        return;
    }
    if (current != NULL && req->config->version == current->version) {
        if (flow_config_equal(current, req->config)) {
            reply_ok(l, from);
            return;
        }
        event_write(&event_config, "version=%llu outcome=conflict",
                    (unsigned long long)req->config->version);
        refuse(l, from, NODE__OUTCOME__CONFLICT,
               "the version is held with other content");
        return;
    }
    command.kind_case = FLOW__COMMAND__KIND_CONFIG;
    command.config = req->config;
    leader_queue_command(l, &command);
    p = leader_add_request(l, from, req);
    p->version = req->config->version;
    p->document = str_dup(
        str_from(req->config->document.data, req->config->document.len));
}

static void
read_config(struct leader *l, struct requester from)
{
    const Flow__Config *current = flow_current_config(l->state);
    Node__Reply reply = NODE__REPLY__INIT;

    if (current == NULL) {
        request_refuse(l->node, from, NODE__OUTCOME__UNAVAILABLE,
                       "no configuration yet", NO_CONFIG_RETRY_MS);
        return;
    }
    reply.document = current->document;
    request_reply(l->node, from, &reply);
}

/*
 * Verifies older workers at the address of an announced worker: probably only
 * the one that started last is alive. Returns false if the announced worker is
 * itself older than another.
 */
static bool
verify_address_holders(struct leader *l, const Flow__Worker *announced)
{
    struct flow_worker *w;
    void *cursor = NULL;

    while ((w = flow_worker_next(l->state, &cursor)) != NULL) {
        if (!str_eq(w->address, str_of(announced->address)) ||
            str_eq(w->id, str_of(announced->id))) {
            continue;
        }
        if (w->born_ms > announced->born_ms) {
            return false;
        }
        workers_verify(l, w);
    }
    return true;
}

static bool
is_unchanged(const struct flow_worker *w, const Flow__Worker *announced)
{
    return w->born_ms == announced->born_ms &&
           w->draining == announced->draining &&
           str_eq(w->address, str_of(announced->address)) &&
           str_eq(w->service, str_of(announced->service)) &&
           announced->capacity != NULL &&
           w->capacity.cpu_milli == announced->capacity->cpu_milli &&
           w->capacity.memory_mib == announced->capacity->memory_mib &&
           w->capacity.accelerators == announced->capacity->accelerators;
}

/* Any service may be part of the first configuration. */
static bool
is_service_known(const struct leader *l, const char *name)
{
    const Flow__Config *config = flow_current_config(l->state);

    for (size_t i = 0; config != NULL && i < config->n_services; i++) {
        if (str_eq(str_of(config->services[i]->name), str_of(name))) {
            return true;
        }
    }
    return config == NULL;
}

/* A worker outlives the removal of its service from the configuration. */
static bool
keeps_service(const struct flow_worker *w, const Flow__Worker *announced)
{
    return w != NULL && w->born_ms == announced->born_ms &&
           str_eq(w->service, str_of(announced->service));
}

static void
handle_announcement(struct leader *l, struct requester from,
                    const Node__Request *req)
{
    const Flow__Worker *announced = req->beat->worker;
    struct flow_worker *w = flow_worker_by_id(l->state, str_of(announced->id));
    Flow__Command command = FLOW__COMMAND__INIT;

    if (w != NULL && w->born_ms > announced->born_ms) {
        reply_ok(l, from);
        return;
    }
    if (!is_service_known(l, announced->service) &&
        !keeps_service(w, announced)) {
        refuse(l, from, NODE__OUTCOME__INVALID, "unknown service");
        return;
    }
    if (w != NULL && w->born_ms == announced->born_ms) {
        uint64_t *sequence = workers_announcement_sequence(w);

        if (sequence != NULL && announced->sequence < *sequence) {
            reply_ok(l, from);
            return;
        }
        if (sequence != NULL) {
            *sequence = announced->sequence;
        }
        workers_record_announcement(w, req->beat->clock_ms);
        workers_record_cold(w, req->beat->cold_ms);
        if (is_unchanged(w, announced)) {
            reply_ok(l, from);
            return;
        }
    }
    if (!verify_address_holders(l, announced)) {
        reply_ok(l, from);
        return;
    }
    if (w != NULL && w->born_ms < announced->born_ms) {
        workers_restart_announced(l, w, announced);
        reply_ok(l, from);
        return;
    }
    command.kind_case = FLOW__COMMAND__KIND_WORKER;
    command.worker = (Flow__Worker *)announced;
    leader_queue_command(l, &command);
    leader_add_request(l, from, req);
    event_write(&event_worker,
                "worker=%s address=%s born=%lld draining=%d sequence=%llu "
                "outcome=%s",
                announced->id, announced->address,
                (long long)announced->born_ms, announced->draining,
                (unsigned long long)announced->sequence,
                w == NULL ? "registered" : "changed");
}

static void
handle_deregistration(struct leader *l, struct requester from, const char *id)
{
    struct flow_worker *w = flow_worker_by_id(l->state, str_of(id));

    if (w != NULL) {
        workers_deregistered(w);
    }
    reply_ok(l, from);
}

static void
start_upkeep(struct leader *l, struct requester from, const Node__Request *req)
{
    Flow__Command command = FLOW__COMMAND__INIT;

    if (flow_upkeep(l->state, req->upkeep->wave) != NULL) {
        reply_ok(l, from);
        return;
    }
    command.kind_case = FLOW__COMMAND__KIND_UPKEEP;
    command.upkeep = req->upkeep;
    leader_queue_command(l, &command);
    leader_add_request(l, from, req);
    event_write(&event_upkeep,
                "wave=%llu machines=%zu concurrent=%u "
                "outcome=proposed",
                (unsigned long long)req->upkeep->wave, req->upkeep->n_machines,
                req->upkeep->concurrent_max);
}

static void
reply_upkeep_state(struct leader *l, struct requester from, uint64_t wave)
{
    const struct flow_upkeep *u = flow_upkeep(l->state, wave);
    Node__Reply reply = NODE__REPLY__INIT;

    if (u == NULL) {
        refuse(l, from, NODE__OUTCOME__NO_JOB, "no such wave");
        return;
    }
    reply.upkeep_done = u->done_count == u->count;
    request_reply(l->node, from, &reply);
}

void
leader_handle_request(struct leader *l, struct requester from,
                      const Node__Request *req)
{
    switch (req->kind_case) {
    case NODE__REQUEST__KIND_JOB:
        handle_job_call(l, from, req);
        break;
    case NODE__REQUEST__KIND_CONFIG:
        put_config(l, from, req);
        break;
    case NODE__REQUEST__KIND_READ_CONFIG:
        read_config(l, from);
        break;
    case NODE__REQUEST__KIND_BEAT:
        if (req->beat->worker != NULL) {
            handle_announcement(l, from, req);
        }
        break;
    case NODE__REQUEST__KIND_WORKER_LEFT:
        handle_deregistration(l, from, req->worker_left);
        break;
    case NODE__REQUEST__KIND_UPKEEP:
        start_upkeep(l, from, req);
        break;
    case NODE__REQUEST__KIND_UPKEEP_STATE:
        reply_upkeep_state(l, from, req->upkeep_state);
        break;
    case NODE__REQUEST__KIND_EVACUATION:
        evacuation_handle_call(l, from, req);
        break;
    case NODE__REQUEST__KIND_READ_EVACUATIONS:
        evacuations_reply_state(l, from);
        break;
    case NODE__REQUEST__KIND__NOT_SET:
    default:
        refuse(l, from, NODE__OUTCOME__INVALID, "unknown request");
        break;
    }
}

static void
answer_committed_config(struct leader *l, const struct pending_request *p)
{
    const Flow__Config *current = flow_current_config(l->state);
    bool same = current->version == p->version &&
                str_eq(p->document, str_from(current->document.data,
                                             current->document.len));

    if (current->version == p->version && !same) {
        refuse(l, p->from, NODE__OUTCOME__CONFLICT,
               "the version is held with other content");
        return;
    }
    event_write(&event_config, "version=%llu outcome=%s held=%llu",
                (unsigned long long)p->version,
                same ? "in-force" : "overtaken",
                (unsigned long long)current->version);
    reply_ok(l, p->from);
}

void
answer_committed_request(struct leader *l, const struct pending_request *p)
{
    struct flow_job *j;

    switch (p->kind) {
    case NODE__REQUEST__KIND_JOB:
        j = flow_job(l->state, p->job);
        if (p->cancel && (j == NULL || j->state <= FLOW_JOB_RUNNING)) {
            refuse(l, p->from, NODE__OUTCOME__NO_JOB, "no such job");
            return;
        }
        if (j == NULL) {
            request_refuse(l->node, p->from, NODE__OUTCOME__UNAVAILABLE,
                           "the queue was removed meanwhile",
                           QUEUE_REMOVED_RETRY_MS);
            return;
        }
        if (!p->cancel && j->state == FLOW_JOB_CANCELLED) {
            event_write(&event_submit, "job=%016llx outcome=cancelled-before",
                        (unsigned long long)p->job);
        }
        if (j->arrived_ns == 0) {
            j->arrived_ns = l->node->now;
        }
        reply_ok(l, p->from);
        break;
    case NODE__REQUEST__KIND_CONFIG:
        answer_committed_config(l, p);
        break;
    case NODE__REQUEST__KIND_EVACUATION:
        evacuation_answer_committed(l, p);
        break;
    default:
        reply_ok(l, p->from);
        break;
    }
}
