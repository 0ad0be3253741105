//! Fields that a message leaves out.

/// Whether a field has its default value, which the receiver takes for a field that is left out.
pub(crate) fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
