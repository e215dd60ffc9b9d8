flow_DEPS := base
flow_EXPORTS := flow_* flow__* plan_* evacuate_* urgency_* headroom_*
