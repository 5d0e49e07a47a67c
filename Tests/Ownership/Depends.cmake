set(testDepends Failover rapidcheck)
