node_DEPS := base flow raft store peer front endpoint
node_EXPORTS := node_* node__* leader_wait_* leader_watch_* progress_* \
	membership_* approval_vm_* call_outcome_* send_window_* open_starts_* \
	worker_lease_*
