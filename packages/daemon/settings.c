#include "settings.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "endpoint.h"
#include "file.h"

enum {
    CONTROL_VMS_MAX = 5,
    QUEUES_MAX = 100,
    THREADS_MAX = 64,
    FILE_MAX_BYTES = 1 << 20,
    DURATION_MAX_MS = 3600000,
    PATH_LEN_MAX = 4096,
    CLUSTER_KEY_CHARS_MIN = 32,
};

#define FIELD(name_, kind_, flags_, min_, max_)                               \
    {                                                                         \
        .name = #name_, .kind = (kind_), .flags = (flags_),                   \
        .offset = offsetof(struct settings, name_), .min = (min_),            \
        .max = (max_)                                                         \
    }

static const char *const log_level_names[] = {
    "crit", "err", "warning", "notice", "info", "debug", NULL};

static const struct json_field control_fields[] = {
    {.name = "vm",
     .kind = JSON_KIND_NAME,
     .flags = JSON_UNIQUE,
     .offset = offsetof(struct settings_control_vm, vm)},
    {.name = "address",
     .kind = JSON_KIND_STRING,
     .flags = JSON_UNIQUE,
     .offset = offsetof(struct settings_control_vm, address),
     .min = 1,
     .max = 128},
};

static const struct json_shape control_shape = {
    control_fields, 2, sizeof(struct settings_control_vm)};

static const struct json_field queue_fields[] = {
    {.name = "name",
     .kind = JSON_KIND_NAME,
     .flags = JSON_UNIQUE,
     .offset = offsetof(struct settings_queue, name)},
};

static const struct json_shape queue_shape = {queue_fields, 1,
                                              sizeof(struct settings_queue)};

#define WEIGHT(name_)                                                         \
    {                                                                         \
        .name = #name_, .kind = JSON_KIND_REAL, .flags = JSON_OPTIONAL,       \
        .offset = offsetof(struct sched_weights, name_), .min = 0,            \
        .max = 1000                                                           \
    }

static const struct json_field weight_fields[] = {
    WEIGHT(waiting), WEIGHT(packing), WEIGHT(control), WEIGHT(share)};

static const struct json_shape weight_shape = {weight_fields, 4,
                                               sizeof(struct sched_weights)};

static const struct json_field settings_fields[] = {
    FIELD(vm, JSON_KIND_NAME, 0, 0, 0),
    FIELD(failure_domain, JSON_KIND_NAME, 0, 0, 0),
    FIELD(listen, JSON_KIND_STRING, 0, 1, 128),
    FIELD(peer_listen, JSON_KIND_STRING, JSON_OPTIONAL, 1, 128),
    FIELD(data, JSON_KIND_STRING, JSON_OPTIONAL, 1, PATH_LEN_MAX),
    FIELD(cluster_key_file, JSON_KIND_STRING, 0, 1, PATH_LEN_MAX),
    {.name = "control",
     .kind = JSON_KIND_LIST,
     .offset = offsetof(struct settings, control),
     .shape = &control_shape,
     .count_offset = offsetof(struct settings, control_count),
     .count_max = CONTROL_VMS_MAX},
    {.name = "open_queues",
     .kind = JSON_KIND_LIST,
     .flags = JSON_OPTIONAL,
     .offset = offsetof(struct settings, open_queues),
     .shape = &queue_shape,
     .count_offset = offsetof(struct settings, open_queue_count),
     .count_max = QUEUES_MAX},
    {.name = "weights",
     .kind = JSON_KIND_OBJECT,
     .flags = JSON_OPTIONAL,
     .offset = offsetof(struct settings, weights),
     .shape = &weight_shape},
    FIELD(front_threads, JSON_KIND_U32, JSON_OPTIONAL, 1, THREADS_MAX),
    FIELD(upstream_threads, JSON_KIND_U32, JSON_OPTIONAL, 1, THREADS_MAX),
    FIELD(election_timeout_ms, JSON_KIND_U32, JSON_OPTIONAL, 50, 60000),
    FIELD(heartbeat_ms, JSON_KIND_U32, JSON_OPTIONAL, 10, 10000),
    FIELD(config_lease_ms, JSON_KIND_U32, JSON_OPTIONAL, 200, 60000),
    FIELD(worker_lease_ms, JSON_KIND_U32, JSON_OPTIONAL, 200, DURATION_MAX_MS),
    FIELD(endpoint_lease_ms, JSON_KIND_U32, JSON_OPTIONAL, 200, 60000),
    FIELD(longest_request_ms, JSON_KIND_U32, JSON_OPTIONAL, 100,
          DURATION_MAX_MS),
    FIELD(drain_notice_ms, JSON_KIND_U32, JSON_OPTIONAL, 0, 600000),
    FIELD(drain_deadline_ms, JSON_KIND_U32, JSON_OPTIONAL, 100,
          DURATION_MAX_MS),
    FIELD(snapshot_entries, JSON_KIND_U32, JSON_OPTIONAL, 10, 100000000),
    {.name = "log_level",
     .kind = JSON_KIND_ENUM,
     .flags = JSON_OPTIONAL,
     .offset = offsetof(struct settings, log_level),
     .names = log_level_names},
};

static const struct json_shape settings_shape = {
    settings_fields, sizeof(settings_fields) / sizeof(settings_fields[0]),
    sizeof(struct settings)};

static void
set_defaults(struct settings *s)
{
    struct sched_config sched;

    sched_config_default(&sched);
    *s = (struct settings){
        .weights = sched.weights,
        .front_threads = 4,
        .upstream_threads = 2,
        .election_timeout_ms = 500,
        .heartbeat_ms = 100,
        .config_lease_ms = 3000,
        .worker_lease_ms = 10000,
        .endpoint_lease_ms = 3000,
        .longest_request_ms = 30000,
        .drain_notice_ms = 3000,
        .drain_deadline_ms = 60000,
        .snapshot_entries = 100000,
        .log_level = 4,
    };
}

/* The settings file and its text, for error messages. */
struct source {
    const char *file;
    struct buf text;
};

static bool
report_error(const char *file, int line, const char *field,
             const char *message)
{
    fprintf(stderr, "guavarockd: %s:%d: field %s: %s\n", file, line,
            field[0] == '\0' ? "-" : field, message);
    return false;
}

/* Reports an error in a member of the settings object. A missing member is
 * reported on line 1, where the object starts. */
static bool
report_member_error(const struct source *source, const char *member,
                    const char *message)
{
    int line = json_member_line(buf_str(&source->text), member);

    return report_error(source->file, line == 0 ? 1 : line, member, message);
}

/* Derives the cluster key by hashing the text of the key file without trailing
 * white space. Any text that is long enough may be used, for example the
 * output of "openssl rand -hex 32". */
static bool
read_cluster_key(struct settings *s, const struct source *source)
{
    struct buf path = {0};
    struct buf text = {0};
    bool ok;

    buf_printf(&path, "%.*s", STR_ARG(s->cluster_key_file));
    ok = file_read(path.ptr, FILE_MAX_BYTES, &text);
    while (text.len > 0 && text.ptr[text.len - 1] <= ' ') {
        text.len--;
    }
    if (!ok) {
        report_member_error(source, "cluster_key_file", strerror(errno));
    }
    else if (text.len < CLUSTER_KEY_CHARS_MIN) {
        ok = report_member_error(source, "cluster_key_file",
                                 "the file holds fewer than 32 characters");
    }
    else {
        crypto_generichash(s->cluster_key, sizeof(s->cluster_key),
                           (const unsigned char *)text.ptr, text.len, NULL, 0);
    }
    sodium_memzero(text.ptr, text.cap);
    buf_free(&path);
    buf_free(&text);
    return ok;
}

bool
settings_is_control(const struct settings *s)
{
    for (size_t i = 0; i < s->control_count; i++) {
        if (str_eq(s->control[i].vm, s->vm)) {
            return true;
        }
    }
    return false;
}

static bool
validate(const struct settings *s, const struct source *source)
{
    bool control = settings_is_control(s);

    if (!endpoint_address_ok(s->listen)) {
        return report_member_error(source, "listen", "not a numeric IP:PORT");
    }
    if (s->peer_listen.ptr != NULL && !endpoint_address_ok(s->peer_listen)) {
        return report_member_error(source, "peer_listen",
                                   "not a numeric IP:PORT");
    }
    for (size_t i = 0; i < s->control_count; i++) {
        if (!endpoint_address_ok(s->control[i].address)) {
            return report_member_error(source, "control",
                                       "not a numeric IP:PORT");
        }
    }
    if (s->control_count % 2 == 0) {
        return report_member_error(source, "control",
                                   "list 1, 3 or 5 control VMs");
    }
    if (control && (s->data.ptr == NULL || s->peer_listen.ptr == NULL)) {
        return report_member_error(
            source, s->data.ptr == NULL ? "data" : "peer_listen",
            "is needed on a control VM");
    }
    if (!control && s->data.ptr != NULL) {
        return report_member_error(source, "data",
                                   "this VM is not listed under control");
    }
    if (s->heartbeat_ms * 2 > s->election_timeout_ms) {
        return report_member_error(
            source, "heartbeat_ms",
            "must be at most half of election_timeout_ms");
    }
    if (s->drain_notice_ms >= s->drain_deadline_ms) {
        return report_member_error(source, "drain_notice_ms",
                                   "must be less than drain_deadline_ms");
    }
    return true;
}

bool
settings_load(struct settings *s, const char *file)
{
    struct source source = {.file = file};
    struct json_error error;
    bool ok = false;

    set_defaults(s);
    if (!file_read(file, FILE_MAX_BYTES, &source.text)) {
        fprintf(stderr, "guavarockd: %s: cannot be read\n", file);
        goto out;
    }
    s->doc = json_decode(&settings_shape, buf_str(&source.text), s, &error);
    if (s->doc == NULL) {
        report_error(file, error.line, error.field, error.message);
        goto out;
    }
    ok = validate(s, &source) && read_cluster_key(s, &source);
    if (!ok) {
        settings_free(s);
    }
out:
    buf_free(&source.text);
    return ok;
}

static struct settings_control_vm single_vm;

void
settings_single(struct settings *s, const char *listen, const char *data)
{
    set_defaults(s);
    s->single = true;
    s->vm = STR("vm1");
    s->failure_domain = STR("fd1");
    s->listen = str_of(listen);
    s->data = str_of(data);
    s->election_timeout_ms = 100;
    s->heartbeat_ms = 50;
    s->drain_notice_ms = 0;
    single_vm.vm = s->vm;
    s->control = &single_vm;
    s->control_count = 1;
}

void
settings_free(struct settings *s)
{
    if (s->doc != NULL) {
        json_doc_free(s->doc);
    }
    sodium_memzero(s->cluster_key, sizeof(s->cluster_key));
    *s = (struct settings){0};
}
