/*
 * Validation of configurations from operators and of job specifications from
 * callers.
 */
#include "flow.h"

enum {
    /* Limits on one job. They bound the size of a batch in the log and the
     * memory that a job takes. The messages below name them. */
    STEPS_MAX = 256,
    TASKS_MAX = 10000,
    OCCURRENCES_MAX = 100000,
    PAYLOAD_MAX_BYTES = 16 * 1024,
};

/* Keeps the sums over all tasks of all jobs below 2^64. */
#define TASK_SIZE_MAX UINT32_MAX

static bool
has_service(const Flow__Config *c, const char *name)
{
    for (size_t i = 0; i < c->n_services; i++) {
        if (str_eq(str_of(c->services[i]->name), str_of(name))) {
            return true;
        }
    }
    return false;
}

static const char *
find_queue_problem(const Flow__Config *c, size_t index)
{
    const Flow__Queue *q = c->queues[index];

    if (q->timeout_ms == 0) {
        return "a queue has a timeout of 0 ms; it must be at least 1";
    }
    if (q->prefix[0] != '/') {
        return "a queue's path prefix does not begin with '/'";
    }
    if (!has_service(c, q->service)) {
        return "a queue names a service that is not configured";
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
find_key_problem(const Flow__Config *c)
{
    struct map *seen = map_create();
    const char *problem = NULL;

    for (size_t i = 0; i < c->n_teams; i++) {
        for (size_t k = 0; k < c->teams[i]->n_keys; k++) {
            Flow__Team *before =
                map_put(seen, str_of(c->teams[i]->keys[k]), c->teams[i]);

            if (before != NULL && before != c->teams[i]) {
                problem = "two teams have the same key";
            }
        }
    }
    map_destroy(seen);
    return problem;
}

const char *
flow_validate_config(const Flow__Config *c)
{
    for (size_t i = 0; i < c->n_queues; i++) {
        const char *problem = find_queue_problem(c, i);

        if (problem != NULL) {
            return problem;
        }
    }
    for (size_t i = 0; i < c->n_teams; i++) {
        if (c->teams[i]->name[0] == '\0' || c->teams[i]->weight == 0) {
            return "a team has an empty name or a weight of 0";
        }
        for (size_t k = 0; k < i; k++) {
            if (str_eq(str_of(c->teams[i]->name), str_of(c->teams[k]->name))) {
                return "two teams have the same name";
            }
        }
    }
    return find_key_problem(c);
}

static bool
is_size_valid(const Flow__Size *size)
{
    return size == NULL || (size->cpu_milli <= TASK_SIZE_MAX &&
                            size->memory_mib <= TASK_SIZE_MAX &&
                            size->accelerators <= TASK_SIZE_MAX);
}

const char *
flow_validate_spec(const Flow__JobSpec *spec)
{
    uint64_t tasks = 0;

    if (spec == NULL || spec->n_steps == 0 || spec->n_steps > STEPS_MAX) {
        return "the job must have 1 to 256 steps";
    }
    if (spec->payload.len > PAYLOAD_MAX_BYTES) {
        return "the payload is larger than 16384 bytes";
    }
    if (spec->occurrences > OCCURRENCES_MAX ||
        (spec->occurrences > 1 && spec->interval_ms <= 0)) {
        return "the schedule has more than 100000 occurrences or no positive "
               "interval";
    }
    for (size_t i = 0; i < spec->n_steps; i++) {
        tasks += spec->steps[i]->count;
        if (spec->steps[i]->count == 0) {
            return "a step has no tasks";
        }
        if (!is_size_valid(spec->steps[i]->size)) {
            return "a task needs more than 4294967295 of a resource";
        }
        for (size_t k = 0; k < spec->steps[i]->n_after; k++) {
            if (spec->steps[i]->after[k] >= i) {
                return "a step depends on itself or on a later step";
            }
        }
    }
    return tasks > TASKS_MAX ? "the job has more than 10000 tasks" : NULL;
}
