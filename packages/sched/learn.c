#include "core.h"

#include <math.h>

#include "mem.h"

/* With 0.97 per sample the last 50 or so samples dominate a quantile. */
static const double QUANTILE_DECAY = 0.97;
static const double COUNT_DECAY = 0.95;
static const double BUCKETS_PER_OCTAVE = 4;
/* Fewer samples than this do not override what was declared. */
static const uint32_t SAMPLES_MIN = 3;
static const double ASK_FRACTION = 0.95;
/* Use is learned relative to the declared size, because jobs of one name are
 * often declared in many sizes but wrong in the same way. */
static const double RATIO_UNIT = 64;
/* Raises below this are within the width of a bucket. */
static const double RAISE_LEAST = 1.2;
/* A worker with this much blame says nothing about a job's failures. */
static const double SUSPECT_SCORE = 1;

void
quantile_add(struct quantile *q, double value)
{
    double at = value <= 1 ? 0 : ceil(log2(value) * BUCKETS_PER_OCTAVE);
    int bucket = at >= QUANTILE_BUCKETS ? QUANTILE_BUCKETS - 1 : (int)at;

    for (int i = 0; i < QUANTILE_BUCKETS; i++) {
        q->weight[i] *= (float)QUANTILE_DECAY;
    }
    q->total = q->total * (float)QUANTILE_DECAY + 1;
    q->weight[bucket] += 1;
    q->samples++;
}

/* The upper bound of the bucket in which the fraction is reached. */
double
quantile_get(const struct quantile *q, double fraction)
{
    double left = fraction * q->total;
    int i = 0;

    while (i < QUANTILE_BUCKETS - 1 && left > q->weight[i]) {
        left -= q->weight[i];
        i++;
    }
    return exp2(i / BUCKETS_PER_OCTAVE);
}

static void
profile_free(struct sched *s, struct profile *p)
{
    map_del(s->profiles, p->key);
    link_remove(&p->lru);
    str_free(&p->key);
    mem_free(p);
}

static struct profile *
profile_create(struct sched *s, struct str key)
{
    struct profile *p = mem_zalloc(1, sizeof(*p));

    p->key = str_dup(key);
    p->id = s->next_id++;
    link_init(&p->lru, p);
    map_put(s->profiles, p->key, p);
    return p;
}

struct profile *
profile_get(struct sched *s, uint32_t team, struct str name)
{
    struct buf key = {0};
    struct profile *p;

    buf_append(&key, &team, sizeof(team));
    buf_append_str(&key, name);
    p = map_get(s->profiles, buf_str(&key));
    if (p == NULL) {
        p = profile_create(s, buf_str(&key));
    }
    buf_free(&key);
    p->users++;
    link_remove(&p->lru);
    return p;
}

/* Profiles without a job are kept, the oldest ones only up to the bound. */
void
profile_release(struct sched *s, struct profile *p)
{
    p->users--;
    if (p->users > 0) {
        return;
    }
    link_insert_before(&s->profile_lru, &p->lru);
    if (map_count(s->profiles) > s->config.max_profiles) {
        profile_free(s, link_first(&s->profile_lru));
    }
}

void
profiles_destroy(struct sched *s)
{
    struct profile *p;

    while ((p = link_first(&s->profile_lru)) != NULL) {
        profile_free(s, p);
    }
}

static void
count_run(struct profile *p, bool failed)
{
    p->runs = p->runs * COUNT_DECAY + 1;
    p->failures = p->failures * COUNT_DECAY + (failed ? 1 : 0);
}

static void
add_ratio(struct quantile *q, uint64_t peak, int64_t declared)
{
    if (peak > 0 && declared > 0) {
        quantile_add(q, (double)peak / (double)declared * RATIO_UNIT);
    }
}

void
learn_end(struct sched *s, const struct lease *l, enum sched_end end)
{
    struct profile *p = l->job->profile;

    add_ratio(&p->memory, l->peak_memory, l->job->size.d[DIM_MEMORY]);
    add_ratio(&p->cpu, l->peak_cpu, l->job->size.d[DIM_CPU]);
    if (end == SCHED_END_DONE) {
        quantile_add(&p->run_s, (double)(s->now - l->began) / NS_PER_S);
        count_run(p, false);
    }
    else if (end == SCHED_END_FAILED && l->worker->score < SUSPECT_SCORE) {
        count_run(p, true);
    }
}

int64_t
expected_run_ns(const struct job *j, double fraction)
{
    if (j->profile->run_s.samples >= SAMPLES_MIN) {
        return (int64_t)(quantile_get(&j->profile->run_s, fraction) *
                         (double)NS_PER_S);
    }
    return j->run_time_ns;
}

static void
raise_to_learned(struct vec *ask, int dim, const struct quantile *q)
{
    double ratio;

    if (q->samples < SAMPLES_MIN) {
        return;
    }
    ratio = quantile_get(q, ASK_FRACTION) / RATIO_UNIT;
    if (ratio >= RAISE_LEAST) {
        ask->d[dim] = (int64_t)((double)ask->d[dim] * ratio);
    }
}

/*
 * What to ask for one task: the declared size, raised to what such tasks used
 * as long as a worker and the team's limit can hold that. It is never below
 * the declared size, so that an estimate cannot overcommit a VM.
 */
struct vec
learned_ask(struct sched *s, const struct job *j)
{
    struct vec ask = j->size;

    raise_to_learned(&ask, DIM_MEMORY, &j->profile->memory);
    raise_to_learned(&ask, DIM_CPU, &j->profile->cpu);
    for (int i = 0; i < DIM_TASKS; i++) {
        ask.d[i] = ask.d[i] < j->grown.d[i] ? j->grown.d[i] : ask.d[i];
    }
    if (!fleet_fits(s, &ask) || !vec_covers(&j->account->team->limit, &ask)) {
        return j->size;
    }
    return ask;
}
