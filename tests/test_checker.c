/* Each violation that the history checker looks for is planted in a history
 * that is correct otherwise, and must be reported: a checker that overlooks
 * it would let the end-to-end tests pass on a broken daemon. */
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "checker.h"

#define MS "000000"

/* One worker, one endpoint, one list, one key, and work without fault. */
static const char correct[] =
    "{\"t\":1" MS ",\"event\":\"worker\",\"worker\":\"w1\",\"cpu_milli\":2000,"
    "\"memory_mib\":512,\"accelerators\":1}\n"
    "{\"t\":1" MS ",\"event\":\"worker\",\"worker\":\"w2\",\"cpu_milli\":2000,"
    "\"memory_mib\":512,\"accelerators\":1}\n"
    "{\"t\":1" MS ",\"event\":\"endpoint\",\"endpoint\":\"e1\",\"slots\":2}\n"
    "{\"t\":2" MS ",\"event\":\"limit_sent\",\"team\":\"a\",\"tasks\":2}\n"
    "{\"t\":3" MS ",\"event\":\"limit_in_force\",\"team\":\"a\",\"tasks\":2}\n"
    "{\"t\":4" MS ",\"event\":\"submit\",\"team\":\"a\",\"job\":\"j\","
    "\"idempotent\":false}\n"
    "{\"t\":5" MS ",\"event\":\"submitted\",\"team\":\"a\",\"job\":\"j\","
    "\"status\":200}\n"
    "{\"t\":10" MS ",\"event\":\"start\",\"worker\":\"w1\",\"lease\":1,"
    "\"team\":\"a\",\"job\":\"j\",\"task\":0,\"cpu_milli\":1000,"
    "\"memory_mib\":256,\"accelerators\":1}\n"
    "{\"t\":20" MS ",\"event\":\"end\",\"worker\":\"w1\",\"lease\":1,"
    "\"outcome\":\"done\",\"at\":19" MS ",\"cpu_ms\":9,\"memory_mib_s\":2,"
    "\"accelerator_ms\":9}\n"
    "{\"t\":30" MS ",\"event\":\"send\",\"tag\":\"r1\",\"key\":\"k1\","
    "\"idempotent\":false,\"must\":true}\n"
    "{\"t\":31" MS ",\"event\":\"request\",\"endpoint\":\"e1\",\"tag\":\"r1\","
    "\"active\":1}\n"
    "{\"t\":32" MS ",\"event\":\"answer\",\"tag\":\"r1\",\"key\":\"k1\","
    "\"began\":30" MS ",\"must\":true,\"complete\":true,\"status\":200,"
    "\"outcome\":\"done\",\"echo\":\"r1\"}\n"
    "{\"t\":33" MS ",\"event\":\"send\",\"tag\":\"r2\",\"key\":\"k1\","
    "\"idempotent\":false,\"must\":false}\n"
    "{\"t\":34" MS ",\"event\":\"answer\",\"tag\":\"r2\",\"key\":\"k1\","
    "\"began\":33" MS ",\"must\":false,\"complete\":true,\"status\":503,"
    "\"outcome\":\"not-run\",\"echo\":\"\"}\n"
    "{\"t\":40" MS ",\"event\":\"list\",\"list\":\"teams\",\"version\":3,"
    "\"began\":39" MS "}\n"
    "{\"t\":50" MS ",\"event\":\"leaving\",\"endpoint\":\"e1\"}\n"
    "{\"t\":60" MS ",\"event\":\"withdrawn\",\"key\":\"k1\"}\n"
    "{\"t\":90" MS ",\"event\":\"usage\",\"team\":\"a\",\"cpu_ms\":9,"
    "\"memory_mib_s\":2,\"accelerator_ms\":9}\n";

struct plant {
    const char *name;
    const char *lines;
    const char *reported; /* NULL: nothing is wrong */
};

#define START(t, worker, lease, team, job, task, cpu)                         \
    "{\"t\":" t MS ",\"event\":\"start\",\"worker\":\"" worker                \
    "\",\"lease\":" lease ",\"team\":\"" team "\",\"job\":\"" job             \
    "\",\"task\":" task ",\"cpu_milli\":" cpu                                 \
    ",\"memory_mib\":1,\"accelerators\":0}\n"
#define END(t, worker, lease, outcome)                                        \
    "{\"t\":" t MS ",\"event\":\"end\",\"worker\":\"" worker                  \
    "\",\"lease\":" lease ",\"outcome\":\"" outcome "\"}\n"
#define SEND(t, tag, idempotent)                                              \
    "{\"t\":" t MS ",\"event\":\"send\",\"tag\":\"" tag                       \
    "\",\"key\":\"k1\",\"idempotent\":" idempotent "}\n"
#define SEND_OF(t, tag)                                                       \
    "{\"t\":" t MS ",\"event\":\"send\",\"team\":\"b\",\"tag\":\"" tag        \
    "\",\"key\":\"k1\",\"idempotent\":true}\n"
#define RESPONSE(t, tag)                                                      \
    "{\"t\":" t MS                                                            \
    ",\"event\":\"response\",\"endpoint\":\"e1\",\"tag\":\"" tag "\"}\n"
#define REQUEST(t, tag, active)                                               \
    "{\"t\":" t MS                                                            \
    ",\"event\":\"request\",\"endpoint\":\"e1\",\"tag\":\"" tag               \
    "\",\"active\":" active "}\n"
#define ANSWER(t, began, tag, must, complete, status, outcome, echo)          \
    "{\"t\":" t MS ",\"event\":\"answer\",\"tag\":\"" tag                     \
    "\",\"key\":\"k1\",\"began\":" began MS ",\"must\":" must                 \
    ",\"complete\":" complete ",\"status\":" status ",\"outcome\":\"" outcome \
    "\",\"echo\":\"" echo "\"}\n"

static const struct plant plants[] = {
    {"correct", "", NULL},
    {"capacity",
     START("11", "w1", "2", "b", "k", "0", "1500")
         END("12", "w1", "2", "done"),
     "capacity exceeded"},
    {"two-places",
     START("11", "w2", "2", "a", "j", "0", "1") END("12", "w2", "2", "done"),
     "runs in two places"},
    {"job-again",
     START("25", "w2", "2", "a", "j", "0", "1") END("26", "w2", "2", "done"),
     "non-idempotent job a/j started again"},
    {"job-continued",
     "{\"t\":21" MS ",\"event\":\"submit\",\"team\":\"b\",\"job\":\"c\","
     "\"idempotent\":false}\n" START("25", "w2", "2", "b", "c", "0", "1")
         END("26", "w2", "2", "checkpointed") START(
             "27", "w2", "3", "b", "c", "0", "1") END("28", "w2", "3", "done"),
     NULL},
    {"lease-again", START("25", "w1", "1", "b", "k", "0", "1"),
     "started twice"},
    {"refused-job",
     "{\"t\":6" MS ",\"event\":\"submitted\",\"team\":\"b\",\"job\":\"r\","
     "\"status\":403}\n" START("25", "w2", "2", "b", "r", "0", "1"),
     "was refused but ran"},
    {"limit",
     START("11", "w2", "2", "a", "x", "0", "1")
         START("12", "w2", "3", "a", "x", "1", "1")
             END("13", "w2", "2", "done") END("13", "w2", "3", "done"),
     "limit exceeded"},
    {"limit-lowered",
     START("11", "w2", "2", "a", "x", "0",
           "1") "{\"t\":12" MS
                ",\"event\":\"limit_sent\",\"team\":\"a\",\"tasks\":1}\n"
                "{\"t\":14" MS ",\"event\":\"limit_in_force\",\"team\":\"a\","
                "\"tasks\":1}\n" END("15", "w2", "2", "done"),
     "limit exceeded"},
    {"limit-cpu",
     "{\"t\":7" MS ",\"event\":\"limit_in_force\",\"team\":\"b\","
     "\"cpu_milli\":900}\n" START("11", "w2", "2", "b", "x", "0", "600")
         START("12", "w2", "3", "b", "x", "1", "600")
             END("13", "w2", "2", "done") END("13", "w2", "3", "done"),
     "limit exceeded"},
    {"limit-cpu-kept",
     "{\"t\":7" MS ",\"event\":\"limit_in_force\",\"team\":\"b\","
     "\"cpu_milli\":900}\n" START("11", "w2", "2", "b", "x", "0", "600") END(
         "12", "w2", "2", "done") START("13", "w2", "3", "b", "x", "1", "600")
         END("14", "w2", "3", "done"),
     NULL},
    {"limit-requests",
     "{\"t\":7" MS ",\"event\":\"limit_in_force\",\"team\":\"b\","
     "\"requests\":1}\n" SEND_OF("35", "r3") SEND_OF("35", "r4")
         REQUEST("36", "r3", "1") REQUEST("37", "r4", "2") RESPONSE("38", "r3")
             RESPONSE("38", "r4"),
     "limit exceeded"},
    {"limit-requests-kept",
     "{\"t\":7" MS ",\"event\":\"limit_in_force\",\"team\":\"b\","
     "\"requests\":1}\n" SEND_OF("35", "r3") SEND_OF("35", "r4")
         REQUEST("36", "r3", "1") RESPONSE("37", "r3") REQUEST("38", "r4", "1")
             RESPONSE("39", "r4"),
     NULL},
    {"request-again", REQUEST("32", "r1", "1"),
     "non-idempotent request r1 ran 2 times"},
    {"request-retried",
     SEND("35", "r3", "true") REQUEST("36", "r3", "1") REQUEST("37", "r3", "1")
         ANSWER("38", "35", "r3", "false", "true", "200", "done", "r3"),
     NULL},
    {"wrong-echo",
     SEND("35", "r3", "true") REQUEST("36", "r3", "1")
         ANSWER("37", "35", "r3", "false", "true", "200", "done", "r1"),
     "wrong answer"},
    {"half-echo",
     SEND("35", "r33", "true") REQUEST("36", "r33", "1")
         ANSWER("37", "35", "r33", "false", "true", "200", "done", "r3"),
     "wrong answer"},
    {"not-run", REQUEST("34", "r2", "1"), "not-run is false"},
    {"unsent", REQUEST("34", "r9", "1"), "was never sent"},
    {"slots", SEND("35", "r3", "true") REQUEST("36", "r3", "3"),
     "slots exceeded"},
    {"planned-stop",
     SEND("35", "r3", "true")
         ANSWER("37", "35", "r3", "true", "true", "503", "not-run", ""),
     "a planned stop broke request"},
    {"planned-stop-cut",
     SEND("35", "r3", "true")
         ANSWER("37", "35", "r3", "true", "false", "200", "done", ""),
     "a planned stop broke request"},
    {"key-accepted",
     SEND("65", "r3", "true")
         ANSWER("66", "65", "r3", "false", "true", "200", "done", "r3"),
     "a withdrawn key was accepted"},
    {"key-ran",
     "{\"t\":64" MS ",\"event\":\"endpoint\",\"endpoint\":\"e1\","
     "\"slots\":2}\n" SEND("65", "r3", "true") REQUEST("66", "r3", "1")
         ANSWER("67", "65", "r3", "false", "false", "0", "", ""),
     "a withdrawn key was accepted"},
    {"key-refused",
     SEND("65", "r3", "true")
         ANSWER("66", "65", "r3", "false", "true", "401", "not-run", ""),
     NULL},
    {"leaving", SEND("51", "r3", "true") REQUEST("58", "r3", "1"),
     "leaving endpoint e1 got a new request"},
    {"leaving-soon", SEND("51", "r3", "true") REQUEST("53", "r3", "1"), NULL},
    {"list-back",
     "{\"t\":45" MS ",\"event\":\"list\",\"list\":\"teams\",\"version\":2,"
     "\"began\":41" MS "}\n",
     "list version went back"},
    {"list-overlap",
     "{\"t\":45" MS ",\"event\":\"list\",\"list\":\"teams\",\"version\":2,"
     "\"began\":38" MS "}\n",
     NULL},
    {"usage",
     "{\"t\":91" MS ",\"event\":\"usage\",\"team\":\"a\",\"cpu_ms\":10,"
     "\"memory_mib_s\":2,\"accelerator_ms\":9}\n",
     "usage of team a: cpu_ms"},
    {"usage-lost",
     "{\"t\":91" MS ",\"event\":\"usage\",\"team\":\"a\",\"cpu_ms\":9,"
     "\"memory_mib_s\":2,\"accelerator_ms\":0}\n",
     "usage of team a: accelerator_ms"},
    {"no-json", "{\"t\":91" MS ",\"event\":\n", "is not JSON"},
};

static void
test_plant(gconstpointer data)
{
    const struct plant *plant = data;
    const struct checker_options options = {.leaving_ns = 5000000};
    struct buf report = {0};
    char path[] = "/tmp/guavarock-checker-XXXXXX";
    int fd = mkstemp(path);
    int violations;

    g_assert_cmpint(write(fd, correct, strlen(correct)), >, 0);
    g_assert_cmpint(write(fd, plant->lines, strlen(plant->lines)), >=, 0);
    close(fd);
    violations = checker_run(path, &options, &report);
    g_unlink(path);
    buf_append(&report, "", 1);
    g_test_message("%s", report.ptr);
    if (plant->reported == NULL) {
        g_assert_cmpint(violations, ==, 0);
    }
    else {
        g_assert_cmpint(violations, >, 0);
        g_assert_nonnull(strstr(report.ptr, plant->reported));
    }
    buf_free(&report);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(plants); i++) {
        char *name = g_strconcat("/checker/", plants[i].name, NULL);

        g_test_add_data_func(name, &plants[i], test_plant);
        g_free(name);
    }
    return g_test_run();
}
