#include "call_outcome.h"

#include <stdbool.h>

static bool
is_mutation(const Node__Request *r)
{
    switch (r->kind_case) {
    case NODE__REQUEST__KIND_JOB:
        return r->job->verb == NODE__VERB__SUBMIT ||
               r->job->verb == NODE__VERB__CANCEL;
    case NODE__REQUEST__KIND_CONFIG:
    case NODE__REQUEST__KIND_UPKEEP:
    case NODE__REQUEST__KIND_EVACUATION:
        return true;
    default:
        return false;
    }
}

/*
 * Whether a refusal of one copy may differ from the reply to an earlier one,
 * which was handled under an earlier configuration. A conflict shows that no
 * copy of a configuration is in force, and without a job none is left to
 * cancel.
 */
static bool
depends_on_configuration(Node__Outcome outcome)
{
    switch (outcome) {
    case NODE__OUTCOME__OK:
    case NODE__OUTCOME__NO_JOB:
    case NODE__OUTCOME__CONFLICT:
        return false;
    default:
        return true;
    }
}

Node__Outcome
call_outcome_replied(const Node__Request *request, uint32_t copies,
                     Node__Outcome reply)
{
    return copies > 1 && is_mutation(request) &&
                   depends_on_configuration(reply)
               ? NODE__OUTCOME__UNKNOWN
               : reply;
}

Node__Outcome
call_outcome_expired(const Node__Request *request, uint32_t copies)
{
    return copies > 0 && is_mutation(request) ? NODE__OUTCOME__UNKNOWN
                                              : NODE__OUTCOME__UNAVAILABLE;
}
