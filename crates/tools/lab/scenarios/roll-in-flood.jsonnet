{ seconds: 60, load: { fill: 0.6 }, faults: [
  { at: 10, 'for': 30, what: { roll: { share: 1, at_a_time: 2 } } },
  { at: 18, 'for': 10, what: { flood: { factor: 1.4 } } },
] }
