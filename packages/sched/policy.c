#include "core.h"

/*
 * Returns the worker for the next task of a job, NULL if none has room for it.
 * The policy depends on the class of the job.
 */
struct worker *
policy_pick_worker(struct sched *s, struct job *j)
{
    s->stats.attempts++;
    switch (j->class) {
    case SCHED_CLASS_SERVICE:
        return service_pick_worker(s, j);
    case SCHED_CLASS_BATCH:
    case SCHED_CLASS_GANG:
        return batch_pick_worker(s, j);
    }
    return NULL;
}
