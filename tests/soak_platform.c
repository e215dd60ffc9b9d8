/*
 * Random faults against the platform's processes under load, for a given time
 * and from a given seed: processes are paused, killed, stopped and started
 * again, several at a time and in series, while jobs and configurations are
 * sent. Checked from outside: an accepted job is never unknown and completes,
 * no task runs twice at the workers, an acknowledged configuration is never
 * refused or read back older, and calls are answered in time.
 * Usage: soak_platform SECONDS SEED; GV_BIN names the build folder.
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
    GROUPS = 2,
    JOBS_MAX = 20000,
    FAULTS_MAX = 4, /* at a time */
    DOWN_MIN_MS = 100,
    DOWN_SPREAD_MS = 4000,
    FAULT_GAP_MS = 900,  /* on average */
    STEP_GAP_US = 20000, /* between two calls */
    IN_FORCE_MS = 2000,  /* after which no control VM may be older */
    CONTROLS_DOWN = 2,   /* at a time, but when all go down at once */
    ALL_DOWN_ONE_IN = 12,
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
    int64_t ends;
};

struct soak {
    struct platform_rig rig;
    struct rng rng;
    struct fault faults[FAULTS_MAX + CONTROLS];
    int64_t next_fault;
    int jobs; /* accepted are marked */
    bool accepted[JOBS_MAX];
    int version; /* of the newest configuration sent */
    int acked;   /* the highest acknowledged */
    int64_t acked_at;
    int violations;
    int faults_played;
};

static int
below(struct soak *s, int bound)
{
    return (int)rng_below(&s->rng, (uint64_t)bound);
}

static void
violation(struct soak *s, const char *what, int id, long got)
{
    printf("VIOLATION: %s: %d (got %ld)\n", what, id, got);
    s->violations++;
}

static int
controls_down(const struct soak *s)
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
begin(struct soak *s, bool control, int index, enum action action, int ms)
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
    s->faults_played++;
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
end(struct soak *s, struct fault *f)
{
    f->active = false;
    if (f->action == PAUSE) {
        proc_signal(*f->pid, SIGCONT);
        return;
    }
    if (f->action == STOP && proc_wait(*f->pid, 8000) == PROC_RUNNING) {
        violation(s, "a process did not stop within its grace", f->index, 0);
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
step_faults(struct soak *s)
{
    int64_t now = clock_now();
    int ms = DOWN_MIN_MS + below(s, DOWN_SPREAD_MS);
    int active = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(s->faults); i++) {
        if (s->faults[i].active && now >= s->faults[i].ends) {
            end(s, &s->faults[i]);
        }
        active += s->faults[i].active;
    }
    if (now < s->next_fault || active >= FAULTS_MAX) {
        return;
    }
    s->next_fault = now + below(s, 2 * FAULT_GAP_MS) * NS_PER_MS;
    if (below(s, ALL_DOWN_ONE_IN) == 0 && controls_down(s) == 0) {
        for (int i = 0; i < CONTROLS; i++) {
            begin(s, true, i, KILL, DOWN_MIN_MS + below(s, 1000));
        }
        return;
    }
    if (below(s, 3) == 0) {
        begin(s, false, below(s, ENTRIES), (enum action)below(s, ACTIONS), ms);
    }
    else if (controls_down(s) < CONTROLS_DOWN) {
        begin(s, true, below(s, CONTROLS), (enum action)below(s, ACTIONS), ms);
    }
}

static void
submit(struct soak *s)
{
    int job = s->jobs;
    char *url = platform_job_url(&s->rig, below(s, ENTRIES), job);
    long status;

    if (job == JOBS_MAX) {
        g_free(url);
        return;
    }
    status = platform_call(&s->rig, "POST", url, platform_job, NULL, 0);
    /* No answer, or one that says that the outcome is not known, may have
     * been accepted; the same id is handed in again. */
    if (status == 200) {
        s->accepted[job] = true;
        s->jobs++;
    }
    else if (status != 0 && status != 503 && status != 504) {
        violation(s, "a job was refused", job, status);
        s->jobs++;
    }
    g_free(url);
}

static void
read_state(struct soak *s)
{
    int job = s->jobs == 0 ? 0 : below(s, s->jobs);
    char *url = platform_job_url(&s->rig, below(s, ENTRIES), job);
    int64_t began = clock_now();
    long status;

    if (s->accepted[job]) {
        status = platform_call(&s->rig, "GET", url, "", NULL, 0);
        if (status == 410) {
            violation(s, "an accepted job is unknown", job, status);
        }
        if (status != 0 && clock_now() - began > 3300 * NS_PER_MS) {
            violation(s, "an answer came after the caller's time", job,
                      status);
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
        platform_control_url(&s->rig, below(s, CONTROLS), 0, "/config");
    long status = platform_call(&s->rig, "PUT", url, config, NULL, 0);

    /* Without a clear answer the same version is sent again. */
    if (status == 200) {
        s->version = version;
        s->acked = version;
        s->acked_at = clock_now();
    }
    else if (status >= 400 && status < 500) {
        violation(s, "a configuration was refused", version, status);
        s->version = version;
    }
    g_free(url);
    g_free(config);
}

static void
read_config(struct soak *s)
{
    char *url =
        platform_control_url(&s->rig, below(s, CONTROLS), 0, "/config");
    char body[4096];
    const char *at;
    int acked = s->acked;
    bool settled = clock_now() - s->acked_at > IN_FORCE_MS * NS_PER_MS;
    long status = platform_call(&s->rig, "GET", url, "", body, sizeof(body));

    if (status == 200) {
        at = strstr(body, "\"version\":");
        if (settled && (at == NULL || atoi(at + 10) < acked)) {
            violation(s, "an older configuration was read", acked,
                      at == NULL ? -1 : atoi(at + 10));
        }
    }
    g_free(url);
}

static void
settle(struct soak *s)
{
    int completed = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(s->faults); i++) {
        if (s->faults[i].active) {
            end(s, &s->faults[i]);
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
    s->acked = 1;
    platform_open(&s->rig, CONTROLS, ENTRIES, GROUPS);
    ends = clock_now() + seconds * NS_PER_S;
    while (clock_now() < ends) {
        step_faults(s);
        switch (below(s, 8)) {
        case 0:
            put_config(s);
            break;
        case 1:
            read_config(s);
            break;
        case 2:
        case 3:
            read_state(s);
            break;
        default:
            submit(s);
            break;
        }
        g_usleep(STEP_GAP_US);
    }
    settle(s);
    platform_close(&s->rig);
    printf("seed %s: %d faults, %d jobs, configuration %d, %d violations\n",
           argc > 2 ? argv[2] : "1", s->faults_played, s->jobs, s->acked,
           s->violations);
    return s->violations == 0 ? 0 : 1;
}
