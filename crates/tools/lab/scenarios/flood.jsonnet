// Half as many calls again for fifteen seconds, past what the fleet does.
{ seconds: 50, load: { fill: 0.8 }, faults: [{ at: 15, 'for': 15, what: { flood: { factor: 1.5 } } }] }
