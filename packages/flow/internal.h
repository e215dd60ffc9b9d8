#ifndef GV_FLOW_INTERNAL_H
#define GV_FLOW_INTERNAL_H

#include "flow.h"

struct flow_state {
    Flow__Config *config;
    struct map *queues;  /* name to struct flow_queue; never removed */
    struct map *teams;   /* name to struct flow_team; never removed */
    struct map *keys;    /* key to struct flow_team */
    struct map *jobs;    /* id to struct flow_job */
    struct map *workers; /* number to struct flow_worker */
    struct map *ids;     /* id to struct flow_worker */
    struct map *upkeeps; /* wave to struct flow_upkeep */
    struct flow_job *first;
    struct flow_job *last;
    size_t live;
    uint32_t last_worker;
    int64_t wall_ms;
};

/* config.c: takes the configuration over. */
void
config_install(struct flow_state *s, Flow__Config *config);
struct flow_queue *
config_queue(struct flow_state *s, struct str name);
struct flow_team *
config_team(struct flow_state *s, struct str name);

/* job.c */
struct flow_job *
job_create(struct flow_state *s, uint64_t id, struct str queue,
           struct str team, Flow__JobSpec *spec, int64_t wall_ms);

/* Adds the occurrence with its tasks, none of them started. */
struct flow_occurrence *
job_add_occurrence(struct flow_job *j, uint32_t number);
void
job_free(struct flow_job *j);

/* Removes it from the live list. */
void
job_unlink(struct flow_state *s, struct flow_job *j);

/* Ends or completes what the tasks' states allow. */
void
job_advance(struct flow_state *s, struct flow_job *j);
void
job_cancel(struct flow_state *s, struct flow_job *j);

/* Frees jobs that ended before the wall time. */
void
job_prune(struct flow_state *s, int64_t before_ms);

/* tasks.c */
void
task_assign(struct flow_state *s, const Flow__Task *ref);
void
task_end(struct flow_state *s, const Flow__End *end);

/* Takes the task from its worker. */
void
task_release(struct flow_state *s, struct flow_job *j, struct flow_step *step,
             struct flow_task *t);

/* Counts an assigned task at its worker and team. */
void
task_count(struct flow_state *s, struct flow_job *j, struct flow_step *step,
           struct flow_task *t);

/* worker.c */
void
worker_put(struct flow_state *s, const Flow__Worker *in);
void
worker_lose(struct flow_state *s, uint32_t number);
void
worker_encode(const struct flow_worker *w, Flow__Worker *out);
void
worker_free(struct flow_worker *w);

/* upkeep.c */
void
upkeep_put(struct flow_state *s, const Flow__Upkeep *in);
void
upkeep_free(struct flow_upkeep *u);

#endif
