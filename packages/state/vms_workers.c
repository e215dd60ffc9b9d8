#include "mem.h"
#include "state_impl.h"

/* Copies the strings. */
void
vm_insert(struct state *s, const struct state_vm *from)
{
    struct state_vm *vm = mem_alloc(sizeof(*vm));

    *vm = *from;
    vm->name = str_dup(from->name);
    vm->failure_domain = str_dup(from->failure_domain);
    vm->address = str_dup(from->address);
    map_put(s->vms, vm->name, vm);
}

void
vm_free(struct state_vm *vm)
{
    str_free(&vm->name);
    str_free(&vm->failure_domain);
    str_free(&vm->address);
    mem_free(vm);
}

/* A process that replaces another one is clean only if the other one has left;
 * else the other one may still hold units. */
static void
update_process(struct state_vm *vm, const State__VmPut *put)
{
    if (put->run == vm->run) {
        vm->left = vm->left || put->left;
        return;
    }
    if (vm->left) {
        vm->clean_run = put->run;
    }
    vm->run = put->run;
    vm->left = put->left;
    vm->early_ms = 0;
    vm->early_seq = 0;
}

static void
update_promise(struct apply *a, const State__VmPut *put)
{
    struct state_vm *vm = map_get(a->s->vms, proto_str(put->name));

    if (vm == NULL || vm->run != put->run) {
        result_not_found(a, STATE_REASON_NOT_FOUND);
        return;
    }
    snapshot_save_table(a->s, SNAP_VMS);
    vm->early_ms = put->early_ms;
    vm->early_seq = put->early_seq;
    result_applied(a, 0, 0, 1);
}

void
apply_vm_put(struct apply *a)
{
    const State__VmPut *put = a->cmd->vm_put;
    struct state_vm input = {.name = proto_str(put->name),
                             .failure_domain = proto_str(put->failure_domain),
                             .address = proto_str(put->address),
                             .run = put->run,
                             .clean_run = put->run,
                             .left = put->left};
    struct state_vm *vm;

    if (put->early_seq != 0) {
        update_promise(a, put);
        return;
    }
    if (!name_valid(input.name) ||
        !name_valid_or_empty(input.failure_domain) ||
        !name_valid_or_empty(input.address)) {
        result_invalid(a, STATE_REASON_BAD_FIELD);
        return;
    }
    vm = map_get(a->s->vms, input.name);
    if (vm == NULL) {
        vm_insert(a->s, &input);
    }
    else {
        snapshot_save_table(a->s, SNAP_VMS);
        str_replace(&vm->failure_domain, input.failure_domain);
        str_replace(&vm->address, input.address);
        update_process(vm, put);
    }
    result_applied(a, 0, 0, 1);
}

void
apply_vm_drain(struct apply *a)
{
    const State__VmDrain *drain = a->cmd->vm_drain;
    struct state_vm *vm = map_get(a->s->vms, proto_str(drain->name));

    if (vm == NULL) {
        result_not_found(a, STATE_REASON_NOT_FOUND);
        return;
    }
    a->object = vm->name;
    snapshot_save_table(a->s, SNAP_VMS);
    vm->draining = drain->draining;
    result_applied(a, 0, 0, 1);
}

void
apply_vm_delete(struct apply *a)
{
    struct str name = proto_str(a->cmd->vm_delete->name);
    struct state_vm *vm = map_get(a->s->vms, name);

    if (vm == NULL) {
        result_not_found(a, STATE_REASON_NOT_FOUND);
        return;
    }
    snapshot_save_table(a->s, SNAP_VMS);
    map_del(a->s->vms, name);
    vm_free(vm);
    a->object = name;
    result_applied(a, 0, 0, 1);
}

const struct state_vm *
state_vm(const struct state *s, struct str name)
{
    return map_get(s->vms, name);
}

const struct state_vm *
state_vm_next(const struct state *s, void **cursor)
{
    return map_next(s->vms, cursor);
}

/* Copies the strings. */
struct state_worker *
worker_insert(struct state *s, const struct state_worker *from)
{
    struct state_worker *worker = mem_alloc(sizeof(*worker));

    *worker = *from;
    worker->name = str_dup(from->name);
    worker->rack = str_dup(from->rack);
    worker->failure_domain = str_dup(from->failure_domain);
    map_put_u64(s->workers, worker->number, worker);
    map_put(s->workers_by_name, worker->name, worker);
    return worker;
}

void
worker_free(struct state_worker *worker)
{
    str_free(&worker->name);
    str_free(&worker->rack);
    str_free(&worker->failure_domain);
    mem_free(worker);
}

static bool
read_worker(const State__WorkerPut *put, struct state_worker *input)
{
    input->incarnation = put->incarnation;
    input->name = proto_str(put->name);
    input->rack = proto_str(put->rack);
    input->failure_domain = proto_str(put->failure_domain);
    if (put->capacity != NULL) {
        input->capacity.cpu_milli = put->capacity->cpu_milli;
        input->capacity.memory_mib = put->capacity->memory_mib;
        input->capacity.accelerators = put->capacity->accelerators;
    }
    return name_valid(input->name) && name_valid_or_empty(input->rack) &&
           name_valid_or_empty(input->failure_domain);
}

void
apply_worker_put(struct apply *a)
{
    struct state_worker input = {0};
    struct state *s = a->s;
    struct state_worker *worker;

    if (!read_worker(a->cmd->worker_put, &input)) {
        result_invalid(a, STATE_REASON_BAD_FIELD);
        return;
    }
    worker = map_get(s->workers_by_name, input.name);
    if (worker == NULL) {
        input.number = s->next_worker++;
        worker = worker_insert(s, &input);
    }
    else {
        snapshot_save_table(s, SNAP_WORKERS);
        worker->incarnation = input.incarnation;
        worker->capacity = input.capacity;
        str_replace(&worker->rack, input.rack);
        str_replace(&worker->failure_domain, input.failure_domain);
    }
    result_applied(a, 0, worker->number, 1);
}

void
apply_worker_delete(struct apply *a)
{
    struct str name = proto_str(a->cmd->worker_delete->name);
    struct state *s = a->s;
    struct state_worker *worker = map_get(s->workers_by_name, name);

    if (worker == NULL) {
        result_not_found(a, STATE_REASON_WORKER_UNKNOWN);
        return;
    }
    a->object = name;
    if (worker->placed > 0) {
        result_invalid(a, STATE_REASON_WORKER_HAS_TASKS);
        return;
    }
    snapshot_save_table(s, SNAP_WORKERS);
    map_del(s->workers_by_name, name);
    map_del_u64(s->workers, worker->number);
    worker_free(worker);
    result_applied(a, 0, 0, 1);
}

const struct state_worker *
state_worker(const struct state *s, uint32_t number)
{
    return map_get_u64(s->workers, number);
}

const struct state_worker *
state_worker_by_name(const struct state *s, struct str name)
{
    return map_get(s->workers_by_name, name);
}

const struct state_worker *
state_worker_next(const struct state *s, void **cursor)
{
    return map_next(s->workers, cursor);
}
