set(testDepends Failover)
