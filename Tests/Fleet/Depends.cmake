set(testDepends Sessions)
