/*
 * Random faults against a cluster under load: alone, twice in a row and two
 * together, for a given time and from a given seed, with the history checker
 * at the end. Usage: soak SECONDS SEED; GV_BIN names the build folder.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <ck_pr.h>

#include "await.h"
#include "cluster_api.h"
#include "e2e.h"
#include "faults.h"
#include "load.h"
#include "rng.h"

enum {
    CONTROL = 5, /* two of them at once are no majority */
    VMS = 7,
    WORKERS = 3,
    ENDPOINTS = 3,
    THREADS = 6,
    FAULT_MIN_MS = 50,
    FAULT_SPREAD_MS = 3000, /* longer than the leases */
    WAVE = 30,
};

/* Further kinds, after those of enum fault_kind. */
enum {
    KEY_WITHDRAW = FAULT_KINDS,
    LIST_CHANGE,
    CANCEL_WAVE,
    LIMIT_LOWER,
    KINDS,
};

static const char *const names[] = {"key-withdraw", "list-change",
                                    "cancel-wave", "limit-lower"};

struct soak {
    struct cluster *c;
    struct rng rng;
    int stop;
    int jobs;
    int waves;
};

static int
below(struct soak *s, int bound)
{
    return (int)rng_below(&s->rng, (uint64_t)bound);
}

/* ---- Faults ---- */

/* Of the first so many kinds. */
static struct fault
choose(struct soak *s, int kinds)
{
    int kind = below(s, kinds);
    struct fault f = {.kind = (enum fault_kind)kind,
                      .cut = (enum cluster_cut)below(s, 3)};

    if (kind == FAULT_VM_WIPE || kind == FAULT_VM_DAMAGE ||
        kind == FAULT_VM_DISK) {
        f.target = below(s, CONTROL);
    }
    else if (kind < FAULT_KINDS && fault_is_vm(f.kind)) {
        f.target = below(s, VMS);
    }
    else if (kind >= FAULT_WORKER_KILL && kind <= FAULT_WORKER_DRAIN) {
        f.target = below(s, WORKERS);
    }
    else if (kind < FAULT_KINDS) {
        f.target = WORKERS + below(s, ENDPOINTS);
    }
    return f;
}

static void
wave(struct soak *s)
{
    const struct api_call cancel = {
        "DELETE", "/v1/jobs?prefix=wave", s->c->team.key, NULL, NULL, NULL, -1,
        0};
    long status;
    char id[64];

    s->waves++;
    for (int i = 0; i < WAVE; i++) {
        const struct api_job job = {
            .id = id, .idempotent = true, .payload = "run_ms=-1"};

        snprintf(id, sizeof(id), "wave-%d-%d", s->waves, i);
        api_job_put(s->c, &job);
    }
    AWAIT((status = api_call(s->c, &cancel, NULL)) == 200);
}

static void
change_list(struct soak *s)
{
    char items[160];

    snprintf(items, sizeof(items),
             "[{\"name\":\"lamps\",\"weight\":%d},"
             "{\"name\":\"looms\",\"weight\":1}]",
             1 + below(s, 1000));
    AWAIT(api_list_put(s->c, "teams", -1, items, NULL, -1) == 200);
}

static void
inject(struct soak *s, const struct fault *f)
{
    int kind = (int)f->kind;

    printf("soak: %s %d\n",
           kind < FAULT_KINDS ? fault_name(f->kind)
                              : names[kind - FAULT_KINDS],
           f->target);
    switch (kind) {
    case LIST_CHANGE:
        change_list(s);
        break;
    case CANCEL_WAVE:
        wave(s);
        break;
    case LIMIT_LOWER:
        api_limit_tasks(s->c, 2);
        break;
    case KEY_WITHDRAW:
        break;
    default:
        fault_inject(s->c, f);
        break;
    }
}

static void
withdraw_a_key(const struct cluster *c)
{
    struct cluster *user = e2e_clone(c);

    user->team = api_key_create(c, "team", "lamps");
    load_once(user, 0, NULL);
    api_key_withdraw(c, user->team.id, -1);
    for (int vm = 0; vm < VMS; vm++) {
        load_once(user, vm, NULL);
    }
    e2e_clone_free(user);
}

static void
repair(struct soak *s, const struct fault *f)
{
    if ((int)f->kind < FAULT_KINDS) {
        fault_repair(s->c, f);
    }
    else if ((int)f->kind == LIMIT_LOWER) {
        api_limit_tasks(s->c, 2000);
    }
}

static void
pass(struct soak *s)
{
    int64_t until =
        clock_now() + (FAULT_MIN_MS + below(s, FAULT_SPREAD_MS)) * NS_PER_MS;

    AWAIT(clock_now() > until);
}

static void
recover(const struct soak *s)
{
    cluster_await_whole(s->c);
    cluster_await_workers(s->c, WORKERS);
    cluster_await_endpoints(s->c, ENDPOINTS);
}

enum mode {
    ONE,
    TWICE,
    TOGETHER,
    TWO_VMS,
    MODES,
};

static bool
go_together(enum mode mode, const struct fault *a, const struct fault *b)
{
    return mode >= TOGETHER && (a->target != b->target ||
                                fault_is_vm(a->kind) != fault_is_vm(b->kind));
}

static void
run_round(struct soak *s)
{
    enum mode mode = (enum mode)below(s, MODES);
    int kinds = mode == TWO_VMS ? FAULT_VM_DISK + 1 : KINDS;
    struct fault first = choose(s, kinds);
    struct fault second = choose(s, kinds);
    bool together = go_together(mode, &first, &second);

    inject(s, &first);
    if (together) {
        inject(s, &second);
    }
    if ((int)first.kind == KEY_WITHDRAW || (int)second.kind == KEY_WITHDRAW) {
        withdraw_a_key(s->c);
    }
    pass(s);
    repair(s, &first);
    if (together) {
        repair(s, &second);
    }
    if (first.kind == FAULT_VM_STOP || first.kind == FAULT_VM_STOPPING ||
        first.kind == FAULT_WORKER_DRAIN ||
        first.kind == FAULT_ENDPOINT_LEAVE) {
        /* A process that has just started does not yet stop gracefully. */
        recover(s);
    }
    if (mode == TWICE && first.kind != FAULT_VM_WIPE &&
        first.kind != FAULT_VM_DAMAGE) {
        inject(s, &first);
        pass(s);
        repair(s, &first);
    }
    recover(s);
}

/* ---- Jobs ---- */

static void *
submit_jobs(void *arg)
{
    struct soak *s = arg;
    struct cluster *c = e2e_clone(s->c);
    struct rng rng = {s->rng.state + 1};
    char payload[32];
    char id[32];

    while (!ck_pr_load_int(&s->stop)) {
        const struct api_job job = {.id = id,
                                    .payload = payload,
                                    .idempotent = rng_below(&rng, 2) == 0,
                                    .urgent = rng_below(&rng, 10) == 0};

        snprintf(id, sizeof(id), "soak-%d", s->jobs++);
        snprintf(payload, sizeof(payload), "run_ms=%d",
                 (int)rng_below(&rng, 800));
        api_job_put(c, &job);
        await_pause();
    }
    e2e_clone_free(c);
    return NULL;
}

static void
start(struct soak *s)
{
    char id[16];

    /* A leader's clock and a holder's differ by nearly the 1% that leases
     * allow for, in both directions. */
    static const int drift_ppm[CLUSTER_VMS_MAX] = {4900, -4900, 4900, -4900,
                                                   0,    4900,  -4900};

    cluster_use_faulty(drift_ppm);
    s->c = cluster_start(CONTROL, VMS - CONTROL, true);
    cluster_provision(s->c);
    for (int i = 0; i < WORKERS; i++) {
        snprintf(id, sizeof(id), "w%d", i + 1);
        cluster_worker(s->c, id, NULL);
    }
    for (int i = 0; i < ENDPOINTS; i++) {
        snprintf(id, sizeof(id), "e%d", i + 1);
        cluster_endpoint(s->c, id, NULL);
    }
    recover(s);
}

int
main(int argc, char **argv)
{
    long seconds = argc > 1 ? strtol(argv[1], NULL, 10) : 60;
    unsigned seed = argc > 2 ? (unsigned)strtoul(argv[2], NULL, 10) : 1;
    struct soak s = {.rng = {seed}};
    const struct load_options options = {
        .threads = THREADS, .delay_ms = 5, .seed = seed};
    struct load *load;
    pthread_t jobs;
    int64_t until;
    int rounds = 0;

    setvbuf(stdout, NULL, _IOLBF, 0);
    printf("soak: %ld s, seed %u\n", seconds, seed);
    start(&s);
    load = load_start(s.c, &options);
    REQUIRE(pthread_create(&jobs, NULL, submit_jobs, &s) == 0);
    until = clock_now() + seconds * NS_PER_S;
    while (clock_now() < until) {
        run_round(&s);
        rounds++;
    }
    ck_pr_store_int(&s.stop, 1);
    pthread_join(jobs, NULL);
    printf("soak: %d rounds, %d requests answered, %d jobs\n", rounds,
           load_stop(load), s.jobs);
    api_await_jobs_ended(s.c);
    api_record_usage(s.c);
    cluster_check(s.c);
    cluster_destroy(s.c);
    printf("soak: no violation\n");
    return 0;
}
