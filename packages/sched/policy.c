#include "core.h"

/* The worker for the next task of a job, NULL if none has room for it. */
struct worker *
policy_pick(struct sched *s, struct job *j)
{
    s->stats.attempts++;
    switch (j->class) {
    case SCHED_CLASS_SERVICE:
        return service_pick(s, j);
    case SCHED_CLASS_BATCH:
    case SCHED_CLASS_GANG:
        return batch_pick(s, j);
    }
    return NULL;
}
