#ifndef GV_OPERATOR_H
#define GV_OPERATOR_H

#include "api.h"

/* Operators' lists, keys and reports. Parse functions: see caller.h. */

enum {
    OPERATOR_TEAMS_MAX = 10000,
    OPERATOR_WEIGHT_MAX = 1000000,
    OPERATOR_KEYS_MAX = 100000,
    OPERATOR_FLEET_MAX = 200000, /* workers or endpoints in one answer */
    OPERATOR_PAGE_MAX = 1000,
};

struct operator_team {
    struct str name;
    uint32_t weight;
};

/* The version of a list in a file that names none. */
#define OPERATOR_NO_VERSION UINT64_MAX

struct operator_teams {
    uint64_t version;
    struct operator_team *teams;
    size_t count;
};

struct json_doc *
operator_teams_parse(struct str body, struct operator_teams *out,
                     struct api_error *err);
/* Reads a list from a file's text; the version may be left out. Errors carry
 * the line. The document must live as long as *out. */
struct json_doc *
operator_teams_read(struct str text, struct operator_teams *out,
                    struct json_error *err);
void
operator_teams_render(const struct operator_teams *list, struct buf *out);

struct operator_limit {
    struct str team;
    uint64_t tasks;
    uint64_t cpu_milli;
    uint64_t memory_mib;
    uint64_t accelerators;
    uint64_t requests;
};

struct operator_limits {
    uint64_t version;
    struct operator_limit *limits;
    size_t count;
};

struct json_doc *
operator_limits_parse(struct str body, struct operator_limits *out,
                      struct api_error *err);
struct json_doc *
operator_limits_read(struct str text, struct operator_limits *out,
                     struct json_error *err);
void
operator_limits_render(const struct operator_limits *list, struct buf *out);

/*
 * Reads If-Match: "N" and compares it with the body's version. Fails with 428
 * when the header is absent (ptr NULL), 400 when it is malformed or differs.
 */
bool
operator_if_match(struct str if_match, uint64_t body_version,
                  struct api_error *err);

/* Answer to a PUT of a list. */
struct operator_accepted {
    uint64_t version;
    bool in_force;
};

struct json_doc *
operator_accepted_parse(struct str body, struct operator_accepted *out,
                        struct api_error *err);
void
operator_accepted_render(const struct operator_accepted *a, struct buf *out);

struct operator_key_request {
    int kind;        /* enum api_key_kind - API_KEY_TEAM */
    struct str team; /* with kind team only; else ptr NULL */
};

struct json_doc *
operator_key_request_parse(struct str body, struct operator_key_request *out,
                           struct api_error *err);
void
operator_key_request_render(const struct operator_key_request *r,
                            struct buf *out);

struct operator_key_created {
    struct str id;
    struct str key;
};

struct json_doc *
operator_key_created_parse(struct str body, struct operator_key_created *out,
                           struct api_error *err);
void
operator_key_created_render(const struct operator_key_created *k,
                            struct buf *out);

struct operator_key {
    struct str id;
    int kind;        /* enum api_key_kind - API_KEY_TEAM */
    struct str team; /* ptr NULL: none */
    int64_t created_ms;
};

struct operator_keys {
    struct operator_key *keys;
    size_t count;
};

struct json_doc *
operator_keys_parse(struct str body, struct operator_keys *out,
                    struct api_error *err);
void
operator_keys_render(const struct operator_keys *list, struct buf *out);

struct operator_audit_entry {
    uint64_t seq;
    int64_t time_ms;
    struct str key; /* id of the key that acted; ptr NULL: the system */
    struct str action;
    struct str target; /* ptr NULL: none */
    uint64_t version;  /* 0: none */
    uint64_t old_version;
    struct str outcome; /* "applied", or why not */
};

struct operator_audit {
    struct operator_audit_entry *entries;
    size_t count;
    uint64_t next; /* value for ?after=; 0: complete */
};

struct json_doc *
operator_audit_parse(struct str body, struct operator_audit *out,
                     struct api_error *err);
void
operator_audit_render(const struct operator_audit *audit, struct buf *out);

/* Query of GET /v1/audit: ?after=SEQ&limit=N, or ?last=N&limit=M. */
struct operator_page {
    uint64_t after; /* default 0 */
    uint64_t last;  /* start with the newest so many entries; 0: use after */
    uint32_t limit; /* 1 to OPERATOR_PAGE_MAX, which is the default */
};

bool
operator_page_parse(struct str query, struct operator_page *out,
                    struct api_error *err);

struct operator_usage_team {
    struct str team;
    uint64_t cpu_ms;
    uint64_t memory_mib_s;
    uint64_t accelerator_ms;
};

struct operator_usage {
    struct str month; /* YYYY-MM */
    struct operator_usage_team *teams;
    size_t count;
};

struct json_doc *
operator_usage_parse(struct str body, struct operator_usage *out,
                     struct api_error *err);
void
operator_usage_render(const struct operator_usage *usage, struct buf *out);

/* The same as a chart in SVG: for each team bars of processor hours, memory
 * GiB hours and accelerator hours. */
void
operator_usage_chart(const struct operator_usage *usage, struct buf *out);

/* Query ?month=YYYY-MM, required; writes YYYY-MM and a NUL. */
bool
operator_month_parse(struct str query, char out[8], struct api_error *err);

struct operator_resources {
    uint64_t cpu_milli;
    uint64_t memory_mib;
    uint64_t accelerators;
};

struct operator_status {
    struct str leader; /* VM; ptr NULL: unknown */
    uint64_t term;
    uint64_t commit_index;
    uint64_t teams_version;
    uint64_t limits_version;
    uint64_t vms;
    uint64_t vms_draining;
    uint64_t workers;
    uint64_t workers_draining;
    uint64_t workers_quarantined;
    uint64_t endpoints;
    uint64_t jobs_queued;
    uint64_t jobs_running;
    uint64_t jobs_unschedulable;
    uint64_t tasks_running;
    struct operator_resources capacity;
    struct operator_resources used;
};

struct json_doc *
operator_status_parse(struct str body, struct operator_status *out,
                      struct api_error *err);
void
operator_status_render(const struct operator_status *s, struct buf *out);

enum operator_vm_role {
    OPERATOR_VM_ENTRY,
    OPERATOR_VM_CONTROL,
    OPERATOR_VM_LEARNER,
    OPERATOR_VM_LEADER,
};

struct operator_vm {
    struct str id;
    int role; /* enum operator_vm_role */
    struct str address;
    struct str failure_domain;
    bool connected;
    bool draining;
    uint64_t config_version; /* in force there */
};

struct operator_vms {
    struct operator_vm *vms;
    size_t count;
};

struct json_doc *
operator_vms_parse(struct str body, struct operator_vms *out,
                   struct api_error *err);
void
operator_vms_render(const struct operator_vms *list, struct buf *out);

enum operator_worker_state {
    OPERATOR_WORKER_UP,
    OPERATOR_WORKER_DRAINING,
    OPERATOR_WORKER_QUARANTINED,
    OPERATOR_WORKER_LOST,
};

struct operator_worker {
    struct str id;
    int state; /* enum operator_worker_state */
    struct str rack;
    struct str failure_domain;
    struct operator_resources capacity;
    struct operator_resources used;
    uint32_t tasks;
};

struct operator_workers {
    struct operator_worker *workers;
    size_t count;
};

struct json_doc *
operator_workers_parse(struct str body, struct operator_workers *out,
                       struct api_error *err);
void
operator_workers_render(const struct operator_workers *list, struct buf *out);

enum operator_endpoint_state {
    OPERATOR_ENDPOINT_READY,
    OPERATOR_ENDPOINT_LEAVING,
    OPERATOR_ENDPOINT_EJECTED,
};

struct operator_endpoint {
    struct str id;
    struct str service;
    struct str address;
    struct str failure_domain;
    uint32_t slots;
    uint32_t connections;
    uint32_t leased; /* slots that entries hold */
    int state;       /* enum operator_endpoint_state */
};

struct operator_endpoints {
    struct operator_endpoint *endpoints;
    size_t count;
};

struct json_doc *
operator_endpoints_parse(struct str body, struct operator_endpoints *out,
                         struct api_error *err);
void
operator_endpoints_render(const struct operator_endpoints *list,
                          struct buf *out);

/* What a team has and waits for now. */
struct operator_team_status {
    struct str team;
    uint32_t weight;
    uint64_t tasks; /* under lease, starting and stopping too */
    struct operator_resources used;
    uint32_t share_ppm;       /* its largest part of a resource of the fleet */
    uint32_t entitlement_ppm; /* its part by weight among teams with work */
    uint64_t jobs_queued;
    uint64_t jobs_running;
    int64_t queued_since_ms; /* wall clock of the oldest queued job; 0: none */
};

struct operator_team_list {
    struct operator_team_status *teams;
    size_t count;
};

struct json_doc *
operator_team_list_parse(struct str body, struct operator_team_list *out,
                         struct api_error *err);
void
operator_team_list_render(const struct operator_team_list *list,
                          struct buf *out);

extern const struct api_table operator_routes;

#endif
