set(testDepends Session Route Confirm Execute rapidcheck)
