peer_DEPS := base
