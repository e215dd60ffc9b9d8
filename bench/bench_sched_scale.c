#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "mem.h"
#include "rng.h"
#include "sched.h"

/*
 * Cost of decisions without a model around it.
 *   bench_sched_scale starts SECONDS     2,500 starts/s, 14,000 workers
 *   bench_sched_scale queue WORKERS QUEUED DECISIONS
 * The second fills the fleet, queues jobs and then ends and places one task
 * after the other, all in measure(), for callgrind --toggle-collect=measure.
 */
enum {
    TEAMS = 120,
    STARTS_PER_S = 2500,
    TASK_S = 18, /* keeps 45,000 running */
    STEP_MS = 10,
};

struct bench {
    struct sched *s;
    struct sched_actions actions;
    struct rng rng;
    int64_t now;
    uint64_t jobs;
    uint64_t *leases; /* those placed, by order */
    size_t placed;
    size_t cap;
};

static void
open_bench(struct bench *b, uint32_t workers)
{
    struct sched_config config;

    *b = (struct bench){.rng = {3}, .now = NS_PER_S};
    sched_config_default(&config);
    b->s = sched_create(&config, b->now);
    for (uint32_t t = 0; t < TEAMS; t++) {
        struct sched_event e = {.kind = SCHED_EVENT_TEAM};
        e.u.team =
            (struct sched_team_event){t,
                                      1,
                                      {SCHED_UNLIMITED, SCHED_UNLIMITED,
                                       SCHED_UNLIMITED, SCHED_UNLIMITED}};
        sched_step(b->s, b->now, &e, &b->actions);
    }
    for (uint32_t w = 0; w < workers; w++) {
        struct sched_event e = {.kind = SCHED_EVENT_WORKER_UP};
        char name[16];
        (void)snprintf(name, sizeof(name), "%u", w / 8 % 17);
        e.u.worker =
            (struct sched_worker_event){w,
                                        1,
                                        {32000, 131072, w % 6 == 0 ? 8 : 0},
                                        str_of(name),
                                        str_of(name)};
        sched_step(b->s, b->now, &e, &b->actions);
    }
}

static void
close_bench(struct bench *b)
{
    sched_destroy(b->s);
    sched_actions_free(&b->actions);
    mem_free(b->leases);
}

static void
submit(struct bench *b)
{
    struct sched_event e = {.kind = SCHED_EVENT_JOB};
    uint64_t cpu = 1000 + 500 * rng_below(&b->rng, 15);

    e.u.job = (struct sched_job_event){
        .job = ++b->jobs,
        .team = (uint32_t)rng_below(&b->rng, TEAMS),
        .name = STR("job"),
        .class = SCHED_CLASS_BATCH,
        .tasks = 1,
        .size = {cpu, cpu * (1 + rng_below(&b->rng, 6)),
                 rng_below(&b->rng, 8) == 0 ? 2 : 0},
        .idempotent = true,
        .run_time_ns = TASK_S * NS_PER_S,
    };
    sched_step(b->s, b->now, &e, &b->actions);
}

static void
note(struct bench *b, uint64_t lease)
{
    if (b->placed == b->cap) {
        b->cap = b->cap == 0 ? 1024 : b->cap * 2;
        b->leases = mem_realloc(b->leases, b->cap, sizeof(*b->leases));
    }
    b->leases[b->placed++] = lease;
}

static void
tell(struct bench *b, enum sched_event_kind kind, uint64_t lease)
{
    struct sched_event e = {.kind = kind};

    e.u.lease = lease;
    sched_step(b->s, b->now, &e, &b->actions);
}

static void
end(struct bench *b, uint64_t lease)
{
    struct sched_event e = {.kind = SCHED_EVENT_TASK_ENDED};

    e.u.ended = (struct sched_ended_event){lease, SCHED_END_DONE};
    sched_step(b->s, b->now, &e, &b->actions);
}

/* Decides until nothing is due, commits and starts. */
static void
tick(struct bench *b)
{
    struct sched_event e = {.kind = SCHED_EVENT_TICK};

    do {
        sched_actions_clear(&b->actions);
        sched_step(b->s, b->now, &e, &b->actions);
        for (size_t i = 0; i < b->actions.count; i++) {
            if (b->actions.items[i].kind == SCHED_ACTION_PLACE) {
                uint64_t lease = b->actions.items[i].u.place.lease;
                tell(b, SCHED_EVENT_PLACEMENT_COMMITTED, lease);
                tell(b, SCHED_EVENT_TASK_RUNNING, lease);
                note(b, lease);
            }
        }
    } while (sched_next_deadline(b->s) <= b->now);
    sched_actions_clear(&b->actions);
}

static size_t
waiting(const struct bench *b)
{
    struct sched_stats stats;

    sched_stats(b->s, &stats);
    return stats.waiting_tasks;
}

void
measure(struct bench *b, size_t decisions);

/* The oldest task ends and a new job arrives, over and over. */
__attribute__((noinline)) void
measure(struct bench *b, size_t decisions)
{
    size_t first = b->placed;

    for (size_t next = 0; b->placed - first < decisions; next++) {
        b->now += NS_PER_MS;
        end(b, b->leases[next]);
        submit(b);
        tick(b);
    }
}

static void
run_queue(uint32_t workers, size_t queued, size_t decisions)
{
    struct bench b;
    int64_t before;

    open_bench(&b, workers);
    while (waiting(&b) < queued || queued == 0) {
        for (int i = 0; i < 256; i++) {
            submit(&b);
        }
        tick(&b);
        if (queued == 0 && b.placed >= workers) {
            break;
        }
    }
    before = clock_now();
    measure(&b, decisions);
    before = clock_now() - before;
    printf("%u workers, %zu queued, %zu decisions: %.0f decisions/s\n",
           workers, waiting(&b), decisions,
           (double)decisions * NS_PER_S / ((double)before + 1));
    close_bench(&b);
}

static int
by_size(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return x < y ? -1 : x > y;
}

static void
run_starts(int64_t seconds)
{
    const size_t per_step = STARTS_PER_S * STEP_MS / 1000;
    size_t steps = (size_t)seconds * 1000 / STEP_MS;
    int64_t *took = mem_zalloc(steps, sizeof(*took));
    int64_t total = 0;
    size_t ended = 0;
    int64_t p99;
    struct bench b;

    open_bench(&b, 14000);
    for (size_t i = 0; i < steps; i++) {
        int64_t before = clock_now();
        b.now += STEP_MS * NS_PER_MS;
        for (size_t n = 0; n < per_step; n++) {
            if (i >= TASK_S * 1000 / STEP_MS && ended < b.placed) {
                end(&b, b.leases[ended++]);
            }
            submit(&b);
        }
        tick(&b);
        took[i] = clock_now() - before;
        total += took[i];
    }
    qsort(took, steps, sizeof(*took), by_size);
    p99 = took[steps * 99 / 100];
    printf("%zu starts in %ld s of model time: %.1f s of CPU, %.1f%% of a "
           "core; p99 of a %d ms step %.2f ms for %zu starts\n",
           b.placed, (long)seconds, (double)total / NS_PER_S,
           (double)total / (double)(seconds * NS_PER_S) * 100, STEP_MS,
           (double)p99 / NS_PER_MS, per_step);
    close_bench(&b);
    mem_free(took);
}

int
main(int argc, char **argv)
{
    if (argc == 3 && strcmp(argv[1], "starts") == 0) {
        run_starts(strtol(argv[2], NULL, 10));
        return 0;
    }
    if (argc == 5 && strcmp(argv[1], "queue") == 0) {
        run_queue((uint32_t)strtoul(argv[2], NULL, 10),
                  strtoul(argv[3], NULL, 10), strtoul(argv[4], NULL, 10));
        return 0;
    }
    (void)fprintf(stderr,
                  "usage: %s starts SECONDS | queue WORKERS QUEUED "
                  "DECISIONS\n",
                  argv[0]);
    return 2;
}
