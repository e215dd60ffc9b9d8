raft_DEPS := base
