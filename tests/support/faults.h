#ifndef GV_TEST_FAULTS_H
#define GV_TEST_FAULTS_H

#include "cluster.h"

/* Faults of one process of a cluster, to be chosen from a table or at
 * random. */

enum fault_kind {
    FAULT_VM_KILL,
    FAULT_VM_STOP,     /* gracefully; waits for the end */
    FAULT_VM_STOPPING, /* the same, but the end is awaited by the repair */
    FAULT_VM_FREEZE,
    FAULT_VM_CUT,
    FAULT_VM_WIPE,
    FAULT_VM_DAMAGE,
    FAULT_VM_DISK, /* syncs fail; needs cluster_use_faulty */
    FAULT_WORKER_KILL,
    FAULT_WORKER_FREEZE,
    FAULT_WORKER_DRAIN,
    FAULT_ENDPOINT_KILL,
    FAULT_ENDPOINT_FREEZE,
    FAULT_ENDPOINT_LEAVE,
    FAULT_KINDS,
};

struct fault {
    enum fault_kind kind;
    int target; /* index of a VM, or of a fake */
    enum cluster_cut cut;
};

/* Whether the target is a VM. */
bool
fault_is_vm(enum fault_kind kind);
const char *
fault_name(enum fault_kind kind);
void
fault_inject(struct cluster *c, const struct fault *f);
void
fault_repair(struct cluster *c, const struct fault *f);

#endif
