store_DEPS := base raft
