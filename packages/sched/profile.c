#include "core.h"

#include <math.h>

#include "mem.h"

/*
 * Decay of a histogram per sample. With 0.97, the last 50 or so samples
 * dominate a quantile.
 */
static const double HISTOGRAM_DECAY = 0.97;
static const double RUN_COUNT_DECAY = 0.95;
static const double BUCKETS_PER_OCTAVE = 4;
/* With fewer samples than this, the declared values are used. */
static const uint32_t SAMPLES_MIN = 3;
static const double REQUEST_QUANTILE = 0.95;
/*
 * Resource use is learned as a ratio to the declared size, because jobs with
 * the same name are often declared in many sizes but misjudged by the same
 * factor. A ratio of 1 is stored as RATIO_SCALE.
 */
static const double RATIO_SCALE = 64;
/* Smaller increases are within the width of a histogram bucket. */
static const double RAISE_RATIO_MIN = 1.2;
/*
 * Failures on a worker whose fault score is at least this high are not counted
 * against the job.
 */
static const double SUSPECT_FAULT_SCORE = 1;

void
histogram_add_sample(struct decayed_histogram *h, double value)
{
    double position = value <= 1 ? 0 : ceil(log2(value) * BUCKETS_PER_OCTAVE);
    int bucket =
        position >= HISTOGRAM_BUCKETS ? HISTOGRAM_BUCKETS - 1 : (int)position;

    for (int i = 0; i < HISTOGRAM_BUCKETS; i++) {
        h->weight[i] *= (float)HISTOGRAM_DECAY;
    }
    h->total = h->total * (float)HISTOGRAM_DECAY + 1;
    h->weight[bucket] += 1;
    h->samples++;
}

/* Returns the upper bound of the bucket in which the fraction is reached. */
double
histogram_quantile(const struct decayed_histogram *h, double fraction)
{
    double remaining = fraction * h->total;
    int i = 0;

    while (i < HISTOGRAM_BUCKETS - 1 && remaining > h->weight[i]) {
        remaining -= h->weight[i];
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
profile_acquire(struct sched *s, uint32_t team, struct str name)
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

/*
 * Profiles that no job uses are kept until there are more than max_profiles;
 * then the least recently used one is freed.
 */
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
    p->runs = p->runs * RUN_COUNT_DECAY + 1;
    p->failures = p->failures * RUN_COUNT_DECAY + (failed ? 1 : 0);
}

static void
add_usage_ratio(struct decayed_histogram *h, uint64_t peak, int64_t declared)
{
    if (peak > 0 && declared > 0) {
        histogram_add_sample(h, (double)peak / (double)declared * RATIO_SCALE);
    }
}

void
profile_record_end(struct sched *s, const struct lease *l, enum sched_end end)
{
    struct profile *p = l->job->profile;

    add_usage_ratio(&p->memory, l->peak_memory_mib,
                    l->job->size.d[DIM_MEMORY]);
    add_usage_ratio(&p->cpu, l->peak_cpu_milli, l->job->size.d[DIM_CPU]);
    if (end == SCHED_END_DONE) {
        histogram_add_sample(&p->run_s,
                             (double)(s->now - l->began_ns) / NS_PER_S);
        count_run(p, false);
    }
    else if (end == SCHED_END_FAILED &&
             l->worker->fault_score < SUSPECT_FAULT_SCORE) {
        count_run(p, true);
    }
}

int64_t
expected_run_time_ns(const struct job *j, double fraction)
{
    if (j->profile->run_s.samples >= SAMPLES_MIN) {
        return (int64_t)(histogram_quantile(&j->profile->run_s, fraction) *
                         (double)NS_PER_S);
    }
    return j->run_time_ns;
}

static void
raise_to_learned(struct vec *request, int dim,
                 const struct decayed_histogram *h)
{
    double ratio;

    if (h->samples < SAMPLES_MIN) {
        return;
    }
    ratio = histogram_quantile(h, REQUEST_QUANTILE) / RATIO_SCALE;
    if (ratio >= RAISE_RATIO_MIN) {
        request->d[dim] = (int64_t)((double)request->d[dim] * ratio);
    }
}

/*
 * Returns the resources to request for one task: the declared size, raised to
 * what such tasks used if a worker and the team's limit can hold that. The
 * request is never below the declared size, so that a wrong estimate cannot
 * overcommit a VM.
 */
struct vec
learned_request(struct sched *s, const struct job *j)
{
    struct vec request = j->size;

    raise_to_learned(&request, DIM_MEMORY, &j->profile->memory);
    raise_to_learned(&request, DIM_CPU, &j->profile->cpu);
    for (int i = 0; i < DIM_TASKS; i++) {
        request.d[i] = request.d[i] < j->min_request.d[i] ? j->min_request.d[i]
                                                          : request.d[i];
    }
    if (!fleet_has_fitting_worker(s, &request) ||
        !vec_covers(&j->account->team->limit, &request)) {
        return j->size;
    }
    return request;
}
