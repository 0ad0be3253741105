{ seconds: 50, load: { fill: 0.7 }, fleet: { speed_spread: 0.4 } }
