/*
 * A control process that passes starts on to minions is paused for longer than
 * a lease, with a start that it has not passed on yet. The minion of that
 * start is cut off meanwhile, crashes behind the cut and starts again. The
 * task is started on another minion; it must not also start on the first one
 * when the process goes on.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "minion.h"

enum {
    EXIT_HELD = 0,
    EXIT_BROKEN = 1,
    EXIT_NOT_RUN = 2,
    MINIONS = 8,
    LEASE_MAX_MS = 6000, /* maxHoldMs of echeverria-prestamos */
    PAUSED = 2,          /* the only control process in the minion's zone */
    PAUSE_MS = 6900,     /* node_freeze of the site: for_s up to 7.4 */
    CUT_AFTER_MS = 1000,
    CUT_MS = 5450, /* node_cut "servers [...]" of the site: for_s = 5.5 */
    CRASH_AFTER_CUT_MS = 2000,
    TASK_MS = 6200, /* a monthly statement's work */
    COMPLETE_MAX_MS = 30000,
    WAIT_MS = 20000,
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

static struct rig rig;

static void
job_path(int i, char out[64])
{
    snprintf(out, 64, "/orders/%016x", 0xa1 + i);
}

/* Submits a job of one task that only minions of kind b may run. */
static bool
submit(int i)
{
    char path[64];
    char job[256];

    job_path(i, path);
    snprintf(job, sizeof(job),
             "{\"taskSpec\":\"run_ms=%d\",\"steps\":[{\"count\":1,"
             "\"cpu\":4500,\"memoryRequestMb\":1024,\"estimatedMs\":%d,"
             "\"requirements\":\"b\"}]}",
             TASK_MS, TASK_MS);
    return submit_job(&rig, path, job, WAIT_MS);
}

static void
await_completed(int i)
{
    int64_t until = now_ms() + COMPLETE_MAX_MS;
    char path[64];
    char state[32] = "";

    job_path(i, path);
    while (now_ms() < until && strcmp(state, "completed") != 0) {
        read_state(&rig, 0, path, state);
        sleep_ms(200);
    }
    record(&rig, "client: GET %s -> %s", path, state);
}

/* Returns the minion that a task runs on, or -1. The next task of its kind
 * goes to the same minion, as it has room for it. */
static int
find_busy(void)
{
    for (int i = 0; i < MINIONS; i++) {
        struct minion_counts counts;

        minion_get_counts(i, &counts);
        if (counts.running > 0) {
            return i;
        }
    }
    return -1;
}

static int
run_case(bool trouble)
{
    static const char *const zones[] = {"zone-0", "zone-1", "zone-2"};
    static struct reply reply;
    struct minion_options options[MINIONS];
    int64_t began;
    int crashed;

    rig.bounds.lease_max_ms = LEASE_MAX_MS;
    for (int i = 0; i < MINIONS; i++) {
        int zone = (PAUSED + i) % 3;

        options[i] = (struct minion_options){
            16000, 32768, i % 3 == 0 && i < 6 ? "b" : "a", zones[zone], zone};
    }
    rig_start(&rig);
    if (!minions_start(&rig, options, MINIONS) ||
        !operator_call(&rig, "PUT", "/config", config, WAIT_MS, &reply) ||
        reply.status != 200) {
        return EXIT_NOT_RUN;
    }
    sleep_ms(3000);
    /* A first task shows that starts arrive, and on which minion. */
    if (!submit(0)) {
        return EXIT_NOT_RUN;
    }
    sleep_ms(1000);
    crashed = find_busy();
    if (crashed < 0) {
        return EXIT_NOT_RUN;
    }
    began = now_ms();
    if (trouble) {
        record(&rig, "core-%d is paused", PAUSED + 1);
        kill(rig.control[PAUSED], SIGSTOP);
    }
    /* Two starts of a minion are passed on at a time. */
    if (!submit(1) || !submit(2)) {
        kill(rig.control[PAUSED], SIGCONT);
        return EXIT_NOT_RUN;
    }
    if (trouble) {
        sleep_ms((int)(began + CUT_AFTER_MS - now_ms()));
        minion_set_cut(crashed, true);
        sleep_ms(CRASH_AFTER_CUT_MS);
        minion_restart_behind_cut(crashed);
        sleep_ms((int)(began + CUT_AFTER_MS + CUT_MS - now_ms()));
        minion_set_cut(crashed, false);
        sleep_ms((int)(began + PAUSE_MS - now_ms()));
        record(&rig, "core-%d goes on", PAUSED + 1);
        kill(rig.control[PAUSED], SIGCONT);
    }
    await_completed(0);
    await_completed(1);
    await_completed(2);
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
