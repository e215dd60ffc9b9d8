#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "approval_vm.h"
#include "call_outcome.h"
#include "clock.h"
#include "leader_wait.h"
#include "leader_watch.h"
#include "node.h"
#include "open_starts.h"
#include "progress.h"
#include "send_window.h"
#include "worker_lease.h"

static int64_t
ms_to_ns(int64_t ms)
{
    return ms * NS_PER_MS;
}

/* Guards against calls that wait until the caller's deadline while no leader
 * answers, which leaves the caller no time to retry at another entry node. */
static void
leader_wait_bounds(void)
{
    struct leader_wait p = {.arrived = ms_to_ns(1000),
                            .deadline = ms_to_ns(4000),
                            .leader_known = true,
                            .leader_last_known = ms_to_ns(1000)};

    g_assert_cmpint(leader_wait_give_up_at(&p), <=,
                    ms_to_ns(1000) + ms_to_ns(3000) / 4);
    p.forwarded = true;
    g_assert_cmpint(leader_wait_give_up_at(&p), <=,
                    ms_to_ns(1000) + ms_to_ns(3000) / 2);
    g_assert_cmpint(leader_wait_give_up_at(&p), >, ms_to_ns(1700));
    p.deadline = ms_to_ns(1200);
    g_assert_cmpint(leader_wait_give_up_at(&p), <=, ms_to_ns(1100));
}

/* Guards against calls that wait although the control group is down, and
 * against callers that retry too soon during a long outage. */
static void
leader_wait_group_down(void)
{
    struct leader_wait p = {.arrived = ms_to_ns(9000),
                            .deadline = ms_to_ns(12000),
                            .leader_known = false,
                            .leader_last_known = ms_to_ns(1000)};

    g_assert_cmpint(leader_wait_give_up_at(&p), ==, ms_to_ns(9000));
    p.forwarded = true;
    g_assert_cmpint(leader_wait_give_up_at(&p), >, ms_to_ns(9000));
    g_assert_cmpuint(leader_wait_retry_after_ms(&p, ms_to_ns(1100)), ==, 1000);
    g_assert_cmpuint(leader_wait_retry_after_ms(&p, ms_to_ns(9000)), ==, 2000);
}

/* Guards against requests that are sent to a leader that has failed: their
 * outcome is unknown until its session times out, 1.5 s later. A leader that
 * is only busy is still heard by its keepalives and must get its requests. */
static void
silent_leader_gets_no_requests(void)
{
    struct leader_watch w = {0};

    leader_watch_heard(&w, 1, ms_to_ns(1000));
    g_assert_false(leader_watch_is_silent(&w, ms_to_ns(1300)));
    leader_watch_sent(&w, ms_to_ns(1010));
    leader_watch_sent(&w, ms_to_ns(1100));
    g_assert_false(leader_watch_is_silent(&w, ms_to_ns(1200)));
    g_assert_true(leader_watch_is_silent(&w, ms_to_ns(1220)));
    leader_watch_heard(&w, 1, ms_to_ns(1310));
    g_assert_false(leader_watch_is_silent(&w, ms_to_ns(1320)));
    leader_watch_sent(&w, ms_to_ns(1320));
    g_assert_true(leader_watch_is_silent(&w, ms_to_ns(1600)));
    leader_watch_heard(&w, 2, ms_to_ns(1290));
    g_assert_false(leader_watch_is_silent(&w, ms_to_ns(1600)));
    g_assert_true(leader_watch_is_silent(&w, ms_to_ns(2500)));
}

/* Guards against a refusal of a job that runs: the first copy of the call was
 * accepted, and the answer to it lost, before the key or queue was removed. */
static void
refusal_of_second_copy(void)
{
    static const Node__Outcome refusals[] = {
        NODE__OUTCOME__NO_KEY, NODE__OUTCOME__NO_QUEUE, NODE__OUTCOME__INVALID,
        NODE__OUTCOME__BUSY, NODE__OUTCOME__UNAVAILABLE};
    Node__Request request = NODE__REQUEST__INIT;
    Node__JobCall call = NODE__JOB_CALL__INIT;

    request.kind_case = NODE__REQUEST__KIND_JOB;
    request.job = &call;
    for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
        call.verb = NODE__VERB__SUBMIT;
        g_assert_cmpint(call_outcome_replied(&request, 1, refusals[i]), ==,
                        refusals[i]);
        g_assert_cmpint(call_outcome_replied(&request, 2, refusals[i]), ==,
                        NODE__OUTCOME__UNKNOWN);
        call.verb = NODE__VERB__STATE;
        g_assert_cmpint(call_outcome_replied(&request, 2, refusals[i]), ==,
                        refusals[i]);
    }
    call.verb = NODE__VERB__CANCEL;
    g_assert_cmpint(call_outcome_replied(&request, 2, NODE__OUTCOME__OK), ==,
                    NODE__OUTCOME__OK);
    g_assert_cmpint(call_outcome_replied(&request, 2, NODE__OUTCOME__NO_JOB),
                    ==, NODE__OUTCOME__NO_JOB);
    g_assert_cmpint(call_outcome_expired(&request, 0), ==,
                    NODE__OUTCOME__UNAVAILABLE);
    g_assert_cmpint(call_outcome_expired(&request, 1), ==,
                    NODE__OUTCOME__UNKNOWN);
    request.kind_case = NODE__REQUEST__KIND_EVACUATION;
    g_assert_cmpint(
        call_outcome_replied(&request, 2, NODE__OUTCOME__NO_DOMAIN), ==,
        NODE__OUTCOME__UNKNOWN);
    g_assert_cmpint(call_outcome_expired(&request, 1), ==,
                    NODE__OUTCOME__UNKNOWN);
}

/* Guards against restarts of runs that are on time. Early progress reports lag
 * behind: a run at 4% after 450 of 5400 ms was stopped. */
static void
progress_on_time(void)
{
    struct run_progress p = {
        .now = ms_to_ns(448), .percent = 4, .run = 1, .expected_ms = 5402};

    g_assert_false(progress_should_restart(&p));
    g_assert_cmpfloat(progress_projected_ms(&p), ==, 0);
    p.now = ms_to_ns(1307);
    p.progressed = ms_to_ns(1300);
    p.percent = 21;
    p.expected_ms = 2704;
    g_assert_false(progress_should_restart(&p));
}

/* Guards against runs that stay on workers that make no progress or are many
 * times slower than expected, and against an unlimited number of restarts. */
static void
progress_slow(void)
{
    struct run_progress p = {.now = ms_to_ns(5000),
                             .progressed = ms_to_ns(1000),
                             .percent = 30,
                             .run = 1,
                             .expected_ms = 3000};

    g_assert_true(progress_should_restart(&p));
    p.progressed = ms_to_ns(5000);
    g_assert_false(progress_should_restart(&p));
    p.now = ms_to_ns(9000);
    p.progressed = ms_to_ns(9000);
    g_assert_true(progress_should_restart(&p));
    p.run = 4;
    g_assert_false(progress_should_restart(&p));
}

#define SETTINGS(MORE)                                                        \
    "{\"vm\":\"a\",\"failure_domain\":\"d\",\"peer_listen\":"                 \
    "\"127.0.0.1:1\",\"peer_port\":1,\"seeds\":[{\"address\":"                \
    "\"127.0.0.1:2\"}],\"first_start\":true,\"cluster_secret\":"              \
    "\"0123456789abcdef\",\"heartbeat_ms\":1500,\"lease_max_ms\":6000,"       \
    "\"job_keep_s\":120,\"grace_s\":6" MORE "}"

static bool
load_settings(const char *text)
{
    char *dir = g_dir_make_tmp("node-XXXXXX", NULL);
    char *file = g_build_filename(dir, "settings.json", NULL);
    struct node_settings s;
    bool ok;

    g_file_set_contents(file, text, -1, NULL);
    ok = node_settings_load(&s, file);
    if (ok) {
        g_assert_cmpuint(s.seed_count, ==, 1);
        node_settings_free(&s);
    }
    g_unlink(file);
    g_rmdir(dir);
    g_free(file);
    g_free(dir);
    return ok;
}

/* Guards against a process that starts with invalid settings. */
static void
settings_validation(void)
{
    g_assert_true(
        load_settings(SETTINGS(",\"caller_listen\":\"127.0.0.1:3\"")));
    g_assert_true(load_settings(
        SETTINGS(",\"control_listen\":\"127.0.0.1:3\",\"data\":\"x\"")));
    g_assert_true(
        load_settings(SETTINGS(",\"caller_listen\":\"127.0.0.1:3\","
                               "\"failure_domains\":[{\"name\":\"d\"}]")));
    g_assert_false(
        load_settings(SETTINGS(",\"caller_listen\":\"127.0.0.1:3\","
                               "\"failure_domains\":[{\"name\":\"\"}]")));
    g_assert_false(load_settings(SETTINGS("")));
    g_assert_false(
        load_settings(SETTINGS(",\"control_listen\":\"127.0.0.1:3\"")));
    g_assert_false(load_settings(
        SETTINGS(",\"caller_listen\":\"127.0.0.1:3\",\"other\":1")));
    g_assert_false(load_settings("{"));
}

/*
 * Plays gangs that request tickets from more VMs than are free, and returns
 * how many get all theirs while the first is still valid. Guards against long
 * requests that queue at a VM until the tickets of the same gang expire.
 */
static void
gangs_get_their_tickets(void)
{
    enum {
        VMS = 12,
        LONG_MS = 640,
        REQUESTS_PER_GANG = 3,
        GANGS = 20,
        TICKET_MS = 1500,
        STEP_MS = 10,
    };
    struct approval_vm vms[VMS] = {0};
    int64_t busy_until_ms[VMS] = {0};
    int64_t now_ms = 0;
    int64_t oldest_ms = 0;
    int in_time = 0;

    for (int request = 0; request < GANGS * REQUESTS_PER_GANG;) {
        for (size_t i = 0; i < VMS && request < GANGS * REQUESTS_PER_GANG;
             i++) {
            struct approval_vm *vm = &vms[i];
            int64_t begin_ms =
                busy_until_ms[i] > now_ms ? busy_until_ms[i] : now_ms;

            vm->index = i;
            vm->expected_ms = begin_ms - now_ms;
            vm->open_requests =
                (uint32_t)((vm->expected_ms + LONG_MS - 1) / LONG_MS);
            if (!approval_vm_can_take(vm, true, ms_to_ns(now_ms))) {
                continue;
            }
            busy_until_ms[i] = begin_ms + LONG_MS;
            if (request % REQUESTS_PER_GANG == 0) {
                oldest_ms = busy_until_ms[i];
            }
            if (request % REQUESTS_PER_GANG == REQUESTS_PER_GANG - 1) {
                in_time += busy_until_ms[i] - oldest_ms < TICKET_MS &&
                           oldest_ms - now_ms <= LONG_MS + TICKET_MS / 2;
            }
            request++;
        }
        now_ms += STEP_MS;
    }
    g_assert_cmpint(in_time, ==, GANGS);
}

/* Guards against short requests that wait because long ones occupy all VMs. */
static void
short_requests_keep_vms(void)
{
    struct approval_vm vm = {.index = 0};

    g_assert_true(approval_vm_is_long(400));
    g_assert_false(approval_vm_is_long(14));
    g_assert_false(approval_vm_can_take(&vm, true, 0));
    g_assert_true(approval_vm_can_take(&vm, false, 0));
    vm.index = 1;
    vm.open_requests = 1;
    vm.expected_ms = 600;
    g_assert_false(approval_vm_can_take(&vm, true, 0));
    g_assert_true(approval_vm_can_take(&vm, false, 0));
    vm.open_requests = 3;
    g_assert_false(approval_vm_can_take(&vm, false, 0));
    vm.open_requests = 0;
    vm.expected_ms = 0;
    vm.avoid_until_ns = 10;
    g_assert_false(approval_vm_can_take(&vm, false, 9));
    g_assert_true(approval_vm_can_take(&vm, true, 10));
}

/* Guards against a window that outlasts the leases that the leader counts
 * on. */
static void
send_window_within_lease(void)
{
    int64_t now = ms_to_ns(5000);

    g_assert_cmpint(send_window_end(now, 6000), ==,
                    now + ms_to_ns(SEND_WINDOW_MS));
    g_assert_cmpint(send_window_end(now, 2000), ==, now + ms_to_ns(500));
}

/* What the clock of another VM shows, with its speed in percent. */
static int64_t
other_clock(int64_t local, int percent)
{
    return ms_to_ns(90000) + local / 100 * percent;
}

/* Guards against a window that ends later on the clock of the VM that makes
 * the call than on the leader's. */
static void
send_window_on_other_clock(void)
{
    enum {
        DELAY_MS = 40, /* of the report */
        MARGIN_MS = 300,
    };

    for (int percent = 99; percent <= 101; percent++) {
        int64_t sent = ms_to_ns(3000);
        int64_t received = sent + ms_to_ns(DELAY_MS);
        struct vm_clock c = {0};

        g_assert_false(send_window_clock_known(&c, received));
        send_window_record_clock(&c, other_clock(sent, percent), received);
        for (int ms = 0; ms < 6000; ms += 500) {
            int64_t local = received + ms_to_ns(ms);
            int64_t end = send_window_translate(&c, local);

            g_assert_true(send_window_clock_known(&c, local));
            g_assert_cmpint(end, <=, other_clock(local, percent));
            g_assert_cmpint(end, >,
                            other_clock(local, percent) - ms_to_ns(MARGIN_MS));
        }
        g_assert_false(
            send_window_clock_known(&c, received + ms_to_ns(60000)));
    }
}

/* Guards against calls that are all taken to be late after one report of the
 * clock was delayed, and against an old report that is kept for good. */
static void
send_window_late_report(void)
{
    struct vm_clock c = {0};
    int64_t received = ms_to_ns(3000);
    int64_t local = received + ms_to_ns(2000);
    int64_t end;

    send_window_record_clock(&c, other_clock(received, 100), received);
    end = send_window_translate(&c, local);
    send_window_record_clock(&c, other_clock(received, 100),
                             received + ms_to_ns(900));
    g_assert_cmpint(send_window_translate(&c, local), ==, end);
    send_window_record_clock(&c, other_clock(local, 100), local);
    g_assert_cmpint(send_window_translate(&c, local), ==,
                    other_clock(local, 100));
    send_window_record_clock(&c, 0, local);
    g_assert_true(send_window_clock_known(&c, local));
    local += ms_to_ns(60000);
    send_window_record_clock(&c, other_clock(local - ms_to_ns(2000), 100),
                             local);
    g_assert_cmpint(send_window_translate(&c, local), ==,
                    other_clock(local - ms_to_ns(2000), 100));
}

/* Guards against a run that is started elsewhere while a relay that gave no
 * result may still send a start of it to the worker's next process. */
static void
open_starts_without_result(void)
{
    int64_t first_by = ms_to_ns(6000);
    int64_t second_by = ms_to_ns(6600);
    struct open_starts s = {0};

    open_starts_add(&s, first_by);
    g_assert_false(open_starts_any(&s, ms_to_ns(5000)));
    open_starts_abandon(&s);
    g_assert_true(open_starts_any(&s, first_by - 1));
    g_assert_false(open_starts_any(&s, first_by));
    /* The second copy is listed or has a result, the first has neither. */
    open_starts_add(&s, second_by);
    open_starts_listed(&s);
    g_assert_true(open_starts_any(&s, first_by - 1));
    g_assert_false(open_starts_any(&s, first_by));
    open_starts_abandon(&s);
    g_assert_true(open_starts_any(&s, second_by - 1));
}

/* Guards against a task that waits for a start of which it is known that it
 * was sent. */
static void
open_starts_listed_run(void)
{
    struct open_starts s = {0};

    open_starts_add(&s, ms_to_ns(6000));
    open_starts_abandon(&s);
    open_starts_listed(&s);
    g_assert_false(open_starts_any(&s, ms_to_ns(5000)));
}

/* Guards against a run that a new leader starts elsewhere while a relay may
 * still send the start of the leader before. */
static void
open_starts_of_earlier_leader(void)
{
    int64_t elected = ms_to_ns(5000);
    struct open_starts s;

    open_starts_adopt(&s, elected, 6000);
    g_assert_true(open_starts_any(&s, elected + ms_to_ns(SEND_WINDOW_MS) - 1));
    g_assert_false(open_starts_any(&s, elected + ms_to_ns(SEND_WINDOW_MS)));
    open_starts_listed(&s);
    g_assert_false(open_starts_any(&s, elected));
}

/* Guards against tasks without an end that return too late after their worker
 * has failed, and against a lease that a change of leader outlasts. */
static void
lease_of_endless_tasks(void)
{
    enum {
        LEASE_MAX_MS = 10000,
        /* An election, and calls to a worker through a relay that is paused
         * and then without it. */
        LEADER_CHANGE_MS = 5000,
    };
    int64_t ms = worker_lease_ms(LEASE_MAX_MS, true);

    g_assert_cmpint(worker_lease_bound_ns(ms), <=,
                    ms_to_ns(ENDLESS_RETURN_MS - ENDLESS_RESTART_MS));
    g_assert_cmpint(ms, >, LEADER_CHANGE_MS);
    g_assert_cmpint(worker_lease_ms(LEASE_MAX_MS, false), ==, LEASE_MAX_MS);
    g_assert_cmpint(worker_lease_ms(6000, true), ==, 6000);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/node/patience/bounds", leader_wait_bounds);
    g_test_add_func("/node/patience/down", leader_wait_group_down);
    g_test_add_func("/node/silent-leader", silent_leader_gets_no_requests);
    g_test_add_func("/node/refusal-of-second-copy", refusal_of_second_copy);
    g_test_add_func("/node/progress/on-time", progress_on_time);
    g_test_add_func("/node/progress/slow", progress_slow);
    g_test_add_func("/node/settings", settings_validation);
    g_test_add_func("/node/approval-vm/gangs", gangs_get_their_tickets);
    g_test_add_func("/node/approval-vm/short", short_requests_keep_vms);
    g_test_add_func("/node/send-window/within-lease",
                    send_window_within_lease);
    g_test_add_func("/node/send-window/other-clock",
                    send_window_on_other_clock);
    g_test_add_func("/node/send-window/late-report", send_window_late_report);
    g_test_add_func("/node/open-starts/without-result",
                    open_starts_without_result);
    g_test_add_func("/node/open-starts/listed-run", open_starts_listed_run);
    g_test_add_func("/node/open-starts/earlier-leader",
                    open_starts_of_earlier_leader);
    g_test_add_func("/node/lease-of-endless-tasks", lease_of_endless_tasks);
    return g_test_run();
}
