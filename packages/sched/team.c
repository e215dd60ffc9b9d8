#include "core.h"

#include "mem.h"

/*
 * With equal weights for waiting and share, this wait moves an account forward
 * by as much as if it used one whole entitlement less.
 */
static const double WAIT_SPAN_S = 86400;
/*
 * Upper bound of what waiting contributes to an account's order, as a fraction
 * of its share. Without it, the backlog of a team that submits too much work
 * would earn the team ever more than its share.
 */
static const double WAIT_SHARE_MAX = 0.02;
/*
 * Interval at which the order of the accounts is updated for the time that has
 * passed.
 */
static const int64_t SHARES_REFRESH_NS = NS_PER_S;
static const double KEY_SCALE = 1e9;
static const int64_t LIMIT_MAX = INT64_MAX / 4;

static int64_t
clamp_limit(uint64_t value)
{
    return value > (uint64_t)LIMIT_MAX ? LIMIT_MAX : (int64_t)value;
}

static void
account_init(struct sched *s, struct account *a, struct team *t)
{
    a->team = t;
    a->queues = map_create();
    link_init(&a->parked_jobs, NULL);
    for (int lane = 0; lane < LANES; lane++) {
        a->lanes[lane].heap.seq = s->next_id++;
    }
    s->accounts = mem_realloc(s->accounts, s->account_count + 1,
                              sizeof(struct account *));
    s->accounts[s->account_count++] = a;
}

/*
 * A team that is created before its team event has limits of 0, so none of its
 * jobs run.
 */
struct team *
team_get_or_create(struct sched *s, uint32_t id)
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
set_account_weight(struct sched *s, struct account *a, double weight)
{
    s->total_weight += weight - a->weight;
    s->active_weight += a->jobs > 0 ? weight - a->weight : 0;
    a->weight = weight;
    s->shares_stale = true;
}

/*
 * Jobs that are still above the limit are parked again, at the end of the
 * list.
 */
static void
unpark_jobs(struct sched *s, struct account *a)
{
    size_t count = 0;

    for (struct link *l = a->parked_jobs.next; l != &a->parked_jobs;
         l = l->next) {
        count++;
    }
    for (; count > 0; count--) {
        job_unpark(s, link_first(&a->parked_jobs));
    }
}

void
team_handle_event(struct sched *s, const struct sched_team_event *e)
{
    struct team *t = team_get_or_create(s, e->team);

    t->known = true;
    t->limit.d[DIM_TASKS] = clamp_limit(e->limits.tasks);
    t->limit.d[DIM_CPU] = clamp_limit(e->limits.cpu_milli);
    t->limit.d[DIM_MEMORY] = clamp_limit(e->limits.memory_mib);
    t->limit.d[DIM_ACCELERATORS] = clamp_limit(e->limits.accelerators);
    set_account_weight(s, &t->accounts[0], e->weight > 0 ? e->weight : 1e-6);
    team_release_hold(s, t->hold_job);
    for (int i = 0; i < 2; i++) {
        unpark_jobs(s, &t->accounts[i]);
        for (int lane = 0; lane < LANES; lane++) {
            queues_make_ready(s, &t->accounts[i],
                              &t->accounts[i].lanes[lane].limited);
        }
    }
    team_enforce_limits(s, t);
}

/*
 * Whether need fits under the team's limit, together with the room that is
 * held for another job of the team. Urgent jobs may use that room.
 */
bool
team_has_room(const struct team *t, const struct job *j,
              const struct vec *need)
{
    struct vec total = t->used;

    vec_add(&total, need);
    if (t->hold_job != NULL && t->hold_job != j && !j->urgent) {
        vec_add(&total, &t->hold_request);
    }
    return vec_covers(&t->limit, &total);
}

/*
 * Orders leases by the cost of stopping them, cheapest first: by kind of work,
 * then the most recently placed first.
 */
static int64_t
victim_key(const struct lease *l)
{
    const struct job *j = l->job;
    int64_t rank = 0;

    rank += j->class == SCHED_CLASS_SERVICE ? 1 : 0;
    rank += j->urgent ? 2 : 0;
    rank += j->class == SCHED_CLASS_GANG ? 4 : 0;
    rank += j->idempotent ? 0 : 8;
    return rank * (INT64_C(1) << 58) - l->began_ns;
}

void
team_charge(struct sched *s, const struct lease *l)
{
    struct account *a = l->job->account;
    struct fit_node *victim = (struct fit_node *)&l->victim_node;

    vec_add(&a->team->used, &l->size);
    if (l->job->class == SCHED_CLASS_SERVICE) {
        vec_add(&a->team->service_used, &l->size);
    }
    vec_add(&a->used, &l->size);
    if (l->job->urgent) {
        vec_add(&a->urgent_used, &l->size);
    }
    victim->key = victim_key(l);
    victim->vec = l->size;
    fit_insert(&a->victims, victim);
    account_update(s, a);
}

void
team_release(struct sched *s, const struct lease *l)
{
    struct account *a = l->job->account;

    vec_sub(&a->team->used, &l->size);
    if (l->job->class == SCHED_CLASS_SERVICE) {
        vec_sub(&a->team->service_used, &l->size);
    }
    if (l->stopping) {
        vec_sub(&a->team->stopping_used, &l->size);
    }
    vec_sub(&a->used, &l->size);
    if (l->job->urgent) {
        vec_sub(&a->urgent_used, &l->size);
    }
    fit_remove(&a->victims, (struct fit_node *)&l->victim_node);
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
 * Holds room under the team's limit for a job that smaller jobs of the same
 * team would otherwise starve: a gang, or a job that has waited for
 * reserve_after_ns. A team holds room for one job at a time. Does nothing if
 * services use that room, because services do not end by themselves.
 */
void
team_hold_room(struct sched *s, struct job *j, const struct vec *need)
{
    struct team *t = j->account->team;
    struct vec total = t->service_used;

    vec_add(&total, need);
    if (t->hold_job == NULL && vec_covers(&t->limit, &total) &&
        (j->class == SCHED_CLASS_GANG ||
         s->now - j->enqueued_ns >= s->config.reserve_after_ns)) {
        t->hold_job = j;
        t->hold_request = *need;
    }
}

void
team_release_hold(struct sched *s, const struct job *j)
{
    if (j != NULL && j->account->team->hold_job == j) {
        j->account->team->hold_job = NULL;
        team_mark_dirty(s, j->account->team);
    }
}

/*
 * Returns the lease of the team that is cheapest to stop and uses some of the
 * given dimension. Removes leases that are already stopping from the victims
 * on the way.
 */
static struct lease *
pick_limit_victim(struct team *t, int dim)
{
    struct vec need = {{0}};
    struct fit_node *best = NULL;

    need.d[dim] = 1;
    for (int i = 0; i < 2; i++) {
        struct fit_tree *tree = &t->accounts[i].victims;
        struct fit_node *n = fit_find_next(tree, &need, NULL);
        while (n != NULL && ((struct lease *)n->owner)->stopping) {
            fit_remove(tree, n);
            n = fit_find_next(tree, &need, NULL);
        }
        if (n != NULL && (best == NULL || n->key < best->key)) {
            best = n;
        }
    }
    return best == NULL ? NULL : best->owner;
}

static int
find_exceeded_dim(const struct team *t)
{
    for (int i = 0; i < DIM_COUNT; i++) {
        if (t->used.d[i] - t->stopping_used.d[i] > t->limit.d[i]) {
            return i;
        }
    }
    return -1;
}

/*
 * Stops work of the team, cheapest first, until the remaining work is within
 * the limits. Claims and a reservation charged to the team are cancelled
 * first.
 */
void
team_enforce_limits(struct sched *s, struct team *t)
{
    int dim;

    while ((dim = find_exceeded_dim(t)) >= 0) {
        struct claim *c = link_first(&t->claims);
        struct lease *l;
        if (c != NULL) {
            claim_cancel(s, c);
            continue;
        }
        if (s->reservation.charged_to_team.d[DIM_TASKS] > 0 &&
            s->reservation.job->account->team == t) {
            reservation_release(s);
            continue;
        }
        l = pick_limit_victim(t, dim);
        if (l == NULL) {
            return;
        }
        lease_stop(s, l, s->config.checkpoint_grace_ns);
    }
}

double
compute_dominant_share(const struct sched *s, const struct vec *used)
{
    double share = 0;

    for (int i = 0; i < DIM_TASKS; i++) {
        if (s->fleet_capacity.d[i] > 0) {
            double part = (double)used->d[i] / (double)s->fleet_capacity.d[i];
            share = part > share ? part : share;
        }
    }
    return share;
}

void
account_update(struct sched *s, struct account *a)
{
    a->dominant_share = compute_dominant_share(s, &a->used);
    a->share_key = s->config.weights.share * a->dominant_share *
                   s->total_weight / a->weight;
    for (int lane = 0; lane < LANES; lane++) {
        lane_update_order(s, a, lane);
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

/*
 * Returns the account's use relative to its entitlement: 1 if it uses exactly
 * the share that its weight gives it.
 */
double
account_share_ratio(const struct sched *s, const struct account *a)
{
    return a->dominant_share * s->active_weight / a->weight;
}

/*
 * Returns the account's position in the scheduling order, lowest first: its
 * use relative to its weight, less a term for the time since since_ns, when
 * its first job began to wait. WAIT_SHARE_MAX limits that term.
 */
double
account_order_key(const struct sched *s, const struct account *a,
                  int64_t since_ns)
{
    const struct sched_weights *w = &s->config.weights;
    double scale = w->waiting / NS_PER_S / WAIT_SPAN_S;
    double key = scale * (double)since_ns;
    double lower_bound = scale * (double)s->now - WAIT_SHARE_MAX * w->share;

    return a->share_key +
           (w->share > 0 && key < lower_bound ? lower_bound : key);
}

void
lane_update_order(struct sched *s, struct account *a, int lane)
{
    struct lane *l = &a->lanes[lane];
    const struct fit_node *first = fit_first(&l->ready);

    if (first == NULL) {
        heap_remove(&s->ready_lanes[lane], &l->heap);
        return;
    }
    l->heap.key = (int64_t)(account_order_key(s, a, first->key) * KEY_SCALE);
    if (l->heap.pos == 0) {
        heap_insert(&s->ready_lanes[lane], &l->heap);
    }
    else {
        heap_update(&s->ready_lanes[lane], &l->heap);
    }
}

void
accounts_refresh_shares(struct sched *s)
{
    if (!s->shares_stale &&
        s->now - s->shares_updated_ns < SHARES_REFRESH_NS) {
        return;
    }
    s->shares_stale = false;
    s->shares_updated_ns = s->now;
    for (size_t i = 0; i < s->account_count; i++) {
        account_update(s, s->accounts[i]);
    }
}
