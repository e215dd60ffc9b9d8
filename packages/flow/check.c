/*
 * Checks of what comes from operators and callers.
 */
#include "flow.h"

enum {
    /* Bounds of what one job may ask for; they keep a batch of the log and
     * the memory of a job small. */
    STEPS_MAX = 256,
    TASKS_MAX = 10000,
    OCCURRENCES_MAX = 100000,
    PAYLOAD_MAX = 16 * 1024,
};

static bool
service_known(const Flow__Config *c, const char *name)
{
    for (size_t i = 0; i < c->n_services; i++) {
        if (str_eq(str_of(c->services[i]->name), str_of(name))) {
            return true;
        }
    }
    return false;
}

static const char *
queue_problem(const Flow__Config *c, size_t index)
{
    const Flow__Queue *q = c->queues[index];

    if (q->timeout_ms == 0) {
        return "a queue has a timeout of 0";
    }
    if (q->prefix[0] != '/') {
        return "a queue has no path prefix";
    }
    if (!service_known(c, q->service)) {
        return "a queue names an unknown service";
    }
    for (size_t i = 0; i < index; i++) {
        if (str_eq(str_of(c->queues[i]->host), str_of(q->host)) &&
            str_eq(str_of(c->queues[i]->prefix), str_of(q->prefix))) {
            return "two queues have the same host and prefix";
        }
        if (str_eq(str_of(c->queues[i]->name), str_of(q->name))) {
            return "two queues have the same name";
        }
    }
    return NULL;
}

static const char *
keys_problem(const Flow__Config *c)
{
    struct map *seen = map_create();
    const char *problem = NULL;

    for (size_t i = 0; i < c->n_teams; i++) {
        for (size_t k = 0; k < c->teams[i]->n_keys; k++) {
            Flow__Team *before =
                map_put(seen, str_of(c->teams[i]->keys[k]), c->teams[i]);

            if (before != NULL && before != c->teams[i]) {
                problem = "two teams share a key";
            }
        }
    }
    map_destroy(seen);
    return problem;
}

const char *
flow_config_problem(const Flow__Config *c)
{
    for (size_t i = 0; i < c->n_queues; i++) {
        const char *problem = queue_problem(c, i);

        if (problem != NULL) {
            return problem;
        }
    }
    for (size_t i = 0; i < c->n_teams; i++) {
        if (c->teams[i]->name[0] == '\0' || c->teams[i]->weight == 0) {
            return "a team has no name or no weight";
        }
        for (size_t k = 0; k < i; k++) {
            if (str_eq(str_of(c->teams[i]->name), str_of(c->teams[k]->name))) {
                return "two teams have the same name";
            }
        }
    }
    return keys_problem(c);
}

const char *
flow_spec_problem(const Flow__JobSpec *spec)
{
    uint64_t tasks = 0;

    if (spec == NULL || spec->n_steps == 0 || spec->n_steps > STEPS_MAX) {
        return "no steps, or too many";
    }
    if (spec->payload.len > PAYLOAD_MAX) {
        return "the payload is too large";
    }
    if (spec->occurrences > OCCURRENCES_MAX ||
        (spec->occurrences > 1 && spec->interval_ms <= 0)) {
        return "the schedule is out of range";
    }
    for (size_t i = 0; i < spec->n_steps; i++) {
        tasks += spec->steps[i]->count;
        if (spec->steps[i]->count == 0) {
            return "a step has no tasks";
        }
        for (size_t k = 0; k < spec->steps[i]->n_after; k++) {
            if (spec->steps[i]->after[k] >= i) {
                return "a step depends on itself or a later one";
            }
        }
    }
    return tasks > TASKS_MAX ? "too many tasks" : NULL;
}
