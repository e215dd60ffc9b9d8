#include "core.h"

/* The worker for the next task of a job, NULL if none has room for it. */
struct worker *
policy_pick(struct sched *s, struct job *j)
{
    s->stats.attempts++;
    switch (j->class) {
    case SCHED_SERVICE:
        return service_pick(s, j);
    case SCHED_BATCH:
    case SCHED_GANG:
        return batch_pick(s, j);
    }
    return NULL;
}
