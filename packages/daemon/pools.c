/*
 * Creates the ledger and sets its pools for teams' request limits.
 */
#include <inttypes.h>

#include "clock.h"
#include "control.h"
#include "ledger.h"
#include "replica.h"
#include "state.h"

enum {
    /* All attempts have certainly ended this long after the deadline. */
    ATTEMPT_END_MS = 200,
    /* Largest pool; all VMs together have fewer connections. */
    REQUESTS_MAX = 1 << 24,
};

struct ledger *
control_get_ledger(struct control *c)
{
    struct ledger_config config = ledger_defaults();

    if (c->ledger == NULL) {
        config.lease_ns = c->settings->config_lease_ms * NS_PER_MS;
        config.longest_request_ns =
            (c->settings->longest_request_ms + ATTEMPT_END_MS) * NS_PER_MS;
        config.drift_ppm = LEASE_DRIFT_PPM;
        c->ledger = ledger_create(&config);
    }
    return c->ledger;
}

void
control_update_pools(struct control *c)
{
    const struct state *state = replica_state(c->replica);
    struct ledger *ledger = control_get_ledger(c);
    struct buf pool = {0};

    if (state_config_version(state) == c->pools_version) {
        return;
    }
    c->pools_version = state_config_version(state);
    for (uint32_t n = 1; state_team(state, n) != NULL; n++) {
        const struct state_team *team = state_team(state, n);
        uint64_t requests = state_effective_limit(state, n)->requests;

        buf_clear(&pool);
        buf_printf(&pool, POOL_TEAM "%" PRIu32, n);
        if (team->removed || requests == STATE_UNLIMITED) {
            ledger_pool_remove(ledger, c->now, buf_str(&pool));
            continue;
        }
        ledger_pool_set(ledger, c->now, buf_str(&pool), STR(""), STR(""),
                        requests > REQUESTS_MAX ? REQUESTS_MAX
                                                : (uint32_t)requests);
    }
    buf_free(&pool);
}
