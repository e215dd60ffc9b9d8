#include "core.h"

#include "mem.h"

/* Waiting this long weighs as much as being a whole share above the own. */
static const double WAIT_SPAN_S = 86400;
/* What waiting moves an account at most, as a part of its share: else the
 * backlog of a team that offers too much earns it ever more than its share. */
static const double WAIT_SHARE_MAX = 0.02;
/* How old the waiting time in the order of the accounts may be. */
static const int64_t REFRESH_NS = NS_PER_S;
static const double KEY_SCALE = 1e9;
static const int64_t LIMIT_NONE = INT64_MAX / 4;

static int64_t
limit_of(uint64_t value)
{
    return value > (uint64_t)LIMIT_NONE ? LIMIT_NONE : (int64_t)value;
}

static void
account_init(struct sched *s, struct account *a, struct team *t)
{
    a->team = t;
    a->queues = map_create();
    link_init(&a->parked, NULL);
    for (int lane = 0; lane < LANES; lane++) {
        a->lanes[lane].heap.seq = s->next_id++;
    }
    s->accounts = mem_realloc(s->accounts, s->account_count + 1,
                              sizeof(struct account *));
    s->accounts[s->account_count++] = a;
}

/* A team that no event has named yet may run nothing. */
struct team *
team_get(struct sched *s, uint32_t id)
{
    struct team *t = map_get_u64(s->teams, id);

    if (t != NULL) {
        return t;
    }
    t = mem_zalloc(1, sizeof(*t));
    t->id = id;
    link_init(&t->dirty, t);
    link_init(&t->claims, NULL);
    account_init(s, &t->accounts[0], t);
    account_init(s, &t->accounts[1], t);
    t->accounts[0].weight = 1;
    t->accounts[1].weight = s->config.open_queue_weight;
    s->total_weight += t->accounts[0].weight + t->accounts[1].weight;
    map_put_u64(s->teams, id, t);
    return t;
}

void
team_destroy(struct team *t)
{
    for (int i = 0; i < 2; i++) {
        void *cursor = NULL;
        void *q;
        while ((q = map_next(t->accounts[i].queues, &cursor)) != NULL) {
            mem_free(q);
        }
        map_destroy(t->accounts[i].queues);
    }
    mem_free(t);
}

static void
set_weight(struct sched *s, struct account *a, double weight)
{
    s->total_weight += weight - a->weight;
    s->active_weight += a->jobs > 0 ? weight - a->weight : 0;
    a->weight = weight;
    s->shares_stale = true;
}

/* Those that are still above the limit park again, at the end. */
static void
unpark_all(struct sched *s, struct account *a)
{
    size_t count = 0;

    for (struct link *l = a->parked.next; l != &a->parked; l = l->next) {
        count++;
    }
    for (; count > 0; count--) {
        job_unpark(s, link_first(&a->parked));
    }
}

void
team_event(struct sched *s, const struct sched_team_event *e)
{
    struct team *t = team_get(s, e->team);

    t->known = true;
    t->limit.d[DIM_TASKS] = limit_of(e->limits.tasks);
    t->limit.d[DIM_CPU] = limit_of(e->limits.cpu_milli);
    t->limit.d[DIM_MEMORY] = limit_of(e->limits.memory_mib);
    t->limit.d[DIM_ACCELERATORS] = limit_of(e->limits.accelerators);
    set_weight(s, &t->accounts[0], e->weight > 0 ? e->weight : 1e-6);
    team_unhold(s, t->hold);
    for (int i = 0; i < 2; i++) {
        unpark_all(s, &t->accounts[i]);
        for (int lane = 0; lane < LANES; lane++) {
            queues_retry(s, &t->accounts[i],
                         &t->accounts[i].lanes[lane].limited);
        }
    }
    team_enforce(s, t);
}

/* Whether need fits below the limit, leaving room for the job held for. */
bool
team_allows(const struct team *t, const struct job *j, const struct vec *need)
{
    struct vec total = t->used;

    vec_add(&total, need);
    if (t->hold != NULL && t->hold != j && !j->urgent) {
        vec_add(&total, &t->hold_need);
    }
    return vec_covers(&t->limit, &total);
}

/* Cheap victims have a low key: by kind of work, then the latest started. */
static int64_t
victim_key(const struct lease *l)
{
    const struct job *j = l->job;
    int64_t rank = 0;

    rank += j->class == SCHED_CLASS_SERVICE ? 1 : 0;
    rank += j->urgent ? 2 : 0;
    rank += j->class == SCHED_CLASS_GANG ? 4 : 0;
    rank += j->idempotent ? 0 : 8;
    return rank * (INT64_C(1) << 58) - l->began;
}

void
team_charge(struct sched *s, const struct lease *l)
{
    struct account *a = l->job->account;
    struct fit_node *victim = (struct fit_node *)&l->victim;

    vec_add(&a->team->used, &l->size);
    if (l->job->class == SCHED_CLASS_SERVICE) {
        vec_add(&a->team->services, &l->size);
    }
    vec_add(&a->used, &l->size);
    if (l->job->urgent) {
        vec_add(&a->urgent, &l->size);
    }
    victim->key = victim_key(l);
    victim->own = l->size;
    fit_insert(&a->victims, victim);
    account_update(s, a);
}

void
team_release(struct sched *s, const struct lease *l)
{
    struct account *a = l->job->account;

    vec_sub(&a->team->used, &l->size);
    if (l->job->class == SCHED_CLASS_SERVICE) {
        vec_sub(&a->team->services, &l->size);
    }
    if (l->stopping) {
        vec_sub(&a->team->stopping, &l->size);
    }
    vec_sub(&a->used, &l->size);
    if (l->job->urgent) {
        vec_sub(&a->urgent, &l->size);
    }
    fit_remove(&a->victims, (struct fit_node *)&l->victim);
    account_update(s, a);
    team_mark_dirty(s, a->team);
}

void
team_mark_dirty(struct sched *s, struct team *t)
{
    if (link_empty(&t->dirty)) {
        link_insert_before(&s->dirty_teams, &t->dirty);
    }
}

/*
 * Keeps room under the team's limit for a job that smaller ones of its own
 * team would otherwise starve. Pointless when services fill that room,
 * because they do not end.
 */
void
team_hold(struct sched *s, struct job *j, const struct vec *need)
{
    struct team *t = j->account->team;
    struct vec total = t->services;

    vec_add(&total, need);
    if (t->hold == NULL && vec_covers(&t->limit, &total) &&
        (j->class == SCHED_CLASS_GANG ||
         s->now - j->enqueued >= s->config.reserve_after_ns)) {
        t->hold = j;
        t->hold_need = *need;
    }
}

void
team_unhold(struct sched *s, const struct job *j)
{
    if (j != NULL && j->account->team->hold == j) {
        j->account->team->hold = NULL;
        team_mark_dirty(s, j->account->team);
    }
}

/* The cheapest lease of the team that uses something in this dimension. */
static struct lease *
limit_victim(struct team *t, int dim)
{
    struct vec need = {{0}};
    struct fit_node *best = NULL;

    need.d[dim] = 1;
    for (int i = 0; i < 2; i++) {
        struct fit_tree *tree = &t->accounts[i].victims;
        struct fit_node *n = fit_next(tree, &need, NULL);
        while (n != NULL && ((struct lease *)n->owner)->stopping) {
            fit_remove(tree, n);
            n = fit_next(tree, &need, NULL);
        }
        if (n != NULL && (best == NULL || n->key < best->key)) {
            best = n;
        }
    }
    return best == NULL ? NULL : best->owner;
}

static int
exceeded_dim(const struct team *t)
{
    for (int i = 0; i < DIMS; i++) {
        if (t->used.d[i] - t->stopping.d[i] > t->limit.d[i]) {
            return i;
        }
    }
    return -1;
}

/* Ends work, cheapest first, until what remains is within the limits. */
void
team_enforce(struct sched *s, struct team *t)
{
    int dim;

    while ((dim = exceeded_dim(t)) >= 0) {
        struct claim *c = link_first(&t->claims);
        struct lease *l;
        if (c != NULL) {
            claim_drop(s, c);
            continue;
        }
        if (s->reservation.charged.d[DIM_TASKS] > 0 &&
            s->reservation.job->account->team == t) {
            reservation_drop(s);
            continue;
        }
        l = limit_victim(t, dim);
        if (l == NULL) {
            return;
        }
        lease_stop(s, l, s->config.checkpoint_ns);
    }
}

double
dominant_share(const struct sched *s, const struct vec *used)
{
    double share = 0;

    for (int i = 0; i < DIM_TASKS; i++) {
        if (s->fleet.d[i] > 0) {
            double part = (double)used->d[i] / (double)s->fleet.d[i];
            share = part > share ? part : share;
        }
    }
    return share;
}

void
account_update(struct sched *s, struct account *a)
{
    a->dominant = dominant_share(s, &a->used);
    a->share_key =
        s->config.weights.share * a->dominant * s->total_weight / a->weight;
    for (int lane = 0; lane < LANES; lane++) {
        lane_update(s, a, lane);
    }
}

void
account_jobs_changed(struct sched *s, struct account *a, int by)
{
    bool active = a->jobs > 0;

    a->jobs += (size_t)by;
    if (active != (a->jobs > 0)) {
        s->active_weight += active ? -a->weight : a->weight;
    }
}

/* 1 when the account uses just the share that its weight gives it. */
double
account_ratio(const struct sched *s, const struct account *a)
{
    return a->dominant * s->active_weight / a->weight;
}

/* The order of accounts: share above entitlement, less the waiting time. */
double
account_key(const struct sched *s, const struct account *a, int64_t since)
{
    const struct sched_weights *w = &s->config.weights;
    double scale = w->waiting / NS_PER_S / WAIT_SPAN_S;
    double key = scale * (double)since;
    double least = scale * (double)s->now - WAIT_SHARE_MAX * w->share;

    return a->share_key + (w->share > 0 && key < least ? least : key);
}

void
lane_update(struct sched *s, struct account *a, int lane)
{
    struct lane *l = &a->lanes[lane];
    const struct fit_node *first = fit_min(&l->ready);

    if (first == NULL) {
        heap_remove(&s->ready[lane], &l->heap);
        return;
    }
    l->heap.key = (int64_t)(account_key(s, a, first->key) * KEY_SCALE);
    if (l->heap.pos == 0) {
        heap_insert(&s->ready[lane], &l->heap);
    }
    else {
        heap_update(&s->ready[lane], &l->heap);
    }
}

void
shares_refresh(struct sched *s)
{
    if (!s->shares_stale && s->now - s->shares_at < REFRESH_NS) {
        return;
    }
    s->shares_stale = false;
    s->shares_at = s->now;
    for (size_t i = 0; i < s->account_count; i++) {
        account_update(s, s->accounts[i]);
    }
}
