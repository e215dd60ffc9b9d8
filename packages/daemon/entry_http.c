/*
 * HTTP calls to an entry. Probes and metrics are answered here, requests to
 * services go to serve.c, announcements of endpoints to entry_announce.c, and
 * all other calls to the leader.
 */
#include <sodium.h>

#include "caller.h"
#include "counter.h"
#include "endpoint.h"
#include "entry_impl.h"
#include "leader.h"
#include "operator.h"
#include "probe.h"
#include "worker.h"

static const struct api_table *const tables[] = {
    &caller_routes, &endpoint_routes, &worker_routes, &operator_routes,
    &probe_routes};

void
entry_refuse_call(struct front_call *call, int status, const char *code,
                  const char *message, const char *outcome, int retry_after_s)
{
    struct front_response response = {.status = status};
    struct api_error error;
    struct buf text = {0};

    api_fail(&error, status, code, "", "%s", message);
    api_error_render(&error, &response.body);
    http_headers_add(&response.headers, STR("Content-Type"),
                     STR("application/json"));
    http_headers_add(&response.headers, STR("Guavarock-Outcome"),
                     str_of(outcome));
    if (retry_after_s > 0) {
        buf_printf(&text, "%d", retry_after_s);
        http_headers_add(&response.headers, STR("Retry-After"),
                         buf_str(&text));
        buf_free(&text);
    }
    front_respond(call, &response);
}

void
hash_bearer_key(struct str key, uint8_t hash[STATE_HASH_BYTES])
{
    crypto_generichash(hash, STATE_HASH_BYTES, (const unsigned char *)key.ptr,
                       key.len, NULL, 0);
}

static void
send_probe_answer(struct front_call *call, bool ok, const char *reason)
{
    struct front_response response = {.status = ok ? 200 : 503};
    struct probe_answer probe = {ok,
                                 ok ? (struct str){NULL, 0} : str_of(reason)};

    probe_answer_render(&probe, &response.body);
    http_headers_add(&response.headers, STR("Content-Type"),
                     STR("application/json"));
    front_respond(call, &response);
}

static void
send_ready_answer(struct entry *e, struct front_call *call)
{
    if (e->control->drain != DRAIN_NONE) {
        send_probe_answer(call, false, "draining");
    }
    else {
        send_probe_answer(call, entry_is_ready(e),
                          entry_has_config_lease(e)
                              ? "no endpoints or units yet"
                              : "no configuration lease");
    }
}

static void
set_gauge(const char *name, const char *help, uint64_t value)
{
    counter_set(counter_get(COUNTER_GAUGE, name, help), value);
}

static void
update_gauges(const struct entry *e)
{
    struct router_stats stats;

    router_stats(e->router, &stats);
    set_gauge("guavarock_requests_queued", "Requests that wait for a slot.",
              stats.queued);
    set_gauge("guavarock_requests_in_flight", "Requests at endpoints.",
              stats.in_flight);
    set_gauge("guavarock_slots_held", "Endpoint slots leased to this entry.",
              stats.slots_held);
    set_gauge("guavarock_endpoints", "Endpoints known.", stats.endpoints);
    set_gauge("guavarock_endpoints_ejected", "Endpoints ejected here.",
              stats.ejected);
    set_gauge("guavarock_requests_sent", "Attempts sent to endpoints.",
              stats.sent);
    set_gauge("guavarock_request_retries", "Attempts after the first.",
              stats.retries);
    set_gauge("guavarock_requests_refused", "Requests refused as not-run.",
              stats.refused);
    set_gauge("guavarock_requests_failed", "Requests with an unknown outcome.",
              stats.failed);
    set_gauge("guavarock_requests_completed", "Requests answered.",
              stats.completed);
    set_gauge("guavarock_config_version", "Configuration version applied.",
              confview_version(e->config));
    set_gauge("guavarock_config_lease",
              "1 while the configuration lease lasts.",
              entry_has_config_lease(e));
    set_gauge("guavarock_endpoints_renewed",
              "Endpoints that announce themselves to this entry.",
              announce_cache_count(e->announced));
    set_gauge("guavarock_leading", "1 while this process leads.",
              e->control->leader != NULL);
}

static void
send_metrics(struct entry *e, struct front_call *call)
{
    struct front_response response = {.status = 200};

    update_gauges(e);
    if (e->control->leader != NULL) {
        leader_refresh_metrics(e->control->leader);
    }
    counter_render(&response.body);
    http_headers_add(&response.headers, STR("Content-Type"),
                     STR(PROBE_METRICS_TYPE));
    front_respond(call, &response);
}

static void
refuse_unmatched(struct front_call *call, const struct api_match *match,
                 const struct api_error *error)
{
    struct front_response response = {.status = error->status};

    api_error_render(error, &response.body);
    http_headers_add(&response.headers, STR("Content-Type"),
                     STR("application/json"));
    http_headers_add(&response.headers, STR("Guavarock-Outcome"),
                     STR("not-run"));
    if (error->status == 405) {
        http_headers_add(&response.headers, STR("Allow"),
                         str_of(match->allow));
    }
    front_respond(call, &response);
}

static void
handle_call(struct entry *e, struct front_call *call)
{
    struct api_match match = {0};
    struct api_error error;

    if (!api_match(tables, sizeof(tables) / sizeof(tables[0]), call->method,
                   call->path, &match, &error)) {
        refuse_unmatched(call, &match, &error);
        return;
    }
    switch (match.route) {
    case API_SERVICE_CALL:
        serve_call(e, call, str_of(match.param), match.rest);
        break;
    case API_LIVE:
        send_probe_answer(call, true, "");
        break;
    case API_READY:
        send_ready_answer(e, call);
        break;
    case API_METRICS:
        send_metrics(e, call);
        break;
    case API_WORKER_SYNC:
        forward_worker_sync(e, call, str_of(match.param));
        break;
    case API_ENDPOINT_PUT:
    case API_ENDPOINT_DELETE:
        announce_handle_call(e, call, str_of(match.param));
        break;
    default:
        forward_call(e, call);
    }
}

void
entry_handle_front_item(struct entry *e, struct front_item *item)
{
    switch (item->kind) {
    case FRONT_ITEM_CALL:
        handle_call(e, item->call);
        break;
    case FRONT_ITEM_DISCONNECTED:
        serve_caller_gone(e, item->call);
        break;
    }
    front_item_release(item);
}
