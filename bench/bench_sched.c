#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sched_args.h"
#include "sched_model.h"

/*
 * Seeded runs of the scheduler and two baselines in model time. off: sizes and
 * run times are off by up to a factor of 4; bad: 2% of the workers fail every
 * task; cancel: 10,000 jobs arrive and are cancelled half-way; urgent-gangs:
 * every fifth gang is urgent. The seed is 7 unless given. wait=S seeks, for
 * each policy, the load at which the mean wait of all tasks, by-work: weighed
 * by their work, is S seconds, so that packing is compared at equal waiting
 * time. reclaim=P and above=P set the part of all run time that may be lost by
 * reclaiming shares, 0 for none, and the tolerance.
 */
enum {
    EQUAL_STEPS = 9,
};

static const double EQUAL_LOAD_LOW = 0.5;
static const double EQUAL_LOAD_HIGH = 1.3;

static void
schedule(struct model *m, struct run *r, enum kind kind, int64_t at)
{
    r->kind = kind;
    r->node.key = at;
    heap_insert(&m->events, &r->node);
}

static void
arrival(struct model *m)
{
    struct run *r = mem_zalloc(1, sizeof(*r));
    double gap = -log(rng_unit(&m->rng) + 1e-12) / m->rate;

    schedule(m, r, KIND_ARRIVAL, m->now + (int64_t)(gap * (double)NS_PER_S));
}

static void
start(struct model *m, struct job *j, uint32_t worker, uint64_t lease,
      const struct sched_size *size)
{
    struct run *r = mem_zalloc(1, sizeof(*r));
    bool first = j->waiting > 0;

    r->job = j;
    r->worker = worker;
    r->size = *size;
    r->lease = lease;
    r->began = m->now;
    r->bad = m->bad && worker % 50 == 7;
    r->ends = m->now + (r->bad ? NS_PER_S : j->run_ns);
    m->decisions++;
    if (first) {
        j->waiting--;
        if (j->arrived >= m->measured_from) {
            note_wait(m, j);
        }
    }
    map_put_u64(m->runs, lease, r);
    account(m, r, 1);
    if (m->policy == POLICY_SCHED && m->off &&
        m->now + 5 * NS_PER_S < r->ends) {
        schedule(m, r, KIND_USAGE, m->now + 5 * NS_PER_S);
    }
    else {
        schedule(m, r, KIND_END, r->ends);
    }
}

static void
stop_run(struct model *m, uint64_t lease, int64_t delay);

static void
send(struct model *m, const struct sched_event *e)
{
    int64_t before = clock_now();

    sched_step(m->s, m->now, e, &m->actions);
    m->wall_ns += clock_now() - before;
}

static void
react(struct model *m)
{
    for (size_t i = 0; i < m->actions.count; i++) {
        struct sched_action a = m->actions.items[i];
        struct sched_event e = {.kind = SCHED_EVENT_PLACEMENT_COMMITTED};
        struct job *j;
        switch (a.kind) {
        case SCHED_ACTION_PLACE:
            j = map_get_u64(m->jobs, a.u.place.job);
            e.u.lease = a.u.place.lease;
            send(m, &e);
            start(m, j, a.u.place.worker, a.u.place.lease, &a.u.place.size);
            e.kind = SCHED_EVENT_TASK_RUNNING;
            send(m, &e);
            break;
        case SCHED_ACTION_CHECKPOINT:
        case SCHED_ACTION_STOP:
            stop_run(m, a.u.lease, 300 * NS_PER_MS);
            break;
        default:
            break;
        }
    }
    sched_actions_clear(&m->actions);
}

static void
tick(struct model *m)
{
    struct sched_event e = {.kind = SCHED_EVENT_TICK};

    while (sched_next_deadline(m->s) <= m->now) {
        int64_t before = m->wall_ns;
        uint64_t decided = m->decisions;
        send(m, &e);
        react(m);
        decided = m->decisions - decided;
        sample_add(&m->tick_us, (double)(m->wall_ns - before) / NS_PER_US /
                                    (double)(decided == 0 ? 1 : decided));
    }
}

static bool
fits(const struct model *m, uint32_t w, const struct sched_size *z)
{
    return m->free[w][0] >= (int64_t)z->cpu_milli &&
           m->free[w][1] >= (int64_t)z->memory_mib &&
           m->free[w][2] >= (int64_t)z->accelerators;
}

static void
take(struct model *m, uint32_t w, const struct sched_size *z, int sign)
{
    m->free[w][0] -= sign * (int64_t)z->cpu_milli;
    m->free[w][1] -= sign * (int64_t)z->memory_mib;
    m->free[w][2] -= sign * (int64_t)z->accelerators;
}

static uint32_t
baseline_pick(struct model *m, const struct sched_size *z)
{
    uint32_t best = UINT32_MAX;
    double best_left = 0;

    for (uint32_t w = 0; w < m->fleet->workers; w++) {
        double left;
        if (!fits(m, w, z)) {
            continue;
        }
        if (m->policy == POLICY_FIRST_FIT) {
            return w;
        }
        left = (double)m->free[w][0] / (double)m->fleet->size.cpu_milli +
               (double)m->free[w][1] / (double)m->fleet->size.memory_mib;
        if (best == UINT32_MAX || left < best_left) {
            best = w;
            best_left = left;
        }
    }
    return best;
}

/* Places the tasks of j; a gang only if all fit. */
static bool
baseline_place(struct model *m, struct job *j)
{
    uint32_t picks[16];
    uint32_t need = j->waiting;
    uint32_t n = 0;

    while (n < need) {
        picks[n] = baseline_pick(m, &j->event.size);
        if (picks[n] == UINT32_MAX) {
            break;
        }
        take(m, picks[n++], &j->event.size, 1);
    }
    if (n < need && j->event.class == SCHED_CLASS_GANG) {
        while (n > 0) {
            take(m, picks[--n], &j->event.size, -1);
        }
    }
    for (uint32_t i = 0; i < n; i++) {
        start(m, j, picks[i], m->next_lease++, &j->event.size);
    }
    return j->waiting == 0;
}

static void
baseline_tick(struct model *m)
{
    int64_t before = clock_now();

    while (m->queue_head < m->queue_count) {
        struct job *j = m->queue[m->queue_head];
        if (!j->cancelled && !baseline_place(m, j)) {
            break;
        }
        m->queue_head++;
    }
    m->wall_ns += clock_now() - before;
}

static void
enqueue(struct model *m, struct job *j)
{
    if (m->policy == POLICY_SCHED) {
        struct sched_event e = {.kind = SCHED_EVENT_JOB};
        e.u.job = j->event;
        send(m, &e);
        return;
    }
    if ((m->queue_count & (m->queue_count - 1)) == 0) {
        m->queue = mem_realloc(m->queue, m->queue_count * 2 + 1,
                               sizeof(struct job *));
    }
    m->queue[m->queue_count++] = j;
}

static void
submit(struct model *m)
{
    struct job *j = mem_zalloc(1, sizeof(*j));

    random_job(&m->rng, m->fleet, m->off, j);
    j->event.job = ++m->jobs_count;
    j->event.urgent |= m->urgent_gangs && j->event.class == SCHED_CLASS_GANG &&
                       j->event.job % 5 == 0;
    j->arrived = m->now;
    map_put_u64(m->jobs, j->event.job, j);
    enqueue(m, j);
}

static void
end_run(struct model *m, struct run *r, enum sched_end end)
{
    account(m, r, -1);
    note_run(m, r, end == SCHED_END_CHECKPOINTED);
    map_del_u64(m->runs, r->lease);
    if (m->policy == POLICY_SCHED) {
        struct sched_event e = {.kind = SCHED_EVENT_TASK_ENDED};
        e.u.ended = (struct sched_ended_event){r->lease, end};
        send(m, &e);
        react(m);
    }
    else {
        take(m, r->worker, &r->job->event.size, -1);
        if (end == SCHED_END_FAILED && r->job->event.idempotent) {
            r->job->waiting++;
            r->job->arrived = 0; /* a retry is not counted again */
            enqueue(m, r->job);
        }
    }
    mem_free(r);
}

static void
stop_run(struct model *m, uint64_t lease, int64_t delay)
{
    struct run *r = map_get_u64(m->runs, lease);

    if (r != NULL && r->kind != KIND_CANCEL) {
        heap_remove(&m->events, &r->node);
        schedule(m, r, KIND_CANCEL, m->now + delay);
    }
}

static void
use(struct model *m, struct run *r)
{
    struct sched_event e = {.kind = SCHED_EVENT_USAGE};

    e.u.usage = (struct sched_usage_event){
        .lease = r->lease, .cpu_milli = 1, .memory_mib = r->job->memory};
    schedule(m, r, KIND_END, r->ends);
    send(m, &e);
    react(m);
}

/* WAVE jobs arrive and are cancelled one by one a second later. */
static void
cancel_wave(struct model *m)
{
    uint64_t first = m->jobs_count + 1;
    int64_t before;

    for (int i = 0; i < WAVE; i++) {
        submit(m);
    }
    tick(m);
    before = m->wall_ns;
    for (uint64_t i = first; i < first + WAVE; i++) {
        struct sched_event e = {.kind = SCHED_EVENT_JOB_CANCEL};
        e.u.cancel_job = i;
        ((struct job *)map_get_u64(m->jobs, i))->cancelled = true;
        send(m, &e);
    }
    printf("cancellation wave: %.2f us each\n",
           (double)(m->wall_ns - before) / NS_PER_US / WAVE);
    react(m);
}

static void
handle(struct model *m, struct run *r)
{
    switch (r->kind) {
    case KIND_ARRIVAL:
        mem_free(r);
        submit(m);
        arrival(m);
        break;
    case KIND_END:
        end_run(m, r, r->bad ? SCHED_END_FAILED : SCHED_END_DONE);
        break;
    case KIND_USAGE:
        use(m, r);
        break;
    case KIND_CANCEL:
        end_run(m, r, SCHED_END_CHECKPOINTED);
        break;
    }
}

static void
open_sched(struct model *m)
{
    struct sched_config config;
    const struct fleet *f = m->fleet;

    configure(m, &config);
    m->s = sched_create(&config, 0);
    for (uint32_t t = 0; t < f->teams; t++) {
        struct sched_event e = {.kind = SCHED_EVENT_TEAM};
        e.u.team =
            (struct sched_team_event){t,
                                      weight(f, t),
                                      {SCHED_UNLIMITED, SCHED_UNLIMITED,
                                       SCHED_UNLIMITED, SCHED_UNLIMITED}};
        send(m, &e);
    }
    for (uint32_t w = 0; w < f->workers; w++) {
        struct sched_event e = {.kind = SCHED_EVENT_WORKER_UP};
        char rack[16];
        char domain[16];
        (void)snprintf(rack, sizeof(rack), "r%u", w / f->rack);
        (void)snprintf(domain, sizeof(domain), "d%u",
                       w / f->rack % f->domains);
        e.u.worker = (struct sched_worker_event){w, 1, f->size, str_of(rack),
                                                 str_of(domain)};
        e.u.worker.capacity.accelerators = w < f->with_accelerators ? 8 : 0;
        send(m, &e);
    }
    m->wall_ns = 0;
}

static void
open_model(struct model *m, const struct fleet *f, enum policy policy,
           double load, int64_t seconds)
{
    m->fleet = f;
    m->policy = policy;
    m->load = load;
    m->end = seconds * NS_PER_S;
    m->measured_from = m->end / 2;
    m->runs = map_create();
    m->jobs = map_create();
    m->next_lease = 1;
    m->free = mem_zalloc(f->workers, sizeof(*m->free));
    for (uint32_t w = 0; w < f->workers; w++) {
        m->free[w][0] = (int64_t)f->size.cpu_milli;
        m->free[w][1] = (int64_t)f->size.memory_mib;
        m->free[w][2] = w < f->with_accelerators ? 8 : 0;
    }
    set_rate(m, load);
    if (policy == POLICY_SCHED) {
        open_sched(m);
    }
}

/* The next event or deadline of the scheduler, whichever is first. */
static bool
advance(struct model *m)
{
    struct heap_node *n = heap_min(&m->events);
    int64_t at = n == NULL ? DEADLINE_NONE : n->key;
    int64_t due = m->s == NULL ? DEADLINE_NONE : sched_next_deadline(m->s);

    if (due < at) {
        at = due > m->now ? due : m->now;
        n = NULL;
    }
    if (at > m->end) {
        return false;
    }
    integrate(m, at);
    if (n != NULL) {
        heap_pop(&m->events);
        handle(m, (struct run *)n);
    }
    if (m->policy == POLICY_SCHED) {
        tick(m);
    }
    else {
        baseline_tick(m);
    }
    return true;
}

/* Runs one policy at a load; the caller prints and closes the model. */
static void
run_policy(struct model *m, int argc, char **argv, enum policy policy,
           double load)
{
    *m = (struct model){0};
    m->rng.state = seed_of(argc, argv);
    m->off = has(argc, argv, "off");
    m->bad = has(argc, argv, "bad");
    m->urgent_gangs = has(argc, argv, "urgent-gangs");
    m->reclaim_part = number_of(argc, argv, "reclaim", -1);
    m->reclaim_above = number_of(argc, argv, "above", -1);
    open_model(m, find_fleet(argv[1]), policy, load,
               strtol(argv[3], NULL, 10));
    m->cancel = has(argc, argv, "cancel") && policy == POLICY_SCHED;
    arrival(m);
    while (advance(m)) {
        if (m->cancel && m->now >= m->measured_from) {
            m->cancel = false;
            cancel_wave(m);
        }
    }
    count_waiting(m);
}

/* Seeks the load at which the mean wait of a policy is wait_s seconds. */
static void
run_equal(struct model *m, int argc, char **argv, enum policy policy,
          double wait_s)
{
    double low = EQUAL_LOAD_LOW;
    double high = EQUAL_LOAD_HIGH;

    for (int i = 0; i < EQUAL_STEPS; i++) {
        double load = (low + high) / 2;
        run_policy(m, argc, argv, policy, load);
        if (mean_wait(m, has(argc, argv, "by-work")) > wait_s) {
            high = load;
        }
        else {
            low = load;
        }
        close_model(m);
    }
    run_policy(m, argc, argv, policy, low);
}

static void
run_compare(int argc, char **argv)
{
    bool equal = strncmp(argv[2], "wait=", 5) == 0;

    printf("%-9s %-10s load  service p50/p99  batch p50/p99    "
           "gang p50/p99     urgent p50/p99  packed  share0  decide/s "
           "p99 us  mean wait/by work\n",
           "policy", "fleet");
    for (int p = POLICY_SCHED; p <= POLICY_BEST_FIT; p++) {
        struct model m;
        if (equal) {
            run_equal(&m, argc, argv, (enum policy)p,
                      strtod(argv[2] + 5, NULL));
        }
        else {
            run_policy(&m, argc, argv, (enum policy)p, strtod(argv[2], NULL));
        }
        print_result(&m);
        close_model(&m);
    }
}

int
main(int argc, char **argv)
{
    if (argc < 4) {
        (void)fprintf(
            stderr,
            "usage: %s FLEET LOAD|wait=S SECONDS [off] [bad] [cancel] "
            "[urgent-gangs] [seed=N] [by-work]\n",
            argv[0]);
        return 2;
    }
    run_compare(argc, argv);
    return 0;
}
