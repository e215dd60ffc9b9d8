peer_DEPS := base
peer_EXPORTS := peer_* wire__*
