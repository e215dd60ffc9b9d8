#include "approval_vm.h"

enum {
    /* Open requests per VM. The service queues at most 32 per machine. */
    REQUESTS_PER_VM = 3,
    /* Requests of queues with a longer service time count as long. */
    LONG_REQUEST_MS = 40,
    /* One VM in this many takes no long requests. */
    SHORT_REQUEST_VM_STRIDE = 3,
    /* A VM gets no long request while its open ones are expected to take
     * longer. */
    LONG_REQUEST_QUEUE_MS = 200,
};

bool
approval_vm_is_long(int64_t service_ms)
{
    return service_ms > LONG_REQUEST_MS;
}

uint32_t
approval_vm_free_requests(uint32_t open_requests)
{
    return open_requests < REQUESTS_PER_VM ? REQUESTS_PER_VM - open_requests
                                           : 0;
}

bool
approval_vm_can_take(const struct approval_vm *vm, bool long_request,
                     int64_t now_ns)
{
    if (approval_vm_free_requests(vm->open_requests) == 0 ||
        now_ns < vm->avoid_until_ns) {
        return false;
    }
    return !long_request || (vm->index % SHORT_REQUEST_VM_STRIDE != 0 &&
                             vm->expected_ms <= LONG_REQUEST_QUEUE_MS);
}
