#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <valgrind/callgrind.h>

#include "clock.h"
#include "mem.h"
#include "rng.h"
#include "sched.h"

/*
 * Measures the cost of the scheduler's decisions without a simulated fleet.
 *   bench_sched_scale starts SECONDS
 * starts 2,500 tasks per second of model time on 14,000 workers.
 *   bench_sched_scale queue WORKERS QUEUED DECISIONS
 * fills the fleet, queues jobs, then ends and places one task after the other.
 * callgrind --collect-atstart=no counts that part only.
 */
enum {
    TEAMS = 120,
    STARTS_PER_S = 2500,
    TASK_RUN_TIME_S = 18, /* with STARTS_PER_S: 45,000 running tasks */
    STEP_MS = 10,
};

struct bench {
    struct sched *s;
    struct sched_actions actions;
    struct rng rng;
    int64_t now_ns;
    uint64_t last_job; /* number of the last job submitted */
    uint64_t *leases;  /* in the order of placement */
    size_t leases_count;
    size_t cap;
};

static void
init_bench(struct bench *b, uint32_t workers)
{
    struct sched_config config;

    *b = (struct bench){.rng = {3}, .now_ns = NS_PER_S};
    sched_config_default(&config);
    b->s = sched_create(&config, b->now_ns);
    for (uint32_t t = 0; t < TEAMS; t++) {
        struct sched_event e = {.kind = SCHED_EVENT_TEAM};
        e.u.team =
            (struct sched_team_event){t,
                                      1,
                                      {SCHED_UNLIMITED, SCHED_UNLIMITED,
                                       SCHED_UNLIMITED, SCHED_UNLIMITED}};
        sched_step(b->s, b->now_ns, &e, &b->actions);
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
        sched_step(b->s, b->now_ns, &e, &b->actions);
    }
}

static void
free_bench(struct bench *b)
{
    sched_destroy(b->s);
    sched_actions_free(&b->actions);
    mem_free(b->leases);
}

/* Submits a job of one task with a random size and team. */
static void
submit_random_job(struct bench *b)
{
    struct sched_event e = {.kind = SCHED_EVENT_JOB};
    uint64_t cpu_milli = 1000 + 500 * rng_below(&b->rng, 15);

    e.u.job = (struct sched_job_event){
        .job = ++b->last_job,
        .team = (uint32_t)rng_below(&b->rng, TEAMS),
        .name = STR("job"),
        .class = SCHED_CLASS_BATCH,
        .tasks = 1,
        .size = {cpu_milli, cpu_milli * (1 + rng_below(&b->rng, 6)),
                 rng_below(&b->rng, 8) == 0 ? 2 : 0},
        .idempotent = true,
        .run_time_ns = TASK_RUN_TIME_S * NS_PER_S,
    };
    sched_step(b->s, b->now_ns, &e, &b->actions);
}

static void
record_lease(struct bench *b, uint64_t lease)
{
    if (b->leases_count == b->cap) {
        b->cap = b->cap == 0 ? 1024 : b->cap * 2;
        b->leases = mem_realloc(b->leases, b->cap, sizeof(*b->leases));
    }
    b->leases[b->leases_count++] = lease;
}

static void
send_lease_event(struct bench *b, enum sched_event_kind kind, uint64_t lease)
{
    struct sched_event e = {.kind = kind};

    e.u.lease = lease;
    sched_step(b->s, b->now_ns, &e, &b->actions);
}

static void
end_lease(struct bench *b, uint64_t lease)
{
    struct sched_event e = {.kind = SCHED_EVENT_TASK_ENDED};

    e.u.ended = (struct sched_ended_event){lease, SCHED_END_DONE};
    sched_step(b->s, b->now_ns, &e, &b->actions);
}

/* Ticks until nothing is due, and commits and starts each placement. */
static void
place_waiting_tasks(struct bench *b)
{
    struct sched_event e = {.kind = SCHED_EVENT_TICK};

    do {
        sched_actions_clear(&b->actions);
        sched_step(b->s, b->now_ns, &e, &b->actions);
        for (size_t i = 0; i < b->actions.count; i++) {
            if (b->actions.items[i].kind == SCHED_ACTION_PLACE) {
                uint64_t lease = b->actions.items[i].u.place.lease;
                send_lease_event(b, SCHED_EVENT_PLACEMENT_COMMITTED, lease);
                send_lease_event(b, SCHED_EVENT_TASK_RUNNING, lease);
                record_lease(b, lease);
            }
        }
    } while (sched_next_deadline(b->s) <= b->now_ns);
    sched_actions_clear(&b->actions);
}

static size_t
count_waiting_tasks(const struct bench *b)
{
    struct sched_stats stats;

    sched_stats(b->s, &stats);
    return stats.waiting_tasks;
}

/* Ends the oldest task and submits a job until enough tasks are placed. */
static void
measure(struct bench *b, size_t decisions)
{
    size_t leases_before = b->leases_count;

    CALLGRIND_TOGGLE_COLLECT;
    for (size_t next = 0; b->leases_count - leases_before < decisions;
         next++) {
        b->now_ns += NS_PER_MS;
        end_lease(b, b->leases[next]);
        submit_random_job(b);
        place_waiting_tasks(b);
    }
    CALLGRIND_TOGGLE_COLLECT;
}

static void
bench_queue(uint32_t workers, size_t queued, size_t decisions)
{
    struct bench b;
    int64_t elapsed_ns;

    init_bench(&b, workers);
    while (count_waiting_tasks(&b) < queued || queued == 0) {
        for (int i = 0; i < 256; i++) {
            submit_random_job(&b);
        }
        place_waiting_tasks(&b);
        if (queued == 0 && b.leases_count >= workers) {
            break;
        }
    }
    elapsed_ns = clock_now();
    measure(&b, decisions);
    elapsed_ns = clock_now() - elapsed_ns;
    printf("%u workers, %zu queued, %zu decisions: %.0f decisions/s\n",
           workers, count_waiting_tasks(&b), decisions,
           (double)decisions * NS_PER_S / ((double)elapsed_ns + 1));
    free_bench(&b);
}

static int
compare_int64(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return x < y ? -1 : x > y;
}

static void
bench_starts(int64_t seconds)
{
    const size_t per_step = STARTS_PER_S * STEP_MS / 1000;
    size_t steps = (size_t)seconds * 1000 / STEP_MS;
    int64_t *step_ns = mem_zalloc(steps, sizeof(*step_ns));
    int64_t total_ns = 0;
    size_t ended_leases = 0;
    int64_t p99_ns;
    struct bench b;

    init_bench(&b, 14000);
    for (size_t i = 0; i < steps; i++) {
        int64_t start_ns = clock_now();
        b.now_ns += STEP_MS * NS_PER_MS;
        for (size_t n = 0; n < per_step; n++) {
            if (i >= TASK_RUN_TIME_S * 1000 / STEP_MS &&
                ended_leases < b.leases_count) {
                end_lease(&b, b.leases[ended_leases++]);
            }
            submit_random_job(&b);
        }
        place_waiting_tasks(&b);
        step_ns[i] = clock_now() - start_ns;
        total_ns += step_ns[i];
    }
    qsort(step_ns, steps, sizeof(*step_ns), compare_int64);
    p99_ns = step_ns[steps * 99 / 100];
    printf("%zu starts in %ld s of model time: %.1f s of CPU, %.1f%% of a "
           "core; p99 of a %d ms step %.2f ms for %zu starts\n",
           b.leases_count, (long)seconds, (double)total_ns / NS_PER_S,
           (double)total_ns / (double)(seconds * NS_PER_S) * 100, STEP_MS,
           (double)p99_ns / NS_PER_MS, per_step);
    free_bench(&b);
    mem_free(step_ns);
}

int
main(int argc, char **argv)
{
    if (argc == 3 && strcmp(argv[1], "starts") == 0) {
        bench_starts(strtol(argv[2], NULL, 10));
        return 0;
    }
    if (argc == 5 && strcmp(argv[1], "queue") == 0) {
        bench_queue((uint32_t)strtoul(argv[2], NULL, 10),
                    strtoul(argv[3], NULL, 10), strtoul(argv[4], NULL, 10));
        return 0;
    }
    (void)fprintf(stderr,
                  "usage: %s starts SECONDS | queue WORKERS QUEUED "
                  "DECISIONS\n",
                  argv[0]);
    return 2;
}
