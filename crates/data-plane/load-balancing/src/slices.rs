//! The slice table of a service: which endpoint owns which slice of its key space.
use crate::Ms;
use coppersail_peer_protocol::{AssignmentRow, AssignmentUpdate};
use std::rc::Rc;

/// Number of keys, 0 to 65535, and the maximum number of slices of a service.
const KEY_SPACE: u32 = 65_536;
/// How long (ms) a slice's owner stays suspect after it rejected a key. The endpoint may not have received
/// its lease yet, so it is used again after that.
const SUSPECT_OWNER_MS: Ms = 300;

/// The owner of one slice.
#[derive(Debug, Clone, Default)]
struct SliceOwner {
    /// Id of the endpoint that holds the lease; `None` while the lease is transferred.
    endpoint: Option<Rc<str>>,
    /// Fencing token of the lease; a later owner has a higher one.
    fencing_token: u64,
    suspect_until: Ms,
}

/// The owners of all slices, indexed by slice number.
#[derive(Debug, Default)]
pub struct SliceTable {
    rows: Vec<SliceOwner>,
}

impl SliceTable {
    /// The slice of a key.
    pub fn slice_of(&self, key: u16) -> u32 {
        (u64::from(key) * self.rows.len() as u64 / u64::from(KEY_SPACE)) as u32
    }

    /// The owner of a key, or `None` if it is unknown or suspect.
    pub fn owner(&self, key: u16, now: Ms) -> Option<&Rc<str>> {
        let row = self.rows.get(self.slice_of(key) as usize)?;
        row.endpoint.as_ref().filter(|_| now >= row.suspect_until)
    }

    /// Whether any slice has an owner.
    pub fn has_owner(&self) -> bool {
        self.rows.iter().any(|row| row.endpoint.is_some())
    }

    /// Records that an endpoint rejected a key. Has an effect only if this table lists the endpoint as the
    /// key's owner.
    pub(crate) fn suspect_owner(&mut self, key: u16, endpoint: &str, now: Ms) {
        let slice = self.slice_of(key) as usize;
        if let Some(row) = self.rows.get_mut(slice) {
            if row.endpoint.as_deref() == Some(endpoint) {
                row.suspect_until = now + SUSPECT_OWNER_MS;
            }
        }
    }

    /// Whether the update's slice count is within the key space.
    pub(crate) fn is_valid(update: &AssignmentUpdate) -> bool {
        (1..=KEY_SPACE).contains(&update.slice_count)
    }

    /// Merges an update. Updates may arrive in any order: the row with the higher fencing token wins.
    /// `shared_id` returns the registry's shared copy of an endpoint id. Returns whether any row changed.
    pub(crate) fn merge(
        &mut self,
        update: &AssignmentUpdate,
        mut shared_id: impl FnMut(&str) -> Rc<str>,
    ) -> bool {
        if self.rows.len() != update.slice_count as usize && !self.resize(update) {
            return false;
        }
        let mut changed = false;
        for AssignmentRow { first, last, owner: id, version: fencing_token } in &update.rows {
            let endpoint = (!id.is_empty()).then(|| shared_id(id));
            let rows = self.rows.iter_mut().take(*last as usize + 1).skip(*first as usize);
            for row in rows.filter(|row| *fencing_token > row.fencing_token) {
                *row = SliceOwner {
                    endpoint: endpoint.clone(),
                    fencing_token: *fencing_token,
                    suspect_until: 0,
                };
                changed = true;
            }
        }
        changed
    }

    /// Replaces the table by an empty one with the update's slice count, unless the update is older than the
    /// table. Returns whether the table was replaced.
    fn resize(&mut self, update: &AssignmentUpdate) -> bool {
        let newest_known = self.rows.iter().map(|row| row.fencing_token).max();
        let newest_of_update = update.rows.iter().map(|row| row.version).max();
        if newest_known.is_some() && newest_known >= newest_of_update {
            return false;
        }
        self.rows = vec![SliceOwner::default(); update.slice_count as usize];
        true
    }
}
