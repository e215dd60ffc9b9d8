/* API handler of the teams' status. */
#include "leader_impl.h"
#include "mem.h"
#include "operator.h"

uint32_t
fraction_to_ppm(double part)
{
    return part > 0 ? (uint32_t)(part * 1e6 + 0.5) : 0;
}

static void
count_jobs(const struct state *state, uint32_t team,
           struct operator_team_status *out)
{
    const struct state_job *job = state_team_job_next(state, team, NULL);

    while (job != NULL && !state_job_terminal(job->state)) {
        out->jobs_running += job->state == STATE_JOB_RUNNING;
        if (job->state == STATE_JOB_QUEUED) {
            if (out->jobs_queued == 0) {
                out->queued_since_ms = job->submitted_ms;
            }
            out->jobs_queued++;
        }
        job = state_team_job_next(state, team, job);
    }
}

static void
fill_team_status(const struct leader *l, const struct state_team *team,
                 struct operator_team_status *out)
{
    struct sched_team_status status;

    *out = (struct operator_team_status){.team = team->name,
                                         .weight = team->weight};
    if (sched_team_status(l->sched, team->number, &status)) {
        out->tasks = status.tasks;
        out->used.cpu_milli = status.used.cpu_milli;
        out->used.memory_mib = status.used.memory_mib;
        out->used.accelerators = status.used.accelerators;
        out->share_ppm = fraction_to_ppm(status.share);
        out->entitlement_ppm = fraction_to_ppm(status.entitlement);
    }
    count_jobs(leader_state(l), team->number, out);
}

void
api_team_list(struct call *call)
{
    const struct leader *l = call->leader;
    const struct state *state = leader_state(l);
    struct operator_team_list list = {.count = state_team_count(state)};
    struct buf body = {0};

    list.teams = mem_zalloc(list.count + 1, sizeof(*list.teams));
    for (size_t i = 0; i < list.count; i++) {
        fill_team_status(l, state_team_at(state, i), &list.teams[i]);
    }
    operator_team_list_render(&list, &body);
    mem_free(list.teams);
    call_respond(call, 200, &body);
}
