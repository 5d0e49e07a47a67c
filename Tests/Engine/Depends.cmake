set(testDepends StandIn Configuration)
