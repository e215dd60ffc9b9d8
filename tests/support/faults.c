#include "faults.h"

#include <signal.h>

#include "await.h"
#include "proc.h"

enum {
    STOP_MS = 15000,
};

static const char *const names[FAULT_KINDS] = {
    "vm-kill",         "vm-stop",       "vm-stopping",  "vm-freeze",
    "vm-cut",          "vm-wipe",       "vm-damage",    "vm-disk",
    "worker-kill",     "worker-freeze", "worker-drain", "endpoint-kill",
    "endpoint-freeze", "endpoint-leave"};

bool
fault_is_vm(enum fault_kind kind)
{
    return kind <= FAULT_VM_DISK;
}

const char *
fault_name(enum fault_kind kind)
{
    return names[kind];
}

void
fault_inject(struct cluster *c, const struct fault *f)
{
    switch (f->kind) {
    case FAULT_VM_KILL:
        cluster_vm_kill(c, f->target);
        break;
    case FAULT_VM_STOP:
        cluster_vm_stop(c, f->target);
        break;
    case FAULT_VM_STOPPING:
        proc_signal(c->vms[f->target].pid, SIGTERM);
        break;
    case FAULT_VM_FREEZE:
        cluster_vm_freeze(c, f->target, true);
        break;
    case FAULT_VM_CUT:
        cluster_vm_cut(c, f->target, f->cut);
        break;
    case FAULT_VM_WIPE:
        cluster_vm_kill(c, f->target);
        cluster_vm_wipe(c, f->target);
        break;
    case FAULT_VM_DAMAGE:
        cluster_vm_kill(c, f->target);
        cluster_vm_damage(c, f->target);
        break;
    case FAULT_VM_DISK:
        cluster_vm_fault(c, f->target, "fsync 5 0 0\n");
        break;
    case FAULT_WORKER_KILL:
    case FAULT_ENDPOINT_KILL:
        cluster_fake_kill(c, f->target);
        break;
    case FAULT_WORKER_FREEZE:
    case FAULT_ENDPOINT_FREEZE:
        cluster_fake_freeze(c, f->target, true);
        break;
    case FAULT_WORKER_DRAIN:
    case FAULT_ENDPOINT_LEAVE:
        cluster_fake_stop(c, f->target);
        break;
    case FAULT_KINDS:
        break;
    }
}

void
fault_repair(struct cluster *c, const struct fault *f)
{
    struct cluster_vm *vm = &c->vms[f->target];

    switch (f->kind) {
    case FAULT_VM_STOPPING:
        REQUIRE(proc_wait(vm->pid, STOP_MS) == 0);
        vm->pid = 0;
        cluster_vm_start(c, f->target);
        break;
    case FAULT_VM_KILL:
    case FAULT_VM_STOP:
    case FAULT_VM_WIPE:
    case FAULT_VM_DAMAGE:
        cluster_vm_start(c, f->target);
        break;
    case FAULT_VM_FREEZE:
        cluster_vm_freeze(c, f->target, false);
        break;
    case FAULT_VM_CUT:
        cluster_vm_heal(c, f->target);
        break;
    case FAULT_VM_DISK:
        /* A failed write is not tried again by the same process. */
        cluster_vm_fault(c, f->target, NULL);
        cluster_vm_kill(c, f->target);
        cluster_vm_start(c, f->target);
        break;
    case FAULT_WORKER_KILL:
    case FAULT_ENDPOINT_KILL:
    case FAULT_WORKER_DRAIN:
    case FAULT_ENDPOINT_LEAVE:
        cluster_fake_start(c, f->target);
        break;
    case FAULT_WORKER_FREEZE:
    case FAULT_ENDPOINT_FREEZE:
        cluster_fake_freeze(c, f->target, false);
        break;
    case FAULT_KINDS:
        break;
    }
}
