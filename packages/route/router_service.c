#include <stdio.h>

#include "mem.h"
#include "router_int.h"

struct service *
service_find(const struct router *r, struct str name)
{
    return map_get(r->services, name);
}

struct service *
service_find_or_create(struct router *r, struct str name)
{
    struct service *s = service_find(r, name);

    if (s != NULL) {
        return s;
    }
    s = mem_zalloc(1, sizeof(*s));
    s->name = str_dup(name);
    TAILQ_INIT(&s->parked);
    s->queues = map_create();
    s->retry_tokens = r->config.retry_burst;
    s->demand = units_find_or_create(r, POOL_SERVICE, name);
    s->demand->service = s;
    map_put(r->services, name, s);
    return s;
}

void
service_destroy(struct router *r, struct service *s)
{
    void *cursor = NULL;
    struct queue *q;

    while ((q = map_next(s->queues, &cursor)) != NULL) {
        queue_destroy(q);
    }
    units_retire(r, s->demand);
    map_destroy(s->queues);
    heap_free(&s->active);
    heap_free(&s->available);
    heap_free(&s->probes);
    mem_free(s->endpoints);
    map_del(r->services, s->name);
    str_free(&s->name);
    mem_free(s);
}

/* Whether the service has endpoints or requests in any state. */
static bool
service_is_used(const struct service *s)
{
    void *cursor = NULL;
    const struct queue *q;

    if (s->endpoint_count != 0) {
        return true;
    }
    while ((q = map_next(s->queues, &cursor)) != NULL) {
        if (q->refs != 0) {
            return true;
        }
    }
    return false;
}

static struct team *
team_create(struct router *r, uint32_t number)
{
    struct team *t = mem_zalloc(1, sizeof(*t));
    char name[16];

    snprintf(name, sizeof(name), "%u", number);
    t->number = number;
    TAILQ_INIT(&t->queues);
    t->units = units_find_or_create(r, POOL_TEAM, str_of(name));
    t->units->team = t;
    map_put_u64(r->teams, number, t);
    return t;
}

void
team_apply_config(struct router *r, int64_t now,
                  const struct router_team *config, struct router_actions *out)
{
    struct team *t = map_get_u64(r->teams, config->number);

    if (t == NULL) {
        t = team_create(r, config->number);
    }
    t->gone = false;
    if (config->limited && !t->limited && t->units->held < t->units->used) {
        /* Requests sent before the limit was set count as holding units. */
        t->units->held = t->units->used;
    }
    t->limited = config->limited;
    t->weight = config->weight == 0 ? 1 : config->weight;
    for (struct queue *q = TAILQ_FIRST(&t->queues); q != NULL;
         q = TAILQ_NEXT(q, in_team)) {
        queue_update(r, now, q);
        dispatch_service(r, q->service, now, out);
    }
}

void
team_destroy(struct router *r, struct team *t)
{
    struct queue *q;

    while ((q = TAILQ_FIRST(&t->queues)) != NULL) {
        map_del_u64(q->service->queues, t->number);
        queue_destroy(q);
    }
    units_retire(r, t->units);
    map_del_u64(r->teams, t->number);
    mem_free(t);
}

void
team_remove(struct router *r, uint32_t number, struct router_actions *out)
{
    struct team *t = map_get_u64(r->teams, number);

    if (t == NULL) {
        return;
    }
    t->gone = true;
    r->sweep_needed = true;
    refuse_unsent_requests(r, t, ROUTER_REASON_NO_TEAM, out);
}

void
sweep_unused(struct router *r)
{
    void *cursor = NULL;
    struct service *s;
    struct team *t;

    r->sweep_needed = false;
    while ((s = map_next(r->services, &cursor)) != NULL) {
        if (!service_is_used(s)) {
            service_destroy(r, s);
        }
        else if (s->endpoint_count == 0) {
            r->sweep_needed = true;
        }
    }
    cursor = NULL;
    while ((t = map_next(r->teams, &cursor)) != NULL) {
        if (t->gone && t->waiting == 0 && t->in_flight == 0) {
            team_destroy(r, t);
        }
        else if (t->gone) {
            r->sweep_needed = true;
        }
    }
}

bool
team_can_send(const struct router *r, const struct team *t, int64_t now)
{
    if (t->gone) {
        return false;
    }
    return !t->limited || units_count_free(r, t->units, now) > 0;
}
