#ifndef GV_APPROVAL_VM_H
#define GV_APPROVAL_VM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Decides which VMs the leader may send a request for approval to. The service
 * takes one request of a VM at a time. Load that this answers: gangs that need
 * several long requests each, more than all VMs can make at once. Requests
 * that queue at a VM are answered when the tickets of the others have expired,
 * so that the gang requests all of them again; kept at the leader, they go to
 * the most urgent step once a VM is free.
 */
struct approval_vm {
    size_t index; /* among the VMs; some are kept for short requests */
    uint32_t open_requests;
    int64_t expected_ms;    /* expected time of these */
    int64_t avoid_until_ns; /* gets none before, after a failed request */
};

/* Returns whether the service takes so long for a request that its queue may
 * not hold up short ones. */
bool
approval_vm_is_long(int64_t service_ms);

/* Returns how many more requests a VM with so many open ones may get. */
uint32_t
approval_vm_free_requests(uint32_t open_requests);

bool
approval_vm_can_take(const struct approval_vm *vm, bool long_request,
                     int64_t now_ns);

#endif
