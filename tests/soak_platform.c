/*
 * Injects random faults into a cluster behind the platform adapter under load:
 * pauses, kills, stops and restarts processes, several at a time and in
 * series, while jobs and configurations are sent. Workers restart under their
 * ids, and carry out some starts late. Checks as a client that an
 * accepted job is never unknown and completes, that a configuration is never
 * refused or read back in an older version than acknowledged, and that reads
 * of jobs are answered in time. Checks at the workers that no task runs twice
 * and none exceeds its capacity, and that none starts in a failure domain
 * later than EVACUATION_MS after its evacuation was acknowledged.
 *
 *     soak_platform SECONDS SEED
 *
 * GV_BIN is the build directory.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "platform_rig.h"
#include "proc.h"
#include "rng.h"

enum {
    CONTROLS = 5,
    ENTRIES = 3,
    WORKER_PROCESSES = 2,
    JOBS_MAX = 20000,
    FAULTS_ACTIVE_MAX = 4, /* random faults, at a time */
    DOWN_MIN_MS = 100,
    DOWN_RANGE_MS = 4000,
    FAULT_INTERVAL_MS = 900,  /* on average */
    CALL_INTERVAL_US = 20000, /* pause between two calls */
    /* Time in which an acknowledged configuration reaches all control VMs. */
    CONFIG_PROPAGATION_MS = 2000,
    CONTROLS_DOWN_MAX = 2, /* unless all are killed together */
    ALL_DOWN_ONE_IN = 12,
    /* The timeout of 3000 ms that an entry node gives a call without one, and
     * a margin. */
    ANSWER_MAX_MS = 3300,
    STOP_MAX_MS = 8000, /* the grace period of 6 s and the time to exit */
    WORKER_RESTART_INTERVAL_MS = 1200, /* on average, of any worker */
    EVACUATION_MS = 5000,
    EVACUATION_INTERVAL_MS = 6000, /* on average, of a change */
};

enum action {
    PAUSE,
    KILL,
    STOP,
    ACTIONS,
};

static const char *const action_names[] = {"pause", "kill", "stop"};

struct fault {
    bool active;
    enum action action;
    pid_t *pid;
    bool control;
    int index;
    int64_t ends; /* monotonic ns */
};

struct soak {
    struct platform_rig rig;
    struct rng rng;
    struct fault faults[FAULTS_ACTIVE_MAX + CONTROLS];
    int64_t next_fault; /* earliest time of the next fault */
    int64_t next_worker_restart;
    int jobs; /* ids used so far */
    bool accepted[JOBS_MAX];
    int version;       /* of the newest configuration sent */
    int acked_version; /* the highest that was acknowledged */
    int64_t acked_at;
    bool evacuated;     /* zone y, as was acknowledged */
    bool evacuate;      /* as was last sent */
    int64_t starts_end; /* from then on nothing may start there; 0: may */
    int64_t next_evacuation;
    int violations;
    int fault_count;
};

static int
random_below(struct soak *s, int bound)
{
    return (int)rng_below(&s->rng, (uint64_t)bound);
}

static void
report_violation(struct soak *s, const char *what, int id, long got)
{
    printf("VIOLATION: %s: %d (got %ld)\n", what, id, got);
    s->violations++;
}

static int
count_controls_down(const struct soak *s)
{
    int n = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(s->faults); i++) {
        n += s->faults[i].active && s->faults[i].control;
    }
    return n;
}

static bool
is_down(const struct soak *s, const pid_t *pid)
{
    for (size_t i = 0; i < G_N_ELEMENTS(s->faults); i++) {
        if (s->faults[i].active && s->faults[i].pid == pid) {
            return true;
        }
    }
    return false;
}

static void
begin_fault(struct soak *s, bool control, int index, enum action action,
            int ms)
{
    pid_t *pid = control ? &s->rig.control[index] : &s->rig.entry[index];
    struct fault *f = s->faults;

    while (f->active) {
        if (++f == s->faults + G_N_ELEMENTS(s->faults)) {
            return;
        }
    }
    if (is_down(s, pid)) {
        return;
    }
    *f = (struct fault){true,    action, pid,
                        control, index,  clock_now() + ms * NS_PER_MS};
    printf("%s %s%d for %d ms\n", action_names[action], control ? "c" : "e",
           index, ms);
    s->fault_count++;
    switch (action) {
    case PAUSE:
        proc_signal(*pid, SIGSTOP);
        break;
    case STOP:
        proc_signal(*pid, SIGTERM);
        break;
    case KILL:
    case ACTIONS:
        proc_kill(*pid);
        break;
    }
}

static void
end_fault(struct soak *s, struct fault *f)
{
    f->active = false;
    if (f->action == PAUSE) {
        proc_signal(*f->pid, SIGCONT);
        return;
    }
    if (f->action == STOP && proc_wait(*f->pid, STOP_MAX_MS) == PROC_RUNNING) {
        report_violation(s, "a process did not stop within its grace period",
                         f->index, 0);
        proc_kill(*f->pid);
    }
    if (f->control) {
        platform_start_control(&s->rig, f->index);
    }
    else {
        platform_start_entry(&s->rig, f->index);
    }
}

static void
update_faults(struct soak *s)
{
    int64_t now = clock_now();
    int ms = DOWN_MIN_MS + random_below(s, DOWN_RANGE_MS);
    int active = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(s->faults); i++) {
        if (s->faults[i].active && now >= s->faults[i].ends) {
            end_fault(s, &s->faults[i]);
        }
        active += s->faults[i].active;
    }
    if (now < s->next_fault || active >= FAULTS_ACTIVE_MAX) {
        return;
    }
    s->next_fault = now + random_below(s, 2 * FAULT_INTERVAL_MS) * NS_PER_MS;
    if (random_below(s, ALL_DOWN_ONE_IN) == 0 && count_controls_down(s) == 0) {
        for (int i = 0; i < CONTROLS; i++) {
            begin_fault(s, true, i, KILL, DOWN_MIN_MS + random_below(s, 1000));
        }
        return;
    }
    if (random_below(s, 3) == 0) {
        begin_fault(s, false, random_below(s, ENTRIES),
                    (enum action)random_below(s, ACTIONS), ms);
    }
    else if (count_controls_down(s) < CONTROLS_DOWN_MAX) {
        begin_fault(s, true, random_below(s, CONTROLS),
                    (enum action)random_below(s, ACTIONS), ms);
    }
}

static void
restart_workers(struct soak *s)
{
    char *body;
    int worker = random_below(s, PLATFORM_WORKERS_PER_PROCESS);

    if (clock_now() < s->next_worker_restart) {
        return;
    }
    s->next_worker_restart =
        clock_now() +
        random_below(s, 2 * WORKER_RESTART_INTERVAL_MS) * NS_PER_MS;
    body = g_strdup_printf("{\"worker\":%d,\"kind\":\"a\"}", worker);
    platform_fault(&s->rig, "restart", body);
    printf("restart worker %d\n", worker);
    s->fault_count++;
    g_free(body);
}

static void
submit_job(struct soak *s)
{
    int job = s->jobs;
    char *url = platform_job_url(&s->rig, random_below(s, ENTRIES), job);
    long status;

    if (job == JOBS_MAX) {
        g_free(url);
        return;
    }
    status = platform_call(&s->rig, "POST", url, platform_job, NULL, 0);
    /* Without a response, or with 503 or 504, the job may have been accepted;
     * the same id is submitted again. */
    if (status == 200) {
        s->accepted[job] = true;
        s->jobs++;
    }
    else if (status != 0 && status != 503 && status != 504) {
        report_violation(s, "a job was refused", job, status);
        s->jobs++;
    }
    g_free(url);
}

static void
read_job(struct soak *s)
{
    int job = s->jobs == 0 ? 0 : random_below(s, s->jobs);
    char *url = platform_job_url(&s->rig, random_below(s, ENTRIES), job);
    int64_t began = clock_now();
    long status;

    if (s->accepted[job]) {
        status = platform_call(&s->rig, "GET", url, "", NULL, 0);
        if (status == 410) {
            report_violation(s, "an accepted job is unknown", job, status);
        }
        if (status != 0 && clock_now() - began > ANSWER_MAX_MS * NS_PER_MS) {
            report_violation(s, "an answer came after the caller's timeout",
                             job, status);
        }
    }
    g_free(url);
}

static void
put_config(struct soak *s)
{
    int version = s->version + 1;
    char *config = platform_config(version);
    char *url =
        platform_control_url(&s->rig, random_below(s, CONTROLS), 0, "/config");
    long status = platform_call(&s->rig, "PUT", url, config, NULL, 0);

    /* Otherwise the outcome is unknown and the same version is sent again. */
    if (status == 200) {
        s->version = version;
        s->acked_version = version;
        s->acked_at = clock_now();
    }
    else if (status >= 400 && status < 500) {
        report_violation(s, "a configuration was refused", version, status);
        s->version = version;
    }
    g_free(url);
    g_free(config);
}

static void
read_config(struct soak *s)
{
    char *url =
        platform_control_url(&s->rig, random_below(s, CONTROLS), 0, "/config");
    char body[4096];
    const char *at;
    int acked_version = s->acked_version;
    bool propagated =
        clock_now() - s->acked_at > CONFIG_PROPAGATION_MS * NS_PER_MS;
    long status = platform_call(&s->rig, "GET", url, "", body, sizeof(body));

    if (status == 200) {
        at = strstr(body, "\"version\":");
        if (propagated && (at == NULL || atoi(at + 10) < acked_version)) {
            report_violation(s, "an older configuration was read",
                             acked_version, at == NULL ? -1 : atoi(at + 10));
        }
    }
    g_free(url);
}

/* Sends the current request until it is acknowledged, and then the other one
 * after a while. Starts are forbidden to the workers only in between. */
static void
change_evacuation(struct soak *s)
{
    char *url;
    long status;

    if (s->starts_end != 0 && clock_now() >= s->starts_end) {
        platform_fault(&s->rig, "evacuated", "{\"zone\":\"y\"}");
        s->starts_end = 0;
    }
    if (s->evacuate == s->evacuated && clock_now() < s->next_evacuation) {
        return;
    }
    if (s->evacuate == s->evacuated) {
        s->evacuate = !s->evacuated;
        s->starts_end = 0;
        platform_fault(&s->rig, "evacuated", "{\"zone\":\"\"}");
    }
    url = platform_control_url(&s->rig, random_below(s, CONTROLS), 0,
                               "/evacuations/y");
    status = platform_call(&s->rig, s->evacuate ? "POST" : "DELETE", url, "",
                           NULL, 0);
    if (status == 200) {
        s->evacuated = s->evacuate;
        s->starts_end =
            s->evacuated ? clock_now() + EVACUATION_MS * NS_PER_MS : 0;
        s->next_evacuation =
            clock_now() +
            (EVACUATION_MS + random_below(s, 2 * EVACUATION_INTERVAL_MS)) *
                NS_PER_MS;
    }
    else if (status >= 400 && status < 500) {
        report_violation(s, "an evacuation was refused", s->evacuate, status);
    }
    g_free(url);
}

static void
await_jobs(struct soak *s)
{
    int completed = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(s->faults); i++) {
        if (s->faults[i].active) {
            end_fault(s, &s->faults[i]);
        }
    }
    for (int job = 0; job < s->jobs; job++) {
        if (s->accepted[job]) {
            platform_await_completed(&s->rig, job);
            completed++;
        }
    }
    printf("%d accepted jobs completed\n", completed);
}

int
main(int argc, char **argv)
{
    struct soak *s = g_new0(struct soak, 1);
    int64_t ends;
    int seconds = argc > 1 ? atoi(argv[1]) : 60;

    setvbuf(stdout, NULL, _IOLBF, 0);
    s->rng.state = argc > 2 ? strtoull(argv[2], NULL, 10) : 1;
    s->version = 1;
    s->acked_version = 1;
    platform_open(&s->rig, CONTROLS, ENTRIES, WORKER_PROCESSES);
    ends = clock_now() + seconds * NS_PER_S;
    platform_fault(&s->rig, "lose-starts",
                   "{\"count\":-1,\"percent\":3,\"late_ms\":1500}");
    while (clock_now() < ends) {
        update_faults(s);
        restart_workers(s);
        change_evacuation(s);
        switch (random_below(s, 8)) {
        case 0:
            put_config(s);
            break;
        case 1:
            read_config(s);
            break;
        case 2:
        case 3:
            read_job(s);
            break;
        default:
            submit_job(s);
            break;
        }
        g_usleep(CALL_INTERVAL_US);
    }
    await_jobs(s);
    platform_close(&s->rig);
    printf("seed %s: %d faults, %d jobs, configuration %d, %d violations\n",
           argc > 2 ? argv[2] : "1", s->fault_count, s->jobs, s->acked_version,
           s->violations);
    return s->violations == 0 ? 0 : 1;
}
