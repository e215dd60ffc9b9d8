/*
 * One minion is cut off while more than 1,000 of its tasks end. Once it is
 * connected again it lists 500 ends at a time. No task may run a second time.
 */
#include <stdlib.h>
#include <string.h>

#include "minion.h"

enum {
    EXIT_HELD = 0,
    EXIT_BROKEN = 1,
    EXIT_NOT_RUN = 2,
    TASKS = 1600,  /* of 20 thousandths of a core, on a minion of 32 */
    CUT_MS = 5500, /* node_cut "servers" of the site: for_s = 5.5 */
    TASK_MS = 4000,
    START_MAX_MS = 15000,
    COMPLETE_MAX_MS = 40000,
    JOB_WAIT_MS = 20000,
};

static const char config[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"jobs.example\","
    "\"pathPrefix\":\"/orders/\",\"kind\":\"non_idempotent\","
    "\"timeoutMs\":3000,\"targetLatencyMs\":1000,\"priority\":1,"
    "\"service\":\"svc\",\"maxAttempts\":3,\"stretch\":4.0,"
    "\"public\":false}],\"services\":[{\"name\":\"svc\",\"healthPath\":"
    "\"/health\",\"maxConnections\":64,\"protocol\":\"h1\",\"tls\":false,"
    "\"admissionCheck\":false,\"standby\":false}],\"limits\":{},"
    "\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"key-1\"],\"priority\":1,"
    "\"weight\":40,\"upperLimit\":{\"cpu\":0,\"memoryRequestMb\":0,"
    "\"gpu\":0}}]}";

static const struct minion_options options[] = {
    {32000, 131072, "a", "zone-0"}, {32000, 131072, "a", "zone-1"},
    {32000, 131072, "a", "zone-2"}, {32000, 131072, "a", "zone-0"},
    {32000, 131072, "a", "zone-1"}, {32000, 131072, "b", "zone-2"},
};

static const char job_path[] = "/orders/00000000000000a1";

static struct rig rig;

/* Waits until all tasks of the job have begun on the minion. */
static bool
await_starts(int minion)
{
    int64_t until = now_ms() + START_MAX_MS;
    struct minion_counts counts = {0};

    while (now_ms() < until && counts.starts < TASKS) {
        minion_get_counts(minion, &counts);
        sleep_ms(20);
    }
    record(&rig, "%d of %d tasks have begun", counts.starts, TASKS);
    return counts.starts >= TASKS;
}

static bool
await_completed(void)
{
    int64_t until = now_ms() + COMPLETE_MAX_MS;
    char state[32] = "";

    while (now_ms() < until && strcmp(state, "completed") != 0) {
        int status = read_state(&rig, 0, job_path, state);

        record(&rig, "client: GET %s -> %d %s", job_path, status, state);
        sleep_ms(500);
    }
    return strcmp(state, "completed") == 0;
}

static int
run_case(bool trouble)
{
    enum {
        LAST = sizeof(options) / sizeof(options[0]) - 1,
    };
    static struct reply reply;
    char job[512];

    rig_start(&rig);
    if (!minions_start(&rig, options, LAST + 1) ||
        !operator_call(&rig, "PUT", "/config", config, JOB_WAIT_MS, &reply) ||
        reply.status != 200) {
        return EXIT_NOT_RUN;
    }
    sleep_ms(3000);
    snprintf(job, sizeof(job),
             "{\"taskSpec\":\"run_ms=%d\",\"steps\":[{\"count\":%d,"
             "\"cpu\":20,\"memoryRequestMb\":16,\"estimatedMs\":%d,"
             "\"requirements\":\"b\"}]}",
             TASK_MS, TASKS, TASK_MS);
    if (!submit_job(&rig, job_path, job, JOB_WAIT_MS) || !await_starts(LAST)) {
        return EXIT_NOT_RUN;
    }
    if (trouble) {
        minion_set_cut(LAST, true);
        sleep_ms(CUT_MS);
        minion_set_cut(LAST, false);
    }
    record(&rig, "the job %s",
           await_completed() ? "is completed" : "is not completed");
    sleep_ms(1000);
    record(&rig, "the rule TWICE was broken %d times", minions_violations());
    minions_stop();
    return minions_violations() > 0 ? EXIT_BROKEN : EXIT_HELD;
}

int
main(int argc, char **argv)
{
    const char *trouble = getenv("TROUBLE");
    int result;

    if (argc != 2 || !rig_open(&rig, argv[1], 5, 2)) {
        return EXIT_NOT_RUN;
    }
    result = run_case(trouble == NULL || strcmp(trouble, "0") != 0);
    rig_close(&rig);
    record(&rig, "exit %d", result);
    return result;
}
