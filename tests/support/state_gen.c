#include "state_gen.h"

#include <stdio.h>
#include <string.h>

enum {
    NAMES = 12,
    BATCH = 6,
};

static uint64_t
below(struct state_gen *g, uint64_t n)
{
    return rng_below(&g->rng, n);
}

static struct str
name(struct state_gen *g, const char *prefix, char space[32])
{
    int len = snprintf(space, 32, "%s-%u", prefix, (unsigned)below(g, NAMES));

    return str_from(space, (size_t)len);
}

static struct state_actor
actor(struct state_gen *g)
{
    static const char keys[4][2] = {"a", "b", "c", "d"};
    struct state_actor by = {.wall_ms = g->wall_ms};

    g->wall_ms += (int64_t)below(g, 400000);
    if (below(g, 300) == 0) {
        g->wall_ms += 3 * 3600000 * ((int64_t)below(g, 3) - 1);
    }
    if (below(g, 4) == 0) {
        by.idempotency_key = str_of(keys[below(g, 4)]);
        by.request_digest[0] = (uint8_t)below(g, 2);
    }
    if (below(g, 8) == 0) {
        by.key_id = 1 + below(g, 20);
    }
    return by;
}

static void
gen_teams(struct state_gen *g, const struct state *s, struct buf *out)
{
    struct state_actor by = actor(g);
    struct state_team_item items[NAMES];
    char space[NAMES][32];
    size_t count = below(g, NAMES);

    for (size_t i = 0; i < count; i++) {
        int len = snprintf(space[i], sizeof(space[i]), "team-%zu", i);
        items[i].name = str_from(space[i], (size_t)len);
        items[i].weight = (uint32_t)below(g, 5) + (below(g, 20) != 0);
    }
    state_cmd_teams_set(out, &by, state_teams_version(s) + (below(g, 8) == 0),
                        items, count);
}

static void
gen_limits(struct state_gen *g, const struct state *s, struct buf *out)
{
    struct state_actor by = actor(g);
    struct state_limit_item items[NAMES];
    size_t count = 0;

    for (size_t i = 0; i < state_team_count(s); i++) {
        if (below(g, 2) == 0) {
            items[count].team = state_team_at(s, i)->name;
            items[count].limit = state_limit_none;
            items[count++].limit.tasks = below(g, 100);
        }
    }
    state_cmd_limits_set(out, &by, state_limits_version(s), items, count);
}

static void
gen_key(struct state_gen *g, const struct state *s, struct buf *out)
{
    struct state_actor by = actor(g);
    enum state_key_kind kind = (enum state_key_kind)(1 + below(g, 4));
    uint8_t hash[STATE_HASH_BYTES] = {(uint8_t)below(g, 64)};
    char space[32];

    (void)s;
    if (below(g, 3) == 0) {
        state_cmd_key_delete(out, &by, 1 + below(g, 40));
        return;
    }
    state_cmd_key_add(
        out, &by, kind,
        kind == STATE_KEY_TEAM ? name(g, "team", space) : STR(""), hash);
}

static void
gen_fleet(struct state_gen *g, const struct state *s, struct buf *out)
{
    struct state_actor by = actor(g);
    struct state_capacity capacity = {1000, 2000, 3};
    char space[32];

    (void)s;
    switch (below(g, 7)) {
    case 0:
        state_cmd_vm_put(out, &by, name(g, "vm", space), STR("fd"),
                         STR("10.0.0.1:1"), 1 + below(g, 3), below(g, 2) == 0);
        break;
    case 1:
        state_cmd_vm_drain(out, &by, name(g, "vm", space), below(g, 2) == 0);
        break;
    case 2:
        state_cmd_vm_promise(out, &by, name(g, "vm", space), 1 + below(g, 3),
                             below(g, 1000), 1 + below(g, 9));
        break;
    case 3:
        state_cmd_vm_delete(out, &by, name(g, "vm", space));
        break;
    case 4:
        state_cmd_worker_delete(out, &by, name(g, "worker", space));
        break;
    default:
        state_cmd_worker_put(out, &by, name(g, "worker", space), below(g, 3),
                             STR("rack"), STR("fd"), &capacity);
    }
}

static uint32_t
some_team(struct state_gen *g, const struct state *s)
{
    if (state_team_count(s) == 0) {
        return 1;
    }
    return state_team_at(s, below(g, state_team_count(s)))->number;
}

static void
gen_job(struct state_gen *g, const struct state *s, struct buf *out)
{
    struct state_actor by = actor(g);
    uint8_t digest[STATE_DIGEST_BYTES] = {(uint8_t)(below(g, 10) == 0)};
    struct state_job_spec spec = {
        .class = (enum state_job_class)(1 + below(g, 3)),
        .tasks = 1 + (uint32_t)below(g, 4),
        .cpu_milli = 100,
        .idempotent = below(g, 2) == 0,
        .payload = STR("payload"),
    };
    char space[32];

    by.key_id = 0;
    if (below(g, 6) == 0) {
        state_cmd_job_cancel(out, &by, some_team(g, s), STR("job-1"),
                             below(g, 2) == 0);
        return;
    }
    state_cmd_job_put(out, &by, some_team(g, s), name(g, "job", space), &spec,
                      digest);
}

/* A job near a random position of the walk. */
static const struct state_job *
some_job(struct state_gen *g, const struct state *s)
{
    void *cursor = NULL;
    const struct state_job *job;
    const struct state_job *found = NULL;

    while ((job = state_job_next(s, &cursor)) != NULL) {
        if (found == NULL || below(g, 3) == 0) {
            found = job;
        }
    }
    return found;
}

static void
gen_placed(struct state_gen *g, const struct state *s, struct buf *out)
{
    struct state_actor by = actor(g);
    struct state_placement items[BATCH];
    size_t count = 1 + below(g, BATCH);

    g->next_lease = state_highest_lease(s) + 1;
    for (size_t i = 0; i < count; i++) {
        const struct state_job *job = some_job(g, s);
        items[i].job = job == NULL ? 1 : job->number;
        items[i].task = (uint32_t)below(g, 4);
        items[i].worker = 1 + (uint32_t)below(g, 20);
        const struct state_worker *w = state_worker(s, items[i].worker);
        items[i].incarnation = w == NULL ? 0 : w->incarnation;
        items[i].lease = g->next_lease + (below(g, 10) == 0 ? 0 : i);
    }
    state_cmd_tasks_placed(out, &by, items, count);
}

static uint64_t
some_lease(struct state_gen *g, const struct state *s)
{
    uint64_t highest = state_highest_lease(s);
    uint64_t back = below(g, 30);

    return back < highest ? highest - back : 1;
}

static void
gen_ended(struct state_gen *g, const struct state *s, struct buf *out)
{
    struct state_actor by = actor(g);
    struct state_end ends[BATCH];
    struct state_sample samples[BATCH];
    size_t count = 1 + below(g, BATCH);

    for (size_t i = 0; i < count; i++) {
        ends[i].lease = some_lease(g, s);
        ends[i].outcome = (enum state_task_outcome)below(g, 8);
        ends[i].exit_code = (int32_t)below(g, 3) - 1;
        samples[i].lease = some_lease(g, s);
        samples[i].cpu_ms = below(g, 1000);
        samples[i].memory_mib_s = below(g, 1000);
        samples[i].accelerator_ms = below(g, 3);
    }
    if (below(g, 2) == 0) {
        state_cmd_usage(out, &by, samples, count);
        return;
    }
    state_cmd_tasks_ended(out, &by, ends, count);
}

static void
gen_outcome(struct state_gen *g, const struct state *s, struct buf *out)
{
    struct state_actor by = actor(g);
    const struct state_job *job = some_job(g, s);

    state_cmd_job_outcome(out, &by, job == NULL ? 1 : job->number,
                          (enum state_job_state)(1 + below(g, 8)),
                          STR("because"));
}

static void
gen_request(struct state_gen *g, const struct state *s, struct buf *out)
{
    struct state_actor by = actor(g);
    uint8_t digest[STATE_DIGEST_BYTES] = {(uint8_t)(below(g, 10) == 0)};
    struct state_response response = {200, STR("h"), STR("body")};
    uint32_t team = some_team(g, s);
    const struct state_request *r;
    char key[32];
    char entry[32];

    name(g, "req", key);
    r = state_request(s, team, str_of(key));
    if (below(g, 12) == 0) {
        state_cmd_entry_lost(out, &by, name(g, "vm", entry));
        return;
    }
    if (r != NULL && below(g, 2) == 0) {
        state_cmd_request_end(out, &by, team, str_of(key), r->number,
                              (enum state_request_state)(1 + below(g, 4)),
                              &response);
        return;
    }
    state_cmd_request_begin(out, &by, team, str_of(key), digest,
                            name(g, "vm", entry), below(g, 3), 1000);
}

/* A command with one byte changed, or cut. */
static void
damage(struct state_gen *g, struct buf *out)
{
    if (out->len == 0) {
        return;
    }
    if (below(g, 2) == 0) {
        out->len = below(g, out->len);
        return;
    }
    out->ptr[below(g, out->len)] ^= (char)(1 << below(g, 8));
}

void
state_gen_command(struct state_gen *g, const struct state *s, struct buf *out)
{
    static void (*const kinds[])(struct state_gen *, const struct state *,
                                 struct buf *) = {
        gen_key,     gen_fleet,   gen_job,     gen_job,
        gen_placed,  gen_placed,  gen_ended,   gen_ended,
        gen_outcome, gen_request, gen_request,
    };
    size_t count = sizeof(kinds) / sizeof(kinds[0]);

    buf_clear(out);
    if (state_cluster_id(s) == 0) {
        struct state_actor by = {.wall_ms = g->wall_ms};
        state_cmd_bootstrap(out, &by, 77, NULL, 0, &state_settings_default);
        return;
    }
    if (below(g, 15) == 0) {
        gen_teams(g, s, out);
    }
    else if (below(g, 15) == 0) {
        gen_limits(g, s, out);
    }
    else {
        kinds[below(g, count)](g, s, out);
    }
    if (below(g, 25) == 0) {
        damage(g, out);
    }
}
