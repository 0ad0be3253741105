//! Invariants of shard leases: monotonic fencing tokens, exclusive ownership.

use super::violation::{rule, CheckError, CheckResult};
use std::collections::BTreeMap;

/// Keys of a service: 0 to 65535.
const KEYS: u32 = 65536;
/// Granularity of the check, in keys: no lease is narrower.
const CELL_KEYS: u32 = 16;

/// The last grant that covers a cell.
#[derive(Debug, Clone, Default)]
struct Cell {
    token: u64,
    owner: String,
}

/// The highest fencing token that was granted for each cell of keys, by service.
#[derive(Debug, Default)]
pub struct FencingTokens {
    services: BTreeMap<String, Vec<Cell>>,
}

impl FencingTokens {
    /// Leases (first key, last key, token, last owner) leave a node for an endpoint.
    ///
    /// # Errors
    /// [`rule::FENCING`] if a token is lower than one before it, or if two endpoints get the same one.
    pub fn record_grant(
        &mut self,
        service: &str,
        endpoint_id: &str,
        leases: &[(u32, u32, u64, String)],
    ) -> CheckResult {
        let new_cells = || vec![Cell::default(); (KEYS / CELL_KEYS) as usize];
        let cells = self.services.entry(service.into()).or_insert_with(new_cells);
        for (first_key, last_key, token, _) in leases {
            for index in first_key / CELL_KEYS..=(*last_key).min(KEYS - 1) / CELL_KEYS {
                let cell = &mut cells[index as usize];
                let key = index * CELL_KEYS;
                if *token < cell.token {
                    let (last, owner) = (cell.token, &cell.owner);
                    return Err(CheckError::new(
                        rule::FENCING,
                        format!(
                            "key {key} of {service}: {endpoint_id} gets fence {token} after {last} of {owner}"
                        ),
                    ));
                }
                if *token == cell.token && cell.owner != endpoint_id {
                    let owner = &cell.owner;
                    return Err(CheckError::new(
                        rule::FENCING,
                        format!("key {key} of {service}: fence {token} goes to {owner} and to {endpoint_id}"),
                    ));
                }
                if *token > cell.token {
                    *cell = Cell { token: *token, owner: endpoint_id.into() };
                }
            }
        }
        Ok(())
    }
}

/// The first key that two owners' leases (first key, last key, token) have in common. Ownership is exclusive: there
/// must be none.
pub fn first_overlap(leases: &[(u32, u32, u64)], others: &[(u32, u32, u64)]) -> Option<u32> {
    leases.iter().find_map(|lease| {
        let overlapping = others.iter().find(|other| lease.0 <= other.1 && other.0 <= lease.1);
        overlapping.map(|other| lease.0.max(other.0))
    })
}
