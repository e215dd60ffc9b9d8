#include "odd_entries.h"

#include <glib.h>
#include <string.h>

#define VALUE(NAME, MEMBER, TEXT)                                             \
    {                                                                         \
        .name = (NAME), .member = (MEMBER), .before = (TEXT)                  \
    }
#define MISSING(MEMBER)                                                       \
    {                                                                         \
        .name = "missing-" MEMBER, .member = (MEMBER)                         \
    }
#define REPEATED(NAME, MEMBER, BEFORE, TEXT, COUNT, AFTER)                    \
    {                                                                         \
        (NAME), (MEMBER), (BEFORE), (TEXT), (COUNT), (AFTER)                  \
    }
#define SIZE(CPU, MEMORY, GPU)                                                \
    "{\"cpu\":" CPU ",\"memoryRequestMb\":" MEMORY ",\"gpu\":" GPU "}"

const struct odd_entry odd_entries[] = {
    REPEATED("nested-arrays", "extra", "", "[", 500000, ""),
    REPEATED("nested-objects", "extra", "", "{\"a\":", 150000, ""),
    REPEATED("nested-labels", "labels", "", "[", 100000, ""),
    VALUE("integer-beyond-64-bits", "slots", "99999999999999999999999"),
    VALUE("real-beyond-range", "slots", "1e999"),
    VALUE("slots-beyond-range", "slots", "1e300"),
    VALUE("slots-negative", "slots", "-1"),
    VALUE("slots-type", "slots", "\"8\""),
    VALUE("port-0", "address", "\"10.0.0.1:0\""),
    VALUE("port-65536", "address", "\"10.0.0.1:65536\""),
    VALUE("port-99999", "address", "\"10.0.0.1:99999\""),
    VALUE("port-beyond-64-bits", "address",
          "\"10.0.0.1:18446744073709551696\""),
    VALUE("port-negative", "address", "\"10.0.0.1:-1\""),
    VALUE("port-letters", "address", "\"10.0.0.1:8080x\""),
    VALUE("port-empty", "address", "\"10.0.0.1:\""),
    VALUE("no-port", "address", "\"10.0.0.1\""),
    VALUE("host-name", "address", "\"worker-1:8080\""),
    VALUE("host-empty", "address", "\":8080\""),
    VALUE("host-path", "address", "\"10.0.0.1/x:8080\""),
    VALUE("host-user", "address", "\"a@10.0.0.1:8080\""),
    VALUE("ipv6-unbracketed", "address", "\"fe80::1:8080\""),
    VALUE("ipv6-open", "address", "\"[::1:8080\""),
    VALUE("address-empty", "address", "\"\""),
    VALUE("address-line-feed", "address", "\"10.0.0.1:80\\n\""),
    VALUE("address-nul", "address", "\"10.0.0.1:80\\u0000\""),
    VALUE("address-type", "address", "8080"),
    REPEATED("address-long", "address", "\"", "1", 100000, ":80\""),
    MISSING("address"),
    VALUE("state-unknown", "state", "\"gone\""),
    VALUE("state-type", "state", "1"),
    MISSING("state"),
    VALUE("service-type", "service", "{}"),
    VALUE("service-bytes", "service", "\"\xff\xfe\""),
    REPEATED("service-long", "service", "\"", "s", 100000, "\""),
    MISSING("service"),
    VALUE("zone-type", "zone", "7"),
    REPEATED("zone-long", "zone", "\"", "z", 100000, "\""),
    MISSING("zone"),
    REPEATED("machine-long", "machine", "\"", "m", 100000, "\""),
    VALUE("capacity-type", "capacity", "[1,2,3]"),
    VALUE("capacity-negative", "capacity", SIZE("-1", "8192", "0")),
    VALUE("capacity-cpu-2^63", "capacity",
          SIZE("9223372036854775807", "8192", "0")),
    VALUE("capacity-memory-2^63", "capacity",
          SIZE("4000", "9223372036854775807", "0")),
    VALUE("capacity-gpu-2^64", "capacity",
          SIZE("4000", "8192", "18446744073709551615")),
    VALUE("capacity-real", "capacity", SIZE("1e300", "8192", "0")),
    VALUE("capacity-real-2^64", "capacity",
          SIZE("18446744073709551616.0", "8192", "0")),
    MISSING("capacity"),
    VALUE("labels-type", "labels", "\"a\""),
    VALUE("label-type", "labels", "[\"a\",7]"),
    REPEATED("label-long", "labels", "[\"", "a", 100000, "\"]"),
    REPEATED("labels-many", "labels", "[\"a\"", ",\"a\"", 100000, "]"),
    VALUE("born-0", "born", "0"),
    VALUE("born-negative", "born", "-1"),
    VALUE("born-type", "born", "\"now\""),
    VALUE("born-fraction", "born", "1700000000000.5"),
    VALUE("born-2^63", "born", "9223372036854775807"),
    VALUE("born-real", "born", "1e300"),
    VALUE("born-microseconds", "born", "1700000000000000"),
    VALUE("sequence-2^63", "sequence", "9223372036854775807"),
    VALUE("sequence-real", "sequence", "1e300"),
    VALUE("sequence-negative", "sequence", "-4"),
    VALUE("sequence-type", "sequence", "[]"),
    VALUE("clock-2^63", "clockMs", "9223372036854775807"),
    VALUE("clock-real", "clockMs", "1e300"),
    VALUE("clock-type", "clockMs", "\"1\""),
    VALUE("remaining-real", "remainingMs", "1e300"),
};

const size_t odd_entry_count = G_N_ELEMENTS(odd_entries);

static void
append_member(GString *text, const char *name, const char *value)
{
    g_string_append_printf(text, "%s\"%s\":%s", text->len > 1 ? "," : "", name,
                           value);
}

static char *
odd_value(const struct odd_entry *entry)
{
    GString *text = g_string_new(entry->before);

    for (size_t i = 0; i < entry->count; i++) {
        g_string_append(text, entry->repeated);
    }
    g_string_append(text, entry->after == NULL ? "" : entry->after);
    return g_string_free(text, FALSE);
}

char *
odd_entry_body(const struct odd_entry *entry, const char *address,
               int64_t born_ms)
{
    char *quoted = g_strdup_printf("\"%s\"", address);
    char *born = g_strdup_printf("%lld", (long long)born_ms);
    const char *const members[][2] = {
        {"service", "\"svc\""},
        {"address", quoted},
        {"zone", "\"z\""},
        {"version", "\"v1\""},
        {"slots", "8"},
        {"state", "\"ready\""},
        {"coldRemainingMs", "0"},
        {"capacity", SIZE("4000", "8192", "0")},
        {"labels", "[\"a\",\"r1\"]"},
        {"clockMs", "482113"},
        {"born", born},
        {"sequence", "4"},
    };
    GString *text = g_string_new("{");

    for (size_t i = 0; i < G_N_ELEMENTS(members); i++) {
        if (entry == NULL || strcmp(members[i][0], entry->member) != 0) {
            append_member(text, members[i][0], members[i][1]);
        }
    }
    if (entry != NULL && entry->before != NULL) {
        char *value = odd_value(entry);

        append_member(text, entry->member, value);
        g_free(value);
    }
    g_string_append_c(text, '}');
    g_free(born);
    g_free(quoted);
    return g_string_free(text, FALSE);
}

#define TASK "\"00000000000000ab.0.1.2\""
#define RUNNING(NAME, ROW)                                                    \
    {                                                                         \
        .name = (NAME), .running_unreadable = 1, .running = "[" ROW "]"       \
    }
#define ENDED(NAME, ROW)                                                      \
    {                                                                         \
        .name = (NAME), .ended_unreadable = 1, .ended = "[" ROW "]"           \
    }
#define RUN(NUMBER) "[" TASK "," NUMBER ",\"\",1,0]"
#define END(NUMBER) "[" NUMBER "," TASK ",1,\"done\",\"\"]"
#define NAMED(TEXT) "[\"" TEXT "\",1,\"\",1,0]"

const struct odd_answer odd_answers[] = {
    {.name = "clock-2^63", .clock = "9223372036854775807"},
    {.name = "clock-real", .clock = "1e300"},
    {.name = "clock-negative", .clock = "-1"},
    {.name = "clock-type", .clock = "\"1\""},
    {.name = "born-real", .born = "1e300"},
    {.name = "born-negative", .born = "-1"},
    {.name = "born-type", .born = "\"now\""},
    {.name = "running-type", .running = "7"},
    RUNNING("running-row-type", "7"),
    RUNNING("running-row-empty", "[]"),
    RUNNING("running-row-nested", "[[[[[]]]]]"),
    RUNNING("run-0", RUN("0")),
    RUNNING("run-negative", RUN("-1")),
    RUNNING("run-2^32+1", RUN("4294967297")),
    RUNNING("run-real", RUN("1.5")),
    RUNNING("run-type", RUN("\"1\"")),
    RUNNING("task-index-2^32+2", NAMED("00000000000000ab.0.1.4294967298")),
    RUNNING("task-index-negative", NAMED("00000000000000ab.0.1.-2")),
    RUNNING("task-rest", NAMED("00000000000000ab.0.1.2x")),
    RUNNING("task-more-parts", NAMED("00000000000000ab.0.1.2.3")),
    RUNNING("task-fewer-parts", NAMED("00000000000000ab.0.1")),
    RUNNING("task-short-id", NAMED("ab.0.1.2")),
    RUNNING("task-prefixed-id", NAMED("0x000000000000ab.0.1.2")),
    RUNNING("task-negative-id", NAMED("-0000000000000ab.0.1.2")),
    RUNNING("task-space", NAMED(" 0000000000000ab.0.1.2")),
    {.name = "ended-type", .ended = "{}"},
    ENDED("ended-row-type", "null"),
    ENDED("end-0", END("0")),
    ENDED("end-negative", END("-1")),
    ENDED("end-2^32", END("4294967296")),
    ENDED("end-2^63", END("9223372036854775807")),
    ENDED("end-real", END("1.5")),
    ENDED("end-how", "[1," TASK ",1,\"gone\",\"\"]"),
    ENDED("end-run-2^32+1", "[1," TASK ",4294967297,\"done\",\"\"]"),
    ENDED("end-how-nul", "[1," TASK ",1,\"done\\u0000\",\"\"]"),
    RUNNING("task-nul", NAMED("00000000000000ab.0.1.2\\u0000")),
    {.name = "ended-many", .ended_count = 50000, .ended_unreadable = 49500},
    {.name = "running-many",
     .running_count = 100000,
     .running_unreadable = 95904},
};

const size_t odd_answer_count = G_N_ELEMENTS(odd_answers);

static void
append_running(GString *text, size_t count)
{
    g_string_append(text, "[");
    for (size_t i = 0; i < count; i++) {
        g_string_append_printf(text, "%s[\"%016zx.0.0.0\",1,\"\",1,0]",
                               i > 0 ? "," : "", i + 0x1000000);
    }
    g_string_append(text, "]");
}

static void
append_ended(GString *text, size_t count)
{
    g_string_append(text, "[");
    for (size_t i = 0; i < count; i++) {
        g_string_append_printf(text,
                               "%s[%zu,\"%016zx.0.0.0\",1,\"done\",\"\"]",
                               i > 0 ? "," : "", i + 1, i + 0x1000000);
    }
    g_string_append(text, "]");
}

char *
odd_answer_body(const struct odd_answer *answer, int64_t born_ms)
{
    GString *text = g_string_new("{\"clockMs\":");

    g_string_append(text, answer->clock == NULL ? "1000" : answer->clock);
    g_string_append(text, ",\"born\":");
    if (answer->born == NULL) {
        g_string_append_printf(text, "%lld", (long long)born_ms);
    }
    else {
        g_string_append(text, answer->born);
    }
    g_string_append(text, ",\"running\":");
    if (answer->running == NULL) {
        append_running(text, answer->running_count);
    }
    else {
        g_string_append(text, answer->running);
    }
    g_string_append(text, ",\"finished\":");
    if (answer->ended == NULL) {
        append_ended(text, answer->ended_count);
    }
    else {
        g_string_append(text, answer->ended);
    }
    return g_string_free(g_string_append_c(text, '}'), FALSE);
}
