#include "mem.h"
#include "snapshot.h"

static void
fill_tasks(const struct job *job, State__SnapTask *tasks,
           State__SnapTask **ptrs)
{
    for (uint32_t i = 0; i < job->pub.spec.tasks; i++) {
        const struct state_task *task = &job->tasks[i];
        state__snap_task__init(&tasks[i]);
        tasks[i].lease = task->lease;
        tasks[i].incarnation = task->incarnation;
        tasks[i].worker = task->worker;
        tasks[i].exit_code = task->exit_code;
        tasks[i].cpu_milli = task->cpu_milli;
        tasks[i].memory_mib = task->memory_mib;
        tasks[i].accelerators = task->accelerators;
        tasks[i].failures = task->failures;
        tasks[i].losses = task->losses;
        tasks[i].attempts = task->attempts;
        tasks[i].state = task->state;
        tasks[i].outcome = task->outcome;
        ptrs[i] = &tasks[i];
    }
}

void
encode_job(struct writer *w, const struct job *job)
{
    uint32_t count = job->pub.spec.tasks;
    State__SnapTask *tasks = mem_alloc(count * sizeof(*tasks));
    State__SnapTask **ptrs = mem_alloc(count * sizeof(State__SnapTask *));
    State__SnapJob m = STATE__SNAP_JOB__INIT;
    State__JobSpec spec;

    proto_spec_write(&spec, &job->pub.spec);
    fill_tasks(job, tasks, ptrs);
    m.number = job->pub.number;
    m.key_id = job->pub.key_id;
    m.submitted_ms = job->pub.submitted_ms;
    m.ended_ms = job->pub.ended_ms;
    m.name = proto_bin(job->pub.name);
    m.reason = proto_bin(job->pub.reason);
    m.spec = &spec;
    m.team = job->pub.team;
    m.state = job->pub.state;
    m.cancel = job->pub.cancel;
    m.digest = proto_bin(str_from(job->pub.body_digest, STATE_DIGEST_BYTES));
    m.end_seq = job->end_seq;
    m.n_tasks = count;
    m.tasks = ptrs;
    encode_record(w, STATE__SNAP_RECORD__ITEM_JOB, &m);
    mem_free(tasks);
    mem_free((void *)ptrs);
}

void
encode_lease(struct writer *w, const struct lease *lease)
{
    State__SnapLease m = STATE__SNAP_LEASE__INIT;

    m.lease = lease->number;
    m.job = lease->job;
    m.task = lease->task;
    m.team = lease->team;
    m.cpu_ms = lease->cpu_ms;
    m.memory_mib_s = lease->memory_mib_s;
    m.accelerator_ms = lease->accelerator_ms;
    m.ended_ms = lease->ended_ms;
    encode_record(w, STATE__SNAP_RECORD__ITEM_LEASE, &m);
}

void
encode_live_leases(struct writer *w, const struct state *s,
                   const struct job *job)
{
    for (uint32_t i = 0; job->pub.placed > 0 && i < job->pub.spec.tasks; i++) {
        if (job->tasks[i].state == STATE_TASK_PLACED) {
            encode_lease(w, lease_by_number(s, job->tasks[i].lease));
        }
    }
}

void
encode_request(struct writer *w, const struct request *r)
{
    State__SnapRequest m = STATE__SNAP_REQUEST__INIT;
    State__Response response = STATE__RESPONSE__INIT;

    m.number = r->pub.number;
    m.attempt = r->pub.attempt;
    m.team = r->pub.team;
    m.state = r->pub.state;
    m.key = proto_bin(r->pub.key);
    m.entry = proto_bin(r->pub.entry);
    m.digest = proto_bin(str_from(r->pub.digest, STATE_DIGEST_BYTES));
    m.begun_ms = r->pub.begun_ms;
    m.timeout_ms = r->pub.timeout_ms;
    if (r->pub.stored) {
        m.store_seq = r->store_seq;
        response.status = r->pub.response.status;
        response.headers = proto_bin(r->pub.response.headers);
        response.body = proto_bin(r->pub.response.body);
        m.response = &response;
    }
    encode_record(w, STATE__SNAP_RECORD__ITEM_REQUEST, &m);
}
