#include "bodies.h"

#include <stdlib.h>

/* The functions of a body with the parameters of struct body. */
#define CODEC(name)                                                           \
    static struct json_doc *parse_##name(struct str text, void *out,          \
                                         struct api_error *err)               \
    {                                                                         \
        return name##_parse(text, out, err);                                  \
    }                                                                         \
    static void render_##name(const void *in, struct buf *out)                \
    {                                                                         \
        name##_render(in, out);                                               \
    }

CODEC(caller_job)
CODEC(caller_job_status)
CODEC(caller_job_list)
CODEC(caller_cancelled)
CODEC(endpoint)
CODEC(endpoint_answer)
CODEC(worker_sync)
CODEC(worker_answer)
CODEC(operator_teams)
CODEC(operator_limits)
CODEC(operator_accepted)
CODEC(operator_key_request)
CODEC(operator_key_created)
CODEC(operator_keys)
CODEC(operator_audit)
CODEC(operator_usage)
CODEC(operator_status)
CODEC(operator_vms)
CODEC(operator_workers)
CODEC(operator_endpoints)
CODEC(operator_team_list)
CODEC(probe_answer)

#define BODY(body, text)                                                      \
    {                                                                         \
        .name = #body, .parse = parse_##body, .render = render_##body,        \
        .example = (text)                                                     \
    }

#define STATUS                                                                \
    "{\"id\":\"j\",\"class\":\"gang\",\"state\":\"unschedulable\","           \
    "\"reason\":\"too big\",\"urgent\":true,\"idempotent\":false,"            \
    "\"tasks\":2,\"cpu_milli\":1,\"memory_mib\":1,\"accelerators\":0,"        \
    "\"run_time_s\":0,\"queued\":2,\"running\":0,\"done\":0,\"failed\":0,"    \
    "\"cancelled\":0,\"unknown\":0,\"submitted_ms\":5,\"ended_ms\":0}"
#define RESOURCES "{\"cpu_milli\":1,\"memory_mib\":2,\"accelerators\":3}"

const struct body bodies[] = {
    BODY(caller_job,
         "{\"class\":\"batch\",\"tasks\":10000,\"cpu_milli\":500,"
         "\"memory_mib\":64,\"accelerators\":0,\"urgent\":false,"
         "\"idempotent\":true,\"run_time_s\":60,\"queue\":\"open\","
         "\"payload\":\"{}\"}"),
    BODY(caller_job_status, STATUS),
    BODY(caller_job_list, "{\"jobs\":[" STATUS "],\"next\":\"j\"}"),
    BODY(caller_cancelled, "{\"cancelled\":3}"),
    BODY(endpoint, "{\"service\":\"ledger\",\"address\":\"10.0.0.1:80\","
                   "\"failure_domain\":\"d1\",\"slots\":8,"
                   "\"connections\":64,\"state\":\"leaving\"}"),
    BODY(endpoint_answer, "{\"lease_ms\":3000}"),
    BODY(worker_sync,
         "{\"incarnation\":1,\"seq\":2,\"rack\":\"r\","
         "\"failure_domain\":\"d\",\"capacity\":" RESOURCES
         ",\"leases\":[{\"lease\":9,\"state\":\"running\"}],"
         "\"finished\":[{\"lease\":8,\"outcome\":\"not-started\","
         "\"exit_code\":-9}],\"usage\":[{\"lease\":9,\"cpu_ms\":1,"
         "\"memory_mib_s\":2,\"accelerator_ms\":3,\"cpu_milli\":4,"
         "\"memory_mib\":5}],\"draining\":true,\"wait_ms\":1000}"),
    BODY(worker_answer,
         "{\"start\":[{\"lease\":10,\"team\":\"t\",\"job\":\"j\",\"task\":0,"
         "\"cpu_milli\":1,\"memory_mib\":1,\"accelerators\":0,"
         "\"payload\":\"p\"}],\"stop\":[1],\"checkpoint\":[2,3],"
         "\"throttle\":[],\"finished_ack\":[4],\"lease_ms\":5000}"),
    BODY(operator_teams,
         "{\"version\":3,\"teams\":[{\"name\":\"a\",\"weight\":2}]}"),
    BODY(operator_limits,
         "{\"version\":3,\"limits\":[{\"team\":\"a\",\"tasks\":1,"
         "\"cpu_milli\":2,\"memory_mib\":3,\"accelerators\":4,"
         "\"requests\":5}]}"),
    BODY(operator_accepted, "{\"version\":4,\"in_force\":true}"),
    BODY(operator_key_request, "{\"kind\":\"team\",\"team\":\"a\"}"),
    BODY(operator_key_created, "{\"id\":\"k1\",\"key\":\"secret\"}"),
    BODY(operator_keys, "{\"keys\":[{\"id\":\"k1\",\"kind\":\"worker\","
                        "\"created_ms\":1}]}"),
    BODY(operator_audit, "{\"entries\":[{\"seq\":1,\"time_ms\":2,"
                         "\"key\":\"k1\",\"action\":\"teams set\","
                         "\"version\":3,\"old_version\":2,"
                         "\"outcome\":\"applied\"}],\"next\":1}"),
    BODY(operator_usage, "{\"month\":\"2026-12\",\"teams\":[{\"team\":\"a\","
                         "\"cpu_ms\":1,\"memory_mib_s\":2,"
                         "\"accelerator_ms\":3}]}"),
    BODY(operator_status,
         "{\"leader\":\"v1\",\"term\":1,\"commit_index\":2,"
         "\"teams_version\":3,\"limits_version\":4,\"vms\":5,"
         "\"vms_draining\":0,\"workers\":6,\"workers_draining\":0,"
         "\"workers_quarantined\":0,\"endpoints\":7,\"jobs_queued\":8,"
         "\"jobs_running\":9,\"jobs_unschedulable\":0,\"tasks_running\":10,"
         "\"capacity\":" RESOURCES ",\"used\":" RESOURCES "}"),
    BODY(operator_vms,
         "{\"vms\":[{\"id\":\"v1\",\"role\":\"leader\",\"address\":\"a:1\","
         "\"failure_domain\":\"d\",\"connected\":true,\"draining\":false,"
         "\"config_version\":3}]}"),
    BODY(operator_workers,
         "{\"workers\":[{\"id\":\"w\",\"state\":\"lost\",\"rack\":\"r\","
         "\"failure_domain\":\"d\",\"capacity\":" RESOURCES
         ",\"used\":" RESOURCES ",\"tasks\":2}]}"),
    BODY(operator_endpoints,
         "{\"endpoints\":[{\"id\":\"e\",\"service\":\"s\","
         "\"address\":\"a:1\",\"failure_domain\":\"d\",\"slots\":8,"
         "\"connections\":64,\"leased\":2,\"state\":\"ejected\"}]}"),
    BODY(operator_team_list,
         "{\"teams\":[{\"team\":\"a\",\"weight\":2,\"tasks\":3,"
         "\"used\":" RESOURCES
         ",\"share_ppm\":250000,\"entitlement_ppm\":500000,"
         "\"jobs_queued\":1,\"jobs_running\":2,\"queued_since_ms\":7}]}"),
    BODY(probe_answer, "{\"ok\":false,\"reason\":\"draining\"}"),
};

const size_t body_count = sizeof(bodies) / sizeof(bodies[0]);

static void
require(bool ok)
{
    if (!ok) {
        abort();
    }
}

static void
check_again(const struct body *body, struct str first)
{
    union body_struct any;
    struct api_error err = {0};
    struct buf second = {0};
    struct json_doc *doc = body->parse(first, &any, &err);

    require(doc != NULL);
    body->render(&any, &second);
    require(str_eq(first, buf_str(&second)));
    json_doc_free(doc);
    buf_free(&second);
}

void
bodies_check(struct str text)
{
    for (size_t i = 0; i < body_count; i++) {
        union body_struct any;
        struct api_error err = {0};
        struct buf first = {0};
        struct json_doc *doc = bodies[i].parse(text, &any, &err);

        if (doc == NULL) {
            require(err.status == 400 && err.message[0] != '\0');
            continue;
        }
        bodies[i].render(&any, &first);
        json_doc_free(doc);
        check_again(&bodies[i], buf_str(&first));
        buf_free(&first);
    }
}
