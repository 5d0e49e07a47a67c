set(testDepends Core)
