/* API handler of callers' lists of jobs. */
#include <inttypes.h>
#include <stdio.h>

#include "caller.h"
#include "leader_impl.h"
#include "mem.h"

enum {
    /* A page ends once its jobs have this many tasks, which bounds the time
     * that the control thread spends on counting them by state. */
    PAGE_TASKS_MAX = 50000,
    CURSOR_BYTES = 32,
};

/*
 * A team's live jobs come first, in the order of submission, then the ended
 * ones in the order of their end. The cursor says in which of the two the
 * last job of a page was listed: a job that ends between two pages moves from
 * the first to the end of the second, so that none is missed, though it may
 * be listed twice.
 */
#define CURSOR_LIVE "live."
#define CURSOR_ENDED "ended."

static bool
cursor_read(struct str cursor, bool *ended, uint64_t *number)
{
    struct str live = STR(CURSOR_LIVE);
    struct str prefix = str_starts(cursor, live) ? live : STR(CURSOR_ENDED);

    *ended = prefix.len != live.len;
    return str_starts(cursor, prefix) &&
           str_to_u64(
               str_from(cursor.ptr + prefix.len, cursor.len - prefix.len),
               UINT64_MAX, number);
}

static void
cursor_write(char out[CURSOR_BYTES], const struct state_job *last)
{
    snprintf(out, CURSOR_BYTES, "%s%" PRIu64,
             state_job_terminal(last->state) ? CURSOR_ENDED : CURSOR_LIVE,
             last->number);
}

/*
 * Returns the first job after the one with that number. Ended jobs are removed
 * in the order in which they are listed, so all that are left follow a removed
 * one.
 */
static const struct state_job *
seek(const struct state *state, uint32_t team, bool ended, uint64_t number)
{
    const struct state_job *last = state_job(state, number);
    const struct state_job *job;

    if (last != NULL && last->team == team &&
        state_job_terminal(last->state) == ended) {
        return state_team_job_next(state, team, last);
    }
    job = state_team_job_next(state, team, NULL);
    while (job != NULL && !state_job_terminal(job->state) &&
           (ended || job->number <= number)) {
        job = state_team_job_next(state, team, job);
    }
    return job;
}

static bool
first_job(struct call *call, const struct caller_page *page,
          const struct state_job **job)
{
    const struct state *state = leader_state(call->leader);
    uint64_t number;
    bool ended;

    if (page->after.ptr == NULL) {
        *job = state_team_job_next(state, call->team, NULL);
        return true;
    }
    if (!cursor_read(page->after, &ended, &number)) {
        return false;
    }
    *job = seek(state, call->team, ended, number);
    return true;
}

static void
list_from(struct call *call, const struct state_job *job, uint32_t limit)
{
    const struct state *state = leader_state(call->leader);
    struct caller_job_list list = {0};
    const struct state_job *last = NULL;
    char cursor[CURSOR_BYTES];
    struct buf body = {0};
    uint32_t tasks = 0;

    list.jobs = mem_zalloc(limit, sizeof(*list.jobs));
    while (job != NULL && list.count < limit && tasks < PAGE_TASKS_MAX) {
        list.jobs[list.count++] = job_describe(job);
        tasks += job->spec.tasks;
        last = job;
        job = state_team_job_next(state, call->team, job);
    }
    if (job != NULL && last != NULL) {
        cursor_write(cursor, last);
        list.next = str_of(cursor);
    }
    caller_job_list_render(&list, &body);
    mem_free(list.jobs);
    call_respond(call, 200, &body);
}

void
api_job_list(struct call *call)
{
    struct caller_page page = {0};
    const struct state_job *job;
    struct api_error error;

    if (!caller_page_parse(call->query, &page, &error)) {
        call_fail_api(call, &error);
        return;
    }
    if (first_job(call, &page, &job)) {
        list_from(call, job, page.limit);
    }
    else {
        call_fail(call, 400, "bad_value", "after",
                  "must be the value of next in an earlier response");
    }
    str_free(&page.after);
}
