// A fifth of all calls goes to two slices that change.
{ seconds: 50, load: { fill: 0.6, hot_share: 0.2 } }
