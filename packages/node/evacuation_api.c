/*
 * The product's own calls about evacuations, on the control VMs' API port:
 * GET /v1/evacuations, and PUT and DELETE of /v1/evacuations/DOMAIN.
 */
#include "evacuation_api.h"

#include "json.h"
#include "mem.h"

#define EVACUATIONS_PATH "/v1/evacuations"

struct evacuation_row {
    struct str failure_domain;
    bool evacuated;
    int64_t changed_ms;
    struct str via;
    uint32_t tasks;
    int64_t empty_s; /* rounded up */
};

struct change_row {
    struct str failure_domain;
    bool evacuated;
    uint64_t change;
    int64_t changed_ms;
    struct str via;
};

struct evacuation_list {
    struct evacuation_row *evacuations;
    size_t evacuation_count;
    struct change_row *changes;
    size_t change_count;
};

static const struct json_field evacuation_fields[] = {
    JSON_STRING_FIELD(evacuation_row, failure_domain, 0, 0, INT64_MAX),
    JSON_BOOL_FIELD(evacuation_row, evacuated, 0),
    JSON_I64_FIELD(evacuation_row, changed_ms, 0, 0, INT64_MAX),
    JSON_STRING_FIELD(evacuation_row, via, 0, 0, INT64_MAX),
    JSON_U32_FIELD(evacuation_row, tasks, 0, 0, UINT32_MAX),
    JSON_I64_FIELD(evacuation_row, empty_s, 0, -1, INT64_MAX),
};

static const struct json_shape evacuation_shape =
    JSON_SHAPE(evacuation_row, evacuation_fields);

static const struct json_field change_fields[] = {
    JSON_STRING_FIELD(change_row, failure_domain, 0, 0, INT64_MAX),
    JSON_BOOL_FIELD(change_row, evacuated, 0),
    JSON_U64_FIELD(change_row, change, 0, 0, INT64_MAX),
    JSON_I64_FIELD(change_row, changed_ms, 0, 0, INT64_MAX),
    JSON_STRING_FIELD(change_row, via, 0, 0, INT64_MAX),
};

static const struct json_shape change_shape =
    JSON_SHAPE(change_row, change_fields);

static const struct json_field list_fields[] = {
    JSON_LIST_FIELD(evacuation_list, evacuations, evacuation_count,
                    &evacuation_shape, SIZE_MAX),
    JSON_LIST_FIELD(evacuation_list, changes, change_count, &change_shape,
                    SIZE_MAX),
};

static const struct json_shape list_shape =
    JSON_SHAPE(evacuation_list, list_fields);

Node__Request *
node_evacuation_request_create(struct str domain, bool active)
{
    Node__Request *request = mem_alloc(sizeof(*request));

    node__request__init(request);
    request->kind_case = NODE__REQUEST__KIND_EVACUATION;
    request->evacuation = mem_alloc(sizeof(*request->evacuation));
    node__evacuation_call__init(request->evacuation);
    request->evacuation->domain = (char *)str_dup(domain).ptr;
    request->evacuation->active = active;
    return request;
}

bool
evacuation_api_is_call(const struct front_call *call)
{
    return str_eq(call->path, STR(EVACUATIONS_PATH)) ||
           str_starts(call->path, STR(EVACUATIONS_PATH "/"));
}

static void
set_error(struct front_response *response, int status, const char *code,
          const char *message)
{
    struct api_error error = {.status = status};

    api_fail(&error, status, code, "", "%s", message);
    response->status = status;
    api_error_render(&error, &response->body);
    http_headers_add(&response->headers, STR("Content-Type"),
                     STR("application/json"));
}

Node__Request *
evacuation_api_decode(const struct front_call *call,
                      struct front_response *response)
{
    struct str prefix = STR(EVACUATIONS_PATH "/");
    struct str domain;
    Node__Request *request;

    if (!str_starts(call->path, prefix)) {
        if (call->method != HTTP_GET) {
            set_error(response, 405, "method_not_allowed", "only GET");
            return NULL;
        }
        request = mem_alloc(sizeof(*request));
        node__request__init(request);
        request->kind_case = NODE__REQUEST__KIND_READ_EVACUATIONS;
        request->read_evacuations = true;
        return request;
    }
    domain =
        str_from(call->path.ptr + prefix.len, call->path.len - prefix.len);
    if (call->method != HTTP_PUT && call->method != HTTP_DELETE) {
        set_error(response, 405, "method_not_allowed", "only PUT and DELETE");
        return NULL;
    }
    return node_evacuation_request_create(domain, call->method == HTTP_PUT);
}

static void
encode_list(const Node__Reply *reply, struct buf *out)
{
    struct evacuation_list list = {0};

    list.evacuations =
        mem_zalloc(reply->n_evacuations + 1, sizeof(*list.evacuations));
    list.changes =
        mem_zalloc(reply->n_evacuation_changes + 1, sizeof(*list.changes));
    for (size_t i = 0; i < reply->n_evacuations; i++) {
        const Node__EvacuationState *in = reply->evacuations[i];

        list.evacuations[list.evacuation_count++] = (struct evacuation_row){
            .failure_domain = str_of(in->domain),
            .evacuated = in->active,
            .changed_ms = in->wall_ms,
            .via = str_of(in->vm),
            .tasks = in->left,
            .empty_s = in->empty_ms < 0 ? -1 : (in->empty_ms + 999) / 1000};
    }
    for (size_t i = 0; i < reply->n_evacuation_changes; i++) {
        const Flow__Evacuation *in = reply->evacuation_changes[i];

        list.changes[list.change_count++] =
            (struct change_row){str_of(in->domain), in->active, in->change,
                                in->wall_ms, str_of(in->vm)};
    }
    json_encode(&list_shape, &list, out);
    mem_free(list.evacuations);
    mem_free(list.changes);
}

static int
http_status(Node__Outcome outcome)
{
    switch (outcome) {
    case NODE__OUTCOME__OK:
        return 200;
    case NODE__OUTCOME__NO_DOMAIN:
        return 404;
    case NODE__OUTCOME__INVALID:
        return 400;
    case NODE__OUTCOME__UNKNOWN:
        return 504;
    default:
        return 503;
    }
}

void
evacuation_api_encode(const Node__Request *request, const Node__Reply *reply,
                      struct front_response *response)
{
    int status = http_status(reply->outcome);

    if (status == 504) {
        http_headers_add(&response->headers, STR("Guavarock-Outcome"),
                         STR("unknown"));
    }
    if (status != 200) {
        set_error(response, status, "refused", reply->reason);
        return;
    }
    response->status = status;
    http_headers_add(&response->headers, STR("Content-Type"),
                     STR("application/json"));
    if (request->kind_case == NODE__REQUEST__KIND_READ_EVACUATIONS) {
        encode_list(reply, &response->body);
    }
    else {
        buf_append_str(&response->body, STR("{}"));
    }
}
