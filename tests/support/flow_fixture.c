#include "flow_fixture.h"

#include <stdio.h>
#include <string.h>

#include "mem.h"

void
flow_apply_command(struct flow_state *s, Flow__Command *command,
                   int64_t wall_ms)
{
    Flow__Batch batch = FLOW__BATCH__INIT;
    Flow__Command *list[] = {command};
    size_t len;
    uint8_t *bytes;

    batch.commands = list;
    batch.n_commands = 1;
    batch.wall_ms = wall_ms;
    len = flow__batch__get_packed_size(&batch);
    bytes = mem_alloc(len + 1);
    flow__batch__pack(&batch, bytes);
    flow_state_apply(s, str_from(bytes, len));
    mem_free(bytes);
}

void
flow_fixture_apply(struct flow_fixture *f, Flow__Command *command)
{
    flow_apply_command(f->state, command, ++f->wall_ms);
}

void
flow_fixture_set_config(struct flow_fixture *f, uint64_t version,
                        const char *document, bool needs_approval,
                        uint64_t team_cpu_milli)
{
    Flow__Config config = FLOW__CONFIG__INIT;
    Flow__Queue queue = FLOW__QUEUE__INIT;
    Flow__Service service = FLOW__SERVICE__INIT;
    Flow__Team team = FLOW__TEAM__INIT;
    Flow__Size limit = FLOW__SIZE__INIT;
    Flow__Queue *queues[] = {&queue};
    Flow__Service *services[] = {&service};
    Flow__Team *teams[] = {&team};
    char *keys[] = {(char *)"key"};
    Flow__Command command = FLOW__COMMAND__INIT;

    queue.name = (char *)f->queue;
    queue.host = (char *)"host";
    queue.prefix = (char *)f->prefix;
    queue.service = (char *)"s";
    queue.timeout_ms = 1000;
    queue.latency_target_ms = 1000;
    queue.max_attempts = 2;
    queue.stretch = 2;
    queue.needs_approval = needs_approval;
    queue.approval_ms = needs_approval ? 10 : 0;
    queue.ticket_ms = 2000;
    service.name = (char *)"s";
    team.name = (char *)f->team;
    team.weight = 1;
    team.keys = keys;
    team.n_keys = 1;
    limit.cpu_milli = team_cpu_milli;
    team.limit = &limit;
    config.version = version;
    config.document.data = (uint8_t *)document;
    config.document.len = strlen(document);
    config.queues = queues;
    config.n_queues = 1;
    config.services = services;
    config.n_services = 1;
    config.teams = teams;
    config.n_teams = 1;
    command.kind_case = FLOW__COMMAND__KIND_CONFIG;
    command.config = &config;
    flow_fixture_apply(f, &command);
}

void
flow_fixture_init(struct flow_fixture *f)
{
    memset(f, 0, sizeof(*f));
    f->state = flow_state_create();
    f->queue = "q";
    f->prefix = "/q/";
    f->team = "t";
    flow_fixture_set_config(f, 1, "one", false, 0);
}

void
flow_fixture_free(struct flow_fixture *f)
{
    flow_state_destroy(f->state);
}

uint32_t
flow_fixture_add_worker(struct flow_fixture *f, const char *id,
                        int64_t start_ms, uint64_t cpu_milli)
{
    Flow__Worker worker = FLOW__WORKER__INIT;
    Flow__Size size = FLOW__SIZE__INIT;
    Flow__Command command = FLOW__COMMAND__INIT;
    struct flow_worker *w;

    worker.id = (char *)id;
    worker.born_ms = start_ms;
    worker.address = (char *)"127.0.0.1:1";
    worker.service = (char *)"s";
    if (f->domain != NULL) {
        worker.domain = (char *)f->domain;
    }
    size.cpu_milli = cpu_milli;
    size.memory_mib = 65536;
    worker.capacity = &size;
    command.kind_case = FLOW__COMMAND__KIND_WORKER;
    command.worker = &worker;
    flow_fixture_apply(f, &command);
    w = flow_worker_by_id(f->state, str_of(id));
    if (w == NULL) {
        return 0;
    }
    w->session = &f->sessions[w->number];
    f->sessions[w->number].usable = true;
    return w->number;
}

Flow__Step *
flow_fixture_create_step(uint32_t count, uint64_t cpu_milli, int after)
{
    Flow__Step *step = mem_alloc(sizeof(*step));

    flow__step__init(step);
    step->count = count;
    step->size = mem_alloc(sizeof(*step->size));
    flow__size__init(step->size);
    step->size->cpu_milli = cpu_milli;
    step->estimate_ms = 1000;
    if (after >= 0) {
        step->after = mem_alloc(sizeof(*step->after));
        step->after[0] = (uint32_t)after;
        step->n_after = 1;
    }
    return step;
}

struct flow_job *
flow_fixture_submit_job(struct flow_fixture *f, uint64_t id,
                        Flow__Step **steps, size_t count)
{
    Flow__Submit submit = FLOW__SUBMIT__INIT;
    Flow__JobSpec spec = FLOW__JOB_SPEC__INIT;
    Flow__Command command = FLOW__COMMAND__INIT;

    spec.steps = steps;
    spec.n_steps = count;
    submit.job = id;
    submit.queue = (char *)"q";
    submit.team = (char *)"t";
    submit.spec = &spec;
    command.kind_case = FLOW__COMMAND__KIND_SUBMIT;
    command.submit = &submit;
    flow_fixture_apply(f, &command);
    for (size_t i = 0; i < count; i++) {
        flow__step__free_unpacked(steps[i], NULL);
    }
    return flow_job(f->state, id);
}

static Flow__Task
make_task_ref(uint64_t job, uint32_t step, uint32_t index, uint32_t run,
              uint32_t worker)
{
    Flow__Task task = FLOW__TASK__INIT;

    task.job = job;
    task.step = step;
    task.index = index;
    task.run = run;
    task.worker = worker;
    return task;
}

void
flow_fixture_start_run(struct flow_fixture *f, uint64_t job, uint32_t step,
                       uint32_t index, uint32_t run, uint32_t worker)
{
    Flow__Task task = make_task_ref(job, step, index, run, worker);
    Flow__Command command = FLOW__COMMAND__INIT;

    command.kind_case = FLOW__COMMAND__KIND_START;
    command.start = &task;
    flow_fixture_apply(f, &command);
}

void
flow_fixture_end_run(struct flow_fixture *f, uint64_t job, uint32_t step,
                     uint32_t index, uint32_t run, uint32_t worker,
                     enum flow_run_end how, const char *checkpoint)
{
    Flow__Task task = make_task_ref(job, step, index, run, worker);
    Flow__End end = FLOW__END__INIT;
    Flow__End *list[] = {&end};
    Flow__Ends ends = FLOW__ENDS__INIT;
    Flow__Command command = FLOW__COMMAND__INIT;

    end.task = &task;
    end.how = how;
    end.checkpoint = (char *)checkpoint;
    ends.worker = worker;
    ends.ends = list;
    ends.n_ends = 1;
    command.kind_case = FLOW__COMMAND__KIND_ENDS;
    command.ends = &ends;
    flow_fixture_apply(f, &command);
}

void
flow_fixture_remove_worker(struct flow_fixture *f, uint32_t worker)
{
    Flow__WorkerLost lost = FLOW__WORKER_LOST__INIT;
    Flow__Command command = FLOW__COMMAND__INIT;

    lost.worker = worker;
    command.kind_case = FLOW__COMMAND__KIND_LOST;
    command.lost = &lost;
    flow_fixture_apply(f, &command);
}

void
flow_fixture_cancel_job(struct flow_fixture *f, uint64_t job)
{
    Flow__Cancel cancel = FLOW__CANCEL__INIT;
    Flow__Command command = FLOW__COMMAND__INIT;

    cancel.job = job;
    command.kind_case = FLOW__COMMAND__KIND_CANCEL;
    command.cancel = &cancel;
    flow_fixture_apply(f, &command);
}
