set(testDepends rapidcheck)
