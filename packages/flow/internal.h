#ifndef GV_FLOW_INTERNAL_H
#define GV_FLOW_INTERNAL_H

#include "flow.h"

struct flow_state {
    Flow__Config *config;
    struct map *queues; /* name to struct flow_queue; none is ever removed */
    struct map *teams;  /* name to struct flow_team; none is ever removed */
    struct map *teams_by_key;  /* key to struct flow_team, current keys only */
    struct map *jobs;          /* id to struct flow_job */
    struct map *workers;       /* number to struct flow_worker */
    struct map *workers_by_id; /* id to struct flow_worker */
    struct map *upkeeps;       /* wave to struct flow_upkeep */
    struct map *cancellations; /* address and id to struct flow_cancellation */
    struct map *evacuations;   /* domain to struct flow_evacuation */
    struct flow_evacuation evacuation_changes[FLOW_EVACUATION_CHANGES_MAX];
    size_t evacuation_change_count;
    struct flow_job *first_live; /* live jobs, in order of acceptance */
    struct flow_job *last_live;
    size_t live_count;
    uint32_t last_worker; /* number of the newest worker */
    int64_t wall_ms;      /* latest wall time of the applied batches */
};

/* Defined in config.c. */

/* Makes config the current configuration and takes ownership of it. */
void
config_install(struct flow_state *s, Flow__Config *config);

/* Adds the queues and teams to a snapshot that jobs refer to and the current
 * configuration does not have. They borrow their strings. */
void
config_encode_removed(const struct flow_state *s, Flow__Snapshot *out);
void
config_free_removed(Flow__Snapshot *snap);

/* Restores them, after the configuration. */
void
config_decode_removed(struct flow_state *s, const Flow__Snapshot *snap);

/* Return the queue or team with that name, creating it with defaults. */
struct flow_queue *
config_ensure_queue(struct flow_state *s, struct str name);
struct flow_team *
config_ensure_team(struct flow_state *s, struct str name);

/* Defined in job.c. */

/* Adds a live, queued job, without occurrences. Takes ownership of spec. An
 * empty address stands for the queue's host and prefix. */
struct flow_job *
job_create(struct flow_state *s, uint64_t id, struct str queue,
           struct str team, struct str address, Flow__JobSpec *spec,
           int64_t wall_ms);

/* Adds an occurrence with its tasks, none of which has started. The pointer is
 * valid until the next occurrence is added or removed. */
struct flow_occurrence *
job_add_occurrence(struct flow_job *j, uint32_t number);
void
job_free(struct flow_job *j);

/* Removes the job from the list of live jobs. */
void
job_unlink_live(struct flow_state *s, struct flow_job *j);

/* Derives the state of the job and its occurrences from its tasks: removes
 * completed occurrences, ends the job, and unlinks it once it is not live. */
void
job_update_state(struct flow_state *s, struct flow_job *j);

/* Cancels a job that has not ended. Its assigned tasks stay charged until
 * their runs end. */
void
job_cancel(struct flow_state *s, struct flow_job *j);

/* Frees jobs that ended before the wall time before_ms and have no assigned
 * task. */
void
job_prune(struct flow_state *s, int64_t before_ms);

/* Defined in cancellation.c. */

/* Records that a job was cancelled that is not known. */
void
cancellation_add(struct flow_state *s, uint64_t job, struct str address,
                 int64_t wall_ms);

/* Reports whether a job submitted under address has been cancelled before. */
bool
cancellation_exists(const struct flow_state *s, uint64_t job,
                    struct str address);

/* Removes those from before the wall time before_ms. */
void
cancellations_prune(struct flow_state *s, int64_t before_ms);

/* Frees all of them and their map. */
void
cancellations_free(struct flow_state *s);

/* Adds them to a snapshot, which borrows their strings. The caller frees the
 * messages and the array. */
void
cancellations_encode(const struct flow_state *s, Flow__Snapshot *out);

/* Defined in tasks.c. */

/* Assigns the task to its worker; ignores a reference that is out of date. */
void
task_start_run(struct flow_state *s, const Flow__Task *ref);

/* Records the end of a run; ignores one that is not the task's current run. */
void
task_end_run(struct flow_state *s, const Flow__End *end);

/* Unassigns the task and returns its resources to the worker and the team. */
void
task_release(struct flow_state *s, struct flow_job *j, struct flow_step *step,
             struct flow_task *t);

/* Marks the task as assigned and charges its resources to its worker and its
 * team. */
void
task_charge(struct flow_state *s, struct flow_job *j, struct flow_step *step,
            struct flow_task *t);

/* Defined in worker.c. */

/* Adds a worker, or updates it if it is known; ignores a registration of an
 * earlier process of the same id. */
void
worker_register(struct flow_state *s, const Flow__Worker *in);

/* Removes a worker and unassigns its tasks. */
void
worker_remove(struct flow_state *s, uint32_t number);

/* Fills out, which borrows the strings of w. The caller frees out->labels and
 * out->capacity. */
void
worker_encode(const struct flow_worker *w, Flow__Worker *out);
void
worker_free(struct flow_worker *w);

/* Defined in evacuation_state.c. */

/*
 * Evacuates a failure domain or withdraws that. Changes nothing if the domain
 * is in that state, or if it has changed since in->change. Overwrites change
 * and wall_ms of in.
 */
void
evacuation_apply(struct flow_state *s, Flow__Evacuation *in);
bool
evacuation_is_active(const struct flow_state *s, struct str domain);

/* Adds the evacuations to a snapshot, which borrows their strings. */
void
evacuations_encode(const struct flow_state *s, Flow__Snapshot *out);
void
evacuations_free_encoded(Flow__Snapshot *snap);

/* Restores them, before the workers. */
void
evacuations_decode(struct flow_state *s, const Flow__Snapshot *snap);

/* Frees all of them and their map. */
void
evacuations_free(struct flow_state *s);

/* Defined in upkeep.c. */

/* Adds a wave, or marks more of its machines as done. */
void
upkeep_apply(struct flow_state *s, const Flow__Upkeep *in);
void
upkeep_free(struct flow_upkeep *u);

#endif
