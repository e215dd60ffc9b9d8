#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <curl/curl.h>

enum {
    PORTS = 4, /* API, peers, probes, metrics */
    PORT_MIN = 20000,
    PORT_RANGE = 9000,
    WORKERS_HOST = 100, /* last byte of the workers' address */
    CONTROL_HOST = 11,
    ENTRY_HOST = 31,
    CALL_TIMEOUT_MS = 3000,
};

static struct rig *active;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static struct timespec began;

int64_t
rig_now(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (int64_t)(ts.tv_sec - began.tv_sec) * 1000 +
           (ts.tv_nsec - began.tv_nsec) / 1000000;
}

void
rig_sleep(int ms)
{
    struct timespec ts = {ms / 1000, (long)(ms % 1000) * 1000000};

    while (nanosleep(&ts, &ts) < 0 && errno == EINTR) {
    }
}

void
rig_record(const char *fmt, ...)
{
    va_list args;

    pthread_mutex_lock(&record_lock);
    if (record_file != NULL) {
        fprintf(record_file, "%8.3f ", (double)rig_now() / 1000);
        va_start(args, fmt);
        vfprintf(record_file, fmt, args);
        va_end(args);
        fputc('\n', record_file);
        fflush(record_file);
    }
    pthread_mutex_unlock(&record_lock);
}

static void
kill_pid(pid_t *pid)
{
    if (*pid > 0) {
        kill(*pid, SIGCONT);
        kill(*pid, SIGKILL);
        waitpid(*pid, NULL, 0);
        *pid = 0;
    }
}

static void
remove_folder(const char *dir)
{
    pid_t pid = fork();

    if (pid == 0) {
        execlp("rm", "rm", "-rf", "--", dir, (char *)NULL);
        _exit(1);
    }
    waitpid(pid, NULL, 0);
}

static void
clean_up(void)
{
    struct rig *r = active;

    if (r == NULL) {
        return;
    }
    active = NULL;
    for (int i = 0; i < RIG_CONTROLS_MAX; i++) {
        kill_pid(&r->control_pids[i]);
    }
    for (int i = 0; i < RIG_ENTRIES_MAX; i++) {
        kill_pid(&r->entry_pids[i]);
    }
    kill_pid(&r->workers_pid);
    if (getenv("KEEP") == NULL) {
        remove_folder(r->dir);
    }
}

static void
on_signal(int sig)
{
    (void)sig;
    clean_up();
    _exit(RIG_CANNOT_RUN);
}

void
rig_finish(struct rig *r, int status)
{
    (void)r;
    rig_record("exit status %d", status);
    clean_up();
    exit(status);
}

void
rig_fail(struct rig *r, const char *fmt, ...)
{
    char text[256];
    va_list args;

    va_start(args, fmt);
    vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    rig_record("cannot run: %s", text);
    fprintf(stderr, "cannot run: %s\n", text);
    rig_finish(r, RIG_CANNOT_RUN);
}

static bool
is_port_free(const char *ip, int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    bool ok;

    inet_pton(AF_INET, ip, &address.sin_addr);
    ok =
        fd >= 0 && bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
    close(fd);
    return ok;
}

static bool
are_ports_free(const struct rig *r)
{
    for (int host = CONTROL_HOST; host <= WORKERS_HOST; host++) {
        char ip[64];

        snprintf(ip, sizeof(ip), "%s.%d", r->net, host);
        for (int k = 0; k < PORTS; k++) {
            if (!is_port_free(ip, r->port + k)) {
                return false;
            }
        }
    }
    return true;
}

void
rig_init(struct rig *r, const char *record)
{
    const char *trouble = getenv("TROUBLE");
    const char *tmp = getenv("TMPDIR");
    unsigned seed = (unsigned)getpid() * 2654435761U;

    clock_gettime(CLOCK_MONOTONIC, &began);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    r->trouble = trouble == NULL || strcmp(trouble, "0") != 0;
    record_file = fopen(record, "w");
    snprintf(r->dir, sizeof(r->dir), "%s/review-XXXXXX",
             tmp == NULL ? "/tmp" : tmp);
    if (record_file == NULL || mkdtemp(r->dir) == NULL) {
        fprintf(stderr, "cannot run: %s\n", strerror(errno));
        exit(RIG_CANNOT_RUN);
    }
    active = r;
    atexit(clean_up);
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    signal(SIGPIPE, SIG_IGN);
    for (int i = 0; i < 50; i++) {
        snprintf(r->net, sizeof(r->net), "127.%u.%u", 20 + (seed >> 8) % 200,
                 1 + (seed >> 20) % 250);
        r->port = PORT_MIN + (int)(seed % PORT_RANGE);
        if (are_ports_free(r)) {
            rig_record("trouble=%d", r->trouble);
            return;
        }
        seed = seed * 1103515245U + 12345U;
    }
    rig_fail(r, "no free ports");
}

static pid_t
spawn(const char *log, const char *settings, char *const argv[])
{
    pid_t pid = fork();

    if (pid == 0) {
        FILE *out;

        /* Ends with the driver, also if that is killed. */
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        out = freopen(log, "a", stdout);

        if (out == NULL || freopen(log, "a", stderr) == NULL) {
            _exit(127);
        }
        if (settings != NULL) {
            setenv("GUAVAROCK_SETTINGS", settings, 1);
        }
        execv(argv[0], argv);
        _exit(127);
    }
    return pid;
}

/* Writes the settings as the deploy file's template gives them. */
static void
write_settings(const struct rig *r, const char *vm, const char *ip,
               bool control, int disk, const char *path)
{
    FILE *f = fopen(path, "w");

    if (f == NULL) {
        return;
    }
    fprintf(f, "{\"vm\":\"%s\",\"failure_domain\":\"z\",\"caller_listen\":\"",
            vm);
    if (!control) {
        fprintf(f, "%s:%d", ip, r->port);
    }
    fprintf(f, "\",\"ready_listen\":\"");
    if (!control) {
        fprintf(f, "%s:%d", ip, r->port + 2);
    }
    fprintf(f, "\",\"control_listen\":\"");
    if (control) {
        fprintf(f, "%s:%d", ip, r->port);
    }
    fprintf(f,
            "\",\"peer_listen\":\"%s:%d\",\"peer_port\":%d,"
            "\"metrics_listen\":\"%s:%d\",\"data\":\"",
            ip, r->port + 1, r->port + 1, ip, r->port + 3);
    if (control) {
        fprintf(f, "%s/%s-disk%d", r->dir, vm, disk);
    }
    fprintf(f, "\",\"seeds\":[");
    for (int i = 0; i < 3 && i < r->controls; i++) {
        fprintf(f, "%s{\"address\":\"%s.%d:%d\"}", i == 0 ? "" : ",", r->net,
                CONTROL_HOST + i, r->port);
    }
    fprintf(f,
            "],\"first_start\":%s,"
            "\"cluster_secret\":\"guavarock-platform-cell\","
            "\"approval_address\":\"%s.%d:%d\",\"heartbeat_ms\":1500,"
            "\"lease_max_ms\":%d,\"job_keep_s\":120,\"grace_s\":6}",
            r->started_once ? "false" : "true", r->net, WORKERS_HOST, r->port,
            r->lease_max_ms);
    fclose(f);
}

static pid_t
start_vm(const struct rig *r, const char *vm, int host, bool control)
{
    char ip[64];
    char settings[320];
    char log[320];
    char *argv[] = {(char *)"target/release/guavarockd", (char *)"--platform",
                    NULL};

    snprintf(ip, sizeof(ip), "%s.%d", r->net, host);
    snprintf(settings, sizeof(settings), "%s/%s.json", r->dir, vm);
    snprintf(log, sizeof(log), "%s/%s.log", r->dir, vm);
    write_settings(r, vm, ip, control,
                   control ? r->disks[host - CONTROL_HOST] : 0, settings);
    return spawn(log, settings, argv);
}

void
rig_start_control(struct rig *r, int i)
{
    char vm[24];

    snprintf(vm, sizeof(vm), "core-%d", i + 1);
    r->control_pids[i] = start_vm(r, vm, CONTROL_HOST + i, true);
}

void
rig_start_entry(struct rig *r, int i)
{
    char vm[24];

    snprintf(vm, sizeof(vm), "entry-%d", i + 1);
    r->entry_pids[i] = start_vm(r, vm, ENTRY_HOST + i, false);
}

static void
start_workers(struct rig *r)
{
    char ip[64];
    char port[16];
    char count[16];
    char lease[16];
    char lines[320];
    char log[320];
    char controls[RIG_CONTROLS_MAX][64];
    char *argv[8 + RIG_CONTROLS_MAX];
    int n = 0;

    snprintf(ip, sizeof(ip), "%s.%d", r->net, WORKERS_HOST);
    snprintf(port, sizeof(port), "%d", r->port);
    snprintf(count, sizeof(count), "%d", r->worker_count);
    snprintf(lease, sizeof(lease), "%d", r->lease_max_ms);
    snprintf(lines, sizeof(lines), "%s/workers.txt", r->dir);
    snprintf(log, sizeof(log), "%s/workers.log", r->dir);
    argv[n++] = (char *)"target/review/workers";
    argv[n++] = ip;
    argv[n++] = port;
    argv[n++] = count;
    argv[n++] = lease;
    argv[n++] = lines;
    for (int i = 0; i < r->controls; i++) {
        snprintf(controls[i], sizeof(controls[i]), "%s.%d:%d", r->net,
                 CONTROL_HOST + i, r->port);
        argv[n++] = controls[i];
    }
    argv[n] = NULL;
    r->workers_pid = spawn(log, NULL, argv);
}

void
rig_start(struct rig *r, const char *config)
{
    for (int i = 0; i < r->controls; i++) {
        rig_start_control(r, i);
    }
    for (int i = 0; i < r->entries; i++) {
        rig_start_entry(r, i);
    }
    start_workers(r);
    if (rig_put_config(r, config) != 200) {
        rig_fail(r, "the first configuration was not accepted");
    }
    r->started_once = true;
    /* Workers announce themselves every 1.5 s. */
    rig_sleep(3500);
}

void
rig_kill_control(struct rig *r, int i, bool wipe)
{
    kill_pid(&r->control_pids[i]);
    r->disks[i] += wipe;
}

void
rig_signal_controls(struct rig *r, int sig)
{
    for (int i = 0; i < RIG_CONTROLS_MAX; i++) {
        if (r->control_pids[i] > 0) {
            kill(r->control_pids[i], sig);
        }
    }
}

int
rig_reap(pid_t pid, int timeout_ms)
{
    int64_t until = rig_now() + timeout_ms;
    int status;

    do {
        if (waitpid(pid, &status, WNOHANG) == pid) {
            return status;
        }
        rig_sleep(2);
    } while (rig_now() < until);
    return -1;
}

struct text {
    char *ptr;
    size_t len;
};

static size_t
take_body(char *data, size_t size, size_t count, void *arg)
{
    struct text *t = arg;
    size_t len = size * count;

    t->ptr = realloc(t->ptr, t->len + len + 1);
    memcpy(t->ptr + t->len, data, len);
    t->len += len;
    t->ptr[t->len] = '\0';
    return len;
}

struct rig_answer
rig_call(const char *method, const char *url, const char *host,
         const char *key, const char *body, int timeout_ms)
{
    static __thread CURL *easy;
    struct rig_answer answer = {0};
    struct curl_slist *headers = NULL;
    struct text text = {0};
    char line[256];
    long status = 0;

    if (easy == NULL) {
        easy = curl_easy_init();
    }
    curl_easy_reset(easy);
    headers = curl_slist_append(headers, "Content-Type: application/json");
    headers = curl_slist_append(headers, "Expect:");
    if (host != NULL) {
        snprintf(line, sizeof(line), "Host: %s", host);
        headers = curl_slist_append(headers, line);
    }
    if (key != NULL) {
        snprintf(line, sizeof(line), "X-Key: %s", key);
        headers = curl_slist_append(headers, line);
    }
    snprintf(line, sizeof(line), "X-Deadline-Ms: %d", CALL_TIMEOUT_MS);
    headers = curl_slist_append(headers, line);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &text);
    if (body != NULL) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
    if (curl_easy_perform(easy) == CURLE_OK) {
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        answer.status = (int)status;
        answer.body =
            text.ptr == NULL ? NULL : json_loadb(text.ptr, text.len, 0, NULL);
    }
    curl_slist_free_all(headers);
    free(text.ptr);
    return answer;
}

void
rig_answer_free(struct rig_answer *a)
{
    json_decref(a->body);
    a->body = NULL;
}

void
rig_entry_url(const struct rig *r, int i, const char *path, char *out,
              size_t size)
{
    snprintf(out, size, "http://%s.%d:%d%s", r->net, ENTRY_HOST + i, r->port,
             path);
}

void
rig_control_url(const struct rig *r, int i, const char *path, char *out,
                size_t size)
{
    snprintf(out, size, "http://%s.%d:%d%s", r->net, CONTROL_HOST + i, r->port,
             path);
}

int
rig_put_config(struct rig *r, const char *config)
{
    int64_t until = rig_now() + 20000;

    for (int i = 0; rig_now() < until; i++) {
        struct rig_answer a;
        char url[128];

        rig_control_url(r, i % r->controls, "/config", url, sizeof(url));
        a = rig_call("PUT", url, NULL, NULL, config, 2000);
        rig_answer_free(&a);
        if (a.status == 200 || (a.status >= 400 && a.status < 500)) {
            rig_record("operator: PUT /config -> %d: %.300s", a.status,
                       config);
            return a.status;
        }
        rig_sleep(200);
    }
    return 0;
}

int
rig_submit(struct rig *r, const char *host, const char *path, const char *key,
           const char *body)
{
    for (int i = 0; i < 5; i++) {
        struct rig_answer a;
        char url[256];

        rig_entry_url(r, i % r->entries, path, url, sizeof(url));
        a = rig_call("POST", url, host, key, body, CALL_TIMEOUT_MS);
        rig_answer_free(&a);
        if (a.status != 0 && a.status < 500 && a.status != 429) {
            return a.status;
        }
        rig_sleep(200);
    }
    return 0;
}

char *
rig_job_state(struct rig *r, const char *host, const char *path,
              const char *key, int *status)
{
    char *state = NULL;

    *status = 0;
    for (int i = 0; i < 5 && state == NULL; i++) {
        struct rig_answer a;
        char url[256];

        rig_entry_url(r, i % r->entries, path, url, sizeof(url));
        a = rig_call("GET", url, host, key, NULL, CALL_TIMEOUT_MS);
        *status = a.status;
        if (a.status == 200) {
            const char *text =
                json_string_value(json_object_get(a.body, "state"));

            state = strdup(text == NULL ? "" : text);
        }
        rig_answer_free(&a);
        if (*status >= 400 && *status < 500) {
            break;
        }
        if (state == NULL) {
            rig_sleep(200);
        }
    }
    return state;
}

/* Returns the time of the last line in a VM's log that says that it leads. */
static long long
last_lead(const struct rig *r, int i)
{
    char path[320];
    char line[1024];
    long long last = -1;
    FILE *f;

    snprintf(path, sizeof(path), "%s/core-%d.log", r->dir, i + 1);
    f = fopen(path, "r");
    while (f != NULL && fgets(line, sizeof(line), f) != NULL) {
        if (strstr(line, "event=role role=leader") != NULL) {
            last = atoll(line + 2); /* after "t=" */
        }
    }
    if (f != NULL) {
        fclose(f);
    }
    return last;
}

int
rig_find_leader(struct rig *r)
{
    long long best_time = -1;
    int best = -1;

    for (int i = 0; i < r->controls; i++) {
        long long time = last_lead(r, i);

        if (time > best_time) {
            best_time = time;
            best = i;
        }
    }
    if (best < 0) {
        rig_fail(r, "no control VM leads");
    }
    return best;
}

static FILE *
open_worker_lines(const struct rig *r)
{
    char path[320];

    snprintf(path, sizeof(path), "%s/workers.txt", r->dir);
    return fopen(path, "r");
}

int
rig_count_worker_lines(const struct rig *r, const char *a, const char *b,
                       const char *c)
{
    FILE *f = open_worker_lines(r);
    char line[512];
    int n = 0;

    while (f != NULL && fgets(line, sizeof(line), f) != NULL) {
        n += strstr(line, a) != NULL && strstr(line, b) != NULL &&
             strstr(line, c) != NULL;
    }
    if (f != NULL) {
        fclose(f);
    }
    return n;
}

int
rig_overlaps(const struct rig *r, const char *task)
{
    FILE *f = open_worker_lines(r);
    char line[512];
    int running = 0;
    int overlaps = 0;

    while (f != NULL && fgets(line, sizeof(line), f) != NULL) {
        if (strstr(line, task) == NULL) {
            continue;
        }
        if (strstr(line, " START ") != NULL) {
            overlaps += running > 0;
            running++;
        }
        running -= strstr(line, " END ") != NULL;
    }
    if (f != NULL) {
        fclose(f);
    }
    return overlaps;
}

void
rig_copy_worker_lines(const struct rig *r, const char *text, int max)
{
    FILE *f = open_worker_lines(r);
    char line[512];

    while (f != NULL && max > 0 && fgets(line, sizeof(line), f) != NULL) {
        if (strstr(line, text) != NULL) {
            line[strcspn(line, "\n")] = '\0';
            rig_record("workers: %s", line);
            max--;
        }
    }
    if (f != NULL) {
        fclose(f);
    }
}
