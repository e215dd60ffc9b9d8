/*
 * Reads and checks the settings file.
 */
#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "file.h"
#include "json.h"
#include "mem.h"
#include "node.h"

enum {
    SEEDS_MAX = 8,
    FAILURE_DOMAINS_MAX = 1024,
    FILE_MAX_BYTES = 1 << 20,
    DATA_PATH_MAX_BYTES = 4096,
    SECRET_MIN_BYTES = 16,
};

static const struct json_field seed_fields[] = {
    JSON_STRING_FIELD(node_seed, address, 0, 1, 128),
};

static const struct json_shape seed_shape = JSON_SHAPE(node_seed, seed_fields);

static const struct json_field domain_fields[] = {
    JSON_STRING_FIELD(node_domain, name, 0, 1, 128),
};

static const struct json_shape domain_shape =
    JSON_SHAPE(node_domain, domain_fields);

static const struct json_field settings_fields[] = {
    JSON_STRING_FIELD(node_settings, vm, 0, 1, 128),
    JSON_STRING_FIELD(node_settings, failure_domain, 0, 1, 128),
    JSON_OPTIONAL_LIST_FIELD(node_settings, failure_domains,
                             failure_domain_count, &domain_shape,
                             FAILURE_DOMAINS_MAX),
    JSON_STRING_FIELD(node_settings, caller_listen, JSON_OPTIONAL, 0, 128),
    JSON_STRING_FIELD(node_settings, ready_listen, JSON_OPTIONAL, 0, 128),
    JSON_STRING_FIELD(node_settings, control_listen, JSON_OPTIONAL, 0, 128),
    JSON_STRING_FIELD(node_settings, metrics_listen, JSON_OPTIONAL, 0, 128),
    JSON_STRING_FIELD(node_settings, peer_listen, 0, 1, 128),
    JSON_U32_FIELD(node_settings, peer_port, 0, 1, 65535),
    JSON_STRING_FIELD(node_settings, data, JSON_OPTIONAL, 0,
                      DATA_PATH_MAX_BYTES),
    JSON_LIST_FIELD(node_settings, seeds, seed_count, &seed_shape, SEEDS_MAX),
    JSON_BOOL_FIELD(node_settings, first_start, 0),
    JSON_STRING_FIELD(node_settings, cluster_secret, 0, SECRET_MIN_BYTES, 256),
    JSON_STRING_FIELD(node_settings, approval_address, JSON_OPTIONAL, 0, 128),
    JSON_U64_FIELD(node_settings, heartbeat_ms, 0, 1, 3600000),
    JSON_U64_FIELD(node_settings, lease_max_ms, 0, 100, 3600000),
    JSON_U64_FIELD(node_settings, job_keep_s, 0, 1, 86400),
    JSON_U64_FIELD(node_settings, grace_s, 0, 0, 3600),
};

static const struct json_shape settings_shape =
    JSON_SHAPE(node_settings, settings_fields);

/* Copies all strings and seeds, which are owned by the JSON document. */
static void
copy_strings(struct node_settings *s)
{
    struct str *texts[] = {&s->vm,
                           &s->failure_domain,
                           &s->caller_listen,
                           &s->ready_listen,
                           &s->control_listen,
                           &s->peer_listen,
                           &s->metrics_listen,
                           &s->data,
                           &s->cluster_secret,
                           &s->approval_address};
    struct node_seed *seeds = mem_zalloc(s->seed_count + 1, sizeof(*seeds));
    struct node_domain *domains =
        mem_zalloc(s->failure_domain_count + 1, sizeof(*domains));

    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        *texts[i] = str_dup(*texts[i]);
    }
    for (size_t i = 0; i < s->seed_count; i++) {
        seeds[i].address = str_dup(s->seeds[i].address);
    }
    s->seeds = seeds;
    for (size_t i = 0; i < s->failure_domain_count; i++) {
        domains[i].name = str_dup(s->failure_domains[i].name);
    }
    s->failure_domains = domains;
}

void
node_settings_free(struct node_settings *s)
{
    str_free(&s->vm);
    str_free(&s->failure_domain);
    str_free(&s->caller_listen);
    str_free(&s->ready_listen);
    str_free(&s->control_listen);
    str_free(&s->metrics_listen);
    str_free(&s->peer_listen);
    str_free(&s->data);
    str_free(&s->cluster_secret);
    str_free(&s->approval_address);
    for (size_t i = 0; i < s->seed_count; i++) {
        str_free(&s->seeds[i].address);
    }
    mem_free(s->seeds);
    for (size_t i = 0; i < s->failure_domain_count; i++) {
        str_free(&s->failure_domains[i].name);
    }
    mem_free(s->failure_domains);
    *s = (struct node_settings){0};
}

static bool
check_consistency(const struct node_settings *s, const char *path)
{
    const char *error = NULL;

    if (s->control_listen.len > 0 && s->data.len == 0) {
        error = "data: a control VM requires a data directory";
    }
    else if (s->control_listen.len == 0 && s->caller_listen.len == 0) {
        error = "caller_listen: must be set if control_listen is not";
    }
    else if (s->seed_count == 0) {
        error = "seeds: at least one seed is required";
    }
    if (error != NULL) {
        fprintf(stderr, "guavarockd: %s: field %s\n", path, error);
    }
    return error == NULL;
}

bool
node_settings_load(struct node_settings *s, const char *path)
{
    struct json_error error;
    struct json_doc *doc;
    struct buf text = {0};

    *s = (struct node_settings){0};
    if (!file_read(path, FILE_MAX_BYTES, &text)) {
        fprintf(stderr, "guavarockd: %s: %s\n", path, strerror(errno));
        buf_free(&text);
        return false;
    }
    doc = json_decode(&settings_shape, buf_str(&text), s, &error);
    if (doc == NULL) {
        fprintf(stderr, "guavarockd: %s:%d: field %s: %s\n", path, error.line,
                error.field, error.message);
        *s = (struct node_settings){0};
        buf_free(&text);
        return false;
    }
    copy_strings(s);
    json_doc_free(doc);
    buf_free(&text);
    if (!check_consistency(s, path)) {
        node_settings_free(s);
        return false;
    }
    return true;
}
