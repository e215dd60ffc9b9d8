#include "state_gen.h"

#include <stdio.h>
#include <string.h>

enum {
    NAME_COUNT = 12,
    BATCH_MAX = 6, /* items of one command */
};

static uint64_t
random_below(struct state_gen *g, uint64_t n)
{
    return rng_below(&g->rng, n);
}

static struct str
gen_name(struct state_gen *g, const char *prefix, char text[32])
{
    int len = snprintf(text, 32, "%s-%u", prefix,
                       (unsigned)random_below(g, NAME_COUNT));

    return str_from(text, (size_t)len);
}

static struct state_actor
gen_actor(struct state_gen *g)
{
    static const char keys[4][2] = {"a", "b", "c", "d"};
    struct state_actor by = {.wall_ms = g->wall_ms};

    g->wall_ms += (int64_t)random_below(g, 400000);
    if (random_below(g, 300) == 0) {
        g->wall_ms += 3 * 3600000 * ((int64_t)random_below(g, 3) - 1);
    }
    if (random_below(g, 4) == 0) {
        by.idempotency_key = str_of(keys[random_below(g, 4)]);
        by.request_digest[0] = (uint8_t)random_below(g, 2);
    }
    if (random_below(g, 8) == 0) {
        by.key_id = 1 + random_below(g, 20);
    }
    return by;
}

static void
gen_teams_set(struct state_gen *g, const struct state *s, struct buf *out)
{
    struct state_actor by = gen_actor(g);
    struct state_team_item items[NAME_COUNT];
    char text[NAME_COUNT][32];
    size_t count = random_below(g, NAME_COUNT);

    for (size_t i = 0; i < count; i++) {
        int len = snprintf(text[i], sizeof(text[i]), "team-%zu", i);
        items[i].name = str_from(text[i], (size_t)len);
        items[i].weight =
            (uint32_t)random_below(g, 5) + (random_below(g, 20) != 0);
    }
    state_cmd_teams_set(out, &by,
                        state_teams_version(s) + (random_below(g, 8) == 0),
                        items, count);
}

static void
gen_limits_set(struct state_gen *g, const struct state *s, struct buf *out)
{
    struct state_actor by = gen_actor(g);
    struct state_limit_item items[NAME_COUNT];
    size_t count = 0;

    for (size_t i = 0; i < state_team_count(s); i++) {
        if (random_below(g, 2) == 0) {
            items[count].team = state_team_at(s, i)->name;
            items[count].limit = state_limit_none;
            items[count++].limit.tasks = random_below(g, 100);
        }
    }
    state_cmd_limits_set(out, &by, state_limits_version(s), items, count);
}

static void
gen_key(struct state_gen *g, const struct state *s, struct buf *out)
{
    struct state_actor by = gen_actor(g);
    enum state_key_kind kind = (enum state_key_kind)(1 + random_below(g, 4));
    uint8_t hash[STATE_HASH_BYTES] = {(uint8_t)random_below(g, 64)};
    char text[32];

    (void)s;
    if (random_below(g, 3) == 0) {
        state_cmd_key_delete(out, &by, 1 + random_below(g, 40));
        return;
    }
    state_cmd_key_add(
        out, &by, kind,
        kind == STATE_KEY_TEAM ? gen_name(g, "team", text) : STR(""), hash);
}

static void
gen_vm_or_worker(struct state_gen *g, const struct state *s, struct buf *out)
{
    struct state_actor by = gen_actor(g);
    struct state_capacity capacity = {1000, 2000, 3};
    char text[32];

    (void)s;
    switch (random_below(g, 7)) {
    case 0:
        state_cmd_vm_put(out, &by, gen_name(g, "vm", text), STR("fd"),
                         STR("10.0.0.1:1"), 1 + random_below(g, 3),
                         random_below(g, 2) == 0);
        break;
    case 1:
        state_cmd_vm_drain(out, &by, gen_name(g, "vm", text),
                           random_below(g, 2) == 0);
        break;
    case 2:
        state_cmd_vm_promise(out, &by, gen_name(g, "vm", text),
                             1 + random_below(g, 3), random_below(g, 1000),
                             1 + random_below(g, 9));
        break;
    case 3:
        state_cmd_vm_delete(out, &by, gen_name(g, "vm", text));
        break;
    case 4:
        state_cmd_worker_delete(out, &by, gen_name(g, "worker", text));
        break;
    default:
        state_cmd_worker_put(out, &by, gen_name(g, "worker", text),
                             random_below(g, 3), STR("rack"), STR("fd"),
                             &capacity);
    }
}

static uint32_t
pick_team(struct state_gen *g, const struct state *s)
{
    if (state_team_count(s) == 0) {
        return 1;
    }
    return state_team_at(s, random_below(g, state_team_count(s)))->number;
}

static void
gen_job(struct state_gen *g, const struct state *s, struct buf *out)
{
    struct state_actor by = gen_actor(g);
    uint8_t digest[STATE_DIGEST_BYTES] = {(uint8_t)(random_below(g, 10) == 0)};
    struct state_job_spec spec = {
        .class = (enum state_job_class)(1 + random_below(g, 3)),
        .tasks = 1 + (uint32_t)random_below(g, 4),
        .cpu_milli = 100,
        .idempotent = random_below(g, 2) == 0,
        .payload = STR("payload"),
    };
    char text[32];

    by.key_id = 0;
    if (random_below(g, 6) == 0) {
        state_cmd_job_cancel(out, &by, pick_team(g, s), STR("job-1"),
                             random_below(g, 2) == 0);
        return;
    }
    state_cmd_job_put(out, &by, pick_team(g, s), gen_name(g, "job", text),
                      &spec, digest);
}

/* Returns a random job, or NULL if there is none. Each job after the first
 * replaces the earlier choice with probability 1/3. */
static const struct state_job *
pick_job(struct state_gen *g, const struct state *s)
{
    void *cursor = NULL;
    const struct state_job *job;
    const struct state_job *found = NULL;

    while ((job = state_job_next(s, &cursor)) != NULL) {
        if (found == NULL || random_below(g, 3) == 0) {
            found = job;
        }
    }
    return found;
}

static void
gen_tasks_placed(struct state_gen *g, const struct state *s, struct buf *out)
{
    struct state_actor by = gen_actor(g);
    struct state_placement items[BATCH_MAX];
    size_t count = 1 + random_below(g, BATCH_MAX);

    g->next_lease = state_highest_lease(s) + 1;
    for (size_t i = 0; i < count; i++) {
        const struct state_job *job = pick_job(g, s);
        items[i].job = job == NULL ? 1 : job->number;
        items[i].task = (uint32_t)random_below(g, 4);
        items[i].worker = 1 + (uint32_t)random_below(g, 20);
        const struct state_worker *w = state_worker(s, items[i].worker);
        items[i].incarnation = w == NULL ? 0 : w->incarnation;
        items[i].lease = g->next_lease + (random_below(g, 10) == 0 ? 0 : i);
    }
    state_cmd_tasks_placed(out, &by, items, count);
}

static uint64_t
pick_lease(struct state_gen *g, const struct state *s)
{
    uint64_t highest = state_highest_lease(s);
    uint64_t back = random_below(g, 30);

    return back < highest ? highest - back : 1;
}

static void
gen_usage_or_ended(struct state_gen *g, const struct state *s, struct buf *out)
{
    struct state_actor by = gen_actor(g);
    struct state_task_end ends[BATCH_MAX];
    struct state_usage_sample samples[BATCH_MAX];
    size_t count = 1 + random_below(g, BATCH_MAX);

    for (size_t i = 0; i < count; i++) {
        ends[i].lease = pick_lease(g, s);
        ends[i].outcome = (enum state_task_outcome)random_below(g, 8);
        ends[i].exit_code = (int32_t)random_below(g, 3) - 1;
        samples[i].lease = pick_lease(g, s);
        samples[i].cpu_ms = random_below(g, 1000);
        samples[i].memory_mib_s = random_below(g, 1000);
        samples[i].accelerator_ms = random_below(g, 3);
    }
    if (random_below(g, 2) == 0) {
        state_cmd_usage(out, &by, samples, count);
        return;
    }
    state_cmd_tasks_ended(out, &by, ends, count);
}

static void
gen_job_outcome(struct state_gen *g, const struct state *s, struct buf *out)
{
    struct state_actor by = gen_actor(g);
    const struct state_job *job = pick_job(g, s);

    state_cmd_job_outcome(out, &by, job == NULL ? 1 : job->number,
                          (enum state_job_state)(1 + random_below(g, 8)),
                          STR("because"));
}

static void
gen_request(struct state_gen *g, const struct state *s, struct buf *out)
{
    struct state_actor by = gen_actor(g);
    uint8_t digest[STATE_DIGEST_BYTES] = {(uint8_t)(random_below(g, 10) == 0)};
    struct state_response response = {200, STR("h"), STR("body")};
    uint32_t team = pick_team(g, s);
    const struct state_request *r;
    char key[32];
    char vm[32];

    gen_name(g, "req", key);
    r = state_request(s, team, str_of(key));
    if (random_below(g, 12) == 0) {
        state_cmd_entry_lost(out, &by, gen_name(g, "vm", vm));
        return;
    }
    if (r != NULL && random_below(g, 2) == 0) {
        state_cmd_request_end(
            out, &by, team, str_of(key), r->number,
            (enum state_request_state)(1 + random_below(g, 4)), &response);
        return;
    }
    state_cmd_request_begin(out, &by, team, str_of(key), digest,
                            gen_name(g, "vm", vm), random_below(g, 3), 1000);
}

/* Truncates the command or flips one of its bits. */
static void
corrupt(struct state_gen *g, struct buf *out)
{
    if (out->len == 0) {
        return;
    }
    if (random_below(g, 2) == 0) {
        out->len = random_below(g, out->len);
        return;
    }
    out->ptr[random_below(g, out->len)] ^= (char)(1 << random_below(g, 8));
}

void
state_gen_command(struct state_gen *g, const struct state *s, struct buf *out)
{
    static void (*const generators[])(struct state_gen *, const struct state *,
                                      struct buf *) = {
        gen_key,
        gen_vm_or_worker,
        gen_job,
        gen_job,
        gen_tasks_placed,
        gen_tasks_placed,
        gen_usage_or_ended,
        gen_usage_or_ended,
        gen_job_outcome,
        gen_request,
        gen_request,
    };
    size_t count = sizeof(generators) / sizeof(generators[0]);

    buf_clear(out);
    if (state_cluster_id(s) == 0) {
        struct state_actor by = {.wall_ms = g->wall_ms};
        state_cmd_bootstrap(out, &by, 77, NULL, 0, &state_settings_default);
        return;
    }
    if (random_below(g, 15) == 0) {
        gen_teams_set(g, s, out);
    }
    else if (random_below(g, 15) == 0) {
        gen_limits_set(g, s, out);
    }
    else {
        generators[random_below(g, count)](g, s, out);
    }
    if (random_below(g, 25) == 0) {
        corrupt(g, out);
    }
}
