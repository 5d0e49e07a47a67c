set(testDepends Sessions FleetWire)
