#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum {
    PEER_PORT_OFFSET = 1,
    READY_PORT_OFFSET = 2,
    METRICS_PORT_OFFSET = 3,
    PORTS = 4,
    PORT_FIRST = 21000,
    PORT_RANGE = 10000,
    SEEDS = 3,
    CLIENT_TIMEOUT_MS = 3000, /* of a small site's clients */
    OPERATOR_TIMEOUT_MS = 1000,
    EXIT_WAIT_MS = 2000,
    RUN_MAX_S = 115, /* a script may take 120 s */
    EXIT_NOT_RUN = 2,
};

static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t record_began;

int64_t
now_ms(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int64_t
wall_ms(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_REALTIME, &ts);
    return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

void
sleep_ms(int ms)
{
    struct timespec ts = {ms / 1000, (long)(ms % 1000) * 1000000};

    nanosleep(&ts, NULL);
}

void
record(struct rig *r, const char *format, ...)
{
    va_list args;

    pthread_mutex_lock(&record_lock);
    fprintf(r->record, "%7.3f ", (double)(now_ms() - record_began) / 1000);
    va_start(args, format);
    vfprintf(r->record, format, args);
    va_end(args);
    fputc('\n', r->record);
    fflush(r->record);
    pthread_mutex_unlock(&record_lock);
}

void
control_ip(int i, char out[32])
{
    snprintf(out, 32, "127.0.41.%d", 11 + i);
}

static void
entry_ip(int i, char out[32])
{
    snprintf(out, 32, "127.0.41.%d", 21 + i);
}

static bool
is_port_free(const char *ip, int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    bool ok;

    inet_pton(AF_INET, ip, &address.sin_addr);
    ok = bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
    close(fd);
    return ok;
}

static bool
are_ports_free(const struct rig *r, int port)
{
    char ip[32];

    for (int i = 0; i < r->controls + r->entries; i++) {
        if (i < r->controls) {
            control_ip(i, ip);
        }
        else {
            entry_ip(i - r->controls, ip);
        }
        for (int k = 0; k < PORTS; k++) {
            if (!is_port_free(ip, port + k)) {
                return false;
            }
        }
    }
    return true;
}

static void
give_up(int signal_number)
{
    (void)signal_number;
    _exit(EXIT_NOT_RUN);
}

bool
rig_open(struct rig *r, const char *record_path, int controls, int entries)
{
    *r = (struct rig){.controls = controls, .entries = entries};
    r->bounds = (struct bounds){.lease_max_ms = 10000,
                                .heartbeat_ms = 1500,
                                .job_keep_s = 120,
                                .grace_s = 6};
    record_began = now_ms();
    signal(SIGALRM, give_up);
    alarm(RUN_MAX_S);
    r->record = fopen(record_path, "w");
    snprintf(r->dir, sizeof(r->dir), "%s/review-XXXXXX",
             getenv("TMPDIR") == NULL ? "/tmp" : getenv("TMPDIR"));
    if (r->record == NULL || mkdtemp(r->dir) == NULL ||
        realpath("target/release/guavarockd", r->program) == NULL) {
        return false;
    }
    for (int i = 0; i < 100; i++) {
        r->port = PORT_FIRST + (getpid() * 7 + i * 101) % PORT_RANGE;
        if (are_ports_free(r, r->port)) {
            return true;
        }
    }
    return false;
}

/* The members of platform/settings.json. */
static void
write_settings(const struct rig *r, const char *vm, const char *ip, int zone,
               bool control, bool first_start)
{
    char path[512];
    FILE *f;

    snprintf(path, sizeof(path), "%s/%s.json", r->dir, vm);
    f = fopen(path, "w");
    fprintf(f, "{\"vm\":\"%s\",\"failure_domain\":\"zone-%d\",", vm, zone);
    fprintf(f, "\"caller_listen\":\"");
    if (!control) {
        fprintf(f, "%s:%d", ip, r->port);
    }
    fprintf(f, "\",\"ready_listen\":\"");
    if (!control) {
        fprintf(f, "%s:%d", ip, r->port + READY_PORT_OFFSET);
    }
    fprintf(f, "\",\"control_listen\":\"");
    if (control) {
        fprintf(f, "%s:%d", ip, r->port);
    }
    fprintf(f, "\",\"peer_listen\":\"%s:%d\",\"peer_port\":%d,", ip,
            r->port + PEER_PORT_OFFSET, r->port + PEER_PORT_OFFSET);
    fprintf(f, "\"metrics_listen\":\"%s:%d\",\"data\":\"", ip,
            r->port + METRICS_PORT_OFFSET);
    if (control) {
        fprintf(f, "%s/%s", r->dir, vm);
    }
    fprintf(f, "\",\"seeds\":[");
    for (int i = 0; i < SEEDS; i++) {
        char seed[32];

        control_ip(i, seed);
        fprintf(f, "%s{\"address\":\"%s:%d\"}", i == 0 ? "" : ",", seed,
                r->port);
    }
    fprintf(f,
            "],\"first_start\":%s,\"cluster_secret\":"
            "\"guavarock-platform-cell\",\"approval_address\":\"\","
            "\"heartbeat_ms\":%d,\"lease_max_ms\":%d,\"job_keep_s\":%d,"
            "\"grace_s\":%d}\n",
            first_start ? "true" : "false", r->bounds.heartbeat_ms,
            r->bounds.lease_max_ms, r->bounds.job_keep_s, r->bounds.grace_s);
    fclose(f);
}

static pid_t
spawn(const struct rig *r, const char *vm)
{
    char log[512];
    char settings[512];
    char *argv[] = {(char *)r->program, (char *)"--platform", NULL};
    char *envp[] = {(char *)"PATH=/usr/bin:/bin", (char *)"HOME=/tmp",
                    (char *)"LANG=C", settings, NULL};
    pid_t pid;
    int fd;

    snprintf(log, sizeof(log), "%s/%s.log", r->dir, vm);
    snprintf(settings, sizeof(settings), "GUAVAROCK_SETTINGS=%s/%s.json",
             r->dir, vm);
    pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        execve(argv[0], argv, envp);
        _exit(127);
    }
    return pid;
}

static void
start_control(struct rig *r, int i, bool first_start)
{
    char vm[32];
    char ip[32];

    snprintf(vm, sizeof(vm), "core-%d", i + 1);
    control_ip(i, ip);
    write_settings(r, vm, ip, i % 3, true, first_start);
    r->control[i] = spawn(r, vm);
}

void
rig_start_control(struct rig *r, int i)
{
    start_control(r, i, false);
}

void
rig_start_entry(struct rig *r, int i)
{
    char vm[32];
    char ip[32];

    snprintf(vm, sizeof(vm), "frontend-%d", i + 1);
    entry_ip(i, ip);
    write_settings(r, vm, ip, i % 3, false, false);
    r->entry[i] = spawn(r, vm);
}

void
rig_start(struct rig *r)
{
    for (int i = 0; i < r->controls; i++) {
        start_control(r, i, true);
    }
    for (int i = 0; i < r->entries; i++) {
        rig_start_entry(r, i);
    }
}

static void
end_process(pid_t *pid, int signal_number, int wait_ms)
{
    int64_t until = now_ms() + wait_ms;

    if (*pid <= 0) {
        return;
    }
    kill(*pid, signal_number);
    while (waitpid(*pid, NULL, WNOHANG) == 0) {
        if (now_ms() >= until) {
            kill(*pid, SIGKILL);
        }
        sleep_ms(5);
    }
    *pid = 0;
}

void
rig_kill_control(struct rig *r, int i)
{
    end_process(&r->control[i], SIGKILL, EXIT_WAIT_MS);
}

static void
remove_dir(const char *dir)
{
    pid_t pid = fork();

    if (pid == 0) {
        execl("/bin/rm", "rm", "-rf", dir, (char *)NULL);
        _exit(127);
    }
    waitpid(pid, NULL, 0);
}

void
rig_close(struct rig *r)
{
    for (int i = 0; i < r->controls; i++) {
        end_process(&r->control[i], SIGKILL, EXIT_WAIT_MS);
    }
    for (int i = 0; i < r->entries; i++) {
        end_process(&r->entry[i], SIGKILL, EXIT_WAIT_MS);
    }
    if (getenv("KEEP_LOGS") == NULL) {
        remove_dir(r->dir);
    }
    else {
        fprintf(stderr, "logs: %s\n", r->dir);
    }
}

/* Waits for the event until the deadline. */
static bool
await_event(int fd, short events, int64_t deadline)
{
    struct pollfd p = {.fd = fd, .events = events};
    int64_t left = deadline - now_ms();

    return left > 0 && poll(&p, 1, (int)left) > 0;
}

static int
connect_until(const char *ip, int port, int64_t deadline)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int error = 0;
    socklen_t len = sizeof(error);

    inet_pton(AF_INET, ip, &address.sin_addr);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0 ||
        (errno == EINPROGRESS && await_event(fd, POLLOUT, deadline) &&
         getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) == 0 &&
         error == 0)) {
        return fd;
    }
    close(fd);
    return -1;
}

static bool
send_all(int fd, const char *text, size_t len, int64_t deadline)
{
    while (len > 0) {
        ssize_t n = send(fd, text, len, MSG_NOSIGNAL);

        if (n > 0) {
            text += n;
            len -= (size_t)n;
        }
        else if (!(n < 0 && errno == EAGAIN &&
                   await_event(fd, POLLOUT, deadline))) {
            return false;
        }
    }
    return true;
}

/* Reads a response with a Content-Length. */
static void
read_reply(int fd, int64_t deadline, struct reply *out)
{
    static __thread char text[BODY_BYTES + 4096];
    size_t len = 0;

    while (len + 1 < sizeof(text)) {
        ssize_t n = recv(fd, text + len, sizeof(text) - 1 - len, 0);
        char *end;
        char *field;
        size_t body;

        if (n < 0 && errno == EAGAIN && await_event(fd, POLLIN, deadline)) {
            continue;
        }
        if (n <= 0) {
            return;
        }
        len += (size_t)n;
        text[len] = '\0';
        end = strstr(text, "\r\n\r\n");
        field = strcasestr(text, "\r\nContent-Length:");
        if (end == NULL || field == NULL || field > end) {
            continue;
        }
        body = strtoul(field + 17, NULL, 10);
        if ((size_t)(end + 4 - text) + body <= len && body < BODY_BYTES) {
            memcpy(out->body, end + 4, body);
            out->body[body] = '\0';
            out->status = atoi(text + 9);
            return;
        }
    }
}

void
call(const char *ip, int port, const char *method, const char *path,
     const char *host, const char *body, int timeout_ms, struct reply *out)
{
    int64_t deadline = now_ms() + timeout_ms;
    char head[1024];
    int fd;

    out->status = 0;
    out->body[0] = '\0';
    fd = connect_until(ip, port, deadline);
    if (fd < 0) {
        return;
    }
    snprintf(head, sizeof(head),
             "%s %s HTTP/1.1\r\nHost: %s\r\nX-Key: key-1\r\n"
             "Content-Type: application/json\r\nX-Deadline-Ms: %d\r\n"
             "Connection: close\r\nContent-Length: %zu\r\n\r\n",
             method, path, host, timeout_ms, strlen(body));
    if (send_all(fd, head, strlen(head), deadline) &&
        send_all(fd, body, strlen(body), deadline)) {
        read_reply(fd, deadline, out);
    }
    close(fd);
}

bool
operator_call(struct rig *r, const char *method, const char *path,
              const char *body, int wait_ms, struct reply *out)
{
    int64_t until = now_ms() + wait_ms;

    for (int i = 0; now_ms() < until; i = (i + 1) % r->controls) {
        char ip[32];

        control_ip(i, ip);
        call(ip, r->port, method, path, ip, body, OPERATOR_TIMEOUT_MS, out);
        if (out->status > 0 && out->status < 500 && out->status != 429 &&
            out->status != 408) {
            return true;
        }
        sleep_ms(100);
    }
    return false;
}

void
client_call(struct rig *r, int entry, const char *method, const char *path,
            const char *body, struct reply *out)
{
    char ip[32];

    entry_ip(entry, ip);
    call(ip, r->port, method, path, "jobs.example", body, CLIENT_TIMEOUT_MS,
         out);
}

bool
submit_job(struct rig *r, const char *path, const char *body, int wait_ms)
{
    static __thread struct reply reply;
    int64_t until = now_ms() + wait_ms;

    for (int i = 0; now_ms() < until; i = (i + 1) % r->entries) {
        client_call(r, i, "POST", path, body, &reply);
        record(r, "client: POST %s -> %d", path, reply.status);
        if (reply.status >= 200 && reply.status < 300) {
            return true;
        }
        if (reply.status >= 400 && reply.status < 500 && reply.status != 429) {
            return false;
        }
        sleep_ms(200);
    }
    return false;
}

int
read_state(struct rig *r, int entry, const char *path, char state[32])
{
    static __thread struct reply reply;
    const char *at;

    client_call(r, entry, "GET", path, "", &reply);
    at = strstr(reply.body, "\"state\":\"");
    state[0] = '\0';
    if (at != NULL) {
        snprintf(state, 32, "%.*s", (int)strcspn(at + 9, "\""), at + 9);
    }
    return reply.status;
}
