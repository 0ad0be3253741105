//! Which way a request goes: picks, health of hosts, budget of further tries; pure
