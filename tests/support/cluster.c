#include "cluster.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib.h>

#include "await.h"
#include "checker.h"
#include "cluster_api.h"
#include "mem.h"
#include "proc.h"

enum {
    STOP_MS = 15000,
    DAMAGE_BYTES = 64,
    /* The limit holds for the process's log file as well, whose next lines
     * must still fit. */
    LIMIT_ROOM_BYTES = 8192,
};

/* ---- Files and ports ---- */

static void
remove_tree(const char *path, bool itself)
{
    DIR *dir = opendir(path);
    struct dirent *entry;
    char child[512];

    while (dir != NULL && (entry = readdir(dir)) != NULL) {
        if (strcmp(entry->d_name, ".") == 0 ||
            strcmp(entry->d_name, "..") == 0) {
            continue;
        }
        snprintf(child, sizeof(child), "%s/%s", path, entry->d_name);
        if (unlink(child) != 0) {
            remove_tree(child, true);
        }
    }
    if (dir != NULL) {
        closedir(dir);
    }
    if (itself) {
        rmdir(path);
    }
}

/*
 * Outgoing connections on loopback come from 127.0.0.1, so a port of another
 * address of 127.0.0.0/8 stays free while its process is down.
 */
static void
choose_ip(struct cluster *c)
{
    unsigned pid = (unsigned)getpid();

    /* Different for any two processes that exist at a time. */
    snprintf(c->ip, sizeof(c->ip), "127.%u.%u.%u", 1 + (pid >> 16) % 250,
             (pid >> 8) % 256, pid % 256);
}

static int
free_port(const struct cluster *c)
{
    struct sockaddr_in a = {.sin_family = AF_INET};
    socklen_t len = sizeof(a);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    inet_pton(AF_INET, c->ip, &a.sin_addr);
    REQUIRE(bind(fd, (struct sockaddr *)&a, sizeof(a)) == 0);
    REQUIRE(getsockname(fd, (struct sockaddr *)&a, &len) == 0);
    close(fd);
    return ntohs(a.sin_port);
}

static bool
is_given_out(const struct cluster *c, int port)
{
    for (int i = 0; i < c->port_count; i++) {
        if (c->ports[i] == port) {
            return true;
        }
    }
    return false;
}

/* The kernel may name the same port again while nobody listens on it, and a
 * process that finds its port in use does not start. */
int
cluster_port(struct cluster *c)
{
    int port;

    REQUIRE(c->port_count < CLUSTER_PORTS_MAX);
    do {
        port = free_port(c);
    } while (is_given_out(c, port));
    c->ports[c->port_count++] = port;
    return port;
}

static void
free_address(struct cluster *c, char out[32])
{
    snprintf(out, 32, "%s:%d", c->ip, cluster_port(c));
}

static void
write_settings(const struct cluster *c, int i)
{
    const struct cluster_vm *vm = &c->vms[i];
    FILE *f = fopen(vm->settings, "we");

    if (f == NULL) {
        abort();
    }
    fprintf(f,
            "{\"vm\":\"%s\",\"failure_domain\":\"fd%d\",\"listen\":\"%s\","
            "\"cluster_key_file\":\"%s/cluster.key\",\n",
            vm->name, i % 3 + 1, vm->http, c->dir);
    if (i < c->control) {
        fprintf(f, "\"peer_listen\":\"%s\",\"data\":\"%s\",\n", vm->peer,
                vm->data);
    }
    fprintf(f, "\"control\":[");
    for (int j = 0; j < c->control; j++) {
        bool direct = !c->relays || i == j;

        fprintf(f, "%s{\"vm\":\"%s\",\"address\":\"%s\"}", j == 0 ? "" : ",",
                c->vms[j].name,
                direct ? c->vms[j].peer : vm->relay_address[j]);
    }
    fprintf(f,
            "],\n\"election_timeout_ms\":%d,\"heartbeat_ms\":50,"
            "\"config_lease_ms\":%d,\"worker_lease_ms\":%d,"
            "\"endpoint_lease_ms\":%d,\"longest_request_ms\":%d,"
            "\"drain_notice_ms\":1000,\"drain_deadline_ms\":10000,"
            "\"snapshot_entries\":%d,"
            "\"open_queues\":[{\"name\":\"open\"}]}\n",
            CLUSTER_ELECTION_MS, CLUSTER_CONFIG_LEASE_MS,
            CLUSTER_WORKER_LEASE_MS, CLUSTER_ENDPOINT_LEASE_MS,
            CLUSTER_LONGEST_REQUEST_MS, CLUSTER_SNAPSHOT_ENTRIES);
    fclose(f);
}

static void
write_cluster_key(const struct cluster *c)
{
    char path[CLUSTER_PATH_BYTES];
    FILE *f;

    snprintf(path, sizeof(path), "%s/cluster.key", c->dir);
    f = fopen(path, "we");
    if (f == NULL) {
        abort();
    }
    fprintf(f, "0123456789abcdef0123456789abcdef-%d\n", (int)getpid());
    fclose(f);
}

/* ---- Start ---- */

static void
start_relays(struct cluster *c, int i)
{
    struct cluster_vm *vm = &c->vms[i];
    char program[CLUSTER_PATH_BYTES + 16];
    char log[CLUSTER_PATH_BYTES];

    snprintf(program, sizeof(program), "%s/fakes/relay", c->bin);
    for (int j = 0; j < c->control; j++) {
        char *argv[] = {program, "--listen",     vm->relay_address[j],
                        "--to",  c->vms[j].peer, NULL};

        if (i != j) {
            snprintf(log, sizeof(log), "%s/relay.log", c->dir);
            vm->relays[j] = proc_spawn(log, argv);
        }
    }
}

static void
describe_vm(struct cluster *c, int i)
{
    struct cluster_vm *vm = &c->vms[i];

    snprintf(vm->name, sizeof(vm->name), "vm%d", i + 1);
    snprintf(vm->data, sizeof(vm->data), "%s/data%d", c->dir, i + 1);
    snprintf(vm->settings, sizeof(vm->settings), "%s/vm%d.json", c->dir,
             i + 1);
    snprintf(vm->log, sizeof(vm->log), "%s/vm%d.log", c->dir, i + 1);
    free_address(c, vm->http);
    free_address(c, vm->peer);
    for (int j = 0; j < c->control; j++) {
        free_address(c, vm->relay_address[j]);
    }
}

/* A leader that is replaced before it has committed its key leaves a file with
 * a key that does not work. */
static bool
is_operator_key(const struct cluster *c)
{
    const struct api_call call = {
        "GET", "/v1/status", c->operator_key, NULL, NULL, NULL, -1, 0};

    return api_call(c, &call, NULL) == 200;
}

static bool
read_operator_key(struct cluster *c)
{
    char path[CLUSTER_PATH_BYTES + 16];

    for (int i = 0; i < c->control; i++) {
        FILE *f;
        int n = 0;

        snprintf(path, sizeof(path), "%s/operator.key", c->vms[i].data);
        f = fopen(path, "re");
        if (f != NULL) {
            n = fscanf(f, "%63s", c->operator_key);
            fclose(f);
        }
        if (n == 1 && is_operator_key(c)) {
            return true;
        }
    }
    return false;
}

struct cluster *
cluster_start(int control, int entries, bool relays)
{
    struct cluster *c = mem_zalloc(1, sizeof(*c));
    const char *bin = getenv("GV_BIN");

    curl_global_init(CURL_GLOBAL_DEFAULT);
    snprintf(c->bin, sizeof(c->bin), "%s",
             bin == NULL ? "build/release" : bin);
    snprintf(c->dir, sizeof(c->dir), "%s/guavarock-e2e-XXXXXX",
             g_get_tmp_dir());
    REQUIRE(mkdtemp(c->dir) != NULL);
    choose_ip(c);
    c->control = control;
    c->count = control + entries;
    c->relays = relays;
    snprintf(c->history_path, sizeof(c->history_path), "%s/history", c->dir);
    c->history = history_open(c->history_path);
    c->client = http_client_create();
    write_cluster_key(c);
    for (int i = 0; i < c->count; i++) {
        describe_vm(c, i);
    }
    for (int i = 0; i < c->count; i++) {
        write_settings(c, i);
        if (relays) {
            start_relays(c, i);
        }
    }
    for (int i = 0; i < c->count; i++) {
        cluster_vm_start(c, i);
    }
    AWAIT_MS(read_operator_key(c), 30000);
    AWAIT(cluster_leader(c, -1) >= 0);
    return c;
}

void
cluster_destroy(struct cluster *c)
{
    proc_reset();
    history_close(c->history);
    http_client_destroy(c->client);
    if (getenv("GV_KEEP") == NULL) {
        remove_tree(c->dir, true);
    }
    mem_free(c);
}

void
cluster_provision(struct cluster *c)
{
    REQUIRE(api_list_put(c, "teams", -1,
                         "[{\"name\":\"lamps\",\"weight\":2},"
                         "{\"name\":\"looms\",\"weight\":1}]",
                         NULL, -1) == 200);
    api_limit_tasks(c, 2000);
    c->team = api_key_create(c, "team", "lamps");
    c->endpoint = api_key_create(c, "endpoint", NULL);
    c->worker = api_key_create(c, "worker", NULL);
}

/* ---- VMs ---- */

static bool faulty;
static int drifts[CLUSTER_VMS_MAX];

void
cluster_use_faulty(const int drift_ppm[CLUSTER_VMS_MAX])
{
    faulty = true;
    if (drift_ppm != NULL) {
        memcpy(drifts, drift_ppm, sizeof(drifts));
    }
}

void
cluster_vm_start(struct cluster *c, int vm)
{
    char program[CLUSTER_PATH_BYTES + 32];
    char dir[CLUSTER_PATH_BYTES + 16];
    char drift[32];
    struct cluster_vm *v = &c->vms[vm];
    char *argv[] = {"/usr/bin/env", dir,         drift, program,
                    "--settings",   v->settings, NULL};

    snprintf(dir, sizeof(dir), "GV_FAULT_DIR=%s", v->data);
    snprintf(drift, sizeof(drift), "GV_DRIFT_PPM=%d", drifts[vm]);
    snprintf(program, sizeof(program), "%s/%s", c->bin,
             faulty ? "fakes/guavarockd_faulty" : "guavarockd");
    REQUIRE(v->pid == 0);
    v->pid = proc_spawn(v->log, faulty ? argv : argv + 3);
}

void
cluster_vm_kill(struct cluster *c, int vm)
{
    history_write(c->history,
                  "\"event\":\"fault\",\"kind\":\"kill\","
                  "\"vm\":\"%s\"",
                  c->vms[vm].name);
    proc_kill(c->vms[vm].pid);
    c->vms[vm].pid = 0;
}

void
cluster_vm_stop(struct cluster *c, int vm)
{
    int status;

    proc_signal(c->vms[vm].pid, SIGTERM);
    status = proc_wait(c->vms[vm].pid, STOP_MS);
    if (status != 0) {
        fprintf(stderr, "%s ended with %d\n", c->vms[vm].name, status);
    }
    REQUIRE(status == 0);
    c->vms[vm].pid = 0;
}

void
cluster_vm_freeze(struct cluster *c, int vm, bool frozen)
{
    history_write(c->history,
                  "\"event\":\"fault\",\"kind\":\"%s\","
                  "\"vm\":\"%s\"",
                  frozen ? "freeze" : "continue", c->vms[vm].name);
    proc_signal(c->vms[vm].pid, frozen ? SIGSTOP : SIGCONT);
    c->vms[vm].away = frozen;
}

static void
cut(struct cluster *c, int vm, int sending, int receiving)
{
    for (int j = 0; j < c->control; j++) {
        proc_signal(c->vms[vm].relays[j], sending);
    }
    for (int i = 0; vm < c->control && i < c->count; i++) {
        proc_signal(c->vms[i].relays[vm], receiving);
    }
}

/* The relay takes SIGUSR1 for both directions, SIGHUP for the one to the
 * listening side, SIGWINCH for the one back, SIGUSR2 to heal. */
void
cluster_vm_cut(struct cluster *c, int vm, enum cluster_cut how)
{
    history_write(c->history,
                  "\"event\":\"fault\",\"kind\":\"cut%d\","
                  "\"vm\":\"%s\"",
                  how, c->vms[vm].name);
    c->vms[vm].away = true;
    switch (how) {
    case CLUSTER_CUT_BOTH:
        cut(c, vm, SIGUSR1, SIGUSR1);
        break;
    case CLUSTER_CUT_SENDING:
        cut(c, vm, SIGHUP, SIGWINCH);
        break;
    case CLUSTER_CUT_RECEIVING:
        cut(c, vm, SIGWINCH, SIGHUP);
        break;
    }
}

void
cluster_vm_heal(struct cluster *c, int vm)
{
    history_write(c->history,
                  "\"event\":\"fault\",\"kind\":\"heal\","
                  "\"vm\":\"%s\"",
                  c->vms[vm].name);
    cut(c, vm, SIGUSR2, SIGUSR2);
    c->vms[vm].away = false;
}

void
cluster_vm_wipe(const struct cluster *c, int vm)
{
    REQUIRE(c->vms[vm].pid == 0);
    remove_tree(c->vms[vm].data, false);
}

static void
damage_file(const char *path)
{
    struct stat st;
    char bytes[DAMAGE_BYTES];
    int fd = open(path, O_RDWR | O_CLOEXEC);

    if (fd >= 0 && fstat(fd, &st) == 0 && S_ISREG(st.st_mode) &&
        st.st_size > 2 * DAMAGE_BYTES) {
        memset(bytes, 0x5a, sizeof(bytes));
        REQUIRE(pwrite(fd, bytes, sizeof(bytes), st.st_size / 2) ==
                DAMAGE_BYTES);
    }
    if (fd >= 0) {
        close(fd);
    }
}

void
cluster_vm_damage(const struct cluster *c, int vm)
{
    DIR *dir = opendir(c->vms[vm].data);
    struct dirent *entry;
    char path[512];

    REQUIRE(c->vms[vm].pid == 0 && dir != NULL);
    while ((entry = readdir(dir)) != NULL) {
        snprintf(path, sizeof(path), "%s/%s", c->vms[vm].data, entry->d_name);
        damage_file(path);
    }
    closedir(dir);
}

void
cluster_vm_limit_files(struct cluster *c, int vm, bool limited)
{
    struct rlimit limit;
    struct stat log;

    history_write(c->history,
                  "\"event\":\"fault\",\"kind\":\"%s\","
                  "\"vm\":\"%s\"",
                  limited ? "limit-files" : "unlimit-files", c->vms[vm].name);
    REQUIRE(stat(c->vms[vm].log, &log) == 0);
    REQUIRE(prlimit(c->vms[vm].pid, RLIMIT_FSIZE, NULL, &limit) == 0);
    limit.rlim_cur =
        limited ? (rlim_t)log.st_size + LIMIT_ROOM_BYTES : limit.rlim_max;
    REQUIRE(prlimit(c->vms[vm].pid, RLIMIT_FSIZE, &limit, NULL) == 0);
}

bool
cluster_vm_logged(const struct cluster *c, int vm, const char *text)
{
    FILE *f = fopen(c->vms[vm].log, "re");
    char line[2048];
    bool found = false;

    REQUIRE(f != NULL);
    while (!found && fgets(line, sizeof(line), f) != NULL) {
        found = strstr(line, text) != NULL;
    }
    fclose(f);
    return found;
}
